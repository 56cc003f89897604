package engineserver

import (
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// defaultMaxTokens is the length of a response to a body without one.
	defaultMaxTokens = 16
	// charsPerToken is the usual mean of English text.
	charsPerToken = 4
	// messageOverhead is the number of tokens that mark a message.
	messageOverhead = 4
)

// chatRequest holds the fields of a body that the engine uses.
type chatRequest struct {
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

	// id is the X-Request-Id header.
	id string
	// seed determines the generated tokens.
	seed uint64
	// length is the number of tokens of the whole response.
	length int
	// prefixes are the message prefixes, shortest first.
	prefixes []prefix
	body     []byte
}

// controlFields don't change the generated tokens.
var controlFields = []string{"stream", "stream_options", "priority", "resume_from"}

func parseRequest(id string, body []byte) (*chatRequest, error) {
	r := &chatRequest{id: id, body: body, length: defaultMaxTokens}
	if err := json.Unmarshal(body, r); err != nil {
		return nil, errors.Trace(err)
	}
	if len(r.Messages) == 0 {
		return nil, errors.New("messages is empty")
	}
	if r.MaxTokens != nil {
		r.length = *r.MaxTokens
	}
	if r.MaxCompletionTokens != nil {
		r.length = *r.MaxCompletionTokens
	}
	if r.length < 1 {
		return nil, errors.New("max_tokens is below 1")
	}
	if r.ResumeFrom < 0 || r.ResumeFrom > r.length {
		return nil, errors.Errorf("resume_from %d is outside of the response of %d tokens", r.ResumeFrom, r.length)
	}
	var err error
	if r.seed, err = seedOf(body); err != nil {
		return nil, errors.Trace(err)
	}
	for _, m := range r.Messages {
		r.prefixes = extend(r.Model, r.prefixes, m)
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

// promptTokens is the length of the prompt.
func (r *chatRequest) promptTokens() int {
	return r.prefixes[len(r.prefixes)-1].total
}

// prefix is a sequence of messages from the start of a chat.
type prefix struct {
	// parent is the hash of the prefix without the last message.
	parent, hash string
	// tokens is the length of its last message, total that of all of them.
	tokens, total int
}

// extend appends the prefix that ends with the message.
func extend(model string, to []prefix, m bergamotdale.ChatMessage) []prefix {
	last := prefix{hash: model}
	if len(to) > 0 {
		last = to[len(to)-1]
	}
	tokens := messageOverhead + len(m.Content)/charsPerToken
	return append(to, prefix{
		parent: last.hash,
		hash:   fmt.Sprintf("%016x", xxhash.Sum64String(last.hash+"\x00"+m.Role+"\x00"+string(m.Content))),
		tokens: tokens,
		total:  last.total + tokens,
	})
}

var words = []string{
	"linen", "press", "steam", "sheet", "towel", "apron", "starch", "fold", "truck", "route", "batch", "order",
	"brush", "broom", "handle", "bristle", "pallet", "crate", "label", "dock", "ledger", "count", "check", "sort",
	"water", "clean", "dry", "iron", "stack", "load", "lift", "pack",
}

// token returns the text of the token at the offset.
func (r *chatRequest) token(offset int) string {
	b := strconv.AppendUint(nil, r.seed, 16)
	b = append(b, '/')
	b = strconv.AppendInt(b, int64(offset), 10)
	return words[xxhash.Sum64(b)%uint64(len(words))] + " "
}
