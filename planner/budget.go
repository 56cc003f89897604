package planner

import "time"

// Budget is a token bucket that limits the rate of store calls. One token is one
// call. It is not safe for concurrent use.
type Budget struct {
	// Burst is the number of calls that a router may make at once when the bucket is
	// full and the rate is low.
	Burst float64

	tokens     float64
	lastRefill time.Time
}

// Take removes n tokens if the bucket has as many, and reports whether it had. The
// bucket starts full and gains rate tokens per second. Its capacity is the calls of
// one second, but at least Burst. With a fixed capacity the routers of a small
// fleet, which each have a large rate, would wait most of the time.
func (b *Budget) Take(now time.Time, rate float64, n int) bool {
	size := max(b.Burst, rate)
	if b.lastRefill.IsZero() {
		b.tokens += size
	} else {
		b.tokens = min(size, b.tokens+rate*now.Sub(b.lastRefill).Seconds())
	}
	b.lastRefill = now
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// Adjust adds tokens for calls that were taken from the budget but not made, or
// removes tokens, even below zero, for calls that could not wait for the budget.
func (b *Budget) Adjust(tokens float64) {
	b.tokens += tokens
}
