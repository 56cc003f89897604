package bergamotdale

import "time"

// MemberState is the state of a router as another router sees it.
type MemberState string

const (
	// MemberAlive is the state of a router that answers probes.
	MemberAlive MemberState = "alive"
	// MemberSuspect is the state of a router that missed a probe and has not yet
	// refuted the suspicion.
	MemberSuspect MemberState = "suspect"
	// MemberDraining is the state of a router that is stopping and takes no new
	// ownership.
	MemberDraining MemberState = "draining"
	// MemberDead is the state of a router that did not refute a suspicion in time.
	MemberDead MemberState = "dead"
	// MemberLeft is the state of a router that stopped after a complete drain.
	MemberLeft MemberState = "left"
)

// Member is a router of the fleet as seen by one router.
type Member struct {
	// ID is the name of the router in its settings. It is unique in the fleet.
	ID string `json:"id"`
	// Address is the host:port of the peer listener.
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	// Incarnation increases with each restart of the process. The process also
	// increases it to refute a suspicion.
	Incarnation int64       `json:"incarnation"`
	State       MemberState `json:"state"`
}

// NewMember returns the member entry of a process that starts at the given time. The
// start time is the first incarnation, so that it is larger after a restart.
func NewMember(id, address, failureDomain string, start time.Time) Member {
	return Member{
		ID: id, Address: address, FailureDomain: failureDomain, Incarnation: start.UnixNano(), State: MemberAlive,
	}
}

// Ownership is the record of the router that owns an endpoint or a shard. Only the
// owner of an endpoint admits requests to it.
type Ownership struct {
	// Name is the endpoint name, or "shard/<n>".
	Name string `json:"name"`
	// Owner is the ID of the owning router, Address its address and Session the
	// lease to which the ownership is bound.
	Owner   string  `json:"owner"`
	Address string  `json:"address"`
	Session LeaseID `json:"session"`
	// Epoch increases with each change of owner, by one within an era of the store. Its
	// upper half is the era, so that epochs that a restore has lost are not given out
	// again.
	Epoch int64 `json:"epoch"`
	// Nonce identifies the write of the record, so that a router whose write got no
	// response can tell whether the stored record is its own.
	Nonce string `json:"nonce"`
}
