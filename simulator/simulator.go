// Package simulator runs a workload through the decision packages against
// modelled engines, in simulated time and with one seed for everything.
package simulator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale/estimator"
	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/looper"
	"github.com/bergamotdale/bergamotdale/modeler"
	"github.com/bergamotdale/bergamotdale/placer"
	"github.com/bergamotdale/bergamotdale/scheduler"
	"github.com/bergamotdale/bergamotdale/workloader"
)

const (
	// tick is the interval of time limits and samples.
	tick = 100 * time.Millisecond
	// maxAttempts is how often a client sends a request that is refused.
	maxAttempts = 4
	// memory bounds each of an owner's overrides and residents.
	memory = 1 << 20
	// noEndpointRetry is the time to retry when all endpoints are full.
	noEndpointRetry = time.Second
	// minQuotaRetry is the resolution of the Retry-After header.
	minQuotaRetry = time.Second
)

// Scenario is one simulated run.
type Scenario struct {
	Shape     workloader.Shape
	Seed      uint64
	Placement Placement
	// FIFO replaces the scheduler by the baseline.
	FIFO bool
	// Load is the demand of each class as a fraction of the capacity.
	Load [workloader.ClassCount]float64
	// Streams are added to the demand of Load.
	Streams []workloader.Stream
	Flood   *workloader.Flood
	// From and To bound the arrivals that are measured.
	From, To time.Duration
	// EngineChurn is the time between departures of engines, which a new one
	// replaces after joinDelay; zero means none. RouterChurn is the time
	// between crashes of routers.
	EngineChurn, RouterChurn time.Duration
	// Quota is the token rate of each workspace; zero means no quotas.
	Quota float64
	// Check is called after each admission by the router's policy with the
	// new load and the means on which the owner decided.
	Check func(load int, step placer.Step, own, sender placer.GroupLoad)
}

// joinDelay is the time between the departure of an engine and the arrival of
// its replacement.
const joinDelay = 5 * time.Second

// simulation is the state of a run.
type simulation struct {
	looper.Loop
	Scenario
	source     workloader.Source
	observer   Observer
	rng        *rand.Rand
	engines    []*engine
	byName     map[string]*engine
	created    int
	departures int
	group      *placer.Group
	bound      placer.LoadBound
	requests   map[string]*modeler.Request
	reports    map[string]report
	quotas     *quotas
	order      []int
	plan       []placer.Step
	// admission is the last decision of the router's policy.
	admission admission
}

// admission is what an owner knew when it admitted a request.
type admission struct {
	engine      *engine
	step        placer.Step
	own, sender placer.GroupLoad
}

// report is the last load report of an engine at the aggregator.
type report struct {
	load int
	at   time.Duration
}

// Observer records what happens in a simulation.
type Observer interface {
	// Arrived is called for the first attempt of a request, Started each time
	// it takes a slot.
	Arrived(now time.Duration, r *modeler.Request)
	Started(now time.Duration, r *modeler.Request)
	Admitted(now time.Duration, a Admission)
	// Redirected is called for each attempt beyond the first endpoint, Unplaced
	// if all of them have failed.
	Redirected(now time.Duration)
	Unplaced()
	Refused(r *modeler.Request)
	Preempted(r *modeler.Request)
	Completed(now time.Duration, r *modeler.Request)
	// Lost is called for a request that its client gives up, Left for one that
	// has not ended when the simulation does.
	Lost(r *modeler.Request)
	Left(r *modeler.Request)
	// Sampled is called every tick with the slots that the classes hold.
	Sampled(now time.Duration, held [workloader.ClassCount]int)
}

// Admission is the load of an engine after an admission, and its capacity by
// the true state of the group, which no router knows.
type Admission struct {
	Load     int
	Capacity int
}

// engine is an engine together with its owner's state.
type engine struct {
	*modeler.Engine
	simulation *simulation
	name       string
	domain     string
	overrides  *placer.Overrides
	residents  *estimator.PrefixCache
	loads      *placer.Loads
	owner      int
	joined     time.Duration
	// since is when the owner began to keep its memory, left when the engine
	// left.
	since, left time.Duration
	warm        bool
	draining    bool
	gone        bool
	// known is the group's mean as the owner received it last.
	known   placer.GroupLoad
	knownAt time.Duration
}

