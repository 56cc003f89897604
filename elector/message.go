package elector

import (
	"encoding/json"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/claimer"
)

const (
	// HandoverPath is the path of a HandoverRequest below /peer/v1/.
	HandoverPath = "handover"
	// ClaimNoticePath is the path of a ClaimNotice.
	ClaimNoticePath = "claim-notice"
	// MaxHandover bounds the names of one handover message.
	MaxHandover = 16
	// MaxStateBytes bounds the state of one name in a handover message.
	MaxStateBytes = 128 << 10
)

// HandoverRequest offers names to their next owner. The sender has stopped
// admitting work to them.
type HandoverRequest struct {
	From  string         `json:"from"`
	Names []HandoverItem `json:"names"`
}

// HandoverItem is one name of a handover.
type HandoverItem struct {
	Ownership bergamotdale.Ownership `json:"ownership"`
	// Full is true if the sender had ruled out foreign load. A new owner starts
	// at the reduced limit otherwise: an earlier owner may still admit.
	Full bool `json:"full"`
	// State is what the new owner needs to continue, for example placement
	// overrides. It may be empty.
	State json.RawMessage `json:"state,omitempty"`
}

// HandoverResult is the result of one name.
type HandoverResult struct {
	Name string `json:"name"`
	// Status is claimed if the receiver owns the name now, rejected if it does
	// not and will not because of this message, and unknown otherwise.
	Status claimer.Status `json:"status"`
	// Ownership is the new record of a claimed name.
	Ownership bergamotdale.Ownership `json:"ownership"`
}

// HandoverResponse holds one result per name.
type HandoverResponse struct {
	Results []HandoverResult `json:"results"`
}

// ClaimNotice tells an earlier owner about a new claim.
type ClaimNotice struct {
	Ownership bergamotdale.Ownership `json:"ownership"`
}

// ClaimNoticeResponse holds the highest epoch that the receiver knows.
type ClaimNoticeResponse struct {
	Epoch int64 `json:"epoch"`
}
