package bergamotdale

import (
	"context"
	"time"
)

// Clock is the source of time of all packages. Tests use a manual clock, which
// advances without waiting.
type Clock interface {
	// Now returns the current time, including a monotonic clock reading.
	Now() time.Time
	// After returns a channel that receives the time when d has passed.
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the Clock that uses the time of the operating system.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time {
	return time.Now()
}

// After implements Clock.
func (SystemClock) After(d time.Duration) <-chan time.Time {
	return time.After(d)
}

// Wait blocks until d has passed on the clock, and then returns nil, or until the
// context is done, and then returns the error of the context.
func Wait(ctx context.Context, c Clock, d time.Duration) error {
	select {
	case <-c.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
