// Package tracker holds the load and the health of the endpoints that a router
// sends requests to.
//
// It counts the requests in flight and the results of the latest requests, from
// this router and from the reports of other routers. From these it derives the
// candidates for load balancing: endpoints that cannot be reached are suspended,
// and outliers that are slow or fail requests get a lower weight.
package tracker

import (
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale/balancer"
	"github.com/bergamotdale/bergamotdale/ejector"
	"github.com/bergamotdale/bergamotdale/predictor"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

const (
	// initialSuspension is how long an endpoint is suspended after its first failed
	// connection. The time doubles with each further failure up to maxSuspension,
	// which is shorter than an endpoint usually takes to restart.
	initialSuspension = 500 * time.Millisecond
	maxSuspension     = 4 * time.Second
	// peerExpiry is how long the report of another router counts. It limits how
	// long the last reported load of a router that stopped is added to endpoints.
	peerExpiry = 2 * time.Second
	// totalsExpiry is how long the sums of a collector count.
	totalsExpiry = 1500 * time.Millisecond
	// ejectInterval, ejectFraction and ejectRequests configure the detection of
	// outliers. Outliers are detected within seconds, and the weight taken away is
	// at most ejectFraction of the total weight of a service.
	ejectInterval = time.Second
	ejectFraction = 0.34
	ejectRequests = 4
)

// Result is the result of a request at an endpoint.
type Result struct {
	// Failed states that the endpoint did not complete the request.
	Failed bool
	// Latency is a latency that does not depend on the size of the request, such
	// as the time per event of a stream; zero if unknown.
	Latency time.Duration
	// EventTime is the time per event of a stream; zero for other responses.
	EventTime time.Duration
}

// endpoint holds the load and the health of one endpoint.
type endpoint struct {
	service string
	// inFlight is the number of requests in flight from this router.
	inFlight int
	// failures is the number of consecutive failed connections.
	failures       int
	suspendedUntil time.Time
	incarnation    int64
	// respondedAt is the time of the last response that showed that the endpoint is not
	// leaving.
	respondedAt time.Time
	// summary covers the requests of this router since the last evaluation, and
	// previous those of the interval before.
	summary, previous ejector.Summary
	// slots and usable are those of the latest record, and predicted is what the
	// endpoint has said and shown of its load and speed.
	slots     int
	usable    bool
	predicted predictor.Endpoint
}

// Report holds the loads and outcomes that a router reports to other routers. The
// keys are endpoint ids.
type Report struct {
	// Loads holds the number of requests that the router has in flight.
	Loads map[string]int `json:"loads"`
	// Outcomes holds the requests that ended in the last one to two seconds.
	Outcomes map[string]Outcome `json:"outcomes,omitempty"`
}

// Outcome holds the number of requests that ended, the number of these that
// failed, and the mean latency in microseconds. As an array it has a short JSON
// form, which keeps the messages between routers small.
type Outcome [3]int64

func (o Outcome) summary() ejector.Summary {
	return ejector.Summary{Requests: int(o[0]), Failures: int(o[1]), Latency: time.Duration(o[2]) * time.Microsecond}
}

// peerReport is the latest report of another router.
type peerReport struct {
	Report
	receivedAt time.Time
	// evaluated is set once an evaluation has counted the outcomes.
	evaluated bool
}

// Tracker holds the load and the health of all endpoints. Its methods may be
// called concurrently.
type Tracker struct {
	// LiveLoad states that services whose endpoints report their load are placed by
	// estimates of it. Without it that applies to services one of whose endpoints states
	// the speed of its machine. It is set before use.
	LiveLoad bool

	mu        sync.Mutex
	endpoints map[string]*endpoint
	peers     map[string]*peerReport
	// groups holds the outlier detection of each service, by name.
	groups map[string]*ejector.Group
	// routers is the number of live routers, this one included.
	routers int
	// totals holds the loads of other routers that a collector has added up; nil
	// if there were none.
	totals *totals
	// services holds what is known of services with reported loads, by name, and keys
	// the keys of the latest requests to them.
	services map[string]*liveService
	keys     *predictor.Keys
	// startedAt is the time of the first request to such a service.
	startedAt time.Time
	// state is the latest one, and list its endpoints, nil until it is used. Records
	// change many times a second, and the list is used a few times a second.
	state *subscriber.State
	list  *LoadList
	// peerSuspended holds the suspensions of other routers.
	peerSuspended peerSuspensions
}

// totals holds the sums of the loads of other routers.
type totals struct {
	loads map[string]int
	// covers is the number of routers included.
	covers     int
	receivedAt time.Time
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{
		endpoints: map[string]*endpoint{},
		peers:     map[string]*peerReport{},
		groups:    map[string]*ejector.Group{},
		services:  map[string]*liveService{},
	}
}

// UpdateEndpoints adds the endpoints that are new in the state and removes those
// that are no longer in it and have no requests in flight. An endpoint whose
// incarnation has changed has restarted, so its entry and its outlier detection start
// anew, and only its number of requests in flight is kept.
func (t *Tracker) UpdateEndpoints(now time.Time, state *subscriber.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := map[string]bool{}
	for _, e := range state.AllEndpoints() {
		present[e.ID] = true
		existing, ok := t.endpoints[e.ID]
		if ok && existing.incarnation == e.Incarnation {
			existing.slots, existing.usable = e.Slots, e.Usable(now)
			continue
		}
		t.group(now, e.Service).Join(now, e.ID, false)
		fresh := &endpoint{service: e.Service, incarnation: e.Incarnation, slots: e.Slots, usable: e.Usable(now)}
		if ok {
			fresh.inFlight = existing.inFlight
		}
		t.endpoints[e.ID] = fresh
	}
	for id, e := range t.endpoints {
		if !present[id] && e.inFlight == 0 {
			t.group(now, e.service).Leave(id)
			delete(t.endpoints, id)
		}
	}
	t.updateServices(state)
}

// group returns the outlier detection of the service and creates it on first use.
// The lock is held.
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

// Candidates returns the endpoints that may receive a new request, both as
// candidates and as records in the same order. domain is the failure domain of
// this router; endpoints whose ids are in exclude are left out.
func (t *Tracker) Candidates(
	now time.Time, endpoints []subscriber.Endpoint, domain string, exclude map[string]bool,
) ([]balancer.Candidate, []subscriber.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var live *liveService
	var others time.Time
	if len(endpoints) > 0 {
		// All endpoints of a choice are of one service.
		if live = t.liveService(now, endpoints[0].Service); live != nil {
			others = t.othersNow(now)
		}
	}
	candidates := make([]balancer.Candidate, 0, len(endpoints))
	records := make([]subscriber.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		if !e.Usable(now) || exclude[e.ID] {
			continue
		}
		c := balancer.Candidate{ID: e.ID, Slots: e.Slots, Weight: 1, SameFailureDomain: e.FailureDomain == domain}
		known := t.endpoints[e.ID]
		if known != nil {
			c.Load = known.inFlight
			c.Suspended = now.Before(known.suspendedUntil)
			c.Weight = t.group(now, e.Service).State(e.ID).Weight
		}
		own := c.Load
		c.Load += t.peerLoad(now, e.ID)
		if live != nil {
			c.Estimate = live.estimate(now, known, predictor.Count{Own: own, Others: c.Load - own, At: others})
		}
		candidates = append(candidates, c)
		records = append(records, e)
	}
	t.applyPeerSuspensions(now, candidates)
	return candidates, records
}

// peerLoad returns the load of an endpoint from other routers: the sums of a
// collector, or else those of the reports. In a large fleet only some reports are
// recent at any time. What is known is extrapolated to all other routers. The lock
// is held.
func (t *Tracker) peerLoad(now time.Time, id string) int {
	sum, recent := 0, 0
	if t.totalsRecent(now) {
		sum, recent = t.totals.loads[id], t.totals.covers
	} else {
		for _, p := range t.peers {
			if now.Sub(p.receivedAt) < peerExpiry {
				sum += p.Loads[id]
				recent++
			}
		}
	}
	if others := t.routers - 1; recent > 0 && others > recent {
		return (sum*others + recent/2) / recent
	}
	return sum
}

// totalsRecent reports whether the sums of a collector are recent enough to count.
// The lock is held.
func (t *Tracker) totalsRecent(now time.Time) bool {
	return t.totals != nil && now.Sub(t.totals.receivedAt) < totalsExpiry
}

// SetTotals replaces the sums of the loads of other routers. covers is the number
// of routers included, without this one.
func (t *Tracker) SetTotals(now time.Time, loads map[string]int, covers int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals = &totals{loads: loads, covers: covers, receivedAt: now}
	t.adjust(now)
}

// HasTotals reports whether the loads come from the sums of a collector.
func (t *Tracker) HasTotals(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.totalsRecent(now)
}

// EndpointCount returns the number of known endpoints.
func (t *Tracker) EndpointCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.endpoints)
}

