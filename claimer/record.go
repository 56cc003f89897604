package claimer

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

const (
	endpointOwnerPrefix = "endpoint-owner/"
	shardNamePrefix     = "shard/"
	shardOwnerPrefix    = "shard-owner/"
)

// Key returns the store key of the ownership record of a name. The journal of a
// shard has a separate head record, which also contains the epoch, so that the
// previous owner of the shard is fenced off.
func Key(name string) string {
	if number, ok := strings.CutPrefix(name, shardNamePrefix); ok {
		return shardOwnerPrefix + number
	}
	return endpointOwnerPrefix + name
}

// Record is an ownership record as read from the store.
type Record struct {
	bergamotdale.Ownership
	// Found is false if the key does not exist.
	Found bool
	// Version is the version of the key, or zero if it does not exist.
	Version int64
}

func decodeRecord(name string, e bergamotdale.Entry) (Record, error) {
	r := Record{Found: true, Version: e.Version}
	if err := json.Unmarshal(e.Value, &r.Ownership); err != nil {
		return r, errors.Annotatef(err, "decoding the ownership record %s", e.Key)
	}
	r.Name = name
	return r, nil
}

// Claimability says whether a record may be claimed, or why not.
type Claimability int

const (
	// ClaimAllowed means that the record may be claimed with the next epoch.
	ClaimAllowed Claimability = iota + 1
	// ClaimOwnerLive means that the owner responds to probes, so the record may
	// not be claimed.
	ClaimOwnerLive
	// ClaimOwnerLeased means that the owner is gone but its lease key has not
	// expired yet, so the record may not be claimed yet.
	ClaimOwnerLeased
	// ClaimCheckLease means that the decision needs the lease key of the
	// owner.
	ClaimCheckLease
)

// MayClaim decides whether the router self may claim the record. The record of
// another owner may be claimed only once the lease under which it was written has
// ended and, if the owner holds no newer lease, the membership considers the owner
// gone (D2 of docs/design.md). ownerGone is true if the membership considers the
// owner dead or left, or does not know it although this router has run for leaser.TTL.
// lease is the lease recorded under the lease key of the owner: nil if the key was
// not read yet, empty if it has expired.
func MayClaim(self string, r Record, ownerGone bool, lease *bergamotdale.LeaseID) Claimability {
	switch {
	case !r.Found || r.Owner == "":
		return ClaimAllowed
	case r.Owner == self:
		// An earlier process with the same ID wrote the record. That process
		// has ended, since no two running routers share an ID.
		return ClaimAllowed
	case lease == nil:
		return ClaimCheckLease
	case *lease != "" && *lease != r.Session:
		// The lease under which the record was written has ended. The owner
		// rewrites its records under its new lease, but has not rewritten this
		// one yet; if it has restarted, it never will.
		return ClaimAllowed
	case !ownerGone:
		return ClaimOwnerLive
	case *lease != "":
		return ClaimOwnerLeased
	}
	return ClaimAllowed
}
