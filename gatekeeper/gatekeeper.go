// Package gatekeeper decides whether this router may send an endpoint another
// request, by what the endpoint itself has said in its responses: that it leaves, or
// that it wants nothing from this router for a time.
//
// What the endpoint says is newer than its record in the store, which may be cut
// off or come back from a copy. It therefore holds whatever the record says, for the
// incarnation that gave it. An endpoint that has started again is another
// incarnation, about which nothing is known. A response does not say which
// incarnation sent it: it may be a later one than that of the record by which the
// request was sent, but only one that had started by then.
//
// The load pattern: a burst of requests to one endpoint, which starts to refuse in the
// middle of it.
package gatekeeper

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

const (
	// maxEntering bounds the requests to an endpoint that have been admitted and not
	// yet been written. No others can follow a response that closes the endpoint.
	maxEntering = 2
	// retention is how long what an endpoint said is kept after it was last
	// registered, in case a store restored from a copy registers it again.
	retention = 10 * time.Minute
	// maxClosed limits the time that an endpoint may name. It is longer than any
	// deadline of a request, and a wrong value does not cost the endpoint for good.
	maxClosed = 5 * time.Minute
	// unreadableClosed is the time for which an endpoint is left alone that names
	// something else than a number.
	unreadableClosed = time.Second
	// inheritance is how long an incarnation counts as leaving only because it had
	// started when an earlier one was heard. The clocks of two VMs may differ, and an
	// endpoint that is kept out by mistake must get requests again.
	inheritance = time.Minute

	// ErrClosed is the error of Enter for an endpoint that takes no requests.
	ErrClosed = errors.ConstError("the endpoint has said that it takes no requests")
)

// key identifies an incarnation of an endpoint.
type key struct {
	id          string
	incarnation int64
}

func keyOf(e subscriber.Endpoint) key { return key{id: e.ID, incarnation: e.Incarnation} }

// endpointState holds what one incarnation of an endpoint has said.
type endpointState struct {
	// leavingUntil is the end of leaving if that was heard of another incarnation; zero
	// for no end.
	leaving      bool
	leavingUntil time.Time
	// closedUntil is the end of the time that it has named; zero for none.
	closedUntil time.Time
	// entering holds a token for each request that has entered and has not yet been
	// written.
	entering chan struct{}
	// seenAt is the last time at which the endpoint was registered or used.
	seenAt time.Time
}

// closed reports whether the endpoint takes no requests.
func (d *endpointState) closed(now time.Time) bool { return d.left(now) || now.Before(d.closedUntil) }

// left reports whether the endpoint leaves.
func (d *endpointState) left(now time.Time) bool {
	return d.leaving && (d.leavingUntil.IsZero() || now.Before(d.leavingUntil))
}

// Gatekeeper holds what the endpoints have said. Its methods may be called
// concurrently.
type Gatekeeper struct {
	clock bergamotdale.Clock

	mu     sync.Mutex
	states map[key]*endpointState
	// statements holds the latest statement of each endpoint, by ID.
	statements map[string]statement
}

// statement is what an incarnation of an endpoint has last said.
type statement struct {
	state   *endpointState
	heardAt time.Time
}

// New returns a gatekeeper that admits requests to all endpoints.
func New(clock bergamotdale.Clock) *Gatekeeper {
	return &Gatekeeper{clock: clock, states: map[key]*endpointState{}, statements: map[string]statement{}}
}

// state returns the state of the endpoint and creates it if there is none. An incarnation
// that had started when another one was last heard may be the one that was heard. The
// lock is held.
func (g *Gatekeeper) state(e subscriber.Endpoint) *endpointState {
	now := g.clock.Now()
	d := g.states[keyOf(e)]
	if d == nil {
		d = &endpointState{entering: make(chan struct{}, maxEntering)}
		if w, ok := g.statements[e.ID]; ok && !w.heardAt.Before(time.UnixMilli(e.Incarnation)) {
			d.leaving, d.leavingUntil = w.state.leaving, now.Add(inheritance)
			d.closedUntil = w.state.closedUntil
		}
		g.states[keyOf(e)] = d
	}
	d.seenAt = now
	return d
}

