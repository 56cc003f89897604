package elector

import (
	"encoding/json"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/claimer"
)

const (
	// HandoverPath is the path of a HandoverRequest, relative to /peer/v1/.
	HandoverPath = "handover"
	// ClaimNoticePath is the path of a ClaimNotice, relative to /peer/v1/.
	ClaimNoticePath = "claim-notice"
	// MaxHandoverNames is the maximum number of names in one handover message.
	MaxHandoverNames = 16
	// MaxStateBytes is the maximum size of the state of one name in a handover
	// message.
	MaxStateBytes = 128 << 10
)

// HandoverRequest offers names to their next owner. The sender has stopped
// admitting work to them.
type HandoverRequest struct {
	From  string         `json:"from"`
	Names []HandoverItem `json:"names"`
}

// HandoverItem is one offered name of a HandoverRequest.
type HandoverItem struct {
	Ownership bergamotdale.Ownership `json:"ownership"`
	// Full is true if the sender has ruled out that other routers still put
	// load on the name. Otherwise the new owner starts at the reduced limit,
	// since an earlier owner may still be admitting work.
	Full bool `json:"full"`
	// State is what the new owner needs to continue, for example placement
	// overrides. It may be empty.
	State json.RawMessage `json:"state,omitempty"`
}

// HandoverResult is the result for one offered name.
type HandoverResult struct {
	Name string `json:"name"`
	// Status is claimed if the receiver now owns the name, rejected if this
	// message has not made it the owner and never will, and unknown otherwise.
	Status claimer.Status `json:"status"`
	// Ownership is the new ownership record if the name was claimed.
	Ownership bergamotdale.Ownership `json:"ownership"`
}

// HandoverResponse holds one result per offered name.
type HandoverResponse struct {
	Results []HandoverResult `json:"results"`
}

// ClaimNotice tells the previous owner of a name that another router has claimed
// it.
type ClaimNotice struct {
	Ownership bergamotdale.Ownership `json:"ownership"`
}

// ClaimNoticeResponse holds the highest epoch of the name that the receiver
// knows of.
type ClaimNoticeResponse struct {
	Epoch int64 `json:"epoch"`
}
