package quoter

import "time"

// Path is the peer path on which entry routers request grants from a holder.
const Path = "quota"

// GrantRequest requests tokens for one workspace at an entry router.
type GrantRequest struct {
	Workspace string `json:"workspace"`
	// Rate is the average demand in tokens per second.
	Rate float64 `json:"rate"`
	// Need is the number of tokens that all waiting requests together lack.
	// MinNeed is the number that the cheapest of them lacks.
	Need    float64 `json:"need,omitempty"`
	MinNeed float64 `json:"least,omitempty"`
}

// Request is a batch of the grant requests that a router has for one holder.
type Request struct {
	Router        string         `json:"router"`
	GrantRequests []GrantRequest `json:"asks"`
}

// GrantResponse is the holder's response to one GrantRequest.
type GrantResponse struct {
	Workspace string  `json:"workspace"`
	Tokens    float64 `json:"tokens,omitempty"`
	// TTLMS is the time in milliseconds within which the tokens can be spent.
	TTLMS int64 `json:"ttl-ms,omitempty"`
	// RetryMS is the time in milliseconds until the holder has the needed
	// tokens. It is zero after a grant.
	RetryMS int64 `json:"retry-ms,omitempty"`
}

// Response holds one GrantResponse for each GrantRequest of a Request.
type Response struct {
	GrantResponses []GrantResponse `json:"replies"`
}

// milliseconds rounds up, so that a wait never ends too early.
func milliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}
