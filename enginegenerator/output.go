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

// finishLength is the finish_reason of a response that has max_tokens tokens.
const finishLength = "length"

// Output receives the response while it is generated.
type Output interface {
	// Heartbeat shows that the request is alive.
	Heartbeat() error
	// Data receives tokens; offset is the number of tokens before them.
	Data(offset int, tokens []string) error
	// End completes the response.
	End(u Usage)
	// Fail ends the response early.
	Fail(r *bergamotdale.Refusal)
}

// Usage is the usage object of the API.
type Usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails is the part of the prompt that was cached.
type UsageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// NewOutput returns the output that the request asks for. The name of the
// engine becomes part of the response.
func NewOutput(w http.ResponseWriter, engine string, r *Request) Output {
	if r.Stream {
		return newEventStream(w, engine, r)
	}
	return &plain{w: w, engine: engine, req: r}
}

// plain collects a response without a stream.
type plain struct {
	w      http.ResponseWriter
	engine string
	req    *Request
}

// completion is the response object of the API.
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

func (p *plain) Heartbeat() error { return nil }

func (p *plain) Data(int, []string) error { return nil }

func (p *plain) End(u Usage) {
	replier.JSON(p.w, http.StatusOK, completion{
		ID: "chatcmpl-" + p.req.ID, Object: "chat.completion", Created: time.Now().Unix(),
		Model: p.req.Model, Engine: p.engine, Usage: u,
		Choices: []choice{{Message: message{"assistant", p.req.Text()}, FinishReason: finishLength}},
	})
}

func (p *plain) Fail(r *bergamotdale.Refusal) {
	replier.Refusal(p.w, r)
}

// eventStream writes a response as server-sent events. The id of an event is
// the number of tokens up to its end: the resume_from of a client that has
// received it.
type eventStream struct {
	w    http.ResponseWriter
	ctl  *http.ResponseController
	req  *Request
	head string
	buf  bytes.Buffer
}

// newEventStream sends the headers, so that the client knows at once that the
// request was accepted.
func newEventStream(w http.ResponseWriter, engine string, req *Request) *eventStream {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	e := &eventStream{w: w, ctl: http.NewResponseController(w), req: req}
	id, _ := json.Marshal("chatcmpl-" + req.ID)
	model, _ := json.Marshal(req.Model)
	name, _ := json.Marshal(engine)
	e.head = fmt.Sprintf(`{"id":%s,"object":"chat.completion.chunk","created":%d,"model":%s,"engine":%s,`,
		id, time.Now().Unix(), model, name)
	_ = e.Heartbeat()
	return e
}

// Heartbeat writes a comment without an empty line after it: openai-go 1.12
// takes an empty line after a comment for an event and fails to parse it.
func (e *eventStream) Heartbeat() error {
	e.buf.WriteString(": heartbeat\n")
	return e.flush()
}

func (e *eventStream) Data(offset int, tokens []string) error {
	for n, t := range tokens {
		role := ""
		if offset+n == 0 {
			role = `"role":"assistant",`
		}
		fmt.Fprintf(&e.buf, "id: %d\ndata: %s\"choices\":[{\"index\":0,\"delta\":{%s\"content\":%q},\"finish_reason\":null}]}\n\n",
			offset+n+1, e.head, role, t)
	}
	return e.flush()
}

func (e *eventStream) End(u Usage) {
	fmt.Fprintf(&e.buf, "data: %s\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":%q}]}\n\n", e.head, finishLength)
	if e.req.StreamOptions.IncludeUsage {
		encoded, _ := json.Marshal(u)
		fmt.Fprintf(&e.buf, "data: %s\"choices\":[],\"checksum\":%q,\"usage\":%s}\n\n", e.head, Checksum(e.req.Text()), encoded)
	}
	e.buf.WriteString("data: [DONE]\n\n")
	_ = e.flush()
}

func (e *eventStream) Fail(r *bergamotdale.Refusal) {
	wire := *r.Wire("")
	wire.RequestID = e.req.ID
	encoded, _ := json.Marshal(wire)
	fmt.Fprintf(&e.buf, "data: {\"error\":%s}\n\n", encoded)
	_ = e.flush()
}

func (e *eventStream) flush() error {
	if e.buf.Len() == 0 {
		return nil
	}
	if _, err := e.w.Write(e.buf.Bytes()); err != nil {
		return errors.Trace(err)
	}
	e.buf.Reset()
	return errors.Trace(e.ctl.Flush())
}

// Checksum returns the checksum of the text of a whole response: its xxHash64
// in 16 hexadecimal digits.
func Checksum(text string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(text))
}
