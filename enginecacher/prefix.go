package enginecacher

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// charsPerToken is the usual mean for English text.
	charsPerToken = 4
	// messageOverhead is the number of tokens that delimit a message in the prompt.
	messageOverhead = 4
)

// Prefix describes the first messages of a chat up to and including a given one.
type Prefix struct {
	// Hash identifies the model and the messages.
	Hash string `json:"prefix"`
	// Parent is the hash of the prefix without the last message, or the name of the
	// model if there is only one message.
	Parent string `json:"parent"`
	// Tokens is the length in tokens of the last message, and Total that of all
	// messages of the prefix.
	Tokens int `json:"tokens"`
	Total  int `json:"total"`
}

// Extend appends the prefix that ends with the message to the prefixes of the
// messages before it.
func Extend(model string, prefixes []Prefix, m bergamotdale.ChatMessage) []Prefix {
	last := Prefix{Hash: model}
	if len(prefixes) > 0 {
		last = prefixes[len(prefixes)-1]
	}
	content := contentText(m)
	tokens := messageOverhead + len(content)/charsPerToken
	return append(prefixes, Prefix{
		Parent: last.Hash,
		Hash:   fmt.Sprintf("%016x", xxhash.Sum64String(last.Hash+"\x00"+m.Role+"\x00"+content)),
		Tokens: tokens,
		Total:  last.Total + tokens,
	})
}

// contentText returns the text of a message for hashing. A JSON string is decoded,
// because clients may escape the same text in different ways. Other content is
// returned as JSON.
func contentText(m bergamotdale.ChatMessage) string {
	s := ""
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	return string(m.Content)
}
