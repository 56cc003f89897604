package relayer

import (
	"context"
	"maps"
	"math"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/dialer"
	"github.com/bergamotdale/bergamotdale/rationer"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

const (
	// errCold is the error of a request to a cold endpoint for which this router has no turn.
	errCold = errors.ConstError("the endpoint is cold and this router has no turn")
	// anyAge is the age of a connection to a process that is known.
	anyAge = time.Duration(math.MaxInt64)
)

// content returns how the content of the store stands.
func (r *Relayer) content() rationer.Content {
	age, _ := r.Directory.Age()
	return rationer.Content{Now: r.Clock.Now(), Age: age}
}

// open returns the endpoints that take requests from this router, in the same order.
func (r *Relayer) open(endpoints []subscriber.Endpoint) []subscriber.Endpoint {
	return r.Rationer.Open(r.content(), r.Gatekeeper.Open(endpoints), func(e subscriber.Endpoint, age time.Duration) bool {
		return r.Dialer.HasIdle(e.Address, age)
	})
}

// connAge returns the time since the connection was opened, and the longest time if the
// process at its other end is known to be the target.
func (r *Relayer) connAge(conn *dialer.Conn, target subscriber.Endpoint) time.Duration {
	if target.Incarnation != 0 && conn.Incarnation() == target.Incarnation {
		return anyAge
	}
	return r.Dialer.Age(conn)
}

// needsTurn reports whether a request over the connection has to wait for a turn.
func (r *Relayer) needsTurn(conn *dialer.Conn, target subscriber.Endpoint) bool {
	return r.Rationer.NeedsTurn(r.content(), target, r.connAge(conn, target))
}

// dial returns a connection to the target.
func (r *Relayer) dial(ctx context.Context, target subscriber.Endpoint) (*dialer.Conn, error) {
	conn, err := r.Dialer.Get(ctx, target.Address)
	if err == nil && conn.Replaces() && !conn.Reused() {
		r.Rationer.RecordBroken(r.Clock.Now(), target.ID)
	}
	return conn, err
}

// returnConn ends the use of a connection over which the request was not written. It is kept
// if only the turn was missing: it may prove which process the endpoint is.
func (r *Relayer) returnConn(conn *dialer.Conn, fail *failure) {
	if errors.Is(fail.refusal.Cause, errCold) {
		r.Dialer.Return(conn)
		return
	}
	conn.Close()
}

// recordUnreachable records that the endpoint did not respond.
func (r *Relayer) recordUnreachable(target subscriber.Endpoint, cause error) {
	r.Rationer.RecordUnreachable(r.Clock.Now(), target.ID)
	if r.OnGone != nil && errors.Is(cause, syscall.ECONNREFUSED) {
		r.OnGone(target)
	}
}

// observeCold records what a response to a request that was sent at the time says about
// whether its endpoint is cold. Status 421 comes from another endpoint.
func (r *Relayer) observeCold(target subscriber.Endpoint, status int, sentAt time.Time, info bergamotdale.ResponseInfo) {
	if status != http.StatusMisdirectedRequest {
		r.Rationer.RecordResponse(r.Clock.Now(), target.ID, sentAt, info.ColdFor)
	}
}

// withoutCold returns tried and the cold endpoints of the service. Another attempt that is
// reserved before it begins may have no turn by then.
func (j *job) withoutCold(tried map[string]bool) map[string]bool {
	r, excluded := j.relayer, tried
	content := r.content()
	for _, e := range r.Directory.State().Endpoints(j.service) {
		if !excluded[e.ID] && r.Rationer.NeedsTurn(content, e, anyAge) {
			if len(excluded) == len(tried) {
				excluded = maps.Clone(tried)
			}
			excluded[e.ID] = true
		}
	}
	return excluded
}

// nextTurn returns the time from which this router may send to one of the endpoints that
// could take the request, if all of them are cold. It returns false if they are not, or if
// that time is not known.
func (j *job) nextTurn(now time.Time) (time.Time, bool) {
	r, content := j.relayer, j.relayer.content()
	var next time.Time
	for _, e := range j.ofPin(r.Gatekeeper.Open(r.Directory.State().Endpoints(j.service))) {
		if !e.Usable(now) {
			continue
		}
		if !r.Rationer.NeedsTurn(content, e, anyAge) {
			return time.Time{}, false
		}
		if at, known := r.Rationer.NextAt(content, e); known && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// turnAfter returns the time from which the caller may return if the request was refused
// because all endpoints are cold, and false if that was not so.
func (j *job) turnAfter(refusal *bergamotdale.Refusal, now time.Time) (time.Time, bool) {
	if refusal.Code != bergamotdale.CodeNoEndpoint || refusal.Outcome != bergamotdale.OutcomeNotRun {
		return time.Time{}, false
	}
	return j.nextTurn(now)
}

// allCold returns a refusal if all endpoints that could take the request are cold, else nil.
func (j *job) allCold() *bergamotdale.Refusal {
	now := j.relayer.Clock.Now()
	next, ok := j.nextTurn(now)
	if !ok {
		return nil
	}
	return bergamotdale.Refuse(bergamotdale.CodeNoEndpoint, "all endpoints of service %s that could take the request are cold, and none has a turn for this router",
		j.service).After(max(refusedRetryAfter, next.Sub(now)))
}
