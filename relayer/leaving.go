package relayer

import (
	"context"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/dialer"
	"github.com/bergamotdale/bergamotdale/gatekeeper"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

// closedFailure returns the failure of an attempt at an endpoint that has said that
// it takes no requests.
func closedFailure(err error, target subscriber.Endpoint) *failure {
	return &failure{closed: true, refusal: bergamotdale.Refuse(bergamotdale.CodeNoEndpoint,
		"endpoint %s takes no requests", target.ID).WithCause(err).After(refusedRetryAfter)}
}

// enter returns a function to call once the beginning of the request has been
// written to the target, or a failure if it must not be written: while the
// connection was opened, the endpoint may have said that it leaves or named a time. While
// others were being written, its failure domain may have been evacuated. If it is cold, the
// turn of this router is taken.
func (j *job) enter(ctx context.Context, conn *dialer.Conn, target subscriber.Endpoint) (func(), *failure) {
	written, err := j.relayer.Gatekeeper.Enter(ctx, target)
	if err == nil {
		if err = j.relayer.checkWrite(conn, target); err != nil {
			written()
		}
	}
	if err == nil {
		j.enteredAt = j.relayer.Clock.Now()
		return written, nil
	}
	fail := closedFailure(err, target)
	fail.closed = isClosed(err)
	return nil, fail
}

// isClosed reports whether a request was not written because its endpoint may get none at
// the moment.
func isClosed(err error) bool {
	return errors.Is(err, gatekeeper.ErrClosed) || errors.Is(err, errEvacuated) || errors.Is(err, errCold)
}

// hasUntried reports whether an endpoint is left that could take the request, if need
// be a suspended one. Without one, a retry would only use up the retry budget of other
// requests.
func (j *job) hasUntried() bool {
	r := j.relayer
	now := r.Clock.Now()
	for _, e := range j.ofPin(r.open(r.Directory.State().Endpoints(j.service))) {
		if e.Usable(now) && !j.tried[e.ID] {
			return true
		}
	}
	return false
}

// noEndpoint returns the refusal of a request for which no endpoint is left but those
// in tried.
func (j *job) noEndpoint(tried map[string]bool) *bergamotdale.Refusal {
	if refusal := j.versionGone(); refusal != nil {
		return refusal
	}
	if refusal := j.allEvacuated(); refusal != nil {
		return refusal
	}
	if refusal := j.allCold(); refusal != nil {
		return refusal
	}
	return bergamotdale.Refuse(bergamotdale.CodeNoEndpoint, "no endpoint is available for service %s: %d known, %d already tried",
		j.service, len(j.relayer.Directory.State().Endpoints(j.service)), len(tried)).After(refusedRetryAfter)
}

// observeResponse records what the response says about its endpoint.
func (j *job) observeResponse(target subscriber.Endpoint, info bergamotdale.ResponseInfo) {
	r := j.relayer
	j.admission.reportsLoad = info.Load != nil
	j.recordLoad(target, info.Load)
	if info.ClosedFor != 0 {
		if d, isNew := r.Gatekeeper.RecordClosed(target, info.ClosedFor); isNew {
			r.Logger.Info("endpoint named a time", zap.String("endpoint", target.ID), zap.Duration("for", d),
				zap.String("request-id", j.envelope.RequestID))
		}
	}
	if !info.Leaving {
		return
	}
	if r.Gatekeeper.RecordLeaving(target) {
		r.Logger.Info("endpoint leaves", zap.String("endpoint", target.ID), zap.Int64("incarnation", target.Incarnation),
			zap.String("request-id", j.envelope.RequestID))
	}
	r.Dialer.CloseIdle(target.Address)
}

// closeExchange closes the exchange, and its connection too if no other request may
// be sent to the endpoint.
func (j *job) closeExchange(target subscriber.Endpoint, exchange *dialer.Exchange) {
	if j.relayer.Gatekeeper.Leaving(target) {
		exchange.Discard()
	}
	exchange.Close()
}
