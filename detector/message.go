package detector

import (
	"encoding/json"

	"github.com/bergamotdale/bergamotdale/disseminator"
)

const (
	// PingPath is the path of a PingRequest below /peer/v1/.
	PingPath = "ping"
	// IndirectPath is the path of an IndirectRequest.
	IndirectPath = "ping-request"
)

// PingRequest is a probe with piggybacked updates.
type PingRequest struct {
	From disseminator.MemberUpdate `json:"from"`
	// Revision is the configuration revision that the sender has in force.
	Revision int64 `json:"revision,omitempty"`
	// StoreContact is the latest contact with the store that the sender knows
	// of, its own or another router's; nil without any.
	StoreContact *disseminator.StoreContact  `json:"store-contact,omitempty"`
	Members      []disseminator.MemberUpdate `json:"members,omitempty"`
	Rumours      []disseminator.Rumour       `json:"rumours,omitempty"`
	// Sync asks for a page of all that the receiver knows, after the cursor.
	Sync  bool   `json:"sync,omitempty"`
	After string `json:"after,omitempty"`
}

// PingResponse acknowledges a probe. Members, Rumours and the page share the
// limit of
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

// IndirectRequest asks the receiver to probe a target that the sender does
// not reach.
type IndirectRequest struct {
	From    disseminator.MemberUpdate   `json:"from"`
	Target  disseminator.MemberUpdate   `json:"target"`
	Members []disseminator.MemberUpdate `json:"members,omitempty"`
	Rumours []disseminator.Rumour       `json:"rumours,omitempty"`
}

// IndirectResponse tells whether the target responded.
type IndirectResponse struct {
	From    disseminator.MemberUpdate   `json:"from"`
	Reached bool                        `json:"reached"`
	Target  *disseminator.MemberUpdate  `json:"target,omitempty"`
	Members []disseminator.MemberUpdate `json:"members,omitempty"`
	Rumours []disseminator.Rumour       `json:"rumours,omitempty"`
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
