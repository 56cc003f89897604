// Package retrier decides whether a failed request is retried at another
// endpoint.
//
// Only the entry router, which received the request from the client, retries. It
// retries a request that was certainly not executed, or that is idempotent, as
// long as the deadline allows another attempt. A retry budget keeps the retries
// of the fleet below a fixed fraction of its requests.
package retrier

import (
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// Verdict is the kind of reaction to a failed attempt.
type Verdict int

const (
	// Final means that the failure is returned to the client.
	Final Verdict = iota
	// Elsewhere means that the request may be retried at another endpoint.
	Elsewhere
	// Redirect means that the request reached a router that does not own the
	// endpoint or shard. Following the redirect is not a retry.
	Redirect
)

// String returns the name of the verdict for logs.
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

// Classify returns the verdict for an attempt that failed with err. idempotent
// states that the request may be sent more than once, either because executing it
// again is harmless or because the receiver executes it at most once per
// idempotency key.
func Classify(err error, idempotent bool) Verdict {
	if err == nil {
		return Final
	}
	var refusal *bergamotdale.Refusal
	if !errors.As(err, &refusal) {
		// Without an outcome the request may have been executed before the error.
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
		// The cause is the request, the configuration, the quota or the deadline,
		// so another endpoint would return the same failure.
		return Final
	}
}

// elsewhereIf returns Elsewhere if a retry is safe, and Final otherwise.
func elsewhereIf(safe bool) Verdict {
	if safe {
		return Elsewhere
	}
	return Final
}

// Failure describes a failed attempt of a request.
type Failure struct {
	Err error
	// Idempotent states that the request may be sent more than once, as in
	// Classify.
	Idempotent bool
	// Attempt is the number of attempts so far, at least one.
	Attempt int
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	// ExpectedDuration is the time that another attempt usually takes.
	ExpectedDuration time.Duration
	// Seed makes the jitter of the delay reproducible, for example the hash of the
	// request id.
	Seed uint64
}

// Decision is the reaction to a failed attempt.
type Decision struct {
	Verdict Verdict
	// Delay is the time to wait before the retry if the verdict is Elsewhere.
	Delay time.Duration
	// Refusal is the response to the client if the verdict is Final.
	Refusal *bergamotdale.Refusal
}

// Policy limits the retries of one request.
type Policy struct {
	// AttemptLimit is the maximum number of attempts, including the first one.
	AttemptLimit int
	Backoff      Backoff
}

// DefaultPolicy allows three attempts.
var DefaultPolicy = Policy{AttemptLimit: 3, Backoff: DefaultBackoff}

// Decide returns the reaction to the failure. It takes a retry from the budget
// only if the verdict is Elsewhere.
func (p Policy) Decide(f Failure, b *Budget) Decision {
	verdict := Classify(f.Err, f.Idempotent)
	if verdict == Redirect {
		return Decision{Verdict: Redirect}
	}
	if verdict == Final || f.Attempt >= p.AttemptLimit {
		return Decision{Refusal: refusalOf(f.Err)}
	}
	delay := p.Backoff.Delay(f.Attempt, f.Seed)
	if delay+f.ExpectedDuration >= f.TimeLeft {
		return Decision{Refusal: refusalOf(f.Err)}
	}
	if !b.Take() {
		return Decision{Refusal: budgetExhausted(f.Err)}
	}
	return Decision{Verdict: Elsewhere, Delay: delay}
}

// refusalOf returns the refusal that err wraps, or a new one with an unknown
// outcome and err as its cause.
func refusalOf(err error) *bergamotdale.Refusal {
	var refusal *bergamotdale.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return bergamotdale.Refuse(bergamotdale.CodeEndpointFailed, "the endpoint failed without reporting an outcome").
		WithOutcome(bergamotdale.OutcomeUnknown).
		WithCause(err)
}

// budgetExhausted returns the refusal of a request that the budget does not allow
// to retry. It keeps the outcome of the failure.
func budgetExhausted(err error) *bergamotdale.Refusal {
	cause := refusalOf(err)
	return bergamotdale.Refuse(bergamotdale.CodeRetryBudgetSpent, "retry budget exhausted after failure %s", cause.Code).
		WithOutcome(cause.Outcome).
		WithCause(err).
		After(max(cause.RetryAfter, ExhaustedRetryAfter))
}
