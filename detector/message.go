package detector

import (
	"encoding/json"

	"github.com/bergamotdale/bergamotdale/disseminator"
)

const (
	// PingPath is the path of a PingRequest below /peer/v1/.
	PingPath = "ping"
	// IndirectPath is the path of an IndirectRequest below /peer/v1/.
	IndirectPath = "ping-request"
)

// PingRequest is a direct probe with piggybacked updates.
type PingRequest struct {
	From disseminator.MemberUpdate `json:"from"`
	// Revision is the configuration revision that the sender has in force.
	Revision int64 `json:"revision,omitempty"`
	// StoreContact is the latest contact with the store that the sender knows
	// of, its own or another router's, or nil if it knows of none.
	StoreContact *disseminator.StoreContact  `json:"store-contact,omitempty"`
	Members      []disseminator.MemberUpdate `json:"members,omitempty"`
	Rumours      []disseminator.Rumour       `json:"rumours,omitempty"`
	// Sync requests a page of all members and rumours that the receiver knows.
	// After is the cursor after which the page begins.
	Sync  bool   `json:"sync,omitempty"`
	After string `json:"after,omitempty"`
}

// PingResponse acknowledges a PingRequest. Piggybacked updates and the page that
// Sync requests are both in Members and Rumours and share the limit of
// disseminator.MaxPiggyback.
type PingResponse struct {
	From disseminator.MemberUpdate `json:"from"`
	// Revision is the configuration revision that the sender has in force.
	Revision     int64                       `json:"revision,omitempty"`
	StoreContact *disseminator.StoreContact  `json:"store-contact,omitempty"`
	Members      []disseminator.MemberUpdate `json:"members,omitempty"`
	Rumours      []disseminator.Rumour       `json:"rumours,omitempty"`
	// Next is the cursor of the next page, empty after the last one.
	Next string `json:"next,omitempty"`
}

// IndirectRequest asks the receiver to ping a target that did not respond to the
// sender.
type IndirectRequest struct {
	From    disseminator.MemberUpdate   `json:"from"`
	Target  disseminator.MemberUpdate   `json:"target"`
	Members []disseminator.MemberUpdate `json:"members,omitempty"`
	Rumours []disseminator.Rumour       `json:"rumours,omitempty"`
}

// IndirectResponse reports whether the target of an IndirectRequest responded.
type IndirectResponse struct {
	From    disseminator.MemberUpdate   `json:"from"`
	Reached bool                        `json:"reached"`
	Target  *disseminator.MemberUpdate  `json:"target,omitempty"`
	Members []disseminator.MemberUpdate `json:"members,omitempty"`
	Rumours []disseminator.Rumour       `json:"rumours,omitempty"`
}

// wireSize returns the length of the JSON encoding of a message. The encoder
// cannot fail for these types.
func wireSize(message any) int64 {
	body, err := json.Marshal(message)
	if err != nil {
		return 0
	}
	return int64(len(body))
}
