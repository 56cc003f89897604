package responder

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/streamer"
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

// parseLastEventID returns how far a reconnecting client has read: a token
// offset, and after a colon the checksum of the tokens so far. A client that
// knows only the offset is served from the start, without the tokens that it
// has already.
func parseLastEventID(s string) (streamer.Position, *bergamotdale.Refusal) {
	if s == "" {
		return streamer.Position{}, nil
	}
	number, checksum, found := strings.Cut(s, ":")
	offset, err := strconv.Atoi(number)
	if err == nil && offset >= 0 && !found {
		return streamer.Position{Offset: offset}, nil
	}
	sum, sumErr := streamer.ParseChecksum(checksum)
	if err != nil || offset < 0 || sumErr != nil {
		return streamer.Position{}, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest,
			"%s is %q, expected the id of an event", HeaderLastEventID, s)
	}
	return streamer.Position{Offset: offset, Checksum: sum}, nil
}

// bearer returns the API key of an Authorization header.
func bearer(authorization string) string {
	key, found := strings.CutPrefix(authorization, "Bearer ")
	if !found {
		return ""
	}
	return strings.TrimSpace(key)
}
