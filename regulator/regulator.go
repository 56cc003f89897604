// Package regulator holds the admission of requests to services with few endpoints: it
// keeps the state of all services, lets requests wait and tells the other routers the
// demand. Package apportioner computes the share of this router and package queuer the
// order; see docs/design/admission.md.
//
// A service takes part if its endpoints state their slots and do not report their load
// in responses. The requests of all other services pass at once.
package regulator

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/apportioner"
	"github.com/bergamotdale/bergamotdale/collector"
	"github.com/bergamotdale/bergamotdale/gatekeeper"
	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/subscriber"
	"github.com/bergamotdale/bergamotdale/tracker"
)

const (
	// DefaultMaxWaiting is the default of the largest number of requests that wait for a
	// service.
	DefaultMaxWaiting = 256
	// loadReportPeriod is how long a service is left alone after one of its endpoints
	// has reported its load.
	loadReportPeriod = time.Minute
	// reportExpiry is how long the demand that another router itself has told counts.
	reportExpiry = 2 * time.Second
	// totalsExpiry is the age from which the sums of a collector are forgotten. The share
	// has decayed to an equal one by then.
	totalsExpiry = 10 * time.Second
	// minWeight is the least part of its slots with which an endpoint counts that is slow
	// or fails requests.
	minWeight = 1.0 / 16
	// maxServices bounds the services in a message. The target of 33 models and some
	// plain services fits, as only the latter take part; those with the most demand come
	// first.
	maxServices = 32
	// minReported is the demand, in requests a second, below which it is not told.
	minReported = 0.01
	// recheckInterval is the time between two checks whether shares bind while no
	// request waits.
	recheckInterval = time.Second
)

// Directory is the router's local copy of the configuration and of the endpoints.
type Directory interface {
	State() *subscriber.State
}

// Regulator implements bergamotdale.Admission. Exported fields are set before the first
// request.
type Regulator struct {
	// Self is the ID and FailureDomain the failure domain of this router.
	Self, FailureDomain string
	Clock               bergamotdale.Clock
	Directory           Directory
	Tracker             *tracker.Tracker
	Gatekeeper          *gatekeeper.Gatekeeper
	Logger              *zap.Logger
	// Routers returns the number of live routers, at least 1.
	Routers func() int

	wake chan struct{}

	mu         sync.Mutex
	maxWaiting int
	services   map[string]*governed
	// totals holds the demand of the other routers as a collector has added it up, and
	// reports what single routers have told.
	totals  demand
	reports map[string]demand
}

// governed is a service and what is known of it.
type governed struct {
	*service
	// plainAt is the time of the latest response without a load, and loadAt that of the
	// latest one with a load.
	plainAt, loadAt time.Time
	// refusedBefore counts the requests refused before the share began to bind last.
	refusedBefore int64
}

// demand is the demand of other routers at a time.
type demand struct {
	collector.Demands
	at time.Time
}

// New returns a regulator without services.
func New(clock bergamotdale.Clock) *Regulator {
	return &Regulator{
		Clock: clock, wake: make(chan struct{}, 1), maxWaiting: DefaultMaxWaiting,
		services: map[string]*governed{}, reports: map[string]demand{},
	}
}

// SetMaxWaiting sets the largest number of requests that wait for a service.
func (r *Regulator) SetMaxWaiting(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maxWaiting = n
	for _, s := range r.services {
		s.maxWaiting = n
	}
}

// Acquire implements bergamotdale.Admission.
func (r *Regulator) Acquire(ctx context.Context, request bergamotdale.AdmissionRequest) (func(bergamotdale.AdmissionResult), *bergamotdale.Refusal) {
	r.mu.Lock()
	s := r.service(request.Service)
	now := r.Clock.Now()
	if !s.governs(now) || !r.observe(now, s) {
		r.mu.Unlock()
		return func(result bergamotdale.AdmissionResult) { r.learn(s, result) }, nil
	}
	w := &waiter{request: request, decided: make(chan struct{})}
	s.submit(now, w)
	waits := w.flight == nil && w.refusal == nil
	r.logBinding(now, s)
	r.mu.Unlock()
	if waits {
		r.signal()
		select {
		case <-w.decided:
		case <-ctx.Done():
			return nil, r.giveUp(s, w, ctx.Err()).WithCause(ctx.Err())
		}
	}
	if w.refusal != nil {
		return nil, w.refusal
	}
	if request.Choose != nil && w.flight.Endpoint != "" {
		request.Choose(w.flight.Endpoint)
	}
	return func(result bergamotdale.AdmissionResult) { r.release(s, w, result) }, nil
}

