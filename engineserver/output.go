package engineserver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/injector"
)

// finishLength is the finish_reason of a response that has max_tokens tokens.
const finishLength = "length"

// plain collects a response without a stream.
type plain struct {
	w      http.ResponseWriter
	server *Server
	req    *chatRequest
}

// completion is the response object of the API.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Engine  string   `json:"engine,omitempty"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
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

func (p *plain) heartbeat() error { return nil }

func (p *plain) data(int, []string) error { return nil }

func (p *plain) end(u usage) {
	injector.WriteJSON(p.w, http.StatusOK, completion{
		ID: "chatcmpl-" + p.req.id, Object: "chat.completion", Created: time.Now().Unix(),
		Model: p.req.Model, Engine: p.server.Name, Usage: u,
		Choices: []choice{{Message: message{"assistant", p.req.text()}, FinishReason: finishLength}},
	})
}

func (p *plain) fail(r *bergamotdale.Refusal) {
	injector.WriteRefusal(p.w, r)
}

// eventStream writes a response as server-sent events. The id of an event is
// the number of tokens up to its end: the resume_from of a client that has
// received it.
type eventStream struct {
	w    http.ResponseWriter
	ctl  *http.ResponseController
	req  *chatRequest
	head string
	buf  bytes.Buffer
}

// newEventStream sends the headers, so that the client knows at once that the
// request was accepted.
func newEventStream(w http.ResponseWriter, s *Server, req *chatRequest) *eventStream {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	e := &eventStream{w: w, ctl: http.NewResponseController(w), req: req}
	id, _ := json.Marshal("chatcmpl-" + req.id)
	model, _ := json.Marshal(req.Model)
	engine, _ := json.Marshal(s.Name)
	e.head = fmt.Sprintf(`{"id":%s,"object":"chat.completion.chunk","created":%d,"model":%s,"engine":%s,`,
		id, time.Now().Unix(), model, engine)
	_ = e.heartbeat()
	return e
}

func (e *eventStream) heartbeat() error {
	e.buf.WriteString(": heartbeat\n\n")
	return e.flush()
}

func (e *eventStream) data(offset int, tokens []string) error {
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

func (e *eventStream) end(u usage) {
	fmt.Fprintf(&e.buf, "data: %s\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":%q}]}\n\n", e.head, finishLength)
	if e.req.StreamOptions.IncludeUsage {
		encoded, _ := json.Marshal(u)
		fmt.Fprintf(&e.buf, "data: %s\"choices\":[],\"checksum\":%q,\"usage\":%s}\n\n", e.head, Checksum(e.req.text()), encoded)
	}
	e.buf.WriteString("data: [DONE]\n\n")
	_ = e.flush()
}

func (e *eventStream) fail(r *bergamotdale.Refusal) {
	encoded, _ := json.Marshal(bergamotdale.WireRefusal{
		Code: r.Code, Name: r.Code.String(), Message: r.Message, Outcome: r.Outcome, RequestID: e.req.id,
	})
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
