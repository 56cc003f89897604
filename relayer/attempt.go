package relayer

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/dialer"
	"github.com/bergamotdale/bergamotdale/flusher"
	"github.com/bergamotdale/bergamotdale/retrier"
	"github.com/bergamotdale/bergamotdale/subscriber"
	"github.com/bergamotdale/bergamotdale/tracker"
	"github.com/bergamotdale/bergamotdale/watchdog"
)

const (
	// maxHeldBody is the size up to which a plain response is complete before
	// the client gets its first byte, so that a broken one can be replaced.
	maxHeldBody = 256 << 10
	// readSize is the size of one read of a response, in bytes.
	readSize = 4 << 10
)

// failure is an attempt that did not complete the response.
type failure struct {
	refusal *bergamotdale.Refusal
	// sent is false only if no byte of the request was written.
	sent bool
	// granted states that the retry budget has been charged already.
	granted bool
	// final states that no other attempt may follow.
	final bool
	// cut states that the connection ended before the response.
	cut bool
}

func notSent(refusal *bergamotdale.Refusal) *failure { return &failure{refusal: refusal} }

func lost(err error, format string, args ...any) *failure {
	refusal := bergamotdale.Refuse(bergamotdale.CodeEndpointFailed, format, args...)
	return &failure{refusal: refusal.WithOutcome(bergamotdale.OutcomeUnknown).WithCause(err), sent: true}
}

// attempt sends the request to the endpoint and relays the response. It returns
// nil once the response is complete.
func (j *job) attempt(ctx context.Context, target subscriber.Endpoint) *failure {
	r := j.relayer
	conn, err := r.Dialer.Get(ctx, target.Address)
	if err != nil {
		j.tried[target.ID] = true
		if ctx.Err() == nil {
			j.unreachable(target, "no connection", err)
		}
		return notSent(bergamotdale.Refuse(bergamotdale.CodeNoEndpoint, "endpoint %s is unreachable", target.ID).
			WithCause(err).After(refusedRetryAfter))
	}
	if refusal := j.stillAllowed(target); refusal != nil {
		conn.Close()
		j.tried[target.ID] = true
		return notSent(refusal)
	}
	j.tried[target.ID] = true
	j.sends++
	r.Tracker.Begin(target.ID, target.Service)
	result := tracker.Result{}
	defer func() { r.Tracker.End(target.ID, target.Service, result) }()
	begun := r.Clock.Now()
	w := j.watchdog(target)
	watched := w.Watch(ctx)
	defer w.Stop()
	x, err := r.Dialer.Send(watched, conn, j.outgoing(target))
	if err != nil {
		// A client that gave up on a mute endpoint shows a failure of that one.
		result.Failed = ctx.Err() == nil || r.Clock.Now().Sub(begun) >= watchdog.MinPatience
		return j.sendFailure(ctx, target, err, context.Cause(watched))
	}
	defer x.Close()
	w.Note()
	result.Latency = r.Clock.Now().Sub(begun)
	fail := j.relay(ctx, target, x, w, &result)
	if fail != nil && fail.cut && ctx.Err() == nil {
		if cause := context.Cause(watched); cause != nil {
			fail.refusal.Cause = cause
		}
		j.investigate(target, fail.refusal.Cause)
	}
	if fail != nil && fail.sent && ctx.Err() == nil && fail.refusal.Outcome == bergamotdale.OutcomeUnknown {
		result.Failed = true
	}
	return fail
}

// watchdog returns the watchdog of an attempt at the target.
func (j *job) watchdog(target subscriber.Endpoint) *watchdog.Watchdog {
	r, route := j.relayer, j.verdict.Route
	w := &watchdog.Watchdog{
		Probe: func() error { return r.Dialer.Probe(target.Address) }, Trusted: r.Health.Sound, Clock: r.Clock,
	}
	if route.Idempotent() && j.sends < route.MaxAttempts && route.Objective > 0 {
		w.Patience = watchdog.Patience(route.Objective)
	}
	return w
}

