package relayer

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"syscall"
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
	// maxBufferedBody is the size, in bytes, below which a response other than a
	// stream is read completely before its first byte goes to the client. If a
	// response of this size is truncated, another endpoint can be tried instead.
	maxBufferedBody = 64 << 10
	// maxRefusalBody and refusalBodyTimeout limit what is read of an endpoint's
	// refusal, whose body only has to be read to reuse the connection.
	maxRefusalBody     = 16 << 10
	refusalBodyTimeout = 100 * time.Millisecond
	// readBufferSize is the size of the buffer for reading a stream, in bytes.
	readBufferSize = 4 << 10
)

// failure describes an attempt that did not complete the response.
type failure struct {
	// refusal is what the client gets if no other attempt follows.
	refusal *bergamotdale.Refusal
	// sent is false only if no byte of the request was written.
	sent bool
	// retryCharged is set if the retry budget has already been charged for the
	// next attempt.
	retryCharged bool
	// final is set if no other attempt may follow.
	final bool
	// closed is set if the endpoint has said that it takes no requests.
	closed bool
	// truncated is set if the connection failed before the end of the response.
	truncated bool
}

// unsentFailure returns a failure before any byte of the request was written.
func unsentFailure(refusal *bergamotdale.Refusal) *failure { return &failure{refusal: refusal} }

// unknownOutcomeFailure returns a failure after which it is not known whether the
// endpoint executed the request.
func unknownOutcomeFailure(err error, format string, args ...any) *failure {
	refusal := bergamotdale.Refuse(bergamotdale.CodeEndpointFailed, format, args...)
	return &failure{refusal: refusal.WithOutcome(bergamotdale.OutcomeUnknown).WithCause(err), sent: true}
}

// attempt sends the request to the endpoint and relays the response to the
// client. It returns nil if the response was relayed completely.
func (j *job) attempt(ctx context.Context, target subscriber.Endpoint) *failure {
	r := j.relayer
	conn, err := j.connect(ctx, target)
	if err != nil {
		j.tried[target.ID] = true
		if ctx.Err() == nil {
			j.suspendEndpoint(target, "no connection", err)
		}
		return unsentFailure(bergamotdale.Refuse(bergamotdale.CodeNoEndpoint, "endpoint %s is unreachable", target.ID).
			WithCause(err).After(refusedRetryAfter))
	}
	if j.pin.Load() != nil {
		if err := r.confirm(ctx, conn, target); err != nil {
			j.tried[target.ID] = true
			if isClosed(err) {
				return closedFailure(err, target)
			}
			return unsentFailure(bergamotdale.Refuse(bergamotdale.CodeNoEndpoint,
				"it is not certain that endpoint %s has the software version of the stream", target.ID).WithCause(err).After(refusedRetryAfter))
		}
	}
	if refusal := j.recheck(target); refusal != nil {
		conn.Close()
		j.tried[target.ID] = true
		return unsentFailure(refusal)
	}
	if fail := j.refusePart(); fail != nil {
		conn.Close()
		return fail
	}
	j.tried[target.ID] = true
	written, fail := j.enter(ctx, conn, target)
	if fail != nil {
		r.returnConn(conn, fail)
		return fail
	}
	j.sends++
	r.Tracker.BeginRequest(target.ID, target.Service)
	result := tracker.Result{}
	defer func() { r.Tracker.EndRequest(target.ID, target.Service, result) }()
	startTime := r.Clock.Now()
	monitor := j.watchdog(ctx, target)
	watchedCtx := monitor.Watch(ctx)
	defer monitor.Stop()
	exchange, err := r.Dialer.Send(watchedCtx, conn, j.endpointRequest(target, conn.Reused(), written))
	if err != nil {
		// If the client gives up after the endpoint has been silent for
		// MinFirstByteTimeout, this too counts as a failure of the endpoint.
		result.Failed = ctx.Err() == nil || r.Clock.Now().Sub(startTime) >= watchdog.MinFirstByteTimeout
		return j.markTakenOver(monitor, j.convertSendError(ctx, target, err, context.Cause(watchedCtx)))
	}
	defer j.closeExchange(target, exchange)
	monitor.RecordData()
	if !exchange.Response.Close {
		// An endpoint that is leaving closes its connections.
		r.Tracker.RecordResponse(r.Clock.Now(), target.ID, target.Service)
	}
	result.Latency = r.Clock.Now().Sub(startTime)
	fail = j.relayResponse(ctx, target, exchange, monitor, &result)
	if fail != nil && fail.truncated && ctx.Err() == nil {
		if cause := context.Cause(watchedCtx); cause != nil {
			fail.refusal.Cause = cause
		}
		j.detectCrash(target, fail.refusal.Cause)
	}
	if fail != nil && fail.sent && ctx.Err() == nil && fail.refusal.Outcome == bergamotdale.OutcomeUnknown {
		result.Failed = true
	}
	return j.markTakenOver(monitor, fail)
}

