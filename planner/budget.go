package planner

import "time"

// Budget is a token bucket of store calls. It is not safe for concurrent use.
type Budget struct {
	// Burst is the number of calls that a rested router may make at once.
	Burst float64

	tokens float64
	filled time.Time
}

// Take removes n tokens and reports whether it could. The bucket starts full
// and gains rate tokens a second. It holds the calls of one second, and at
// least Burst: with a fixed size a small fleet, whose routers each have a large
// rate, would wait most of the time.
func (b *Budget) Take(now time.Time, rate float64, n int) bool {
	size := max(b.Burst, rate)
	if b.filled.IsZero() {
		b.tokens += size
	} else {
		b.tokens = min(size, b.tokens+rate*now.Sub(b.filled).Seconds())
	}
	b.filled = now
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// Correct adds tokens for calls that were not made, or removes them, even
// below zero, for calls that could not wait.
func (b *Budget) Correct(tokens float64) {
	b.tokens += tokens
}
