// Package throttler provides a token bucket for rate limits and budgets. A bucket
// holds tokens up to its capacity, and each action takes some of them. It is
// filled at a rate over time, by calls of Add, or by both; retry budgets use only
// Add. A bucket reads no clock and has no lock: callers pass the time and
// serialize the calls.
package throttler

import (
	"math"
	"time"
)

// roundingTolerance covers the rounding errors of repeated additions: in floating
// point, adding 0.1 ten times gives less than 1.
const roundingTolerance = 1e-9

// Bucket is a token bucket. A bucket with a rate of zero is filled only by Add.
type Bucket struct {
	capacity float64
	// rate is in tokens per second.
	rate float64
	// level is the number of tokens in the bucket. It never exceeds the capacity
	// and may be negative after Charge.
	level float64
	// updatedAt is the time up to which the rate has been applied.
	updatedAt time.Time
}

// New returns a bucket that holds the given number of tokens, at most its
// capacity, at time now. The rate is in tokens per second.
func New(capacity, rate, level float64, now time.Time) Bucket {
	return Bucket{capacity: capacity, rate: rate, level: min(level, capacity), updatedAt: now}
}

// Level returns the number of tokens in the bucket as of the last Advance.
func (b *Bucket) Level() float64 {
	return b.level
}

// Add puts n tokens into the bucket. Tokens above the capacity are discarded.
func (b *Bucket) Add(n float64) {
	b.level = min(b.level+n, b.capacity)
}

// Advance adds the tokens that the rate has yielded up to now. A time before that
// of an earlier call changes nothing.
func (b *Bucket) Advance(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.Add(b.rate * elapsed.Seconds())
		b.updatedAt = now
	}
}

// SetRate changes the capacity and the rate from now on. Tokens above the new
// capacity are discarded.
func (b *Bucket) SetRate(now time.Time, capacity, rate float64) {
	b.Advance(now)
	b.capacity, b.rate = capacity, rate
	b.level = min(b.level, capacity)
}

// Take removes n tokens if the bucket holds that many, and reports whether it did.
func (b *Bucket) Take(n float64) bool {
	if b.level < n-roundingTolerance {
		return false
	}
	b.level -= n
	return true
}

// Charge removes n tokens even if the level becomes negative. It corrects the
// level once the actual cost of an action is known; a negative n is a refund.
func (b *Bucket) Charge(n float64) {
	b.level = min(b.level-n, b.capacity)
}

// TimeUntil returns the time until the bucket holds n tokens, and false if it never
// will at its rate and capacity.
func (b *Bucket) TimeUntil(n float64) (time.Duration, bool) {
	if b.level >= n-roundingTolerance {
		return 0, true
	}
	if b.rate <= 0 || n > b.capacity {
		return 0, false
	}
	seconds := (n - b.level) / b.rate
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}
