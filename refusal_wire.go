package bergamotdale

import (
	"context"
	"errors"
	"time"
)

// AsRefusal returns the refusal in the chain of err. Any other error becomes a
// refusal with an unknown outcome, because nothing is known about the call.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return Refuse(CodeDeadlineExceeded, "deadline exceeded").WithOutcome(OutcomeUnknown).WithCause(err)
	}
	return Refuse(CodeInternal, "internal error").WithOutcome(OutcomeUnknown).WithCause(err)
}

// Wire returns the JSON form of the refusal.
func (r *Refusal) Wire(requestID string) *WireRefusal {
	return &WireRefusal{
		Code:         r.Code,
		Name:         r.Code.String(),
		Message:      r.Message,
		Outcome:      r.Outcome,
		RequestID:    requestID,
		RetryAfterMS: r.RetryAfter.Milliseconds(),
		Redirect:     r.Redirect,
	}
}

// Refusal returns the refusal that the wire form stands for. A missing outcome
// is unknown.
func (w *WireRefusal) Refusal() *Refusal {
	outcome := w.Outcome
	if outcome != OutcomeRun && outcome != OutcomeNotRun {
		outcome = OutcomeUnknown
	}
	return &Refusal{
		Code:       w.Code,
		Message:    w.Message,
		Outcome:    outcome,
		RetryAfter: time.Duration(w.RetryAfterMS) * time.Millisecond,
		Redirect:   w.Redirect,
	}
}
