package throttler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale/throttler"
)

// Guards against a bucket that gives out more tokens than its capacity and rate
// allow, or that lacks the tokens after the time that TimeUntil returned.
func TestBucketKeepsToCapacityAndRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(1, 100).Draw(t, "capacity")
		rate := rapid.Float64Range(0.1, 100).Draw(t, "rate")
		start := time.UnixMilli(0)
		now, latest, taken := start, start, 0.0
		b := throttler.New(capacity, rate, capacity, now)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-10, 1000).Draw(t, "ms")) * time.Millisecond)
			b.Advance(now)
			latest = later(latest, now)
			n := rapid.Float64Range(0, capacity).Draw(t, "tokens")
			wait, ok := b.TimeUntil(n)
			assert.Assert(t, ok)
			if wait > 0 {
				assert.Assert(t, !b.Take(n))
				latest = latest.Add(wait)
				now = latest
				b.Advance(now)
			}
			assert.Assert(t, b.Take(n))
			taken += n
			allowed := capacity + rate*latest.Sub(start).Seconds() + 1e-6
			assert.Assert(t, taken <= allowed, "took %v tokens of %v allowed", taken, allowed)
		}
	})
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Guards against a time for tokens that the bucket can never hold, a charge that
// does not lower the level, and a new capacity that is ignored.
func TestBucketEdgeCases(t *testing.T) {
	now := time.UnixMilli(0)
	b := throttler.New(10, 1, 10, now)
	_, ok := b.TimeUntil(11)
	assert.Assert(t, !ok)
	b.Charge(15)
	wait, ok := b.TimeUntil(1)
	assert.Assert(t, ok && wait == 6*time.Second, "%v", wait)
	b.SetRate(now.Add(10*time.Second), 3, 2)
	assert.Equal(t, b.Level(), 3.0)
	empty := throttler.New(1, 0, 0, now)
	_, ok = empty.TimeUntil(1)
	assert.Assert(t, !ok)
}
