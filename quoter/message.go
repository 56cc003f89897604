package quoter

import "time"

// Path is the message by which entry routers ask a quota holder for grants.
const Path = "quota"

// Ask is the demand of one workspace at an entry router.
type Ask struct {
	Workspace string `json:"workspace"`
	// Rate is the average demand in tokens per second.
	Rate float64 `json:"rate"`
	// Need is the number of tokens that waiting requests lack, and Least what
	// the smallest of them lacks.
	Need  float64 `json:"need,omitempty"`
	Least float64 `json:"least,omitempty"`
}

// Request holds the asks of a router for the workspaces of one holder.
type Request struct {
	Router string `json:"router"`
	Asks   []Ask  `json:"asks"`
}

// Reply is the response to one ask.
type Reply struct {
	Workspace string  `json:"workspace"`
	Tokens    float64 `json:"tokens,omitempty"`
	// TTLMS is how long the tokens can be spent.
	TTLMS int64 `json:"ttl-ms,omitempty"`
	// RetryMS is when the holder will have what was needed; zero after a grant.
	RetryMS int64 `json:"retry-ms,omitempty"`
}

// Response holds one reply for each ask.
type Response struct {
	Replies []Reply `json:"replies"`
}

// milliseconds rounds up, so that a wait never ends too early.
func milliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}
