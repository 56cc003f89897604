package quoter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/quoter"
)

// Guards against requests that are charged their estimated instead of their
// actual output, and against a charge that is kept for a request that did not
// run.
func TestChargeIsCorrectedByActualOutput(t *testing.T) {
	now := time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)
	const rate = 4000
	accounts := quoter.NewAccounts()
	// The allowance of a single router is 2000 tokens.
	c := accounts.NewCharge(now, workspace, rate, 1, 100, 200)
	paid, _ := accounts.Pay(now, c)
	assert.Assert(t, paid)
	accounts.Settle(now, c, 150, true)
	accounts.Settle(now, c, 150, true)
	refunded := accounts.NewCharge(now, workspace, rate, 1, 1000, 0)
	paid, _ = accounts.Pay(now, refunded)
	assert.Assert(t, paid)
	accounts.Settle(now, refunded, 0, false)
	long := accounts.NewCharge(now, workspace, rate, 1, 50, 0)
	paid, _ = accounts.Pay(now, long)
	assert.Assert(t, paid)
	accounts.Settle(now, long, 700, true)
	// 2000 - 250 - 0 - 750 = 1000 tokens are left.
	over := accounts.NewCharge(now, workspace, rate, 1, 1001, 0)
	paid, _ = accounts.Pay(now, over)
	assert.Assert(t, !paid)
	accounts.CancelWait(over)
	exact := accounts.NewCharge(now, workspace, rate, 1, 1000, 0)
	paid, _ = accounts.Pay(now, exact)
	assert.Assert(t, paid)
}
