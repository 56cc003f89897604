// Package encoder encodes completions in the format of the chat completions API:
// as one JSON object, or as a stream of server-sent events.
//
// The id of an event is the position in the stream of tokens after the event. A
// client that reconnects sends the last id as Last-Event-ID, so that the stream
// resumes at that position.
package encoder

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/streamer"
)

// Completion holds the metadata of a completion that its encoded form contains,
// and the options of the encoding.
type Completion struct {
	RequestID string
	Model     string
	Created   time.Time
	// IncludeUsage adds an event with the token counts to a stream.
	IncludeUsage bool
}

// Chunk is a response object of the chat completions API: a chunk of a stream or
// a whole completion.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	// Integrity is an extension of the API. Clients that support it can check
	// that no token is missing.
	Integrity *integrity `json:"bergamotdale,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// integrity holds the number of tokens of a complete response and their checksum.
type integrity struct {
	Length   int    `json:"length"`
	Checksum string `json:"checksum"`
}

// newUsage returns the token counts from the last frame of a complete stream.
func newUsage(end bergamotdale.Frame) *usage {
	return &usage{
		PromptTokens:        end.PromptTokens,
		CompletionTokens:    end.Length,
		TotalTokens:         end.PromptTokens + end.Length,
		PromptTokensDetails: promptDetails{CachedTokens: end.CachedTokens},
	}
}

// newChunk returns an object with the choices and with the fields that are the
// same in all objects of a completion.
func (c Completion) newChunk(object string, choices ...choice) Chunk {
	if choices == nil {
		choices = []choice{}
	}
	return Chunk{
		ID:      "chatcmpl-" + c.RequestID,
		Object:  object,
		Created: c.Created.Unix(),
		Model:   c.Model,
		Choices: choices,
	}
}

// Object returns the whole completion as one object. The end is the last frame of
// the stream.
func (c Completion) Object(text string, end bergamotdale.Frame) Chunk {
	object := c.newChunk("chat.completion", choice{
		Message:      &chatMessage{Role: "assistant", Content: text},
		FinishReason: &end.FinishReason,
	})
	object.Usage = newUsage(end)
	object.Integrity = &integrity{Length: end.Length, Checksum: end.Checksum}
	return object
}

// EventID returns the id of the event that ends at the position, in the form
// offset:checksum.
func EventID(p streamer.Position) string {
	return strconv.Itoa(p.Offset) + ":" + p.Checksum.String()
}

// EventWriter writes one completion as server-sent events and flushes each of
// them. Methods that return a bool report whether the write succeeded; it fails if
// the client has disconnected.
type EventWriter struct {
	writer     io.Writer
	completion Completion
	// receivedTokens is the number of tokens that the client has already
	// received.
	receivedTokens int
	// roleSent reports whether an event with the role of the message was written.
	roleSent bool
	// position is the position after the last token from the backend. The
	// backend may start before the first token that the client still needs.
	position streamer.Position
}

// NewEventWriter returns a writer for the frames that start at the position. The
// first receivedTokens tokens of the completion are not sent again.
func NewEventWriter(w io.Writer, c Completion, p streamer.Position, receivedTokens int) *EventWriter {
	return &EventWriter{writer: w, completion: c, position: p, receivedTokens: receivedTokens}
}

// WriteHeartbeat writes a comment line, which clients ignore. No empty line follows
// it, because some client libraries treat an empty line as an event without data.
func (e *EventWriter) WriteHeartbeat() bool {
	_, err := io.WriteString(e.writer, ": heartbeat\n")
	e.flush()
	return err == nil
}

// WriteData writes the tokens of a data frame that the client has not received. It
// writes nothing if there are none.
func (e *EventWriter) WriteData(f bergamotdale.Frame) bool {
	e.position = e.position.Add(f.Tokens...)
	skipped := min(max(e.receivedTokens-f.Offset, 0), len(f.Tokens))
	if skipped == len(f.Tokens) {
		return true
	}
	delta := &chatMessage{Content: strings.Join(f.Tokens[skipped:], "")}
	if !e.roleSent {
		delta.Role = "assistant"
		e.roleSent = true
	}
	return e.writeChunk(e.completion.newChunk("chat.completion.chunk", choice{Delta: delta}))
}

// WriteEnd writes the last events of a complete response: the finish reason with
// the integrity data, the token counts if requested, and the [DONE] marker.
func (e *EventWriter) WriteEnd(f bergamotdale.Frame) {
	finish := e.completion.newChunk("chat.completion.chunk", choice{Delta: &chatMessage{}, FinishReason: &f.FinishReason})
	finish.Integrity = &integrity{Length: f.Length, Checksum: f.Checksum}
	e.writeChunk(finish)
	if e.completion.IncludeUsage {
		usageChunk := e.completion.newChunk("chat.completion.chunk")
		usageChunk.Usage = newUsage(f)
		e.writeChunk(usageChunk)
	}
	_, _ = io.WriteString(e.writer, "data: [DONE]\n\n")
	e.flush()
}

// WriteError ends the stream with an error event that holds the body as JSON. It is
// for errors that occur after the HTTP status has been sent.
func (e *EventWriter) WriteError(body any) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(e.writer, "event: error\ndata: %s\n\n", data)
	e.flush()
}

func (e *EventWriter) writeChunk(c Chunk) bool {
	data, err := json.Marshal(c)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(e.writer, "id: %s\ndata: %s\n\n", EventID(e.position), data)
	e.flush()
	return err == nil
}

func (e *EventWriter) flush() {
	if f, ok := e.writer.(http.Flusher); ok {
		f.Flush()
	}
}
