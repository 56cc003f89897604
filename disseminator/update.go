package disseminator

import "github.com/bergamotdale/bergamotdale"

// MaxPiggyback is the maximum number of member and rumour updates in one message.
// With about four messages a second per router it bounds the traffic of a router,
// however many members join, fail or leave.
const MaxPiggyback = 16

// MemberUpdate is the state of a member in the form that messages carry.
type MemberUpdate struct {
	ID string `json:"id"`
	// Address and FailureDomain are empty in updates that say that a member is
	// suspect, dead or left, because a router that does not know such a member has
	// no use for them.
	Address       string                   `json:"address,omitempty"`
	FailureDomain string                   `json:"failure-domain,omitempty"`
	Incarnation   int64                    `json:"incarnation"`
	State         bergamotdale.MemberState `json:"state"`
	// Draining stays true while a draining member is suspected.
	Draining bool `json:"draining,omitempty"`
}

// NewMemberUpdate returns the update that describes a member.
func NewMemberUpdate(m bergamotdale.Member) MemberUpdate {
	return MemberUpdate{
		ID: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, Incarnation: m.Incarnation, State: m.State,
		Draining: m.State == bergamotdale.MemberDraining,
	}
}

// Member returns the member that the update describes.
func (u MemberUpdate) Member() bergamotdale.Member {
	return bergamotdale.Member{
		ID: u.ID, Address: u.Address, FailureDomain: u.FailureDomain, Incarnation: u.Incarnation, State: u.State,
	}
}

// withoutAddress returns the update without the address and failure domain if the
// member is suspect, dead or left.
func (u MemberUpdate) withoutAddress() MemberUpdate {
	if precedence(u.State) >= precedence(bergamotdale.MemberSuspect) {
		u.Address = ""
		u.FailureDomain = ""
	}
	return u
}

// Rumour is a short-lived key-value fact that gossip spreads to the whole fleet,
// for example that an endpoint is draining.
type Rumour struct {
	Key   string `json:"key"`
	Value string `json:"value"`
	// Version orders the values of one key; the highest wins.
	Version int64 `json:"version"`
	// TTLMS is the remaining lifetime in milliseconds when the message was
	// sent. It is a duration because the clocks of VMs differ.
	TTLMS int64 `json:"ttl-ms"`
}
