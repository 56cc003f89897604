package bergamotdale

// FrameKind is the kind of a frame.
type FrameKind string

const (
	// FrameData carries generated tokens.
	FrameData FrameKind = "data"
	// FrameHeartbeat shows that the stream is alive while no token is ready.
	FrameHeartbeat FrameKind = "heartbeat"
	// FrameEnd is the last frame of a complete stream.
	FrameEnd FrameKind = "end"
	// FrameRefusal is the last frame of a stream that is not completed.
	FrameRefusal FrameKind = "refusal"
)

// Frame is one message of a token stream between an engine and a router or between
// two routers. Routers exchange frames as lines of JSON.
type Frame struct {
	RequestID string    `json:"request-id"`
	Kind      FrameKind `json:"kind"`
	// Offset is the number of tokens before this frame. Data frames of one
	// stream are contiguous: the next offset is Offset + len(Tokens).
	Offset int `json:"offset"`
	// Tokens holds the text of the generated tokens, one string for each token.
	Tokens []string `json:"tokens,omitempty"`
	// Length is the number of tokens of the complete stream; set in FrameEnd.
	Length int `json:"length,omitempty"`
	// Checksum is the checksum of all tokens in order; set in FrameEnd.
	Checksum string `json:"checksum,omitempty"`
	// FinishReason is the finish_reason of the chat completions API.
	FinishReason string `json:"finish-reason,omitempty"`
	// PromptTokens is the number of tokens of the prompt and CachedTokens the number
	// of these that the engine had cached; set in FrameEnd.
	PromptTokens int `json:"prompt-tokens,omitempty"`
	CachedTokens int `json:"cached-tokens,omitempty"`
	// Refusal is set in FrameRefusal.
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
	// Redirect is set only in messages between routers.
	Redirect *Redirect `json:"redirect,omitempty"`
}

// FrameStream is a stream of frames that is received from an engine or a router.
type FrameStream interface {
	// Next returns the next frame. It returns io.EOF after a FrameEnd or
	// FrameRefusal, and another error if the stream was cut.
	Next() (Frame, error)
	// Close ends the stream, also before its last frame, and releases its
	// connection.
	Close() error
}
