// Package enginecacher is the prefix cache of a fake engine: message prefixes
// in limited memory, with events and an exported form.
package enginecacher

import (
	"container/list"
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

// maxEvents is the number of cache events kept.
const maxEvents = 4096

// Cacher holds message prefixes and evicts the least recently used one.
type Cacher struct {
	capacity int
	eventLag time.Duration
	eventGap int64

	mu sync.Mutex
	// order holds Prefix, most recently used first. A prefix is used after
	// the longer ones that contain it, so it is evicted after them.
	order    *list.List
	byHash   map[string]*list.Element
	tokens   int
	sequence int64
	events   []timedEvent
}

type timedEvent struct {
	at    time.Time
	event bergamotdale.CacheEvent
}

// New returns an empty cache. Events can be read after eventLag; those whose
// sequence number eventGap divides are lost, unless it is zero.
func New(capacity int, eventLag time.Duration, eventGap int64) *Cacher {
	return &Cacher{
		capacity: capacity, eventLag: eventLag, eventGap: eventGap,
		order: list.New(), byHash: map[string]*list.Element{},
	}
}

// Lookup returns the length of the longest cached prefix.
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

// Insert adds the prefixes and marks them as used.
func (c *Cacher) Insert(prefixes []Prefix) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(prefixes) - 1; n >= 0; n-- {
		c.use(prefixes[n])
	}
	c.evict()
}

// Import adds exported prefixes.
func (c *Cacher) Import(all []Prefix) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range all {
		c.use(e)
	}
	c.evict()
}

// Export returns all cached prefixes, least recently used first, which is the
// order that Import needs.
func (c *Cacher) Export() []Prefix {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Prefix, 0, c.order.Len())
	for e := c.order.Back(); e != nil; e = e.Prev() {
		all = append(all, e.Value.(Prefix))
	}
	return all
}

// ExportPrefix returns the prefix and those that it contains, longest first.
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

func (c *Cacher) use(e Prefix) {
	if at, ok := c.byHash[e.Hash]; ok {
		c.order.MoveToFront(at)
		return
	}
	c.byHash[e.Hash] = c.order.PushFront(e)
	c.tokens += e.Tokens
	c.record(e, false)
}

func (c *Cacher) evict() {
	for c.tokens > c.capacity {
		last := c.order.Back()
		e := c.order.Remove(last).(Prefix)
		delete(c.byHash, e.Hash)
		c.tokens -= e.Tokens
		c.record(e, true)
	}
}

func (c *Cacher) record(e Prefix, evicted bool) {
	c.sequence++
	if c.eventGap > 0 && c.sequence%c.eventGap == 0 {
		return
	}
	event := bergamotdale.CacheEvent{Sequence: c.sequence, Prefix: e.Hash, Tokens: e.Total, Evicted: evicted}
	c.events = append(c.events, timedEvent{time.Now(), event})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// EventsAfter returns the events after the sequence number that are old
// enough to be seen.
func (c *Cacher) EventsAfter(after int64, now time.Time) []bergamotdale.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := []bergamotdale.CacheEvent{}
	for _, e := range c.events {
		if e.event.Sequence > after && now.Sub(e.at) >= c.eventLag {
			found = append(found, e.event)
		}
	}
	return found
}

// Size returns the tokens in the cache.
func (c *Cacher) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens
}
