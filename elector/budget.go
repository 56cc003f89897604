package elector

import "time"

// budget is a token bucket of store calls.
type budget struct {
	tokens float64
	filled time.Time
}

// take removes n tokens and reports whether it could. The bucket starts full.
// It holds the calls of one second: with a fixed size a small fleet, whose
// routers each have a large rate, would wait most of the time.
func (b *budget) take(now time.Time, rate float64, n int) bool {
	size := max(storeBurst, rate)
	if b.filled.IsZero() {
		b.tokens = size
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
