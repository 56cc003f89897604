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

// EngineRequest asks an engine for a completion.
type EngineRequest struct {
	RequestID string
	// Body is the JSON body of the chat completions API as the client sent it.
	Body json.RawMessage
	// Priority is lower for work that the engine should serve first.
	Priority int
	// ResumeFrom is the number of tokens that the client already has.
	ResumeFrom int
}

// EngineLoad is a load report of an engine. It lags behind the truth.
type EngineLoad struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is the number of requests that the engine batches at once.
	Slots int `json:"slots"`
	// CacheTokens and CacheCapacity are in tokens.
	CacheTokens   int `json:"cache-tokens"`
	CacheCapacity int `json:"cache-capacity"`
	// AgeMS is the age of the report in milliseconds when it was sent.
	AgeMS int64 `json:"age-ms"`
	// Models lists what is loaded, adapters included.
	Models []string `json:"models"`
	Role   string   `json:"role"`
	// Draining is true once the engine has been told to leave.
	Draining bool `json:"draining"`
	// Incarnation changes with each restart of the engine process.
	Incarnation string `json:"incarnation"`
}

// CacheEvent tells that a prefix entered or left an engine's cache.
type CacheEvent struct {
	// Sequence rises by one for each event; a jump shows lost events.
	Sequence int64 `json:"sequence"`
	// Prefix is the hash of the prefix, Tokens its length.
	Prefix  string `json:"prefix"`
	Tokens  int    `json:"tokens"`
	Evicted bool   `json:"evicted"`
}

// CommandKind names what a command changes at an engine.
type CommandKind string

const (
	// CommandLoad loads a model or adapter version.
	CommandLoad CommandKind = "load"
	// CommandUnload unloads a model or adapter.
	CommandUnload CommandKind = "unload"
	// CommandRole changes the engine's role.
	CommandRole CommandKind = "role"
)

// Command states a desired state of an engine. Commands are idempotent, so
// that an engine that ignores fencing tokens can be corrected by repetition.
type Command struct {
	Kind    CommandKind `json:"kind"`
	Target  string      `json:"target"`
	Version string      `json:"version,omitempty"`
	// FencingToken is the epoch of the owner that sends the command.
	FencingToken int64 `json:"fencing-token"`
}

// Engine is a model engine. Address is host:port.
type Engine interface {
	// Complete opens a token stream. A *Refusal with OutcomeNotRun is returned
	// only for an explicit refusal or when no byte was sent.
	Complete(ctx context.Context, address string, r EngineRequest) (FrameStream, error)
	// Cancel stops a request; the tokens generated so far stay resumable.
	Cancel(ctx context.Context, address, requestID string) error
	// Load returns the latest load report.
	Load(ctx context.Context, address string) (EngineLoad, error)
	// CacheEvents returns events after the sequence number.
	CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error)
	// Send gives the engine a command.
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

// Service is a plain service. Address is host:port.
type Service interface {
	// Call executes a call. A *Refusal with OutcomeNotRun is returned only for
	// an explicit refusal or when no byte was sent.
	Call(ctx context.Context, address string, r ServiceRequest) (ServiceResponse, error)
}
