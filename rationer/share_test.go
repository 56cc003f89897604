package rationer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against shares with which one part of a partitioned fleet sends more than half of
// the bound, or more than the rate.
func TestSharesKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.05, 200).Draw(t, "rate")
		bound := rate*rapid.Float64Range(0, 3).Draw(t, "excess") + rapid.Float64Range(0, 20).Draw(t, "slack")
		s := shareOf(rate, bound, rapid.IntRange(1, 400).Draw(t, "members"))
		if s.holders == 0 {
			assert.Assert(t, bound < 1)
			return
		}
		perSecond := int((time.Second+arrivalJitter-1)/s.pace) + 1
		assert.Assert(t, s.holders*perSecond <= max(1, int(bound/partitions)), "%+v", s)
		assert.Assert(t, float64(s.holders)/s.pace.Seconds() <= rate*1.001, "%+v", s)
	})
	// Deployment A, with a large fleet and a small one.
	assert.Equal(t, shareOf(8.1, 17.15, 72), share{holders: 8, pace: 1020 * time.Millisecond})
	assert.Equal(t, shareOf(8.1, 17.15, 3), share{holders: 2, pace: 255 * time.Millisecond})
}
