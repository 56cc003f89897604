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
	// bytesPerToken is the number of body bytes that are counted as one token
	// when the prompt length is estimated.
	bytesPerToken = 4
	// defaultMaxTokens is the assumed response length where the client sets no
	// limit.
	defaultMaxTokens = 256
	// maxTokensLimit is the largest max_tokens that a client may set.
	maxTokensLimit = 1 << 20
)

// chatBody holds the fields of a completion request that routing needs. The name
// of the type is part of the error message for a field of the wrong type.
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

// maxTokens returns the maximum number of tokens to generate.
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

// parseChatBody decodes and validates the body of a completion request.
func parseChatBody(raw []byte) (*chatBody, *bergamotdale.Refusal) {
	var b chatBody
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if err := decoder.Decode(&b); err != nil {
		return nil, bergamotdale.Refuse(bergamotdale.CodeInvalidJSON, "the request body is not a valid completion request: %v", err)
	}
	if decoder.More() {
		return nil, bergamotdale.Refuse(bergamotdale.CodeInvalidJSON,
			"body has data after the JSON object at byte %d", decoder.InputOffset())
	}
	switch {
	case b.Model == "":
		return nil, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "model is missing")
	case len(b.Messages) == 0:
		return nil, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "the field messages is empty")
	case b.maxTokens() < 1 || b.maxTokens() > maxTokensLimit:
		return nil, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest,
			"max_tokens is %d, expected 1 to %d", b.maxTokens(), maxTokensLimit)
	case b.N != nil && *b.N != 1:
		return nil, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "n is %d, only 1 is supported", *b.N)
	}
	return &b, nil
}

// deriveChatID returns the chat ID of a request without a chat header: a hash of
// the workspace, the model and the messages up to the first user message. These
// stay the same while a chat grows.
func deriveChatID(workspace string, b *chatBody) string {
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

// fingerprint returns a hash of the parts. Each part is prefixed with its length,
// so that different splits of the same text have different hashes.
func fingerprint(parts ...string) string {
	h := xxhash.New()
	for _, p := range parts {
		_, _ = h.WriteString(strconv.Itoa(len(p)) + ":" + p)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// parseLastEventID returns the position up to which a reconnecting client has
// read. The format is a token offset, optionally followed by a colon and the
// checksum of the tokens before it. For a client that sends only the offset, the
// response is read from the start and the tokens that the client has are skipped.
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

// bearerKey returns the API key of an Authorization header, or "" if the header
// has no bearer key.
func bearerKey(authorization string) string {
	key, found := strings.CutPrefix(authorization, "Bearer ")
	if !found {
		return ""
	}
	return strings.TrimSpace(key)
}
