package engineserver

import (
	"container/list"
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

// maxEvents is the number of cache events kept.
const maxEvents = 4096

// cache holds message prefixes and evicts the least recently used one.
type cache struct {
	capacity int
	eventLag time.Duration
	eventGap int64

	mu sync.Mutex
	// order holds *cached, most recently used first. A prefix is used after
	// the longer ones that contain it, so it is evicted after them.
	order    *list.List
	byHash   map[string]*list.Element
	tokens   int
	sequence int64
	events   []timedEvent
}

// cached is a prefix in the cache and in its exported form.
type cached struct {
	Prefix string `json:"prefix"`
	// Parent is the prefix without the last message.
	Parent string `json:"parent"`
	// Tokens is the length of the last message, Total that of the prefix.
	Tokens int `json:"tokens"`
	Total  int `json:"total"`
}

type timedEvent struct {
	at    time.Time
	event bergamotdale.CacheEvent
}

func newCache(capacity int, eventLag time.Duration, eventGap int64) *cache {
	return &cache{
		capacity: capacity, eventLag: eventLag, eventGap: eventGap,
		order: list.New(), byHash: map[string]*list.Element{},
	}
}

// lookup returns the length of the longest cached prefix.
func (c *cache) lookup(prefixes []prefix) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, p := range prefixes {
		if _, ok := c.byHash[p.hash]; !ok {
			break
		}
		total = p.total
	}
	return total
}

// insert adds the prefixes and marks them as used.
func (c *cache) insert(prefixes []prefix) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n := len(prefixes) - 1; n >= 0; n-- {
		p := prefixes[n]
		c.use(cached{p.hash, p.parent, p.tokens, p.total})
	}
	c.evict()
}

// restore adds exported prefixes.
func (c *cache) restore(all []cached) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range all {
		c.use(e)
	}
	c.evict()
}

// export returns all cached prefixes, least recently used first, which is the
// order that restore needs.
func (c *cache) export() []cached {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]cached, 0, c.order.Len())
	for e := c.order.Back(); e != nil; e = e.Prev() {
		all = append(all, e.Value.(cached))
	}
	return all
}

// exportPrefix returns the prefix and those that it contains, longest first.
func (c *cache) exportPrefix(hash string) []cached {
	c.mu.Lock()
	defer c.mu.Unlock()
	chain := []cached{}
	for e, ok := c.byHash[hash]; ok; e, ok = c.byHash[hash] {
		chain = append(chain, e.Value.(cached))
		hash = e.Value.(cached).Parent
	}
	return chain
}

func (c *cache) use(e cached) {
	if at, ok := c.byHash[e.Prefix]; ok {
		c.order.MoveToFront(at)
		return
	}
	c.byHash[e.Prefix] = c.order.PushFront(e)
	c.tokens += e.Tokens
	c.record(e, false)
}

func (c *cache) evict() {
	for c.tokens > c.capacity {
		last := c.order.Back()
		e := c.order.Remove(last).(cached)
		delete(c.byHash, e.Prefix)
		c.tokens -= e.Tokens
		c.record(e, true)
	}
}

func (c *cache) record(e cached, evicted bool) {
	c.sequence++
	if c.eventGap > 0 && c.sequence%c.eventGap == 0 {
		return
	}
	event := bergamotdale.CacheEvent{Sequence: c.sequence, Prefix: e.Prefix, Tokens: e.Total, Evicted: evicted}
	c.events = append(c.events, timedEvent{time.Now(), event})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// eventsAfter returns the events after the sequence number that are old
// enough to be seen.
func (c *cache) eventsAfter(after int64, now time.Time) []bergamotdale.CacheEvent {
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

func (c *cache) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tokens
}
