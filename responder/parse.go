package responder

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// bytesPerToken estimates the prompt length from the body.
	bytesPerToken = 4
	// defaultMaxTokens is assumed where the client sets no limit.
	defaultMaxTokens = 256
	// maxTokensLimit bounds the length that a client may ask for.
	maxTokensLimit = 1 << 20
)

// chatBody holds the fields of a completion request that routing needs.
type chatBody struct {
	Model               string                     `json:"model"`
	Messages            []bergamotdale.ChatMessage `json:"messages"`
	Stream              bool                       `json:"stream"`
	StreamOptions       streamOptions              `json:"stream_options"`
	MaxTokens           *int                       `json:"max_tokens"`
	MaxCompletionTokens *int                       `json:"max_completion_tokens"`
	N                   *int                       `json:"n"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// maxTokens returns the number of tokens to generate at most.
func (b *chatBody) maxTokens() int {
	switch {
	case b.MaxCompletionTokens != nil:
		return *b.MaxCompletionTokens
	case b.MaxTokens != nil:
		return *b.MaxTokens
	default:
		return defaultMaxTokens
	}
}

// parseChatBody decodes and checks a completion request.
func parseChatBody(raw []byte) (*chatBody, *bergamotdale.Refusal) {
	var b chatBody
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if err := decoder.Decode(&b); err != nil {
		return nil, bergamotdale.Refuse(bergamotdale.CodeInvalidJSON, "body is not a valid completion request: %v", err)
	}
	if decoder.More() {
		return nil, bergamotdale.Refuse(bergamotdale.CodeInvalidJSON,
			"body has data after the JSON object at byte %d", decoder.InputOffset())
	}
	switch {
	case b.Model == "":
		return nil, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "model is missing")
	case len(b.Messages) == 0:
		return nil, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "messages is empty")
	case b.maxTokens() < 1 || b.maxTokens() > maxTokensLimit:
		return nil, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest,
			"max_tokens is %d, expected 1 to %d", b.maxTokens(), maxTokensLimit)
	case b.N != nil && *b.N != 1:
		return nil, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "n is %d, only 1 is supported", *b.N)
	}
	return &b, nil
}

// chatOf names the chat of a request without a chat header: the hash of the
// leading messages up to the first user message. They stay the same while a
// chat grows.
func chatOf(workspace string, b *chatBody) string {
	h := xxhash.New()
	_, _ = h.WriteString(workspace + "\x00" + b.Model)
	for _, m := range b.Messages {
		_, _ = h.WriteString("\x00" + m.Role + "\x00")
		_, _ = h.Write(m.Content)
		if m.Role == "user" {
			break
		}
	}
	return hex.EncodeToString(h.Sum(nil))
}

// fingerprint hashes its parts in a way that keeps their borders.
func fingerprint(parts ...string) string {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = h.WriteString(strconv.Itoa(len(p)) + ":" + p)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// parseLastEventID returns the number of tokens that a reconnecting client
// already has.
func parseLastEventID(s string) (int, *bergamotdale.Refusal) {
	if s == "" {
		return 0, nil
	}
	offset, err := strconv.Atoi(s)
	if err != nil || offset < 0 {
		return 0, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest,
			"%s is %q, expected a token offset", HeaderLastEventID, s)
	}
	return offset, nil
}

// bearer returns the API key of an Authorization header.
func bearer(authorization string) string {
	key, found := strings.CutPrefix(authorization, "Bearer ")
	if !found {
		return ""
	}
	return strings.TrimSpace(key)
}