// SetRouterCount sets the number of live routers, this one included.
func (t *Tracker) SetRouterCount(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routers = n
}

// BeginRequest adds a request of this router to the load of the endpoint.
func (t *Tracker) BeginRequest(id, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpointState(id, service).inFlight++
}

// EndRequest removes a request of this router from the load of the endpoint and
// records its result. A completed request ends the suspension of the endpoint.
func (t *Tracker) EndRequest(id, service string, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpointState(id, service)
	e.inFlight--
	e.summary.Requests++
	if r.Failed {
		e.summary.Failures++
	} else {
		e.failures = 0
		e.suspendedUntil = time.Time{}
	}
	if r.EventTime > 0 {
		e.predicted.RecordEventTime(r.EventTime)
	}
	if r.Latency > 0 {
		// An exponential moving average with a weight of 1/4 for the latest value.
		if e.summary.Latency == 0 {
			e.summary.Latency = r.Latency
		}
		e.summary.Latency += (r.Latency - e.summary.Latency) / 4
	}
}

// Suspend suspends an endpoint after a connection to it could not be opened or
// stopped responding. It returns the time until the suspension ends.
func (t *Tracker) Suspend(now time.Time, id, service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpointState(id, service)
	if now.Before(e.suspendedUntil) {
		return e.suspendedUntil.Sub(now)
	}
	duration := min(maxSuspension, initialSuspension<<min(e.failures, 8))
	e.failures++
	e.suspendedUntil = now.Add(duration)
	return duration
}

