// Package enginegenerator implements the chat completions API of a fake model
// engine. It parses requests, generates the tokens of responses, and writes
// responses as server-sent events or as one JSON document. The generated tokens
// depend only on the request body, so every engine generates the same response to a
// request and can resume a stream that another engine started.
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

// defaultMaxTokens is the length of the response if the body sets no maximum.
const defaultMaxTokens = 16

// Request is a parsed chat completion request, with the fields that the engine uses.
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

	// ID is the value of the X-Request-Id header.
	ID string `json:"-"`
	// seed determines the generated tokens.
	seed uint64
	// Length is the number of tokens of the whole response. The engine always
	// generates as many tokens as the request allows.
	Length int `json:"-"`
	// Prefixes are the message prefixes of the prompt, shortest first.
	Prefixes []enginecacher.Prefix `json:"-"`
	// Body is the unparsed request body.
	Body []byte `json:"-"`
}

// controlFields are the fields of a body that do not affect the generated tokens.
var controlFields = []string{"stream", "stream_options", "priority", "resume_from"}

// Parse parses and validates the body of a request with the given X-Request-Id.
func Parse(id string, body []byte) (*Request, error) {
	r := &Request{ID: id, Body: body, Length: defaultMaxTokens}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, errors.Trace(err)
	}
	if len(r.Messages) == 0 {
		return nil, errors.New("the field messages is empty")
	}
	if r.MaxTokens != nil {
		r.Length = *r.MaxTokens
	}
	if r.MaxCompletionTokens != nil {
		r.Length = *r.MaxCompletionTokens
	}
	if r.Length < 1 {
		return nil, errors.Errorf("max_tokens is %d but must be at least 1", r.Length)
	}
	if r.ResumeFrom < 0 || r.ResumeFrom > r.Length {
		return nil, errors.Errorf("resume_from %d is not within the response, which has %d tokens", r.ResumeFrom, r.Length)
	}
	var err error
	if r.seed, err = hashSeed(body); err != nil {
		return nil, errors.Trace(err)
	}
	for _, m := range r.Messages {
		r.Prefixes = enginecacher.Extend(r.Model, r.Prefixes, m)
	}
	return r, nil
}

// hashSeed returns a hash of the body without the control fields. The hash does not
// depend on white space between tokens or on the order of the top-level fields.
func hashSeed(body []byte) (uint64, error) {
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

// PromptTokens returns the length of the prompt in tokens.
func (r *Request) PromptTokens() int {
	return r.Prefixes[len(r.Prefixes)-1].Total
}

// words is the vocabulary from which the tokens are generated.
var words = []string{
	"linen", "press", "steam", "sheet", "towel", "apron", "starch", "fold", "truck", "route", "batch", "order",
	"brush", "broom", "handle", "bristle", "pallet", "crate", "label", "dock", "ledger", "count", "check", "sort",
	"water", "clean", "dry", "iron", "stack", "load", "lift", "pack",
}

// Token returns the text of the response token at the offset.
func (r *Request) Token(offset int) string {
	b := strconv.AppendUint(nil, r.seed, 16)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(offset), 10)
	return words[xxhash.Sum64(b)%uint64(len(words))] + " "
}

// Text returns the text of the whole response.
func (r *Request) Text() string {
	b := strings.Builder{}
	for n := range r.Length {
		b.WriteString(r.Token(n))
	}
	return b.String()
}
