package bergamotdale

import "time"

// Event is one entry of the timeline.
type Event struct {
	Time time.Time `json:"time"`
	// Process is the name of the router that recorded the event.
	Process string `json:"process"`
	// Sequence rises by one for each event of a process.
	Sequence uint64 `json:"sequence"`
	// Kind is a kebab-case name such as "request-accepted".
	Kind      string `json:"kind"`
	RequestID string `json:"request-id,omitempty"`
	Chat      string `json:"chat,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Endpoint  string `json:"endpoint,omitempty"`
	// Detail explains the event in one sentence.
	Detail string `json:"detail,omitempty"`
	// Code is set on refusals.
	Code Code `json:"code,omitempty"`
	// Revision is the configuration revision in force.
	Revision int64 `json:"revision,omitempty"`
	Epoch    int64 `json:"epoch,omitempty"`
}

// Recorder keeps the events of a process. It never blocks the caller.
type Recorder interface {
	Record(e Event)
}
