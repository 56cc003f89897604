package enginegenerator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/replier"
)

// finishReasonLength is the finish_reason of a response that has max_tokens tokens.
const finishReasonLength = "length"

// Output writes the response to the client while it is generated.
type Output interface {
	// WriteHeartbeat shows the client that the request is still being executed.
	WriteHeartbeat() error
	// WriteTokens writes tokens. offset is the number of tokens of the response
	// that precede them.
	WriteTokens(offset int, tokens []string) error
	// Complete writes the end of a complete response.
	Complete(u Usage)
	// Fail ends an incomplete response with a refusal.
	Fail(refusal *bergamotdale.Refusal)
}

// Usage is the usage object of the chat completions API.
type Usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails is the prompt_tokens_details object of the chat completions API.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// NewOutput returns an output for the format that the request asks for: server-sent
// events or one JSON document. The response includes the name of the engine.
func NewOutput(w http.ResponseWriter, engine string, r *Request) Output {
	if r.Stream {
		return newEventStream(w, engine, r)
	}
	return &jsonOutput{w: w, engine: engine, req: r}
}

// jsonOutput writes the whole response as one JSON document.
type jsonOutput struct {
	w      http.ResponseWriter
	engine string
	req    *Request
}

// completion is the chat completion object of the API.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Engine  string   `json:"engine,omitempty"`
	Choices []choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (j *jsonOutput) WriteHeartbeat() error { return nil }

func (j *jsonOutput) WriteTokens(int, []string) error { return nil }

func (j *jsonOutput) Complete(u Usage) {
	replier.JSON(j.w, http.StatusOK, completion{
		ID: "chatcmpl-" + j.req.ID, Object: "chat.completion", Created: time.Now().Unix(),
		Model: j.req.Model, Engine: j.engine, Usage: u,
		Choices: []choice{{Message: message{"assistant", j.req.Text()}, FinishReason: finishReasonLength}},
	})
}

func (j *jsonOutput) Fail(refusal *bergamotdale.Refusal) {
	replier.Refusal(j.w, refusal)
}

// eventStream writes a response as server-sent events. The id of an event is the
// number of response tokens up to and including that event, which a client that has
// received it sends as resume_from to resume the stream.
type eventStream struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	req        *Request
	// chunkHead is the JSON of the fields that all chunks of the stream start with.
	chunkHead string
	buf       bytes.Buffer
}

// newEventStream sends the response headers and a heartbeat, so that the client
// knows immediately that the request was accepted.
func newEventStream(w http.ResponseWriter, engine string, req *Request) *eventStream {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	e := &eventStream{w: w, controller: http.NewResponseController(w), req: req}
	id, _ := json.Marshal("chatcmpl-" + req.ID)
	model, _ := json.Marshal(req.Model)
	name, _ := json.Marshal(engine)
	e.chunkHead = fmt.Sprintf(`{"id":%s,"object":"chat.completion.chunk","created":%d,"model":%s,"engine":%s,`,
		id, time.Now().Unix(), model, name)
	_ = e.WriteHeartbeat()
	return e
}

// WriteHeartbeat writes a comment without an empty line after it: openai-go 1.12
// treats an empty line after a comment as an event and fails to parse it.
func (e *eventStream) WriteHeartbeat() error {
	e.buf.WriteString(": heartbeat\n")
	return e.flush()
}

func (e *eventStream) WriteTokens(offset int, tokens []string) error {
	for n, t := range tokens {
		role := ""
		if offset+n == 0 {
			role = `"role":"assistant",`
		}
		fmt.Fprintf(&e.buf, "id: %d\ndata: %s\"choices\":[{\"index\":0,\"delta\":{%s\"content\":%q},\"finish_reason\":null}]}\n\n",
			offset+n+1, e.chunkHead, role, t)
	}
	return e.flush()
}

func (e *eventStream) Complete(u Usage) {
	fmt.Fprintf(&e.buf, "data: %s\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":%q}]}\n\n", e.chunkHead, finishReasonLength)
	if e.req.StreamOptions.IncludeUsage {
		encoded, _ := json.Marshal(u)
		fmt.Fprintf(&e.buf, "data: %s\"choices\":[],\"checksum\":%q,\"usage\":%s}\n\n", e.chunkHead, Checksum(e.req.Text()), encoded)
	}
	e.buf.WriteString("data: [DONE]\n\n")
	_ = e.flush()
}

func (e *eventStream) Fail(refusal *bergamotdale.Refusal) {
	wire := *refusal.Wire("")
	wire.RequestID = e.req.ID
	encoded, _ := json.Marshal(wire)
	fmt.Fprintf(&e.buf, "data: {\"error\":%s}\n\n", encoded)
	_ = e.flush()
}

// flush sends the buffered events to the client.
func (e *eventStream) flush() error {
	if e.buf.Len() == 0 {
		return nil
	}
	if _, err := e.w.Write(e.buf.Bytes()); err != nil {
		return errors.Trace(err)
	}
	e.buf.Reset()
	return errors.Trace(e.controller.Flush())
}

// Checksum returns the checksum of the text of a whole response: its xxHash64 as
// 16 hexadecimal digits.
func Checksum(text string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(text))
}