// Run simulates a scenario.
func Run(sc Scenario, observer Observer) {
	s := &simulation{
		Scenario: sc, observer: observer,
		rng:    rand.New(rand.NewPCG(sc.Seed, hasher.Hash("simulation"))),
		byName: map[string]*engine{}, requests: map[string]*modeler.Request{}, reports: map[string]report{},
		bound: placer.LoadBound{Multiple: sc.Shape.Multiple},
	}
	if sc.Quota > 0 {
		s.quotas = newQuotas(sc.Quota)
	}
	for range sc.Shape.Engines {
		s.join(true)
	}
	s.source = workloader.Source{Loop: &s.Loop, Seed: sc.Seed, Pause: sc.Shape.Pause, End: sc.To, Send: s.arrive}
	for _, f := range s.demandStreams() {
		s.source.Feed(f)
	}
	s.After(tick, s.tick)
	if sc.EngineChurn > 0 {
		s.After(sc.EngineChurn, s.churnEngine)
	}
	if sc.RouterChurn > 0 {
		s.After(sc.RouterChurn, s.churnRouter)
	}
	s.Run(sc.To + drainTime)
	for _, r := range s.requests {
		s.observer.Left(r)
	}
}

// drainTime is how long the simulation continues after the last arrival, so
// that accepted work can end.
const drainTime = 10 * time.Minute

// demandStreams returns the arrivals of the scenario.
func (s *simulation) demandStreams() []workloader.Stream {
	names, weights := workloader.Zipf("workspace", s.Shape.Workspaces)
	streams := slices.Clone(s.Streams)
	for class, load := range s.Load {
		if load > 0 {
			streams = append(streams, s.Shape.Stream("base-"+workloader.ClassNames[class], class, load, names, weights, 0, s.To))
		}
	}
	if f := s.Flood; f != nil {
		flood := s.Shape.Stream("flood", f.Class, f.Load, names[:3], weights[:3], f.From, f.To)
		flood.Rate *= flood.Turns
		flood.Turns = 1
		streams = append(streams, flood)
	}
	return streams
}

// join adds an engine.
func (s *simulation) join(warm bool) {
	n := s.created
	s.created++
	var queue modeler.Queue = scheduler.New(scheduler.Config{Classes: workloader.Classes(), Headroom: workloader.Headroom})
	if s.FIFO {
		queue = modeler.NewFIFO(workloader.Classes())
	}
	e := &engine{
		simulation: s, name: fmt.Sprintf("engine-%03d", n+1), domain: fmt.Sprintf("domain-%d", n%s.Shape.Domains),
		overrides: placer.NewOverrides(memory), loads: placer.NewLoads(),
		residents: estimator.NewPrefixCache(s.Shape.CacheTokens, memory), owner: s.rng.IntN(s.Shape.Routers),
		joined: s.Now, since: s.Now, warm: warm,
	}
	e.Engine = modeler.New(&s.Loop, s.Shape, queue, e)
	s.engines = append(s.engines, e)
	s.byName[e.name] = e
	s.regroup()
	s.After(time.Duration(s.rng.Int64N(int64(s.Shape.ReportInterval))), e.report)
}

// regroup rebuilds the routers' view of the group.
func (s *simulation) regroup() {
	s.engines = slices.DeleteFunc(s.engines, func(e *engine) bool { return e.gone && s.Now-e.left > placer.SearchPeriod })
	candidates := make([]placer.Candidate, len(s.engines))
	for i, e := range s.engines {
		candidates[i] = placer.Candidate{Name: e.name, FailureDomain: e.domain, Draining: e.draining || e.gone, Weight: 1}
		if !e.warm {
			candidates[i].SlowStart = looper.Epoch.Add(e.joined)
		}
	}
	s.group = placer.NewGroup(candidates, 0)
}

// report sends the load to the aggregator, whose response holds the mean.
func (e *engine) report() {
	s := e.simulation
	if e.gone {
		return
	}
	s.reports[e.name] = report{e.Load(), s.Now}
	e.known = placer.GroupLoad{}
	for _, o := range s.engines {
		r, ok := s.reports[o.name]
		if !ok || o.gone {
			continue
		}
		e.known.Requests += r.load
		if !o.draining {
			e.known.Engines++
		}
		e.known.Age = max(e.known.Age, s.Now-r.at)
	}
	e.knownAt = s.Now
	e.loads.Reset(e.known.Engines, s.Clock().Add(-e.known.Age))
	for _, o := range s.engines {
		if r, ok := s.reports[o.name]; ok && !o.gone {
			e.loads.Set(o.name, r.load)
		}
	}
	s.After(s.Shape.ReportInterval, e.report)
}

// mean returns the mean as the owner knows it, with its present age.
func (e *engine) mean() placer.GroupLoad {
	m := e.known
	m.Age += e.simulation.Now - e.knownAt
	return m
}

