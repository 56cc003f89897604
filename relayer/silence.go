package relayer

import (
	"context"
	"io"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/dialer"
	"github.com/bergamotdale/bergamotdale/retrier"
	"github.com/bergamotdale/bergamotdale/subscriber"
	"github.com/bergamotdale/bergamotdale/watchdog"
)

// watchdog returns the watchdog for an attempt at the target.
func (j *job) watchdog(ctx context.Context, target subscriber.Endpoint) *watchdog.Watchdog {
	r, route := j.relayer, j.verdict.Route
	tried, sends := maps.Clone(j.tried), j.sends
	monitor := &watchdog.Watchdog{
		Probe: func() error { return r.Dialer.Probe(target.Address) }, ProbeReliable: r.Health.Healthy,
		Prepare:       func() watchdog.Takeover { return j.prepareSuccessor(ctx, tried, sends) },
		OnUnreachable: func(err error) { j.suspendEndpoint(target, "silent", err) },
		OnKept:        func(silence time.Duration) { j.logKept(target, silence) },
		Clock:         r.Clock,
	}
	if route.Idempotent() && route.Objective > 0 {
		monitor.FirstByteTimeout = watchdog.FirstByteTimeout(route.Objective)
	}
	if route.Kind == bergamotdale.RouteStream {
		monitor.RefusalTimeout = watchdog.StreamRefusalTimeout
	}
	return monitor
}

// successor is an attempt at another endpoint that can take a request over from a
// silent one. Its connection is open, so that a request does not leave its endpoint
// for one that is silent as well.
type successor struct {
	job    *job
	choice choice
	conn   *dialer.Conn
}

// Reserve implements watchdog.Takeover. The attempt is charged to the retry budget.
func (s *successor) Reserve() bool {
	silent := bergamotdale.Refuse(bergamotdale.CodeEndpointFailed, "the endpoint is silent").WithOutcome(bergamotdale.OutcomeUnknown)
	if !s.job.isOfPin(s.choice.target) || s.job.decideRetry(silent).Verdict != retrier.Elsewhere {
		return false
	}
	s.job.successor.Store(s)
	return true
}

// Discard implements watchdog.Takeover.
func (s *successor) Discard() { _ = s.conn.Close() }

// prepareSuccessor returns an attempt at an endpoint that is not in tried, or nil if
// none may take the request over. It runs beside the current attempt.
func (j *job) prepareSuccessor(ctx context.Context, tried map[string]bool, sends int) watchdog.Takeover {
	r, route := j.relayer, j.verdict.Route
	if !route.Idempotent() || sends >= route.MaxAttempts || j.budget().Level() < 1 {
		return nil
	}
	next, refusal := j.place(j.withoutCold(tried))
	if refusal != nil || next.suspended {
		return nil
	}
	conn, err := r.dial(ctx, next.target)
	if err != nil {
		if ctx.Err() == nil {
			j.suspendEndpoint(next.target, "no connection", err)
		}
		return nil
	}
	if j.recheck(next.target) != nil || r.needsTurn(conn, next.target) {
		_ = conn.Close()
		return nil
	}
	return &successor{job: j, choice: next, conn: conn}
}

// hasAlternative reports whether another endpoint is left that probably responds.
func (j *job) hasAlternative() bool {
	next, refusal := j.place(j.withoutCold(j.tried))
	return refusal == nil && !next.suspended && j.recheck(next.target) == nil
}

// connect returns the connection for an attempt at the target.
func (j *job) connect(ctx context.Context, target subscriber.Endpoint) (*dialer.Conn, error) {
	if conn := j.conn; conn != nil {
		j.conn = nil
		return conn, nil
	}
	return j.relayer.dial(ctx, target)
}

// markTakenOver marks the failure of an attempt whose successor is already reserved.
func (j *job) markTakenOver(monitor *watchdog.Watchdog, fail *failure) *failure {
	monitor.Disarm()
	if fail != nil && j.successor.Load() != nil {
		fail.retryCharged = true
	}
	return fail
}

// discardSuccessor releases a successor that was not needed.
func (j *job) discardSuccessor() {
	if s := j.successor.Swap(nil); s != nil {
		s.Discard()
	}
}

// logKept logs that the request waits for a silent endpoint because no other one can
// take it over.
func (j *job) logKept(target subscriber.Endpoint, silence time.Duration) {
	j.relayer.Logger.Info("request kept at a silent endpoint", zap.String("request-id", j.envelope.RequestID),
		zap.String("endpoint", target.ID), zap.Duration("silence", silence), zap.Int("sends", j.sends),
		zap.Bool("idempotent", j.verdict.Route.Idempotent()), zap.Float64("budget", j.budget().Level()))
}

// watchedReader tells the watchdog of the data that it reads.
type watchedReader struct {
	io.Reader
	monitor *watchdog.Watchdog
}

// Read implements io.Reader.
func (r watchedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.monitor.RecordData()
	}
	return n, err
}
