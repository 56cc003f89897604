package bergamotdale

import (
	"encoding/json"
	"time"
)

// Completion is a validated chat completion request. The entry router creates it
// and sends it to the owner of an endpoint. Between attempts only Endpoint,
// ResumeFrom, ResumeChecksum and Attempt change.
type Completion struct {
	RequestID     string `json:"request-id"`
	Workspace     string `json:"workspace"`
	Chat          string `json:"chat"`
	PriorityClass string `json:"priority-class"`
	Model         string `json:"model"`
	// Fingerprint is the hash of the workspace, the model and the body.
	Fingerprint string `json:"fingerprint"`
	// Body is the JSON body as the client sent it.
	Body json.RawMessage `json:"body"`
	// PromptTokens is the estimated number of tokens of the prompt.
	PromptTokens int `json:"prompt-tokens"`
	// MaxTokens is the maximum number of tokens to generate.
	MaxTokens int `json:"max-tokens"`
	// ResumeFrom is the number of tokens that the client already has, and
	// ResumeChecksum is the checksum of these tokens.
	ResumeFrom     int    `json:"resume-from,omitempty"`
	ResumeChecksum string `json:"resume-checksum,omitempty"`
	// Endpoint is the engine that the entry router chose.
	Endpoint string `json:"endpoint,omitempty"`
	// Attempt is the number of the attempt, counted from zero.
	Attempt int `json:"attempt,omitempty"`
	// Revision is the configuration revision that admitted the request.
	Revision int64 `json:"revision"`
}

// StreamID identifies the stream of the completion in the fleet and at engines. The
// request ID is not enough: it is unique only within a workspace, and a client may
// use it again with a different body.
func (c Completion) StreamID() string {
	return c.Workspace + "/" + c.RequestID + "/" + c.Fingerprint
}

// Event returns a timeline event about the request.
func (c Completion) Event(now time.Time, kind, detail string) Event {
	return Event{
		Time:      now,
		Kind:      kind,
		RequestID: c.RequestID,
		Chat:      c.Chat,
		Workspace: c.Workspace,
		Endpoint:  c.Endpoint,
		Detail:    detail,
		Revision:  c.Revision,
	}
}

// ServiceCall is a validated call of a plain service.
type ServiceCall struct {
	RequestID string `json:"request-id"`
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Call      string `json:"call"`
	// Key is the idempotency key of the client. It is empty only for idempotent
	// calls.
	Key string `json:"key,omitempty"`
	// Fingerprint is the hash of the workspace, the service, the call and the body.
	Fingerprint string          `json:"fingerprint"`
	Body        json.RawMessage `json:"body,omitempty"`
	Revision    int64           `json:"revision"`
}

// Event returns a timeline event about the call.
func (c ServiceCall) Event(now time.Time, kind, endpoint, detail string) Event {
	return Event{
		Time:      now,
		Kind:      kind,
		RequestID: c.RequestID,
		Workspace: c.Workspace,
		Endpoint:  endpoint,
		Detail:    detail,
		Revision:  c.Revision,
	}
}
