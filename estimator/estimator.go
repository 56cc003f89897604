// Package estimator estimates what an engine has in its prefix cache from the
// requests that its owner sends to it.
package estimator

import (
	"github.com/bergamotdale/bergamotdale/evictor"
	"github.com/bergamotdale/bergamotdale/hasher"
)

// EntryBytes bounds the memory of one entry, as in package placer.
const EntryBytes = 80

// Residents estimates which chats an engine still has in its prefix cache. The
// owner sees every request of its engine and repeats what an LRU cache of the
// reported size would do. A returning chat that is no longer cached need not
// take a place at this engine, where it could only displace one that is.
//
// It is not safe for concurrent use.
type Residents struct {
	chats    evictor.Map[uint32]
	tokens   int
	capacity int
	entries  int
}

// NewResidents returns an empty estimate that keeps its size within maxBytes.
// The capacity of the engine's cache is in tokens; zero means unknown, and only
// the memory bounds the estimate.
func NewResidents(capacity, maxBytes int) *Residents {
	return &Residents{chats: evictor.New[uint32](), capacity: capacity, entries: max(maxBytes/EntryBytes, 1)}
}

// SetCapacity sets the cache size that the engine reported, in tokens.
func (r *Residents) SetCapacity(tokens int) {
	r.capacity = tokens
	r.evict()
}

// Put records that the engine has computed the first tokens of the chat.
func (r *Residents) Put(chat string, tokens int) {
	r.PutKey(hasher.Hash(chat), tokens)
}

// PutKey is Put for the chat with the hash, as Each reported it.
func (r *Residents) PutKey(key uint64, tokens int) {
	if before, ok := r.chats.Get(key); ok {
		r.tokens -= int(before)
	}
	r.chats.Put(key, uint32(max(tokens, 0)))
	r.tokens += max(tokens, 0)
	r.evict()
}

// Each calls f from the most to the least recently used chat until f returns
// false. A handover sends the entries in this order, and the new owner adds them
// with PutKey in the reverse order.
func (r *Residents) Each(f func(key uint64, tokens int) bool) {
	r.chats.Each(func(key uint64, tokens uint32) bool {
		return f(key, int(tokens))
	})
}

// Contains reports whether the chat is expected to be in the cache.
func (r *Residents) Contains(chat string) bool {
	return r.chats.Contains(hasher.Hash(chat))
}

// Len returns the number of chats.
func (r *Residents) Len() int {
	return r.chats.Len()
}

// Clear forgets all chats, after a restart of the engine.
func (r *Residents) Clear() {
	r.chats = evictor.New[uint32]()
	r.tokens = 0
}

func (r *Residents) evict() {
	for r.chats.Len() > 1 {
		full := r.capacity > 0 && r.tokens > r.capacity
		if !full && r.chats.Len() <= r.entries {
			return
		}
		r.tokens -= int(r.chats.RemoveOldest())
	}
}
