package elector

import "time"

// budget is a token bucket of store calls.
type budget struct {
	tokens float64
	filled time.Time
}

// take removes n tokens and reports whether it could. The bucket starts full.
func (b *budget) take(now time.Time, rate float64, n int) bool {
	if b.filled.IsZero() {
		b.tokens = storeBurst
	} else {
		b.tokens = min(storeBurst, b.tokens+rate*now.Sub(b.filled).Seconds())
	}
	b.filled = now
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}
