package bergamotdale

import (
	"encoding/json"
	"time"
)

// Completion is a validated chat completion request. The entry router builds
// it once; it crosses to the owner of the endpoint unchanged, but for Endpoint,
// ResumeFrom and Attempt.
type Completion struct {
	RequestID     string `json:"request-id"`
	Workspace     string `json:"workspace"`
	Chat          string `json:"chat"`
	PriorityClass string `json:"priority-class"`
	Model         string `json:"model"`
	// Fingerprint is the hash of workspace, model and body.
	Fingerprint string `json:"fingerprint"`
	// Body is the JSON body as the client sent it.
	Body json.RawMessage `json:"body"`
	// PromptTokens is an estimate, in tokens.
	PromptTokens int `json:"prompt-tokens"`
	// MaxTokens is the largest number of tokens to generate.
	MaxTokens int `json:"max-tokens"`
	// ResumeFrom is the number of tokens that the client already has, and
	// ResumeChecksum covers them.
	ResumeFrom     int    `json:"resume-from,omitempty"`
	ResumeChecksum string `json:"resume-checksum,omitempty"`
	// Endpoint is the engine that the entry router chose.
	Endpoint string `json:"endpoint,omitempty"`
	// Attempt counts from zero.
	Attempt int `json:"attempt,omitempty"`
	// Revision is the configuration revision that admitted the request.
	Revision int64 `json:"revision"`
}

// StreamID names the stream of the completion inside the fleet and at engines.
// Request IDs are unique only within a workspace, and a client may use one
// twice with different bodies.
func (c Completion) StreamID() string {
	return c.Workspace + "/" + c.RequestID + "/" + c.Fingerprint
}

// Event returns an event of the request for the timeline.
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
	// Key is the client's idempotency key; empty only for idempotent calls.
	Key string `json:"key,omitempty"`
	// Fingerprint is the hash of workspace, service, call and body.
	Fingerprint string          `json:"fingerprint"`
	Body        json.RawMessage `json:"body,omitempty"`
	Revision    int64           `json:"revision"`
}

// Event returns an event of the call for the timeline.
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
