// Package encoder writes completions in the format of the chat completions API:
// as one object, or as server-sent events. The id of an event is the position
// after it, which a client that reconnects sends as Last-Event-ID.
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

// Completion is what the format of a response depends on.
type Completion struct {
	RequestID string
	Model     string
	Created   time.Time
	// IncludeUsage adds an event with the token counts.
	IncludeUsage bool
}

// Chunk is an object of the chat completions API: a chunk of a stream or a
// whole completion.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	// Integrity is an extension; clients that know it can check that nothing
	// is missing.
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

// integrity closes a response: the number of its tokens and their checksum.
type integrity struct {
	Length   int    `json:"length"`
	Checksum string `json:"checksum"`
}

// usageOf returns the token counts of a complete stream.
func usageOf(end bergamotdale.Frame) *usage {
	return &usage{
		PromptTokens:        end.PromptTokens,
		CompletionTokens:    end.Length,
		TotalTokens:         end.PromptTokens + end.Length,
		PromptTokensDetails: promptDetails{CachedTokens: end.CachedTokens},
	}
}

// chunk returns an object with the fields that all objects of a completion
// share.
func (c Completion) chunk(object string, choices ...choice) Chunk {
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

// Object returns a whole completion.
func (c Completion) Object(text string, end bergamotdale.Frame) Chunk {
	object := c.chunk("chat.completion", choice{
		Message:      &chatMessage{Role: "assistant", Content: text},
		FinishReason: &end.FinishReason,
	})
	object.Usage = usageOf(end)
	object.Integrity = &integrity{Length: end.Length, Checksum: end.Checksum}
	return object
}

// EventID returns the id of the event that ends at the position.
func EventID(p streamer.Position) string {
	return strconv.Itoa(p.Offset) + ":" + p.Checksum.String()
}

// EventWriter writes the events of one completion. Its methods report whether
// the client is still there.
type EventWriter struct {
	writer     io.Writer
	completion Completion
	// known is the number of tokens that the client has already.
	known   int
	started bool
	// position follows the tokens of the backend, which may start before the
	// tokens that the client still needs.
	position streamer.Position
}

// NewEventWriter returns a writer for the frames from the position on. Tokens
// below known are not sent again.
func NewEventWriter(w io.Writer, c Completion, p streamer.Position, known int) *EventWriter {
	return &EventWriter{writer: w, completion: c, position: p, known: known}
}

// Heartbeat writes a comment without an empty line after it: some client
// libraries treat an empty line as an event without data.
func (e *EventWriter) Heartbeat() bool {
	_, err := io.WriteString(e.writer, ": heartbeat\n")
	e.flush()
	return err == nil
}

// Data writes the new tokens of a frame.
func (e *EventWriter) Data(f bergamotdale.Frame) bool {
	e.position = e.position.Add(f.Tokens...)
	known := min(max(e.known-f.Offset, 0), len(f.Tokens))
	if known == len(f.Tokens) {
		return true
	}
	delta := &chatMessage{Content: strings.Join(f.Tokens[known:], "")}
	if !e.started {
		delta.Role = "assistant"
		e.started = true
	}
	return e.write(e.completion.chunk("chat.completion.chunk", choice{Delta: delta}))
}

// End writes the end of a complete response.
func (e *EventWriter) End(f bergamotdale.Frame) {
	last := e.completion.chunk("chat.completion.chunk", choice{Delta: &chatMessage{}, FinishReason: &f.FinishReason})
	last.Integrity = &integrity{Length: f.Length, Checksum: f.Checksum}
	e.write(last)
	if e.completion.IncludeUsage {
		counts := e.completion.chunk("chat.completion.chunk")
		counts.Usage = usageOf(f)
		e.write(counts)
	}
	_, _ = io.WriteString(e.writer, "data: [DONE]\n\n")
	e.flush()
}

// Refusal ends a stream whose status has already been sent.
func (e *EventWriter) Refusal(body any) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(e.writer, "event: error\ndata: %s\n\n", data)
	e.flush()
}

func (e *EventWriter) write(c Chunk) bool {
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
