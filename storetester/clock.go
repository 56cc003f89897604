package storetester

import (
	"sync"
	"time"
)

// Clock is a bergamotdale.Clock whose time stands still until a test advances it.
// It is safe for concurrent use.
type Clock struct {
	mu     sync.Mutex
	now    time.Time
	timers []timer
	// changed is closed and replaced whenever a timer is added.
	changed chan struct{}
}

// timer is a pending call of After.
type timer struct {
	due   time.Time
	fired chan time.Time
}

// NewClock returns a clock that shows the given time.
func NewClock(start time.Time) *Clock {
	return &Clock{now: start, changed: make(chan struct{})}
}

// Now implements bergamotdale.Clock.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// After implements bergamotdale.Clock. A timer whose channel is no longer read
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
		t.fired <- c.now
	}
	c.timers = pending
}

// Pending returns the number of timers that have not fired.
func (c *Clock) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.timers)
}

// BlockUntil blocks until at least n timers are pending. A test calls it before
// Advance to make sure that the goroutines under test already wait on the clock.
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
