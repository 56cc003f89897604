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
	shardHead      = "/head"
)

// Key returns the store key of the ownership of a name. The record of a shard
// is its head, so that one compare-and-swap fences the old owner.
func Key(name string) string {
	if strings.HasPrefix(name, shardPrefix) {
		return name + shardHead
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
	// fields holds all members of the JSON object. A shard head has more than
	// the ownership; a change of owner keeps them.
	fields map[string]json.RawMessage
}

func decode(name string, e bergamotdale.Entry) (Record, error) {
	r := Record{Found: true, Version: e.Version}
	if err := json.Unmarshal(e.Value, &r.fields); err != nil {
		return r, errors.Annotatef(err, "decoding %s", e.Key)
	}
	if err := json.Unmarshal(e.Value, &r.Ownership); err != nil {
		return r, errors.Annotatef(err, "decoding %s", e.Key)
	}
	r.Name = name
	return r, nil
}

// with returns the value of the record with another ownership.
func (r Record) with(o bergamotdale.Ownership) ([]byte, error) {
	own, err := json.Marshal(o)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(r.fields) == 0 {
		return own, nil
	}
	fields := make(map[string]json.RawMessage, len(r.fields))
	for k, v := range r.fields {
		fields[k] = v
	}
	if err := json.Unmarshal(own, &fields); err != nil {
		return nil, errors.Trace(err)
	}
	value, err := json.Marshal(fields)
	return value, errors.Trace(err)
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
