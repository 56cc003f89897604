package quoter

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

// refillWait is the longest refill that a request waits for. The bucket of a
// holder that has just taken over is empty, but holds enough a moment later.
const refillWait = 50 * time.Millisecond

// Admission is a request that was charged to its workspace.
type Admission struct {
	quoter *Quoter
	charge *Charge
	// from is the number of tokens that the client had before.
	from int
}

// Admit charges a completion to its workspace. A refusal has CodeQuotaExceeded
// and tells when to come back.
func (q *Quoter) Admit(ctx context.Context, c bergamotdale.Completion) (*Admission, error) {
	rate, ok := q.Rate(c.Workspace)
	if !ok {
		return nil, bergamotdale.Refuse(bergamotdale.CodeUnknownWorkspace, "no workspace %q", c.Workspace)
	}
	prompt, output := c.PromptTokens, max(c.MaxTokens-c.ResumeFrom, 0)
	if c.ResumeFrom > 0 {
		// The prompt was charged when the stream began.
		prompt = 0
	}
	q.mu.Lock()
	charge := q.entry.Begin(q.Clock.Now(), c.Workspace, rate, len(q.Membership.Owners()), prompt, output)
	resumed := c.ResumeFrom > 0 && q.entry.Resume(q.Clock.Now(), charge)
	q.mu.Unlock()
	a := &Admission{quoter: q, charge: charge, from: c.ResumeFrom}
	if resumed {
		return a, nil
	}
	if refusal := q.wait(ctx, charge); refusal != nil {
		return nil, refusal
	}
	return a, nil
}

// wait takes the charge, with a short wait where a holder has to be asked.
func (q *Quoter) wait(ctx context.Context, c *Charge) error {
	var expired <-chan time.Time
	for {
		q.mu.Lock()
		taken, after := q.entry.Take(q.Clock.Now(), c)
		changed := q.changed
		q.mu.Unlock()
		if taken {
			return nil
		}
		if after > refillWait {
			return exceeded(c.workspace, after)
		}
		if expired == nil {
			expired = q.Clock.After(MaxWait)
		}
		var refilled <-chan time.Time
		if after > 0 {
			refilled = q.Clock.After(after)
		} else {
			q.awaken()
		}
		select {
		case <-changed:
		case <-refilled:
		case <-expired:
			q.abandon(c)
			return exceeded(c.workspace, retryTime)
		case <-ctx.Done():
			q.abandon(c)
			return exceeded(c.workspace, retryTime).WithCause(ctx.Err())
		}
	}
}

// abandon ends the wait of a request.
func (q *Quoter) abandon(c *Charge) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.entry.Abandon(c)
}

// exceeded is the refusal of a request above the quota.
func exceeded(workspace string, after time.Duration) *bergamotdale.Refusal {
	return bergamotdale.Refuse(bergamotdale.CodeQuotaExceeded,
		"workspace %q is over its quota of tokens per second", workspace).After(after)
}

// settle corrects the charge by the real output. Only the first call counts.
func (a *Admission) settle(output int, ran bool) {
	a.quoter.mu.Lock()
	defer a.quoter.mu.Unlock()
	a.quoter.entry.Settle(a.quoter.Clock.Now(), a.charge, output, ran)
}

// Refund takes back the charge of a request that was not run.
func (a *Admission) Refund() {
	a.settle(0, false)
}

// Stream returns the stream of the request, which corrects the charge at its
// end.
func (a *Admission) Stream(s bergamotdale.FrameStream) bergamotdale.FrameStream {
	return &meter{FrameStream: s, admission: a}
}

// meter counts the output of a stream. It may be closed while it is read.
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
		m.refused(refusal.Outcome)
	case err != nil && !errors.Is(err, io.EOF):
		m.ended(true)
	case f.Kind == bergamotdale.FrameData:
		m.output.Store(int64(f.Offset + len(f.Tokens) - m.admission.from))
	case f.Kind == bergamotdale.FrameEnd:
		m.ended(true)
	case f.Kind == bergamotdale.FrameRefusal && f.Refusal != nil:
		m.refused(f.Refusal.Outcome)
	}
	return f, err
}

// refused settles the charge of a stream that ended with a refusal.
func (m *meter) refused(outcome bergamotdale.Outcome) {
	m.ended(outcome != bergamotdale.OutcomeNotRun)
}

// ended settles the charge. What has produced output did run.
func (m *meter) ended(ran bool) {
	output := int(m.output.Load())
	m.admission.settle(output, ran || output > 0)
}

// Close implements bergamotdale.FrameStream.
func (m *meter) Close() error {
	err := m.FrameStream.Close()
	m.ended(true)
	return err
}
