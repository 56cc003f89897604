// Package throttler provides a token bucket as a pure value: it has no clock
// and no lock. Retry budgets fill it by calls, quotas fill it by time.
package throttler

import (
	"math"
	"time"
)

// rounding is the error that many additions may leave: ten times 0.1 is less
// than 1 in floating point.
const rounding = 1e-9

// Bucket is a token bucket. A bucket with rate zero fills only through Add.
type Bucket struct {
	capacity float64
	// rate is in tokens per second.
	rate float64
	// level never exceeds capacity. It is negative after Charge.
	level float64
	// updated is the time up to which the rate has been applied.
	updated time.Time
}

// New returns a bucket that holds level tokens at the time.
func New(capacity, rate, level float64, now time.Time) Bucket {
	return Bucket{capacity: capacity, rate: rate, level: min(level, capacity), updated: now}
}

// Level returns the tokens at the time of the last update.
func (b *Bucket) Level() float64 {
	return b.level
}

// Add puts n tokens into the bucket; those above the capacity are lost.
func (b *Bucket) Add(n float64) {
	b.level = min(b.level+n, b.capacity)
}

// Advance applies the rate up to now. An earlier time than before changes
// nothing.
func (b *Bucket) Advance(now time.Time) {
	if d := now.Sub(b.updated); d > 0 {
		b.Add(b.rate * d.Seconds())
		b.updated = now
	}
}

// SetRate changes capacity and rate from now on. The level stays, as far as
// the capacity allows.
func (b *Bucket) SetRate(now time.Time, capacity, rate float64) {
	b.Advance(now)
	b.capacity, b.rate = capacity, rate
	b.level = min(b.level, capacity)
}

// Take removes n tokens if there are as many.
func (b *Bucket) Take(n float64) bool {
	if b.level < n-rounding {
		return false
	}
	b.level -= n
	return true
}

// Charge removes n tokens even where the level becomes negative. It corrects
// an estimate by the true cost.
func (b *Bucket) Charge(n float64) {
	b.level = min(b.level-n, b.capacity)
}

// Wait returns the time until n tokens are there. It returns false where the
// bucket never holds as many.
func (b *Bucket) Wait(n float64) (time.Duration, bool) {
	if b.level >= n-rounding {
		return 0, true
	}
	if b.rate <= 0 || n > b.capacity {
		return 0, false
	}
	seconds := (n - b.level) / b.rate
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}
