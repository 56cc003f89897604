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

// Guards against retries of requests that were executed, that may have been
// executed and are not idempotent, or that fail at every endpoint.
func TestClassify(t *testing.T) {
	outcomes := []bergamotdale.Outcome{
		bergamotdale.OutcomeRun, bergamotdale.OutcomeNotRun, bergamotdale.OutcomeUnknown, "",
	}
	for _, code := range bergamotdale.Codes() {
		for _, o := range outcomes {
			err := error(bergamotdale.Refuse(code, "refused").WithOutcome(o))
			nonIdempotent := retrier.Classify(errors.Trace(err), false)
			idempotent := retrier.Classify(err, true)
			if nonIdempotent == retrier.Elsewhere {
				assert.Equal(t, o, bergamotdale.OutcomeNotRun, "%s", code)
				assert.Equal(t, idempotent, retrier.Elsewhere)
			}
			if o == bergamotdale.OutcomeRun && code != bergamotdale.CodeNotOwner {
				assert.Equal(t, idempotent, retrier.Final, "%s", code)
			}
			if code < 300 {
				assert.Equal(t, idempotent, retrier.Final, "%s", code)
			}
		}
	}
	lost := errors.New("connection lost")
	assert.Equal(t, retrier.Classify(lost, false), retrier.Final)
	assert.Equal(t, retrier.Classify(lost, true), retrier.Elsewhere)
	notOwner := bergamotdale.Refuse(bergamotdale.CodeNotOwner, "moved").WithOutcome(bergamotdale.OutcomeUnknown)
	assert.Equal(t, retrier.Classify(notOwner, false), retrier.Redirect)
}

// Guards against retries that exceed a tenth of the requests over a long period.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retrier.NewBudget()
		requests, retries := 0, 0
		for _, isRequest := range rapid.SliceOfN(rapid.Bool(), 0, 300).Draw(t, "first-or-retry") {
			if isRequest {
				b.AddRequest()
				requests++
			} else if b.Take() {
				retries++
			}
			assert.Assert(t, float64(retries) <= retrier.BudgetCapacity+float64(requests)/10+1e-6)
		}
	})
}

// Guards against an empty budget that allows a retry before ten requests have
// refilled it, or not after ten.
func TestBudgetRefills(t *testing.T) {
	b := retrier.NewBudget()
	for b.Take() {
	}
	for range 10 {
		assert.Assert(t, !b.Take())
		b.AddRequest()
	}
	assert.Assert(t, b.Take())
}

// Guards against retries after the deadline, above the number of attempts or
// without budget, and against refusals that lose their outcome or their retry
// time.
func TestDecide(t *testing.T) {
	full := bergamotdale.Refuse(bergamotdale.CodeOverloaded, "full").After(3 * time.Second)
	exhausted := retrier.NewBudget()
	for exhausted.Take() {
	}
	tests := map[string]struct {
		failure retrier.Failure
		budget  *retrier.Budget
		verdict retrier.Verdict
		code    bergamotdale.Code
	}{
		"retry":        {retrier.Failure{Err: full, Attempt: 1, TimeLeft: time.Minute}, retrier.NewBudget(), retrier.Elsewhere, 0},
		"attempts":     {retrier.Failure{Err: full, Attempt: 3, TimeLeft: time.Minute}, retrier.NewBudget(), retrier.Final, full.Code},
		"deadline":     {retrier.Failure{Err: full, Attempt: 1, TimeLeft: time.Second, ExpectedDuration: time.Second}, retrier.NewBudget(), retrier.Final, full.Code},
		"budget spent": {retrier.Failure{Err: full, Attempt: 1, TimeLeft: time.Minute}, exhausted, retrier.Final, bergamotdale.CodeRetryBudgetSpent},
		"lost":         {retrier.Failure{Err: errors.New("lost"), Attempt: 1, TimeLeft: time.Minute}, retrier.NewBudget(), retrier.Final, bergamotdale.CodeEndpointFailed},
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

// Guards against delays outside their limits and different delays for the same
// seed.
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
