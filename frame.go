package bergamotdale

// FrameKind tells what a frame carries.
type FrameKind string

const (
	// FrameData carries generated tokens.
	FrameData FrameKind = "data"
	// FrameHeartbeat shows that the stream is alive while no token is ready.
	FrameHeartbeat FrameKind = "heartbeat"
	// FrameEnd closes a complete stream.
	FrameEnd FrameKind = "end"
	// FrameRefusal closes a stream that will not be completed.
	FrameRefusal FrameKind = "refusal"
)

// Frame is one line of a stream between two hops.
type Frame struct {
	RequestID string    `json:"request-id"`
	Kind      FrameKind `json:"kind"`
	// Offset is the number of tokens before this frame. Data frames of one
	// stream are contiguous: the next offset is Offset + len(Tokens).
	Offset int `json:"offset"`
	// Tokens holds the text of the generated tokens, one string each.
	Tokens []string `json:"tokens,omitempty"`
	// Length is the number of tokens of the whole stream; set on FrameEnd.
	Length int `json:"length,omitempty"`
	// Checksum covers all tokens in order; set on FrameEnd.
	Checksum string `json:"checksum,omitempty"`
	// FinishReason is the finish_reason of the chat completions API.
	FinishReason string `json:"finish-reason,omitempty"`
	// PromptTokens and CachedTokens are the usage of the prompt; set on FrameEnd.
	PromptTokens int `json:"prompt-tokens,omitempty"`
	CachedTokens int `json:"cached-tokens,omitempty"`
	// Refusal is set on FrameRefusal.
	Refusal *WireRefusal `json:"refusal,omitempty"`
}

// WireRefusal is the JSON form of a Refusal.
type WireRefusal struct {
	Code      Code    `json:"code"`
	Name      string  `json:"name"`
	Message   string  `json:"message"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request-id,omitempty"`
	// RetryAfterMS is the time in milliseconds after which a retry can succeed.
	RetryAfterMS int64 `json:"retry-after-ms,omitempty"`
	// Redirect is set between routers only.
	Redirect *Redirect `json:"redirect,omitempty"`
}

// FrameStream is a sequence of frames from the next hop.
type FrameStream interface {
	// Next returns the next frame. It returns io.EOF after a FrameEnd or
	// FrameRefusal and another error where the stream was cut.
	Next() (Frame, error)
	// Close ends the stream early and releases its connection.
	Close() error
}