// endpointRequest returns the request with the headers of an attempt at the target.
// reused tells whether the connection has carried other requests: a late copy of
// the response to one of them may arrive on it, so that a response without an ID
// is not taken for the response to this request. written is called once the beginning
// of the request has been written.
func (j *job) endpointRequest(target subscriber.Endpoint, reused bool, written func()) dialer.Request {
	r := j.relayer
	resume := j.framer.LastID()
	header := r.Dialect.AttemptHeader(j.request.Header, bergamotdale.AttemptHeaders{
		EndpointID:  target.ID,
		Workspace:   j.verdict.Workspace,
		TimeLeft:    max(time.Millisecond, j.deadline.Sub(r.Clock.Now())),
		Priority:    j.verdict.Priority,
		ResumeAfter: resume,
		CopyFrom:    j.choice.copyFrom,
	})
	return dialer.Request{
		Method:    j.request.Method,
		URI:       j.request.RequestURI,
		Host:      j.request.Host,
		Header:    header,
		Body:      j.body,
		OnWritten: written,
		MatchesResponse: func(h http.Header) bool {
			id := r.Dialect.ResponseInfo(http.StatusOK, h).RequestID
			return id == j.envelope.RequestID || id == "" && !reused
		},
	}
}

// convertSendError returns the failure of an attempt that ended before the headers
// of the response had arrived. cause is why the attempt was cancelled, nil if it
// was not.
func (j *job) convertSendError(ctx context.Context, target subscriber.Endpoint, err, cause error) *failure {
	var exchangeErr *dialer.ExchangeError
	if errors.As(err, &exchangeErr) && !exchangeErr.Sent {
		return unsentFailure(bergamotdale.Refuse(bergamotdale.CodeInternal, "encoding the request for the endpoint failed").WithCause(err))
	}
	if cause != nil {
		// The watchdog, the deadline or the client cancelled the attempt.
		err = cause
	}
	if ctx.Err() == nil {
		j.detectCrash(target, err)
	}
	return unknownOutcomeFailure(err, "endpoint %s sent no response", target.ID)
}

// relayResponse relays the response to the client, or returns why it does not.
func (j *job) relayResponse(ctx context.Context, target subscriber.Endpoint, exchange *dialer.Exchange, monitor *watchdog.Watchdog, result *tracker.Result) *failure {
	status := exchange.Response.StatusCode
	info := j.relayer.Dialect.ResponseInfo(status, exchange.Response.Header)
	j.observeResponse(target, info)
	j.relayer.observeCold(target, status, j.enteredAt, info)
	switch {
	case info.NotExecuted:
		j.admission.misplaced = status == http.StatusMisdirectedRequest || info.Leaving
		j.skipRefusalBody(target, exchange)
		return &failure{sent: true, refusal: bergamotdale.Refuse(bergamotdale.CodeEndpointRefused,
			"endpoint %s refused the request with status %d", target.ID, status).After(refusedRetryAfter)}
	case j.started && status != http.StatusOK:
		return unknownOutcomeFailure(nil, "endpoint %s answered a request to resume a stream with status %d", target.ID, status)
	case status < http.StatusMultipleChoices && !info.Signed:
		return unknownOutcomeFailure(nil, "endpoint %s sent a response without a signature", target.ID)
	case status >= http.StatusInternalServerError && j.verdict.Route.Idempotent():
		result.Failed = true
		// Without another endpoint, the client gets the endpoint's own failure.
		failed := unknownOutcomeFailure(nil, "endpoint %s failed with status %d", target.ID, status)
		if j.hasAlternative() && j.decideRetry(failed.refusal).Verdict == retrier.Elsewhere {
			failed.retryCharged = true
			return failed
		}
	case status >= http.StatusInternalServerError:
		result.Failed = true
	}
	if impliesNotExecuted(status) && !j.verdict.Route.Idempotent() {
		return unknownOutcomeFailure(nil, "endpoint %s answered with status %d but did not say whether it executed the request", target.ID, status)
	}
	if status == http.StatusOK && isEventStream(exchange.Response.Header) {
		return j.relayStream(ctx, target, exchange, monitor, result)
	}
	return j.relayPlain(target, exchange, monitor)
}

