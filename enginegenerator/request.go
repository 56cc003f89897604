// Package enginegenerator is the chat completions API of a fake engine: it
// parses requests, generates tokens that depend only on the request body, and
// writes responses as server-sent events or as one JSON document.
package enginegenerator

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/enginecacher"
)

// defaultMaxTokens is the length of a response to a body without one.
const defaultMaxTokens = 16

// Request holds the fields of a body that the engine uses.
type Request struct {
	Model               string                     `json:"model"`
	Messages            []bergamotdale.ChatMessage `json:"messages"`
	MaxTokens           *int                       `json:"max_tokens"`
	MaxCompletionTokens *int                       `json:"max_completion_tokens"`
	Stream              bool                       `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Priority   int `json:"priority"`
	ResumeFrom int `json:"resume_from"`

	// ID is the X-Request-Id header.
	ID string `json:"-"`
	// seed determines the generated tokens.
	seed uint64
	// Length is the number of tokens of the whole response.
	Length int `json:"-"`
	// Prefixes are the message prefixes, shortest first.
	Prefixes []enginecacher.Prefix `json:"-"`
	// Body is the whole body.
	Body []byte `json:"-"`
}

// controlFields don't change the generated tokens.
var controlFields = []string{"stream", "stream_options", "priority", "resume_from"}

// Parse parses the body of the request with the id.
func Parse(id string, body []byte) (*Request, error) {
	r := &Request{ID: id, Body: body, Length: defaultMaxTokens}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, errors.Trace(err)
	}
	if len(r.Messages) == 0 {
		return nil, errors.New("messages is empty")
	}
	if r.MaxTokens != nil {
		r.Length = *r.MaxTokens
	}
	if r.MaxCompletionTokens != nil {
		r.Length = *r.MaxCompletionTokens
	}
	if r.Length < 1 {
		return nil, errors.New("max_tokens is below 1")
	}
	if r.ResumeFrom < 0 || r.ResumeFrom > r.Length {
		return nil, errors.Errorf("resume_from %d is outside of the response of %d tokens", r.ResumeFrom, r.Length)
	}
	var err error
	if r.seed, err = seedOf(body); err != nil {
		return nil, errors.Trace(err)
	}
	for _, m := range r.Messages {
		r.Prefixes = enginecacher.Extend(r.Model, r.Prefixes, m)
	}
	return r, nil
}

// seedOf hashes the body without control fields, independent of white space
// and the order of its fields.
func seedOf(body []byte) (uint64, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return 0, errors.Trace(err)
	}
	for _, f := range controlFields {
		delete(fields, f)
	}
	canonical, err := json.Marshal(fields)
	if err != nil {
		return 0, errors.Trace(err)
	}
	return xxhash.Sum64(canonical), nil
}

// PromptTokens is the length of the prompt.
func (r *Request) PromptTokens() int {
	return r.Prefixes[len(r.Prefixes)-1].Total
}

var words = []string{
	"linen", "press", "steam", "sheet", "towel", "apron", "starch", "fold", "truck", "route", "batch", "order",
	"brush", "broom", "handle", "bristle", "pallet", "crate", "label", "dock", "ledger", "count", "check", "sort",
	"water", "clean", "dry", "iron", "stack", "load", "lift", "pack",
}

// Token returns the text of the token at the offset.
func (r *Request) Token(offset int) string {
	b := strconv.AppendUint(nil, r.seed, 16)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(offset), 10)
	return words[xxhash.Sum64(b)%uint64(len(words))] + " "
}

// Text returns the whole response.
func (r *Request) Text() string {
	b := strings.Builder{}
	for n := range r.Length {
		b.WriteString(r.Token(n))
	}
	return b.String()
}
