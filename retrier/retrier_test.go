package retrier_test

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/retrier"
)

// Guards against a retry of a call that may have been executed, of a request
// that fails everywhere, and of one that was executed.
func TestClassify(t *testing.T) {
	outcomes := []bergamotdale.Outcome{
		bergamotdale.OutcomeRun, bergamotdale.OutcomeNotRun, bergamotdale.OutcomeUnknown, "",
	}
	for _, code := range bergamotdale.Codes() {
		for _, o := range outcomes {
			err := error(bergamotdale.Refuse(code, "refused").WithOutcome(o))
			once := retrier.Classify(errors.Trace(err), false)
			twice := retrier.Classify(err, true)
			if once == retrier.Elsewhere {
				assert.Equal(t, o, bergamotdale.OutcomeNotRun, "%s", code)
				assert.Equal(t, twice, retrier.Elsewhere)
			}
			if o == bergamotdale.OutcomeRun && code != bergamotdale.CodeNotOwner {
				assert.Equal(t, twice, retrier.Final, "%s", code)
			}
			if code < 300 {
				assert.Equal(t, twice, retrier.Final, "%s", code)
			}
		}
	}
	lost := errors.New("connection lost")
	assert.Equal(t, retrier.Classify(lost, false), retrier.Final)
	assert.Equal(t, retrier.Classify(lost, true), retrier.Elsewhere)
	notOwner := bergamotdale.Refuse(bergamotdale.CodeNotOwner, "moved").WithOutcome(bergamotdale.OutcomeUnknown)
	assert.Equal(t, retrier.Classify(notOwner, false), retrier.Redirect)
}

// Guards against more retries than a tenth of the requests over a long time.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retrier.NewBudget()
		firsts, retries := 0, 0
		for _, first := range rapid.SliceOfN(rapid.Bool(), 0, 300).Draw(t, "first-or-retry") {
			if first {
				b.First()
				firsts++
			} else if b.Take() {
				retries++
			}
			assert.Assert(t, float64(retries) <= retrier.BudgetCapacity+float64(firsts)/10+1e-6)
		}
	})
}

// Guards against an empty budget that ten requests do not refill by a retry.
func TestBudgetRefills(t *testing.T) {
	b := retrier.NewBudget()
	for b.Take() {
	}
	for range 10 {
		assert.Assert(t, !b.Take())
		b.First()
	}
	assert.Assert(t, b.Take())
}

// Guards against a retry past the deadline, past the attempts or without
// budget, and against a refusal that loses its outcome or its retry time.
func TestDecide(t *testing.T) {
	full := bergamotdale.Refuse(bergamotdale.CodeOverloaded, "full").After(3 * time.Second)
	spent := retrier.NewBudget()
	for spent.Take() {
	}
	tests := map[string]struct {
		failure retrier.Failure
		budget  *retrier.Budget
		verdict retrier.Verdict
		code    bergamotdale.Code
	}{
		"retry":        {retrier.Failure{Err: full, Attempt: 1, Left: time.Minute}, retrier.NewBudget(), retrier.Elsewhere, 0},
		"attempts":     {retrier.Failure{Err: full, Attempt: 3, Left: time.Minute}, retrier.NewBudget(), retrier.Final, full.Code},
		"deadline":     {retrier.Failure{Err: full, Attempt: 1, Left: time.Second, Expected: time.Second}, retrier.NewBudget(), retrier.Final, full.Code},
		"budget spent": {retrier.Failure{Err: full, Attempt: 1, Left: time.Minute}, spent, retrier.Final, bergamotdale.CodeRetryBudgetSpent},
		"lost":         {retrier.Failure{Err: errors.New("lost"), Attempt: 1, Left: time.Minute}, retrier.NewBudget(), retrier.Final, bergamotdale.CodeEndpointFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			before := test.budget.Level()
			d := retrier.DefaultPolicy.Decide(test.failure, test.budget)
			assert.Equal(t, d.Verdict, test.verdict)
			if test.verdict == retrier.Elsewhere {
				assert.Equal(t, test.budget.Level(), before-1)
				return
			}
			assert.Equal(t, test.budget.Level(), before)
			assert.Equal(t, d.Refusal.Code, test.code)
			if name == "budget spent" {
				assert.Equal(t, d.Refusal.RetryAfter, 3*time.Second)
				assert.Equal(t, d.Refusal.Outcome, bergamotdale.OutcomeNotRun)
			}
			if name == "lost" {
				assert.Equal(t, d.Refusal.Outcome, bergamotdale.OutcomeUnknown)
			}
		})
	}
}

// Guards against delays outside the bounds and delays that differ for a seed.
func TestBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempt := rapid.IntRange(1, 100).Draw(t, "attempt")
		seed := rapid.Uint64().Draw(t, "seed")
		d := retrier.DefaultBackoff.Delay(attempt, seed)
		assert.Equal(t, d, retrier.DefaultBackoff.Delay(attempt, seed))
		assert.Assert(t, d >= 0 && d <= retrier.DefaultBackoff.Max)
		if attempt == 1 {
			assert.Assert(t, d <= retrier.DefaultBackoff.Base)
		}
	})
}
