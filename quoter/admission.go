package quoter

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

// maxRefillWait is the longest time that a request waits for the holder's bucket
// to refill; a longer one refuses the request. The bucket of a holder that has
// just taken over is empty, but has enough tokens a moment later.
const maxRefillWait = 50 * time.Millisecond

// Admission is a request that has been charged to its workspace.
type Admission struct {
	quoter *Quoter
	charge *Charge
	// resumeFrom is the number of output tokens that the client had received
	// before a resumed request.
	resumeFrom int
}

// Admit charges a completion to its workspace. If the workspace is over its
// quota, the refusal has CodeQuotaExceeded and a retry time.
func (q *Quoter) Admit(ctx context.Context, c bergamotdale.Completion) (*Admission, error) {
	rate, ok := q.Rate(c.Workspace)
	if !ok {
		return nil, bergamotdale.Refuse(bergamotdale.CodeUnknownWorkspace, "workspace %q does not exist", c.Workspace)
	}
	prompt, output := c.PromptTokens, max(c.MaxTokens-c.ResumeFrom, 0)
	if c.ResumeFrom > 0 {
		// The prompt was charged when the stream started.
		prompt = 0
	}
	q.mu.Lock()
	charge := q.accounts.NewCharge(q.Clock.Now(), c.Workspace, rate, len(q.Membership.Owners()), prompt, output)
	resumed := c.ResumeFrom > 0 && q.accounts.ChargeResumed(q.Clock.Now(), charge)
	q.mu.Unlock()
	a := &Admission{quoter: q, charge: charge, resumeFrom: c.ResumeFrom}
	if resumed {
		return a, nil
	}
	if refusal := q.waitForGrant(ctx, charge); refusal != nil {
		return nil, refusal
	}
	return a, nil
}

// waitForGrant pays the charge. It waits up to MaxWait for a grant if the grants
// at hand do not cover the charge.
func (q *Quoter) waitForGrant(ctx context.Context, c *Charge) error {
	var expired <-chan time.Time
	for {
		q.mu.Lock()
		paid, after := q.accounts.Pay(q.Clock.Now(), c)
		changed := q.changed
		q.mu.Unlock()
		if paid {
			return nil
		}
		if after > maxRefillWait {
			return quotaExceeded(c.workspace, after)
		}
		if expired == nil {
			expired = q.Clock.After(MaxWait)
		}
		var refilled <-chan time.Time
		if after > 0 {
			refilled = q.Clock.After(after)
		} else {
			q.triggerSend()
		}
		select {
		case <-changed:
		case <-refilled:
		case <-expired:
			q.cancelWait(c)
			return quotaExceeded(c.workspace, defaultRetryAfter)
		case <-ctx.Done():
			q.cancelWait(c)
			return quotaExceeded(c.workspace, defaultRetryAfter).WithCause(ctx.Err())
		}
	}
}

// cancelWait ends the wait of a request for a grant.
func (q *Quoter) cancelWait(c *Charge) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.accounts.CancelWait(c)
}

// quotaExceeded returns the refusal of a request whose workspace is over its
// quota. The client may retry after the given time.
func quotaExceeded(workspace string, after time.Duration) *bergamotdale.Refusal {
	return bergamotdale.Refuse(bergamotdale.CodeQuotaExceeded,
		"workspace %q is over its quota of tokens per second", workspace).After(after)
}

// settle corrects the charge by the actual output. Only the first call has an
// effect.
func (a *Admission) settle(output int, ran bool) {
	a.quoter.mu.Lock()
	defer a.quoter.mu.Unlock()
	a.quoter.accounts.Settle(a.quoter.Clock.Now(), a.charge, output, ran)
}

// Refund cancels the charge of a request that did not run.
func (a *Admission) Refund() {
	a.settle(0, false)
}

// Stream wraps the stream of the request so that the charge is settled when the
// stream ends.
func (a *Admission) Stream(s bergamotdale.FrameStream) bergamotdale.FrameStream {
	return &meter{FrameStream: s, admission: a}
}

// meter counts the output tokens of a stream. Close may be called concurrently
// with Next.
type meter struct {
	bergamotdale.FrameStream
	admission *Admission
	output    atomic.Int64
}

// Next implements bergamotdale.FrameStream.
func (m *meter) Next() (bergamotdale.Frame, error) {
	f, err := m.FrameStream.Next()
	var refusal *bergamotdale.Refusal
	switch {
	case errors.As(err, &refusal):
		m.settleRefused(refusal.Outcome)
	case err != nil && !errors.Is(err, io.EOF):
		m.settleEnded(true)
	case f.Kind == bergamotdale.FrameData:
		m.output.Store(int64(f.Offset + len(f.Tokens) - m.admission.resumeFrom))
	case f.Kind == bergamotdale.FrameEnd:
		m.settleEnded(true)
	case f.Kind == bergamotdale.FrameRefusal && f.Refusal != nil:
		m.settleRefused(f.Refusal.Outcome)
	}
	return f, err
}

// settleRefused settles the charge of a stream that ended with a refusal.
func (m *meter) settleRefused(outcome bergamotdale.Outcome) {
	m.settleEnded(outcome != bergamotdale.OutcomeNotRun)
}

// settleEnded settles the charge of a stream that ended. A request that has
// produced output counts as run.
func (m *meter) settleEnded(ran bool) {
	output := int(m.output.Load())
	m.admission.settle(output, ran || output > 0)
}

// Close implements bergamotdale.FrameStream.
func (m *meter) Close() error {
	err := m.FrameStream.Close()
	m.settleEnded(true)
	return err
}
