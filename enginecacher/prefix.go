package enginecacher

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// charsPerToken is the usual mean of English text.
	charsPerToken = 4
	// messageOverhead is the number of tokens that mark a message.
	messageOverhead = 4
)

// Prefix is a sequence of messages from the start of a chat.
type Prefix struct {
	Hash string `json:"prefix"`
	// Parent is the hash of the prefix without the last message.
	Parent string `json:"parent"`
	// Tokens is the length of the last message, Total that of all of them.
	Tokens int `json:"tokens"`
	Total  int `json:"total"`
}

// Extend appends the prefix that ends with the message.
func Extend(model string, to []Prefix, m bergamotdale.ChatMessage) []Prefix {
	last := Prefix{Hash: model}
	if len(to) > 0 {
		last = to[len(to)-1]
	}
	content := text(m)
	tokens := messageOverhead + len(content)/charsPerToken
	return append(to, Prefix{
		Parent: last.Hash,
		Hash:   fmt.Sprintf("%016x", xxhash.Sum64String(last.Hash+"\x00"+m.Role+"\x00"+content)),
		Tokens: tokens,
		Total:  last.Total + tokens,
	})
}

// text returns the content of a message. A string is decoded, because clients
// escape the same text in different ways.
func text(m bergamotdale.ChatMessage) string {
	s := ""
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	return string(m.Content)
}