// skipRefusalBody reads the body of an endpoint's refusal, so that the connection
// can be reused. A body that is long or does not end costs the connection and not
// the time of the request.
func (j *job) skipRefusalBody(target subscriber.Endpoint, exchange *dialer.Exchange) {
	err := exchange.SetReadDeadline(time.Now().Add(refusalBodyTimeout))
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(exchange, maxRefusalBody))
	}
	if err != nil {
		j.relayer.Logger.Debug("failed to read the body of an endpoint's refusal", zap.String("endpoint", target.ID), zap.Error(err))
	}
}

// impliesNotExecuted reports whether clients conclude from the status that the
// request was not executed and never will be.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// relayPlain relays a response that is not an event stream. One of less than
// maxBufferedBody bytes is read completely before the client gets any of it, as far as
// there is memory for it.
func (j *job) relayPlain(target subscriber.Endpoint, exchange *dialer.Exchange, monitor *watchdog.Watchdog) *failure {
	body := watchedReader{exchange, monitor}
	buffered, complete, err := j.readBuffered(body)
	if err != nil {
		fail := unknownOutcomeFailure(err, "the response from endpoint %s was cut off", target.ID)
		fail.truncated = true
		return fail
	}
	if !complete {
		// Once the client has a part of the response, no other endpoint can take the
		// request over.
		monitor.Disarm()
		if j.successor.Load() != nil {
			return unknownOutcomeFailure(nil, "endpoint %s was silent", target.ID)
		}
	}
	length := exchange.Response.ContentLength
	if complete {
		length = int64(len(buffered))
	}
	if j.request.Method == http.MethodHead {
		length = exchange.Response.ContentLength
	}
	j.startResponse(exchange, length)
	if _, err := j.writer.Write(buffered); err != nil {
		return &failure{sent: true, final: true, refusal: bergamotdale.Refuse(bergamotdale.CodeInternal, "writing the response to the client failed").WithCause(err).WithOutcome(bergamotdale.OutcomeRun)}
	}
	if !complete {
		limit := j.relayer.limits.Load().maxResponse() - int64(len(buffered))
		n, err := io.CopyBuffer(j.writer, io.LimitReader(exchange, limit+1), buffered[:cap(buffered)])
		if err == nil && n > limit {
			err = errors.Errorf("the body is larger than %d bytes", limit+int64(len(buffered)))
		}
		if err != nil {
			fail := unknownOutcomeFailure(err, "the response from endpoint %s was cut off", target.ID)
			fail.final = true
			return fail
		}
	}
	j.relayer.Quarantine.RecordCompletion(j.fingerprint)
	j.recordPartEnd(target, exchange)
	return nil
}

