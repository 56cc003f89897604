package storetester

import (
	"sync"
	"time"
)

// Clock is a bergamotdale.Clock that only a test advances. It is safe for
// concurrent use.
type Clock struct {
	mu     sync.Mutex
	now    time.Time
	timers []timer
	// changed is closed and replaced whenever timers is extended.
	changed chan struct{}
}

type timer struct {
	due time.Time
	c   chan time.Time
}

// NewClock returns a clock that stands at start.
func NewClock(start time.Time) *Clock {
	return &Clock{now: start, changed: make(chan struct{})}
}

// Now implements bergamotdale.Clock.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// After implements bergamotdale.Clock. A timer that nobody reads any more
// stays pending until it is due.
func (c *Clock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- c.now
		return ch
	}
	c.timers = append(c.timers, timer{c.now.Add(d), ch})
	close(c.changed)
	c.changed = make(chan struct{})
	return ch
}

// Advance moves the clock forward and fires the timers that are due.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	var pending []timer
	for _, t := range c.timers {
		if t.due.After(c.now) {
			pending = append(pending, t)
			continue
		}
		t.c <- c.now
	}
	c.timers = pending
}

// Pending returns the number of timers that have not fired.
func (c *Clock) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.timers)
}

// BlockUntil returns once at least n timers are pending. A test calls it
// before Advance, so that a goroutine has certainly reached its wait.
func (c *Clock) BlockUntil(n int) {
	for {
		c.mu.Lock()
		enough, changed := len(c.timers) >= n, c.changed
		c.mu.Unlock()
		if enough {
			return
		}
		<-changed
	}
}
