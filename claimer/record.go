package claimer

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

const (
	endpointPrefix = "endpoint-owner/"
	shardPrefix    = "shard/"
	shardOwner     = "shard-owner/"
)

// Key returns the store key of the ownership of a name. The journal of a shard
// has a head of its own, which holds the epoch as well and fences the previous
// owner.
func Key(name string) string {
	if number, ok := strings.CutPrefix(name, shardPrefix); ok {
		return shardOwner + number
	}
	return endpointPrefix + name
}

// Record is an ownership record as read from the store.
type Record struct {
	bergamotdale.Ownership
	// Found is false for a key that does not exist.
	Found bool
	// Version is that of the key, zero if it does not exist.
	Version int64
}

func decode(name string, e bergamotdale.Entry) (Record, error) {
	r := Record{Found: true, Version: e.Version}
	if err := json.Unmarshal(e.Value, &r.Ownership); err != nil {
		return r, errors.Annotatef(err, "decoding %s", e.Key)
	}
	r.Name = name
	return r, nil
}

// Claimability tells whether a record may be claimed.
type Claimability int

const (
	// ClaimAllowed allows a claim with the next epoch.
	ClaimAllowed Claimability = iota + 1
	// ClaimOwnerLive forbids it: the owner responds to probes.
	ClaimOwnerLive
	// ClaimOwnerLeased forbids it: the owner is gone but its key has not
	// expired yet.
	ClaimOwnerLeased
	// ClaimCheckLease asks for the owner's key.
	ClaimCheckLease
)

// MayClaim decides whether self may claim the record (D2). The owner is gone
// if the membership holds it for dead or left or does not know it. The lease
// is that of the owner's key: nil while it was not looked up, empty if the key
// has expired.
func MayClaim(self string, r Record, ownerGone bool, lease *bergamotdale.LeaseID) Claimability {
	switch {
	case !r.Found || r.Owner == "":
		return ClaimAllowed
	case r.Owner == self:
		// An earlier process with this ID. It is gone: IDs are unique.
		return ClaimAllowed
	case lease == nil:
		return ClaimCheckLease
	case *lease != "" && *lease != r.Session:
		// The lease of this ownership has ended, and the owner, which writes
		// its records again under a new lease, has not done so yet. If it has
		// restarted it never will.
		return ClaimAllowed
	case !ownerGone:
		return ClaimOwnerLive
	case *lease != "":
		return ClaimOwnerLeased
	}
	return ClaimAllowed
}
