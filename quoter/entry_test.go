package quoter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/quoter"
)

// Guards against a request whose real output is not charged, and against a
// charge that is kept for a request that was not run.
func TestChargeIsCorrectedByTheRealOutput(t *testing.T) {
	now := time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)
	const rate = 4000
	e := quoter.NewEntry()
	// The allowance of a single router is 2000 tokens.
	c := e.Begin(now, workspace, rate, 1, 100, 200)
	taken, _ := e.Take(now, c)
	assert.Assert(t, taken)
	e.Settle(now, c, 150, true)
	e.Settle(now, c, 150, true)
	refunded := e.Begin(now, workspace, rate, 1, 1000, 0)
	taken, _ = e.Take(now, refunded)
	assert.Assert(t, taken)
	e.Settle(now, refunded, 0, false)
	long := e.Begin(now, workspace, rate, 1, 50, 0)
	taken, _ = e.Take(now, long)
	assert.Assert(t, taken)
	e.Settle(now, long, 700, true)
	// 2000 - 250 - 0 - 750 are left.
	over := e.Begin(now, workspace, rate, 1, 1001, 0)
	taken, _ = e.Take(now, over)
	assert.Assert(t, !taken)
	e.Abandon(over)
	exact := e.Begin(now, workspace, rate, 1, 1000, 0)
	taken, _ = e.Take(now, exact)
	assert.Assert(t, taken)
}
