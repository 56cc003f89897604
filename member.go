package bergamotdale

import "time"

// MemberState is what a router believes about another router.
type MemberState string

const (
	// MemberAlive answers probes.
	MemberAlive MemberState = "alive"
	// MemberSuspect missed a probe and has not refuted the suspicion yet.
	MemberSuspect MemberState = "suspect"
	// MemberDraining is stopping and takes no new ownership.
	MemberDraining MemberState = "draining"
	// MemberDead did not refute a suspicion in time.
	MemberDead MemberState = "dead"
	// MemberLeft stopped after a complete drain.
	MemberLeft MemberState = "left"
)

// Member is a router of the fleet as seen by one router.
type Member struct {
	// ID is the name from the settings; unique in the fleet.
	ID string `json:"id"`
	// Address is the host:port of the peer listener.
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
	// Incarnation is larger after each restart of the process; the process
	// also raises it to refute a suspicion.
	Incarnation int64       `json:"incarnation"`
	State       MemberState `json:"state"`
}

// NewMember returns the member that a process starting at the time is.
func NewMember(id, address, failureDomain string, start time.Time) Member {
	return Member{
		ID: id, Address: address, FailureDomain: failureDomain, Incarnation: start.UnixNano(), State: MemberAlive,
	}
}

// Ownership is who admits work to an endpoint or owns a shard.
type Ownership struct {
	// Name is the endpoint name, or "shard/<n>".
	Name string `json:"name"`
	// Owner is the ID of a router and Session its lease.
	Owner   string  `json:"owner"`
	Address string  `json:"address"`
	Session LeaseID `json:"session"`
	// Epoch rises by one with each change of owner.
	Epoch int64 `json:"epoch"`
	// Nonce tells the writer of a record apart after an ambiguous write.
	Nonce string `json:"nonce"`
}