// startResponse starts the response to the client with the status and headers of
// the endpoint's response. length is that of the body, or -1 if it is unknown.
func (j *job) startResponse(exchange *dialer.Exchange, length int64) {
	h := j.writer.Header()
	for name, values := range j.relayer.Dialect.ResponseHeader(exchange.Response.Header) {
		h[name] = values
	}
	if exchange.Response.StatusCode == http.StatusServiceUnavailable {
		// It says how long the endpoint wants nothing from this router, and nothing
		// about when the client may return.
		h.Del("Retry-After")
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if len(h["Content-Type"]) == 0 {
		// A nil value keeps net/http from guessing the content type.
		h["Content-Type"] = nil
	}
	j.started, j.status = true, exchange.Response.StatusCode
	j.timeToFirstByte = j.relayer.Clock.Now().Sub(j.arrival)
	j.writer.WriteHeader(exchange.Response.StatusCode)
}

// relayStream relays whole events to the client as they arrive. After a failure,
// another endpoint can resume the stream after the last whole event.
func (j *job) relayStream(ctx context.Context, target subscriber.Endpoint, exchange *dialer.Exchange, monitor *watchdog.Watchdog, result *tracker.Result) *failure {
	j.framer.DiscardPending()
	out := flusher.New(j.writer)
	complete := false
	defer func() { out.Stop(complete) }()
	buffer := make([]byte, readBufferSize)
	startTime, eventsBefore := j.relayer.Clock.Now(), j.framer.EventCount()
	for {
		n, err := exchange.Read(buffer)
		if n > 0 {
			monitor.RecordData()
		}
		events, frameErr := j.framer.Push(buffer[:n])
		monitor.RecordPending(len(events) > 0, j.framer.Pending() > 0)
		if frameErr != nil {
			return unknownOutcomeFailure(frameErr, "endpoint %s sent an invalid event stream", target.ID)
		}
		if len(events) > 0 {
			j.recordPartEvents()
			j.pinStream(ctx, exchange.Conn(), target)
			if !j.started {
				j.startResponse(exchange, -1)
			}
			if writeErr := out.Write(events); writeErr != nil {
				return &failure{sent: true, final: true, refusal: bergamotdale.Refuse(bergamotdale.CodeInternal, "writing the response to the client failed").WithCause(writeErr).WithOutcome(bergamotdale.OutcomeRun)}
			}
		}
		if count := j.framer.EventCount() - eventsBefore; count > 0 {
			result.Latency = j.relayer.Clock.Now().Sub(startTime) / time.Duration(count)
			result.EventTime = result.Latency
		}
		if errors.Is(err, io.EOF) && j.framer.Pending() == 0 {
			if !j.started {
				j.startResponse(exchange, -1)
			}
			complete = true
			j.relayer.Quarantine.RecordCompletion(j.fingerprint)
			j.recordPartEnd(target, exchange)
			j.relayer.Locator.RecordHolder(j.key, target.ID)
			return nil
		}
		if err != nil {
			fail := unknownOutcomeFailure(err, "the stream from endpoint %s was cut off after %d events", target.ID, j.framer.EventCount())
			fail.truncated = true
			return fail
		}
	}
}

// suspendEndpoint keeps further requests from an endpoint that is unreachable, for
// a time that the tracker chooses.
func (j *job) suspendEndpoint(target subscriber.Endpoint, reason string, err error) {
	r := j.relayer
	r.Health.RecordFailure(target.ID)
	r.recordUnreachable(target, err)
	d := r.Tracker.Suspend(r.Clock.Now(), target.ID, target.Service)
	r.Dialer.CloseIdle(target.Address)
	r.Logger.Warn("endpoint suspended", zap.String("endpoint", target.ID), zap.String("reason", reason),
		zap.String("request-id", j.envelope.RequestID), zap.Duration("for", d), zap.Error(err))
}

// detectCrash finds out whether an endpoint that ended an exchange early has
// crashed. A crashed endpoint refuses connections. It is suspended, and the request
// is reported to the quarantine as a possible cause of the crash. An endpoint that is
// only silent may be sound.
func (j *job) detectCrash(target subscriber.Endpoint, cause error) {
	r := j.relayer
	var exchangeErr *dialer.ExchangeError
	switch {
	case errors.Is(cause, watchdog.ErrNoResponse):
		return
	case errors.Is(cause, watchdog.ErrUnreachable):
		// The watchdog has suspended the endpoint.
		if errors.Is(cause, syscall.ECONNREFUSED) {
			r.Quarantine.RecordCrash(target.ID, []string{j.fingerprint})
		}
		r.recordPartCrash(target, j.suspectParts(), cause)
		return
	case errors.As(cause, &exchangeErr) && exchangeErr.TimedOut:
		j.suspendEndpoint(target, "silent", cause)
		return
	}
	r.Rationer.RecordBroken(r.Clock.Now(), target.ID)
	fingerprint, suspects := j.fingerprint, j.suspectParts()
	go func() {
		r.Dialer.CloseIdle(target.Address)
		if err := r.Dialer.Probe(target.Address); err != nil {
			j.suspendEndpoint(target, "crashed", err)
			if errors.Is(err, syscall.ECONNREFUSED) {
				r.Quarantine.RecordCrash(target.ID, []string{fingerprint})
			}
			r.recordPartCrash(target, suspects, err)
		}
	}()
}
