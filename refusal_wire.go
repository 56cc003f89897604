package bergamotdale

import (
	"context"
	"errors"
	"time"
)

// AsRefusal returns the refusal in the error chain of err. It converts any other error
// to a refusal with OutcomeUnknown, because the error does not tell whether the call
// was executed.
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

// Wire returns the refusal in the form that is sent as JSON.
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

// Refusal converts the JSON form back to a refusal. A missing or invalid outcome
// becomes OutcomeUnknown.
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