// service returns the state of a service, which is created on first use. The lock is
// held.
func (r *Regulator) service(name string) *governed {
	s := r.services[name]
	if s == nil {
		s = &governed{service: newService(name, hasher.Hash(r.Self+"/"+name), r.maxWaiting)}
		r.services[name] = s
	}
	return s
}

// governs reports whether requests of the service need admission, as far as the
// responses tell.
func (s *governed) governs(now time.Time) bool {
	return !s.plainAt.IsZero() && (s.loadAt.IsZero() || now.Sub(s.loadAt) > loadReportPeriod)
}

// observe updates the service with its endpoints and the demand of the fleet. It
// returns false if one of its endpoints does not state its slots. The lock is held.
func (r *Regulator) observe(now time.Time, s *governed) bool {
	open := r.Gatekeeper.Open(r.Directory.State().Endpoints(s.name))
	candidates, _ := r.Tracker.Candidates(now, open, r.FailureDomain, nil)
	endpoints := make([]apportioner.Endpoint, 0, len(candidates))
	for _, c := range candidates {
		if c.Slots <= 0 {
			return false
		}
		if !c.Suspended {
			endpoints = append(endpoints, apportioner.Endpoint{ID: c.ID, Slots: float64(c.Slots) * max(minWeight, c.Weight), Load: c.Load})
		}
	}
	s.observe(now, endpoints, r.fleet(now, s.name))
	return true
}

// fleet returns what is known of the demand of the other routers. The sums of a
// collector take precedence; without any, those of the routers heard lately count. The
// lock is held.
func (r *Regulator) fleet(now time.Time, name string) apportioner.Fleet {
	f := apportioner.Fleet{Routers: max(1, r.Routers()), Age: totalsExpiry}
	if age := now.Sub(r.totals.at); !r.totals.at.IsZero() && age < totalsExpiry {
		f.Age, f.Covers = age, r.totals.Covers
		f.Demand, f.Work = r.totals.Of(name)
		return f
	}
	for _, d := range r.reports {
		if now.Sub(d.at) < reportExpiry {
			requests, work := d.Of(name)
			f.Demand, f.Work, f.Covers, f.Age = f.Demand+requests, f.Work+work, f.Covers+d.Covers, 0
		}
	}
	if f.Routers == 1 {
		f.Age = 0
	}
	return f
}

// giveUp returns the refusal of a request whose context has ended, and frees what it
// holds.
func (r *Regulator) giveUp(s *governed, w *waiter, cause error) *bergamotdale.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	switch {
	case w.refusal != nil:
		return w.refusal
	case w.flight != nil:
		s.share.End(now, w.flight, w.flight.Endpoint, apportioner.Unsent)
		r.dispatch(now, s)
	default:
		s.leave(w)
	}
	refusal := bergamotdale.Refuse(bergamotdale.CodeWaitTooLong, "the request was given up while it waited for service %s", s.name)
	if errors.Is(cause, context.DeadlineExceeded) {
		s.refuse(now, w, refusal)
		return w.refusal
	}
	// The client has left, or the router stops and the client may go to another one.
	return refusal.After(fallbackRetryAfter)
}

// learn takes over what a response says about its service.
func (r *Regulator) learn(s *governed, result bergamotdale.AdmissionResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.learnLocked(s, result)
}

func (r *Regulator) learnLocked(s *governed, result bergamotdale.AdmissionResult) {
	switch {
	case result.ReportsLoad:
		s.loadAt = r.Clock.Now()
	case result.Outcome == bergamotdale.AdmissionServed:
		s.plainAt = r.Clock.Now()
	}
}

// outcomes maps the outcomes of attempts.
var outcomes = map[bergamotdale.AdmissionOutcome]apportioner.Outcome{
	bergamotdale.AdmissionServed:   apportioner.Served,
	bergamotdale.AdmissionRejected: apportioner.Rejected,
	bergamotdale.AdmissionUnsent:   apportioner.Unsent,
	bergamotdale.AdmissionLost:     apportioner.Lost,
}

