// Package tracker keeps what a router knows about the endpoints that it sends
// requests to: the requests in flight and how the latest ones ended, from itself
// and from other routers.
package tracker

import (
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale/balancer"
	"github.com/bergamotdale/bergamotdale/ejector"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

const (
	// firstSuspension is how long an endpoint gets no work after its first
	// failed connection. It doubles with each further one up to maxSuspension,
	// which is below the usual restart time of an endpoint.
	firstSuspension = 500 * time.Millisecond
	maxSuspension   = 4 * time.Second
	// peerExpiry is how long the load that another router reported counts. A
	// router that is gone must not occupy endpoints for longer.
	peerExpiry = 2 * time.Second
	// ejectInterval, ejectFraction and ejectRequests make outliers visible
	// within seconds while a third of a group stays whole at least.
	ejectInterval = time.Second
	ejectFraction = 0.34
	ejectRequests = 4
)

// Result tells how a request at an endpoint ended.
type Result struct {
	// Failed states that the endpoint did not complete the request.
	Failed bool
	// Latency does not depend on the size of the request; zero if unknown.
	Latency time.Duration
}

// endpoint is the state of one endpoint.
type endpoint struct {
	service string
	// inFlight counts the requests of this router.
	inFlight int
	// failures counts the connections that failed in a row.
	failures       int
	suspendedUntil time.Time
	incarnation    int64
	// summary holds what this router saw since the last evaluation, and previous
	// what it saw in the interval before.
	summary, previous ejector.Summary
}

// Report is what a router tells the others about endpoints, by their ids.
type Report struct {
	// Loads holds the requests that the router has in flight.
	Loads map[string]int `json:"loads"`
	// Outcomes holds the requests that ended in the last one to two seconds.
	Outcomes map[string]Outcome `json:"outcomes,omitempty"`
}

// Outcome is the number of requests that ended, the number of these that
// failed, and the mean latency in microseconds. An array keeps messages short.
type Outcome [3]int64

func (o Outcome) summary() ejector.Summary {
	return ejector.Summary{Requests: int(o[0]), Failures: int(o[1]), Latency: time.Duration(o[2]) * time.Microsecond}
}

// peerReport is the latest report of another router.
type peerReport struct {
	Report
	at time.Time
	// judged is set once an evaluation has counted its outcomes.
	judged bool
}

// Tracker holds the state of all endpoints. Its methods may be called
// concurrently.
type Tracker struct {
	mu        sync.Mutex
	endpoints map[string]*endpoint
	peers     map[string]*peerReport
	groups    map[string]*ejector.Group
	// routers is the number of live routers, this one included.
	routers int
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{
		endpoints: map[string]*endpoint{},
		peers:     map[string]*peerReport{},
		groups:    map[string]*ejector.Group{},
	}
}

// Update takes in the endpoints that exist now.
func (t *Tracker) Update(now time.Time, state *subscriber.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := map[string]bool{}
	for _, e := range state.All() {
		present[e.ID] = true
		known, ok := t.endpoints[e.ID]
		if ok && known.incarnation == e.Incarnation {
			continue
		}
		t.group(now, e.Service).Join(now, e.ID, false)
		fresh := &endpoint{service: e.Service, incarnation: e.Incarnation}
		if ok {
			fresh.inFlight = known.inFlight
		}
		t.endpoints[e.ID] = fresh
	}
	for id, e := range t.endpoints {
		if !present[id] && e.inFlight == 0 {
			t.group(now, e.service).Leave(id)
			delete(t.endpoints, id)
		}
	}
}

func (t *Tracker) group(now time.Time, service string) *ejector.Group {
	g := t.groups[service]
	if g == nil {
		g = ejector.New(now, ejector.Config{
			Interval: ejectInterval, MaxFraction: ejectFraction, MinRequests: ejectRequests,
		})
		t.groups[service] = g
	}
	return g
}

// Candidates returns the endpoints that may get new work, in the same order as
// the returned records. Those in exclude are left out.
func (t *Tracker) Candidates(
	now time.Time, endpoints []subscriber.Endpoint, domain string, exclude map[string]bool,
) ([]balancer.Candidate, []subscriber.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := make([]balancer.Candidate, 0, len(endpoints))
	records := make([]subscriber.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if !e.Usable(now) || exclude[e.ID] {
			continue
		}
		c := balancer.Candidate{ID: e.ID, Slots: e.Slots, Weight: 1, SameFailureDomain: e.FailureDomain == domain}
		if known := t.endpoints[e.ID]; known != nil {
			c.Load = known.inFlight
			c.Suspended = now.Before(known.suspendedUntil)
			c.Weight = t.group(now, e.Service).State(e.ID).Weight
		}
		c.Load += t.peerLoad(now, e.ID)
		candidates = append(candidates, c)
		records = append(records, e)
	}
	return candidates, records
}

// peerLoad returns the load from other routers. In a large fleet only some
// reports are recent at any time; these stand for the others.
func (t *Tracker) peerLoad(now time.Time, id string) int {
	sum, recent := 0, 0
	for _, p := range t.peers {
		if now.Sub(p.at) < peerExpiry {
			sum += p.Loads[id]
			recent++
		}
	}
	if others := t.routers - 1; recent > 0 && others > recent {
		return (sum*others + recent/2) / recent
	}
	return sum
}

// SetRouters sets the number of live routers, this one included.
func (t *Tracker) SetRouters(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routers = n
}

// Begin counts a request of this router.
func (t *Tracker) Begin(id, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.known(id, service).inFlight++
}

// End removes a request of this router and takes in how it ended.
func (t *Tracker) End(id, service string, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.known(id, service)
	e.inFlight--
	e.summary.Requests++
	if r.Failed {
		e.summary.Failures++
	} else {
		e.failures = 0
		e.suspendedUntil = time.Time{}
	}
	if r.Latency > 0 {
		// The mean weighs the latest latency by a quarter.
		if e.summary.Latency == 0 {
			e.summary.Latency = r.Latency
		}
		e.summary.Latency += (r.Latency - e.summary.Latency) / 4
	}
}

// Unreachable suspends an endpoint whose connection could not be opened or went
// silent. It returns for how long.
func (t *Tracker) Unreachable(now time.Time, id, service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.known(id, service)
	if now.Before(e.suspendedUntil) {
		return e.suspendedUntil.Sub(now)
	}
	d := min(maxSuspension, firstSuspension<<min(e.failures, 8))
	e.failures++
	e.suspendedUntil = now.Add(d)
	return d
}

func (t *Tracker) known(id, service string) *endpoint {
	e := t.endpoints[id]
	if e == nil {
		e = &endpoint{service: service}
		t.endpoints[id] = e
	}
	return e
}

// Evaluate weakens endpoints that are slow or fail more often than the others
// of their service. It is called about once a second.
func (t *Tracker) Evaluate(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.endpoints {
		if e.summary.Requests > 0 {
			t.group(now, e.service).Observe(id, e.summary)
		}
		e.previous, e.summary = e.summary, ejector.Summary{Latency: e.summary.Latency}
	}
	t.observePeers(now)
	weakened := map[string]float64{}
	for _, g := range t.groups {
		g.Evaluate(now)
	}
	for id, e := range t.endpoints {
		if w := t.group(now, e.service).State(id).Weight; w < 1 {
			weakened[id] = w
		}
	}
	return weakened
}

// observePeers takes the outcomes that other routers reported into account, each
// report once. In a large fleet a router alone sends an endpoint too few
// requests to judge it.
func (t *Tracker) observePeers(now time.Time) {
	for _, p := range t.peers {
		if p.judged || now.Sub(p.at) >= peerExpiry {
			continue
		}
		p.judged = true
		for id, o := range p.Outcomes {
			if e := t.endpoints[id]; e != nil {
				t.group(now, e.service).Observe(id, o.summary())
			}
		}
	}
}

// Report returns what this router tells the others.
func (t *Tracker) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Loads: map[string]int{}, Outcomes: map[string]Outcome{}}
	for id, e := range t.endpoints {
		if e.inFlight > 0 {
			r.Loads[id] = e.inFlight
		}
		if n := e.summary.Requests + e.previous.Requests; n > 0 {
			r.Outcomes[id] = Outcome{int64(n), int64(e.summary.Failures + e.previous.Failures), e.summary.Latency.Microseconds()}
		}
	}
	return r
}

// Merge takes in the report of another router.
func (t *Tracker) Merge(now time.Time, router string, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[router] = &peerReport{Report: r, at: now}
	for id, p := range t.peers {
		if now.Sub(p.at) >= peerExpiry {
			delete(t.peers, id)
		}
	}
}
