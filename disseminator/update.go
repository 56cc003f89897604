package disseminator

import "github.com/bergamotdale/bergamotdale"

// MaxPiggyback bounds the member and rumour updates of one message. With
// about four messages a second and node it bounds the traffic of a node during
// any churn.
const MaxPiggyback = 16

// MemberUpdate is the state of a member as it travels between routers.
type MemberUpdate struct {
	ID string `json:"id"`
	// Address and FailureDomain are left out of news that a member is suspect,
	// dead or gone: whoever does not know the member has no use for it.
	Address       string                   `json:"address,omitempty"`
	FailureDomain string                   `json:"failure-domain,omitempty"`
	Incarnation   int64                    `json:"incarnation"`
	State         bergamotdale.MemberState `json:"state"`
	// Draining stays true while a draining member is suspected.
	Draining bool `json:"draining,omitempty"`
}

// Update returns the member as an update.
func Update(m bergamotdale.Member) MemberUpdate {
	return MemberUpdate{
		ID: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, Incarnation: m.Incarnation, State: m.State,
		Draining: m.State == bergamotdale.MemberDraining,
	}
}

// Member returns the update as a member.
func (u MemberUpdate) Member() bergamotdale.Member {
	return bergamotdale.Member{
		ID: u.ID, Address: u.Address, FailureDomain: u.FailureDomain, Incarnation: u.Incarnation, State: u.State,
	}
}

// brief returns the update without what only a live member needs.
func (u MemberUpdate) brief() MemberUpdate {
	if rank(u.State) >= rank(bergamotdale.MemberSuspect) {
		u.Address = ""
		u.FailureDomain = ""
	}
	return u
}

// Rumour is a short-lived fact known to the whole fleet, for example the
// draining mark of an endpoint.
type Rumour struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	// Version orders the values of one key; the highest wins.
	Version int64 `json:"version"`
	// TTLMS is the remaining lifetime in milliseconds when the message was
	// sent. It is relative because the clocks of VMs differ.
	TTLMS int64 `json:"ttl-ms"`
}
