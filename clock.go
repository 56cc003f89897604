package bergamotdale

import (
	"context"
	"time"
)

// Clock is the source of time of everything that runs. Tests use a manual
// clock to advance time without waiting.
type Clock interface {
	// Now returns the current time with its monotonic reading.
	Now() time.Time
	// After returns a channel that receives once d has passed.
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the Clock of a running process.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time {
	return time.Now()
}

// After implements Clock.
func (SystemClock) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

// Wait blocks until d has passed on the clock or the context is done. It
// returns the error of the context in the second case.
func Wait(ctx context.Context, c Clock, d time.Duration) error {
	select {
	case <-c.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
