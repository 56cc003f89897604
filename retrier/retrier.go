// Package retrier decides whether a failed request is tried again. Only the
// entry router retries. It retries what was certainly not executed or may be
// executed twice, at another endpoint, within the time left and under a budget
// that keeps the fleet's retries below a fixed part of its requests.
package retrier

import (
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// Verdict tells what may be done after a failure.
type Verdict int

const (
	// Final means that the failure is the response.
	Final Verdict = iota
	// Elsewhere means that another endpoint may be tried.
	Elsewhere
	// Redirect means that the request reached a router that does not own the
	// endpoint or shard. Following the redirect is not a retry.
	Redirect
)

// String returns the name of the verdict in logs.
func (v Verdict) String() string {
	switch v {
	case Elsewhere:
		return "elsewhere"
	case Redirect:
		return "redirect"
	default:
		return "final"
	}
}

// Classify returns what may be done after err. idempotent states that the
// request may be executed more than once, either by its nature or because the
// receiver executes it at most once per idempotency key.
func Classify(err error, idempotent bool) Verdict {
	if err == nil {
		return Final
	}
	var refusal *bergamotdale.Refusal
	if !errors.As(err, &refusal) {
		// An error without an outcome may have followed the execution.
		return elsewhereIf(idempotent)
	}
	safe := refusal.Outcome == bergamotdale.OutcomeNotRun || idempotent
	switch refusal.Code {
	case bergamotdale.CodeNotOwner:
		return Redirect
	case bergamotdale.CodeOverloaded,
		bergamotdale.CodeWaitTooLong,
		bergamotdale.CodeNoEndpoint,
		bergamotdale.CodeStopping,
		bergamotdale.CodeEndpointRefused,
		bergamotdale.CodeEndpointFailed,
		bergamotdale.CodeStreamLost,
		bergamotdale.CodePeer:
		return elsewhereIf(safe && refusal.Outcome != bergamotdale.OutcomeRun)
	default:
		// The cause lies in the request, the configuration, the quota or the
		// deadline, so another endpoint gives the same response.
		return Final
	}
}

func elsewhereIf(safe bool) Verdict {
	if safe {
		return Elsewhere
	}
	return Final
}

// Failure is a failed attempt of a request.
type Failure struct {
	Err error
	// Idempotent is as in Classify.
	Idempotent bool
	// Attempt is the number of attempts so far, at least one.
	Attempt int
	// Left is the time before the deadline of the request.
	Left time.Duration
	// Expected is the time that another attempt usually needs.
	Expected time.Duration
	// Seed makes the jitter reproducible; the hash of the request id serves.
	Seed uint64
}

// Decision is what to do after a failure.
type Decision struct {
	Verdict Verdict
	// Delay is the time to wait before the retry.
	Delay time.Duration
	// Refusal is the final response where the verdict is Final.
	Refusal *bergamotdale.Refusal
}

// Policy bounds the retries of one request.
type Policy struct {
	// Attempts is the number of attempts in all.
	Attempts int
	Backoff  Backoff
}

// DefaultPolicy allows three attempts.
var DefaultPolicy = Policy{Attempts: 3, Backoff: DefaultBackoff}

// Decide returns what to do after the failure. It takes a token from the
// budget only where the verdict is Elsewhere.
func (p Policy) Decide(f Failure, b *Budget) Decision {
	verdict := Classify(f.Err, f.Idempotent)
	if verdict == Redirect {
		return Decision{Verdict: Redirect}
	}
	if verdict == Final || f.Attempt >= p.Attempts {
		return Decision{Refusal: refusalOf(f.Err)}
	}
	delay := p.Backoff.Delay(f.Attempt, f.Seed)
	if delay+f.Expected >= f.Left {
		return Decision{Refusal: refusalOf(f.Err)}
	}
	if !b.Take() {
		return Decision{Refusal: budgetSpent(f.Err)}
	}
	return Decision{Verdict: Elsewhere, Delay: delay}
}

// refusalOf returns the refusal in err, or one with an unknown outcome.
func refusalOf(err error) *bergamotdale.Refusal {
	var refusal *bergamotdale.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return bergamotdale.Refuse(bergamotdale.CodeEndpointFailed, "endpoint failed").
		WithOutcome(bergamotdale.OutcomeUnknown).
		WithCause(err)
}

// budgetSpent keeps the outcome of the failure and states when to retry.
func budgetSpent(err error) *bergamotdale.Refusal {
	cause := refusalOf(err)
	return bergamotdale.Refuse(bergamotdale.CodeRetryBudgetSpent, "retry budget spent after %s", cause.Code).
		WithOutcome(cause.Outcome).
		WithCause(err).
		After(max(cause.RetryAfter, SpentRetryAfter))
}
