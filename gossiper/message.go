package gossiper

import (
	"encoding/json"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// PingPath is the path of a PingRequest below /peer/v1/.
	PingPath = "ping"
	// IndirectPath is the path of an IndirectRequest.
	IndirectPath = "ping-request"
	// MaxPiggyback bounds the member and rumour updates of one message. With
	// about four messages a second and node it bounds the traffic of a node
	// during any churn.
	MaxPiggyback = 16
)

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

// member returns the update as a member.
func (u MemberUpdate) member() bergamotdale.Member {
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

// PingRequest is a probe with piggybacked updates.
type PingRequest struct {
	From MemberUpdate `json:"from"`
	// Revision is the configuration revision that the sender has in force.
	Revision int64 `json:"revision,omitempty"`
	// StoreAgeMS is the time since the latest contact with the store that the
	// sender knows of, its own or another router's; -1 without any.
	StoreAgeMS int64          `json:"store-age-ms"`
	Members    []MemberUpdate `json:"members,omitempty"`
	Rumours    []Rumour       `json:"rumours,omitempty"`
	// Sync asks for a page of all that the receiver knows, after the cursor.
	Sync  bool   `json:"sync,omitempty"`
	After string `json:"after,omitempty"`
}

// PingResponse acknowledges a probe. Members, Rumours and the page share the
// limit of MaxPiggyback.
type PingResponse struct {
	From MemberUpdate `json:"from"`
	// Revision is the configuration revision that the sender has in force.
	Revision   int64          `json:"revision,omitempty"`
	StoreAgeMS int64          `json:"store-age-ms"`
	Members    []MemberUpdate `json:"members,omitempty"`
	Rumours    []Rumour       `json:"rumours,omitempty"`
	// Next is the cursor of the next page, empty after the last one.
	Next string `json:"next,omitempty"`
}

// IndirectRequest asks the receiver to probe a target that the sender does
// not reach.
type IndirectRequest struct {
	From    MemberUpdate   `json:"from"`
	Target  MemberUpdate   `json:"target"`
	Members []MemberUpdate `json:"members,omitempty"`
	Rumours []Rumour       `json:"rumours,omitempty"`
}

// IndirectResponse tells whether the target responded.
type IndirectResponse struct {
	From    MemberUpdate   `json:"from"`
	Reached bool           `json:"reached"`
	Target  *MemberUpdate  `json:"target,omitempty"`
	Members []MemberUpdate `json:"members,omitempty"`
	Rumours []Rumour       `json:"rumours,omitempty"`
}

// wireSize returns the length of the JSON form of a message. Failures of the
// encoder are impossible for these types.
func wireSize(message any) int64 {
	body, err := json.Marshal(message)
	if err != nil {
		return 0
	}
	return int64(len(body))
}
