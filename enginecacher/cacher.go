// Package enginecacher implements the prefix cache of a fake model engine. A real
// engine keeps the attention keys and values (KV cache) of recent prompts, so that
// it processes only the part of a new prompt that follows a known prefix. This
// cache holds only the hash and length of each message prefix. Its size is limited,
// it reports insertions and evictions as events, and its content can be exported to
// another engine.
package enginecacher

import (
	"container/list"
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

// maxEvents is the number of cache events that are retained; older ones are dropped.
const maxEvents = 4096

// Cacher caches message prefixes and evicts the least recently used ones when their
// total length exceeds the capacity. Its methods may be called concurrently.
type Cacher struct {
	capacity int // in tokens
	eventLag time.Duration
	eventGap int64

	mu sync.Mutex
	// order holds values of type Prefix, most recently used first. Insert marks a
	// prefix as used after the longer prefixes that start with it, so that it is
	// evicted after them.
	order    *list.List
	byHash   map[string]*list.Element
	tokens   int
	sequence int64
	events   []timedEvent
}

// timedEvent is a cache event and the time at which it was recorded.
type timedEvent struct {
	at    time.Time
	event bergamotdale.CacheEvent
}

// New returns an empty cache with a capacity in tokens. Events can be read after
// eventLag. Events whose sequence number is a multiple of eventGap are dropped; zero
// drops none.
func New(capacity int, eventLag time.Duration, eventGap int64) *Cacher {
	return &Cacher{
		capacity: capacity, eventLag: eventLag, eventGap: eventGap,
		order: list.New(), byHash: map[string]*list.Element{},
	}
}

// Lookup returns the length in tokens of the longest cached prefix. The prefixes
// belong to one prompt, shortest first.
func (c *Cacher) Lookup(prefixes []Prefix) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, p := range prefixes {
		if _, ok := c.byHash[p.Hash]; !ok {
			break
		}
		total = p.Total
	}
	return total
}

// Insert adds the prefixes of one prompt, shortest first, and marks them as used.
func (c *Cacher) Insert(prefixes []Prefix) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(prefixes) - 1; n >= 0; n-- {
		c.use(prefixes[n])
	}
	c.evict()
}

// Import adds exported prefixes and marks them as used, in the order of the slice.
func (c *Cacher) Import(prefixes []Prefix) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range prefixes {
		c.use(p)
	}
	c.evict()
}

// Export returns all cached prefixes, least recently used first, so that Import
// restores the order of their use.
func (c *Cacher) Export() []Prefix {
	c.mu.Lock()
	defer c.mu.Unlock()
	prefixes := make([]Prefix, 0, c.order.Len())
	for e := c.order.Back(); e != nil; e = e.Prev() {
		prefixes = append(prefixes, e.Value.(Prefix))
	}
	return prefixes
}

// ExportPrefix returns the cached prefix with the hash and the shorter cached
// prefixes that it contains, longest first.
func (c *Cacher) ExportPrefix(hash string) []Prefix {
	c.mu.Lock()
	defer c.mu.Unlock()
	chain := []Prefix{}
	for e, ok := c.byHash[hash]; ok; e, ok = c.byHash[hash] {
		chain = append(chain, e.Value.(Prefix))
		hash = e.Value.(Prefix).Parent
	}
	return chain
}

// use marks the prefix as most recently used, and adds it if it is not cached. The
// caller holds mu.
func (c *Cacher) use(p Prefix) {
	if element, ok := c.byHash[p.Hash]; ok {
		c.order.MoveToFront(element)
		return
	}
	c.byHash[p.Hash] = c.order.PushFront(p)
	c.tokens += p.Tokens
	c.recordEvent(p, false)
}

// evict removes the least recently used prefixes until the others fit the capacity.
// The caller holds mu.
func (c *Cacher) evict() {
	for c.tokens > c.capacity {
		last := c.order.Back()
		p := c.order.Remove(last).(Prefix)
		delete(c.byHash, p.Hash)
		c.tokens -= p.Tokens
		c.recordEvent(p, true)
	}
}

// recordEvent adds an event for the prefix unless eventGap drops it. The caller
// holds mu.
func (c *Cacher) recordEvent(p Prefix, evicted bool) {
	c.sequence++
	if c.eventGap > 0 && c.sequence%c.eventGap == 0 {
		return
	}
	event := bergamotdale.CacheEvent{Sequence: c.sequence, Prefix: p.Hash, Tokens: p.Total, Evicted: evicted}
	c.events = append(c.events, timedEvent{time.Now(), event})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// EventsAfter returns the events with a sequence number above after that are at
// least as old as the event lag.
func (c *Cacher) EventsAfter(after int64, now time.Time) []bergamotdale.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	visible := []bergamotdale.CacheEvent{}
	for _, e := range c.events {
		if e.event.Sequence > after && now.Sub(e.at) >= c.eventLag {
			visible = append(visible, e.event)
		}
	}
	return visible
}

// Size returns the total length of the cached prefixes in tokens, in which the
// messages that several prefixes share count once.
func (c *Cacher) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens
}
