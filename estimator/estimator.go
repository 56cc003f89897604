// Package estimator estimates which chats an engine has in its prefix cache.
//
// An engine caches the state it has computed for a prompt, so that the next
// request of the same chat need not compute the common prefix again. The router
// that owns the engine cannot look into this cache, but sends it all requests and
// can therefore simulate it.
package estimator

import (
	"github.com/bergamotdale/bergamotdale/evictor"
	"github.com/bergamotdale/bergamotdale/hasher"
)

// EntryBytes is an upper bound of the memory of one entry. It has the same value
// as placer.EntryBytes.
const EntryBytes = 80

// PrefixCache simulates the prefix cache of an engine as an LRU cache of the size
// that the engine reported. A returning chat that is no longer cached gains
// nothing from this engine and could only evict a chat that is cached, so it may
// go elsewhere.
//
// A PrefixCache is not safe for concurrent use.
type PrefixCache struct {
	// chats maps the hash of each chat to the number of its cached tokens.
	chats evictor.Map[uint32]
	// tokens is the sum over all chats.
	tokens int
	// capacity is the size of the engine's cache in tokens; zero means unknown.
	capacity   int
	maxEntries int
}

// NewPrefixCache returns an empty estimate that takes at most maxBytes of memory.
// The capacity is the size of the engine's cache in tokens; if it is zero, which
// means unknown, only maxBytes limits the number of chats.
func NewPrefixCache(capacity, maxBytes int) *PrefixCache {
	return &PrefixCache{chats: evictor.New[uint32](), capacity: capacity, maxEntries: max(maxBytes/EntryBytes, 1)}
}

// SetCapacity sets the cache size that the engine reported, in tokens.
func (c *PrefixCache) SetCapacity(tokens int) {
	c.capacity = tokens
	c.evict()
}

// Put records that the engine has computed, and so cached, the given number of
// tokens from the start of the chat.
func (c *PrefixCache) Put(chat string, tokens int) {
	c.PutKey(hasher.Hash(chat), tokens)
}

// PutKey is like Put, but takes the hash of the chat as Each passes it.
func (c *PrefixCache) PutKey(key uint64, tokens int) {
	if before, ok := c.chats.Get(key); ok {
		c.tokens -= int(before)
	}
	c.chats.Put(key, uint32(max(tokens, 0)))
	c.tokens += max(tokens, 0)
	c.evict()
}

// Each calls f for each chat, from the most to the least recently used, until f
// returns false. A handover sends the entries in this order; the new owner adds
// them with PutKey in reverse order to restore it.
func (c *PrefixCache) Each(f func(key uint64, tokens int) bool) {
	c.chats.Each(func(key uint64, tokens uint32) bool {
		return f(key, int(tokens))
	})
}

// Contains reports whether the chat is expected to be in the cache.
func (c *PrefixCache) Contains(chat string) bool {
	return c.chats.Contains(hasher.Hash(chat))
}

// Len returns the number of chats.
func (c *PrefixCache) Len() int {
	return c.chats.Len()
}

// Clear removes all chats, after a restart of the engine has emptied its cache.
func (c *PrefixCache) Clear() {
	c.chats = evictor.New[uint32]()
	c.tokens = 0
}

// evict removes the least recently used chats until the estimate is within the
// engine's capacity and its own memory limit. It keeps at least one chat.
func (c *PrefixCache) evict() {
	for c.chats.Len() > 1 {
		full := c.capacity > 0 && c.tokens > c.capacity
		if !full && c.chats.Len() <= c.maxEntries {
			return
		}
		c.tokens -= int(c.chats.RemoveOldest())
	}
}