// tick applies time limits and takes samples.
func (s *simulation) tick() {
	var held [workloader.ClassCount]int
	for _, e := range s.engines {
		if e.gone {
			continue
		}
		for _, r := range e.Queue.Expire(s.Clock()) {
			s.refused(r)
		}
		e.Dispatch()
		for class := range held {
			held[class] += e.Held(class)
		}
		if e.draining && e.Load() == 0 {
			e.leave()
		}
	}
	s.observer.Sampled(s.Now, held)
	s.After(tick, s.tick)
}

// arrive takes a turn of a chat into the fleet.
func (s *simulation) arrive(t workloader.Turn) {
	r := &modeler.Request{Turn: t, Arrived: s.Now}
	s.observer.Arrived(s.Now, r)
	s.submit(r)
}

// submit sends a request to the first endpoint that takes it.
func (s *simulation) submit(r *modeler.Request) {
	r.Attempts++
	s.requests[r.ID] = r
	if wait, ok := s.spend(r); !ok {
		s.refused(scheduler.Refused{Item: r.Item(), RetryAfter: max(wait, minQuotaRetry)})
		return
	}
	e := s.place(r)
	if e == nil {
		s.observer.Unplaced()
		s.refused(scheduler.Refused{Item: r.Item(), RetryAfter: noEndpointRetry})
		return
	}
	for _, out := range e.Queue.Push(s.Clock(), r.Item()) {
		s.refused(out)
	}
	mean := s.trueMean()
	mean.Requests--
	s.observer.Admitted(s.Now, Admission{Load: e.Load(), Capacity: s.bound.Capacity(mean)})
	if s.Check != nil && s.admission.engine == e {
		s.Check(e.Load(), s.admission.step, s.admission.own, s.admission.sender)
	}
	e.Dispatch()
}

// refused tells the client when to come back. It does so a few times.
func (s *simulation) refused(out scheduler.Refused) {
	r, ok := s.requests[out.Item.ID]
	if !ok {
		return
	}
	s.observer.Refused(r)
	if r.Attempts < maxAttempts {
		s.After(out.RetryAfter, func() { s.submit(r) })
		return
	}
	delete(s.requests, r.ID)
	s.observer.Lost(r)
	s.source.Resume(r.Chat)
}

// Find implements modeler.Hooks.
func (e *engine) Find(id string) *modeler.Request {
	return e.simulation.requests[id]
}

// Started implements modeler.Hooks.
func (e *engine) Started(r *modeler.Request) {
	e.simulation.observer.Started(e.simulation.Now, r)
}

// Preempted implements modeler.Hooks.
func (e *engine) Preempted(r *modeler.Request) {
	e.simulation.observer.Preempted(r)
}

// Cached implements modeler.Hooks: the owner's estimate follows the cache.
func (e *engine) Cached(r *modeler.Request, tokens int) {
	e.residents.Put(r.Name, tokens)
}

// Completed implements modeler.Hooks.
func (e *engine) Completed(r *modeler.Request) {
	s := e.simulation
	delete(s.requests, r.ID)
	s.observer.Completed(s.Now, r)
	s.source.Resume(r.Chat)
}

// churnEngine lets an engine leave, by a crash or by draining in turn.
func (s *simulation) churnEngine() {
	if s.Now >= s.To {
		return
	}
	live := s.live()
	e := live[s.rng.IntN(len(live))]
	s.departures++
	if s.departures%2 == 0 {
		e.draining = true
	} else {
		e.crash()
	}
	s.regroup()
	s.After(joinDelay, func() { s.join(false) })
	s.After(s.EngineChurn, s.churnEngine)
}

// leave ends an engine.
func (e *engine) leave() {
	e.gone = true
	e.left = e.simulation.Now
}

// crash loses the cache; the entry routers resume the requests elsewhere.
func (e *engine) crash() {
	e.leave()
	s := e.simulation
	ids := e.Crash()
	s.regroup()
	for _, id := range ids {
		r := s.requests[id]
		r.Attempts--
		s.submit(r)
	}
}

// churnRouter crashes a router, which loses the overrides of its endpoints.
func (s *simulation) churnRouter() {
	if s.Now >= s.To {
		return
	}
	router := s.rng.IntN(s.Shape.Routers)
	for _, e := range s.engines {
		if e.owner == router {
			e.overrides = placer.NewOverrides(memory)
			e.residents = estimator.NewPrefixCache(s.Shape.CacheTokens, memory)
			e.owner = s.rng.IntN(s.Shape.Routers)
			e.since = s.Now
		}
	}
	s.After(s.RouterChurn, s.churnRouter)
}