// outgoing returns the request as the endpoint gets it.
func (j *job) outgoing(target subscriber.Endpoint) dialer.Request {
	r := j.relayer
	resume := j.framer.LastID()
	header := r.Dialect.AttemptHeader(j.request.Header, bergamotdale.AttemptHeaders{
		EndpointID:  target.ID,
		Workspace:   j.verdict.Workspace,
		TimeLeft:    max(time.Millisecond, j.deadline.Sub(r.Clock.Now())),
		Priority:    j.verdict.Priority,
		ResumeAfter: resume,
		CopyFrom:    j.copyFrom,
	})
	return dialer.Request{
		Method: j.request.Method,
		URI:    j.request.RequestURI,
		Host:   j.request.Host,
		Header: header,
		Body:   j.body,
		MatchesResponse: func(h http.Header) bool {
			id := r.Dialect.ResponseInfo(http.StatusOK, h).RequestID
			return id == "" || id == j.envelope.RequestID
		},
	}
}

// sendFailure converts a failure before the headers of the response.
func (j *job) sendFailure(ctx context.Context, target subscriber.Endpoint, err, cause error) *failure {
	var exchange *dialer.ExchangeError
	if errors.As(err, &exchange) && !exchange.Sent {
		return notSent(bergamotdale.Refuse(bergamotdale.CodeInternal, "the request could not be encoded").WithCause(err))
	}
	if cause != nil {
		// The watchdog ended the attempt, or the client did.
		err = cause
	}
	if ctx.Err() == nil {
		j.investigate(target, err)
	}
	return lost(err, "endpoint %s gave no response", target.ID)
}

// relay passes the response on, or returns why it cannot.
func (j *job) relay(ctx context.Context, target subscriber.Endpoint, x *dialer.Exchange, w *watchdog.Watchdog, result *tracker.Result) *failure {
	status := x.Response.StatusCode
	info := j.relayer.Dialect.ResponseInfo(status, x.Response.Header)
	switch {
	case info.NotExecuted:
		if _, err := io.Copy(io.Discard, io.LimitReader(x, maxHeldBody)); err != nil {
			j.relayer.Logger.Debug("refusal not read to its end", zap.String("endpoint", target.ID), zap.Error(err))
		}
		return &failure{sent: true, refusal: bergamotdale.Refuse(bergamotdale.CodeEndpointRefused,
			"endpoint %s refused with status %d", target.ID, status).After(refusedRetryAfter)}
	case j.started && status != http.StatusOK:
		return lost(nil, "endpoint %s answered a resumed stream with status %d", target.ID, status)
	case status < http.StatusMultipleChoices && !info.Signed:
		return lost(nil, "endpoint %s did not sign its response", target.ID)
	case status >= http.StatusInternalServerError && j.verdict.Route.Idempotent():
		result.Failed = true
		refusal := lost(nil, "endpoint %s failed with status %d", target.ID, status)
		if j.decide(refusal.refusal).Verdict == retrier.Elsewhere {
			refusal.granted = true
			return refusal
		}
	case status >= http.StatusInternalServerError:
		result.Failed = true
	}
	if promisesNotRun(status) && !j.verdict.Route.Idempotent() {
		return lost(nil, "endpoint %s answered status %d without saying whether it ran", target.ID, status)
	}
	if status == http.StatusOK && isEventStream(x.Response.Header) {
		return j.relayStream(ctx, target, x, w, result)
	}
	return j.relayPlain(ctx, target, x)
}

// promisesNotRun reports whether clients take the status as a promise that the
// request was not and will not be executed.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// relayPlain passes on a response that is not a stream. A small one is complete
// before the client gets any of it.
func (j *job) relayPlain(ctx context.Context, target subscriber.Endpoint, x *dialer.Exchange) *failure {
	held, err := io.ReadAll(io.LimitReader(x, maxHeldBody))
	complete := err == nil && len(held) < maxHeldBody
	if err != nil {
		fail := lost(err, "endpoint %s broke off its response", target.ID)
		fail.cut = true
		return fail
	}
	length := x.Response.ContentLength
	if complete {
		length = int64(len(held))
	}
	if j.request.Method == http.MethodHead {
		length = x.Response.ContentLength
	}
	j.begin(x, length)
	if _, err := j.writer.Write(held); err != nil {
		return &failure{sent: true, final: true, refusal: bergamotdale.Refuse(bergamotdale.CodeInternal, "the client is gone").WithCause(err).WithOutcome(bergamotdale.OutcomeRun)}
	}
	if !complete {
		if _, err := io.Copy(j.writer, x); err != nil {
			fail := lost(err, "endpoint %s broke off its response", target.ID)
			fail.final = true
			return fail
		}
	}
	j.relayer.Quarantine.Completed(j.fingerprint)
	return nil
}

