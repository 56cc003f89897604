package relayer

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/dialer"
	"github.com/bergamotdale/bergamotdale/pinner"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

const (
	// incarnationTimeout limits the time for which an endpoint is asked which
	// incarnation it is, and maxIncarnationDocument the size of the answer in bytes.
	incarnationTimeout     = 300 * time.Millisecond
	maxIncarnationDocument = 64 << 10
)

// isConfirmed reports whether the process at the other end of the connection is the
// incarnation that the target's record names. An endpoint may start again under its ID
// with another software version, and this router may not know yet.
func (r *Relayer) isConfirmed(conn *dialer.Conn, target subscriber.Endpoint) bool {
	if target.Incarnation == 0 || conn.Incarnation() == target.Incarnation {
		return true
	}
	age, known := r.Directory.Age()
	return known && age+pinner.RegistrationTime <= r.Dialer.Age(conn) && r.isUsable(target)
}

// confirm asks the endpoint which incarnation it is, unless that is certain. It returns
// an error, and closes the connection, if the endpoint is not the target, does not say or
// must not be asked.
func (r *Relayer) confirm(ctx context.Context, conn *dialer.Conn, target subscriber.Endpoint) error {
	if r.isConfirmed(conn, target) {
		return nil
	}
	if err := r.checkWrite(conn, target); err != nil {
		_ = conn.Close()
		return errors.Trace(err)
	}
	incarnation, err := r.fetchIncarnation(ctx, conn, target)
	if err == nil && incarnation != target.Incarnation {
		_ = conn.Close()
		err = errors.Errorf("endpoint %s is incarnation %d, not %d", target.ID, incarnation, target.Incarnation)
	}
	return errors.Trace(err)
}

// AskIncarnation asks an endpoint which incarnation it is, unless it has said that it
// wants no requests, its failure domain is evacuated, or it is cold and this router has no
// turn.
func (r *Relayer) AskIncarnation(ctx context.Context, target subscriber.Endpoint) (int64, error) {
	if len(r.Gatekeeper.Open([]subscriber.Endpoint{target})) == 0 {
		return 0, errors.Errorf("endpoint %s takes no requests", target.ID)
	}
	conn, err := r.dial(ctx, target)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if err := r.checkWrite(conn, target); err != nil {
		_ = conn.Close()
		return 0, errors.Trace(err)
	}
	incarnation, err := r.fetchIncarnation(ctx, conn, target)
	if err == nil {
		r.Dialer.Release(conn)
	}
	return incarnation, errors.Trace(err)
}

// fetchIncarnation asks the endpoint over the connection, which is closed after an error.
func (r *Relayer) fetchIncarnation(ctx context.Context, conn *dialer.Conn, target subscriber.Endpoint) (int64, error) {
	sentAt := r.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, incarnationTimeout)
	defer cancel()
	document, err := r.Dialer.Fetch(ctx, conn, dialer.Request{
		Method: http.MethodGet, URI: r.Dialect.IncarnationURI(), Host: target.Address, Header: http.Header{},
		MatchesResponse: func(h http.Header) bool {
			info := r.Dialect.ResponseInfo(http.StatusOK, h)
			if info.RequestID != "" {
				return false
			}
			r.observeCold(target, http.StatusOK, sentAt, info)
			return true
		},
	}, maxIncarnationDocument)
	if err != nil {
		return 0, errors.Trace(err)
	}
	incarnation, err := r.Dialect.Incarnation(document)
	if err != nil {
		_ = conn.Close()
		return 0, errors.Trace(err)
	}
	conn.SetIncarnation(incarnation)
	return incarnation, nil
}

// confirmPin returns a refusal if the stream that this response has begun cannot go on,
// because it is not certain which version began it.
func (j *job) confirmPin(ctx context.Context) *bergamotdale.Refusal {
	if !j.pinInDoubt {
		return nil
	}
	_, refusal := j.relayer.Pins.Find(ctx, pinner.Query{Stream: j.streamID(), Service: j.service, MaxAge: j.verdict.Route.Timeout})
	j.pinInDoubt = refusal != nil
	return refusal
}
