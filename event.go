package bergamotdale

import "time"

// Event is one entry of the timeline, the record of what the routers did to
// requests, endpoints and the configuration.
type Event struct {
	Time time.Time `json:"time"`
	// Process is the name of the router that recorded the event.
	Process string `json:"process"`
	// Sequence increases by one with each event of the process.
	Sequence uint64 `json:"sequence"`
	// Kind is a kebab-case name such as "request-accepted".
	Kind      string `json:"kind"`
	RequestID string `json:"request-id,omitempty"`
	Chat      string `json:"chat,omitempty"`
	Workspace string `json:"workspace,omitempty"`
	Endpoint  string `json:"endpoint,omitempty"`
	// Detail explains the event in one sentence.
	Detail string `json:"detail,omitempty"`
	// Code is the code of a refusal; zero for other events.
	Code Code `json:"code,omitempty"`
	// Revision is the configuration revision in force.
	Revision int64 `json:"revision,omitempty"`
	// Epoch is the epoch of the ownership that the event is about.
	Epoch int64 `json:"epoch,omitempty"`
}

// Recorder stores the events of a process. Record never blocks.
type Recorder interface {
	Record(e Event)
}