// release records the end of an attempt and lets waiting requests go.
func (r *Regulator) release(s *governed, w *waiter, result bergamotdale.AdmissionResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	r.learnLocked(s, result)
	s.share.End(now, w.flight, result.Endpoint, outcomes[result.Outcome])
	r.dispatch(now, s)
}

// dispatch lets requests of the service go. The lock is held.
func (r *Regulator) dispatch(now time.Time, s *governed) {
	if s.queue.Len() == 0 {
		return
	}
	r.observe(now, s)
	r.decide(s.dispatch(now))
}

// decide wakes the requests that have been let go or refused. The lock is held.
func (r *Regulator) decide(decided []*waiter) {
	for _, w := range decided {
		close(w.decided)
	}
}

// signal makes Run look at the queues.
func (r *Regulator) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run lets waiting requests go as the credits of their services grow, until the context
// is done.
func (r *Regulator) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
		case <-r.Clock.After(r.tick()):
		}
	}
}

// tick looks at all queues and returns the time until the next look.
func (r *Regulator) tick() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, wait := r.Clock.Now(), recheckInterval
	for _, s := range r.services {
		r.dispatch(now, s)
		r.logBinding(now, s)
		if d := s.next(now); d >= 0 {
			wait = min(wait, d)
		}
	}
	return wait
}

// logBinding logs when the share of a service begins or ceases to hold requests back.
// The lock is held.
func (r *Regulator) logBinding(now time.Time, s *governed) {
	if !s.changesBinding(now) {
		return
	}
	requests, _ := s.share.Demand(now)
	fields := []zap.Field{
		zap.String("service", s.name), zap.Float64("share", s.share.Allowed()), zap.Float64("demand", requests),
		zap.Float64("others-demand", s.fleet.Demand), zap.Int("covers", s.fleet.Covers), zap.Int("routers", s.fleet.Routers),
		zap.Duration("age", s.fleet.Age), zap.Int("endpoints", len(s.endpoints)), zap.Duration("work", s.share.Work()),
	}
	if s.binding {
		r.Logger.Info("share of a service binds, requests wait", fields...)
		return
	}
	r.Logger.Info("share of a service no longer binds", append(fields, zap.Int64("waited", s.waited), zap.Int64("refused", s.refused))...)
	s.refusedBefore += s.refused
	s.waited, s.refused = 0, 0
}

// Demands returns the demand of this router for other routers.
func (r *Regulator) Demands() collector.Demands {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	d := collector.Demands{Covers: 1}
	for name, s := range r.services {
		// Requests that have left the queue since the last update are no demand.
		s.update(now, 0)
		if requests, work := s.share.Demand(now); s.governs(now) && requests >= minReported {
			d.Add(name, requests, work)
		}
	}
	if len(d.Services) > maxServices {
		names := slices.SortedFunc(maps.Keys(d.Services), func(a, b string) int {
			return cmp.Or(cmp.Compare(d.Services[b][0], d.Services[a][0]), cmp.Compare(a, b))
		})
		for _, name := range names[maxServices:] {
			delete(d.Services, name)
		}
	}
	return d
}

// SetDemands takes over the demand of the other routers from a collector.
func (r *Regulator) SetDemands(now time.Time, others collector.Demands) {
	r.mu.Lock()
	defer r.mu.Unlock()
	others.Covers = max(0, others.Covers)
	r.totals = demand{others, now}
}

// MergeDemands takes over the demand of one other router.
func (r *Regulator) MergeDemands(now time.Time, router string, d collector.Demands) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d.Covers = min(1, max(0, d.Covers))
	r.reports[router] = demand{d, now}
	maps.DeleteFunc(r.reports, func(_ string, d demand) bool { return now.Sub(d.at) >= reportExpiry })
}

// WaitingCount returns the number of waiting requests.
func (r *Regulator) WaitingCount() int64 {
	return r.sum(func(s *governed) int64 { return int64(s.queue.Len()) })
}

// RefusedCount returns the number of requests refused since the start.
func (r *Regulator) RefusedCount() int64 {
	return r.sum(func(s *governed) int64 { return s.refusedBefore + s.refused })
}

// ShareMilli returns the number of requests that this router may have in flight on
// average at all services that need admission, in thousandths.
func (r *Regulator) ShareMilli() int64 {
	return r.sum(func(s *governed) int64 { return int64(1000 * s.share.Allowed()) })
}

func (r *Regulator) sum(read func(*governed) int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := int64(0)
	for _, s := range r.services {
		n += read(s)
	}
	return n
}