// begin starts the response to the client with the headers of the endpoint's.
func (j *job) begin(x *dialer.Exchange, length int64) {
	h := j.writer.Header()
	for name, values := range j.relayer.Dialect.ResponseHeader(x.Response.Header) {
		h[name] = values
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if len(h["Content-Type"]) == 0 {
		// A nil value keeps net/http from guessing one.
		h["Content-Type"] = nil
	}
	j.started, j.status = true, x.Response.StatusCode
	j.first = j.relayer.Clock.Now().Sub(j.arrival)
	j.writer.WriteHeader(x.Response.StatusCode)
}

// relayStream passes on whole events as they arrive.
func (j *job) relayStream(ctx context.Context, target subscriber.Endpoint, x *dialer.Exchange, w *watchdog.Watchdog, result *tracker.Result) *failure {
	j.framer.Drop()
	out := flusher.New(j.writer)
	complete := false
	defer func() { out.Stop(complete) }()
	buffer := make([]byte, readSize)
	begun, before := j.relayer.Clock.Now(), j.framer.Events()
	for {
		n, err := x.Read(buffer)
		if n > 0 {
			w.Note()
		}
		events, frameErr := j.framer.Push(buffer[:n])
		if frameErr != nil {
			return lost(frameErr, "endpoint %s sent no events", target.ID)
		}
		if len(events) > 0 {
			if !j.started {
				j.begin(x, -1)
			}
			if writeErr := out.Write(events); writeErr != nil {
				return &failure{sent: true, final: true, refusal: bergamotdale.Refuse(bergamotdale.CodeInternal, "the client is gone").WithCause(writeErr).WithOutcome(bergamotdale.OutcomeRun)}
			}
		}
		if count := j.framer.Events() - before; count > 0 {
			result.Latency = j.relayer.Clock.Now().Sub(begun) / time.Duration(count)
		}
		if errors.Is(err, io.EOF) && j.framer.Pending() == 0 {
			if !j.started {
				j.begin(x, -1)
			}
			complete = true
			j.relayer.Quarantine.Completed(j.fingerprint)
			j.relayer.Locator.Held(j.key, target.ID)
			return nil
		}
		if err != nil {
			fail := lost(err, "endpoint %s broke off its stream after %d events", target.ID, j.framer.Events())
			fail.cut = true
			return fail
		}
	}
}

// unreachable suspends an endpoint.
func (j *job) unreachable(target subscriber.Endpoint, why string, err error) {
	r := j.relayer
	r.Health.Failed(target.ID)
	d := r.Tracker.Unreachable(r.Clock.Now(), target.ID, target.Service)
	r.Dialer.CloseIdle(target.Address)
	r.Logger.Warn("endpoint suspended", zap.String("endpoint", target.ID), zap.String("reason", why),
		zap.String("request-id", j.envelope.RequestID), zap.Duration("for", d), zap.Error(err))
}

// investigate finds out whether an endpoint that broke off an exchange has
// crashed: then it accepts no connections, and the request is suspected.
func (j *job) investigate(target subscriber.Endpoint, cause error) {
	r := j.relayer
	var exchange *dialer.ExchangeError
	switch {
	case errors.Is(cause, watchdog.ErrNoAnswer):
		return
	case errors.Is(cause, watchdog.ErrGone), errors.As(cause, &exchange) && exchange.TimedOut:
		j.unreachable(target, "silent", cause)
		r.Quarantine.Crashed(target.ID, []string{j.fingerprint})
		return
	}
	fingerprint := j.fingerprint
	go func() {
		r.Dialer.CloseIdle(target.Address)
		if err := r.Dialer.Probe(target.Address); err != nil {
			j.unreachable(target, "crashed", err)
			r.Quarantine.Crashed(target.ID, []string{fingerprint})
		}
	}()
}
