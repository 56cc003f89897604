package throttler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale/throttler"
)

// Guards against a bucket that gives out more than its capacity and rate
// allow, or that is empty after the time that Wait returned.
func TestBucketBoundsWhatItGives(t *testing.T) {
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
			wait, ok := b.Wait(n)
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
			assert.Assert(t, taken <= allowed, "%v of %v", taken, allowed)
		}
	})
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// Guards against a wait that never ends, a correction that is lost, and a new
// capacity that is ignored.
func TestBucketLimits(t *testing.T) {
	now := time.UnixMilli(0)
	b := throttler.New(10, 1, 10, now)
	_, ok := b.Wait(11)
	assert.Assert(t, !ok)
	b.Charge(15)
	wait, ok := b.Wait(1)
	assert.Assert(t, ok && wait == 6*time.Second, "%v", wait)
	b.SetRate(now.Add(10*time.Second), 3, 2)
	assert.Equal(t, b.Level(), 3.0)
	empty := throttler.New(1, 0, 0, now)
	_, ok = empty.Wait(1)
	assert.Assert(t, !ok)
}