// endpointState returns the state of an endpoint and creates it if it is unknown.
// The lock is held.
func (t *Tracker) endpointState(id, service string) *endpoint {
	e := t.endpoints[id]
	if e == nil {
		e = &endpoint{service: service}
		t.endpoints[id] = e
	}
	return e
}

// Evaluate lowers the weights of endpoints that are slower or fail more often
// than the others of their service. It returns all weights below 1 by endpoint
// id. It is called about once a second.
func (t *Tracker) Evaluate(now time.Time) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.endpoints {
		if e.summary.Requests > 0 {
			t.group(now, e.service).Observe(id, e.summary)
		}
		e.previous, e.summary = e.summary, ejector.Summary{Latency: e.summary.Latency}
	}
	t.observePeerReports(now)
	t.compareEventTimes()
	reducedWeights := map[string]float64{}
	for _, g := range t.groups {
		g.Evaluate(now)
	}
	for id, e := range t.endpoints {
		if w := t.group(now, e.service).State(id).Weight; w < 1 {
			reducedWeights[id] = w
		}
	}
	return reducedWeights
}

// observePeerReports adds the outcomes that other routers reported to the outlier
// detection, each report once. In a large fleet a single router sends an endpoint
// too few requests to detect that it is an outlier. The lock is held.
func (t *Tracker) observePeerReports(now time.Time) {
	for _, p := range t.peers {
		if p.evaluated || now.Sub(p.receivedAt) >= peerExpiry {
			continue
		}
		p.evaluated = true
		for id, o := range p.Outcomes {
			if e := t.endpoints[id]; e != nil {
				t.group(now, e.service).Observe(id, o.summary())
			}
		}
	}
}

// Report returns the report of this router for other routers.
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

// MergeReport replaces the report of another router and removes expired reports.
func (t *Tracker) MergeReport(now time.Time, router string, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[router] = &peerReport{Report: r, receivedAt: now}
	for id, p := range t.peers {
		if now.Sub(p.receivedAt) >= peerExpiry {
			delete(t.peers, id)
		}
	}
	if !t.totalsRecent(now) {
		t.adjust(now)
	}
}
