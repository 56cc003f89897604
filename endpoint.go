package bergamotdale

import (
	"context"
	"encoding/json"
)

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content,omitempty"`
}

// EngineRequest is a request to an engine for a completion.
type EngineRequest struct {
	RequestID string
	// Body is the JSON body of the chat completions API as the client sent it.
	Body json.RawMessage
	// Priority is the priority at the engine, which serves lower values first.
	Priority int
	// ResumeFrom is the number of tokens that the client already has.
	ResumeFrom int
}

// EngineLoad is a load report of an engine. It is older than the current load, see
// AgeMS.
type EngineLoad struct {
	// Running and Queued are numbers of requests.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is the number of requests that the engine runs in a batch.
	Slots int `json:"slots"`
	// CacheTokens is the number of tokens in the prompt cache and CacheCapacity the
	// size of the cache in tokens.
	CacheTokens   int `json:"cache-tokens"`
	CacheCapacity int `json:"cache-capacity"`
	// AgeMS is the age in milliseconds that the report had when it was sent.
	AgeMS int64 `json:"age-ms"`
	// Models lists the loaded models and adapters.
	Models []string `json:"models"`
	Role   string   `json:"role"`
	// Draining is true after the engine was told to stop.
	Draining bool `json:"draining"`
	// Incarnation changes with each restart of the engine process.
	Incarnation string `json:"incarnation"`
}

// CacheEvent reports that an engine cached or evicted a prompt prefix.
type CacheEvent struct {
	// Sequence increases by one with each event; a gap shows that events were lost.
	Sequence int64 `json:"sequence"`
	// Prefix is the hash of the prefix and Tokens its length.
	Prefix  string `json:"prefix"`
	Tokens  int    `json:"tokens"`
	Evicted bool   `json:"evicted"`
}

// CommandKind is the kind of change that a command makes at an engine.
type CommandKind string

const (
	// CommandLoad loads a model or adapter version.
	CommandLoad CommandKind = "load"
	// CommandUnload unloads a model or adapter.
	CommandUnload CommandKind = "unload"
	// CommandRole changes the engine's role.
	CommandRole CommandKind = "role"
)

// Command sets a part of the state of an engine. Commands are idempotent: if an
// engine that ignores fencing tokens executed a stale command, the owner corrects it
// by sending its own again.
type Command struct {
	Kind    CommandKind `json:"kind"`
	Target  string      `json:"target"`
	Version string      `json:"version,omitempty"`
	// FencingToken is the epoch of the sending owner. An engine that
	// supports fencing rejects a token lower than one that it has seen.
	FencingToken int64 `json:"fencing-token"`
}

// Engine is the client of model engines. The address argument is host:port.
type Engine interface {
	// Complete starts a completion and returns its stream of tokens. It returns a
	// *Refusal with OutcomeNotRun only if the engine refused the request or if no
	// byte of it was sent.
	Complete(ctx context.Context, address string, r EngineRequest) (FrameStream, error)
	// Cancel stops a request. It can be resumed later after the tokens generated so
	// far.
	Cancel(ctx context.Context, address, requestID string) error
	// Load returns the latest load report.
	Load(ctx context.Context, address string) (EngineLoad, error)
	// CacheEvents returns the events with a sequence number above after.
	CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error)
	// Send sends the engine a command.
	Send(ctx context.Context, address string, c Command) error
}

// ServiceRequest is a call of a plain service.
type ServiceRequest struct {
	RequestID      string
	IdempotencyKey string
	Call           string
	Body           json.RawMessage
}

// ServiceResponse is the response of a plain service.
type ServiceResponse struct {
	Status int
	Body   json.RawMessage
}

// Service is the client of plain services. The address argument is host:port.
type Service interface {
	// Call sends a call. It returns a *Refusal with OutcomeNotRun only if the
	// service refused the call or if no byte of it was sent.
	Call(ctx context.Context, address string, r ServiceRequest) (ServiceResponse, error)
}