// record returns the state of an endpoint that has said something. The lock is held.
func (g *Gatekeeper) record(e subscriber.Endpoint) *endpointState {
	d := g.state(e)
	g.statements[e.ID] = statement{state: d, heardAt: g.clock.Now()}
	return d
}

// RecordLeaving records that the endpoint has said that it leaves, and reports
// whether that is new.
func (g *Gatekeeper) RecordLeaving(e subscriber.Endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.record(e)
	isNew := !d.left(g.clock.Now())
	d.leaving, d.leavingUntil = true, time.Time{}
	return isNew
}

// Leaving reports whether the endpoint has said that it leaves.
func (g *Gatekeeper) Leaving(e subscriber.Endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state(e).left(g.clock.Now())
}

// RecordClosed records that the endpoint wants no request for a time, which is
// negative if it could not be read. It returns the time that applies, and whether the
// endpoint took requests until now. A time that is named again only extends it.
func (g *Gatekeeper) RecordClosed(e subscriber.Endpoint, named time.Duration) (time.Duration, bool) {
	if named < 0 {
		named = unreadableClosed
	}
	named = min(named, maxClosed)
	g.mu.Lock()
	defer g.mu.Unlock()
	d, now := g.record(e), g.clock.Now()
	wasOpen := !d.closed(now)
	if until := now.Add(named); until.After(d.closedUntil) {
		d.closedUntil = until
	}
	return named, wasOpen && named > 0
}

// ClosedUntil returns the end of the time that the endpoint has named, if that is not
// over, and false for an endpoint that takes requests or leaves.
func (g *Gatekeeper) ClosedUntil(e subscriber.Endpoint) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	d, now := g.state(e), g.clock.Now()
	if d.left(now) || !d.closed(now) {
		return time.Time{}, false
	}
	return d.closedUntil, true
}

// Open returns the endpoints that have not closed, in the same order.
func (g *Gatekeeper) Open(endpoints []subscriber.Endpoint) []subscriber.Endpoint {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	open := make([]subscriber.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if !g.state(e).closed(now) {
			open = append(open, e)
		}
	}
	return open
}

// Enter is called directly before a request is written to the endpoint. It returns a
// function that must be called once the beginning of the request has been written,
// or an error if the request must not be sent. It waits while maxEntering other
// requests are being written.
func (g *Gatekeeper) Enter(ctx context.Context, e subscriber.Endpoint) (func(), error) {
	g.mu.Lock()
	d := g.state(e)
	g.mu.Unlock()
	select {
	case d.entering <- struct{}{}:
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	}
	written := sync.OnceFunc(func() { <-d.entering })
	g.mu.Lock()
	closed := d.closed(g.clock.Now())
	g.mu.Unlock()
	if closed {
		written()
		return nil, errors.Annotatef(ErrClosed, "endpoint %s", e.ID)
	}
	return written, nil
}

// UpdateEndpoints forgets the endpoints that were last registered or used longer
// than retention ago.
func (g *Gatekeeper) UpdateEndpoints(state *subscriber.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, e := range state.AllEndpoints() {
		g.state(e)
	}
	for k, d := range g.states {
		if now.Sub(d.seenAt) > retention {
			delete(g.states, k)
		}
	}
	for id, w := range g.statements {
		if now.Sub(w.state.seenAt) > retention {
			delete(g.statements, id)
		}
	}
}

// ClosedCount returns the number of endpoints whose named time is not over.
func (g *Gatekeeper) ClosedCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n, now := 0, g.clock.Now()
	for _, d := range g.states {
		if now.Before(d.closedUntil) {
			n++
		}
	}
	return n
}

// LeavingCount returns the number of known endpoints that have said that they leave.
func (g *Gatekeeper) LeavingCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n, now := 0, g.clock.Now()
	for _, d := range g.states {
		if d.left(now) {
			n++
		}
	}
	return n
}
