// Package simulator runs a workload of package workloader in simulated time
// through the placement, quota and scheduling code of the routers, against the
// engine models of package modeler. A Scenario selects the placement policy and the
// queue, and includes engines that leave and routers that crash. All random choices
// derive from one seed, so that the same scenario gives the same result. An Observer
// records the events of a run.
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
	// tickInterval is the time between two checks of the limits on waiting times
	// and two samples.
	tickInterval = 100 * time.Millisecond
	// maxAttempts is how often a client sends a request before it gives up.
	maxAttempts = 4
	// maxStateBytes limits the memory of an engine's overrides and that of the
	// record of its cached chats.
	maxStateBytes = 1 << 20
	// noEndpointRetryAfter is the time to retry when no endpoint admits a request.
	noEndpointRetryAfter = time.Second
	// minQuotaRetryAfter is the shortest time to retry after a refusal by a quota,
	// since the Retry-After header has whole seconds.
	minQuotaRetryAfter = time.Second
)

// Scenario is one simulated run.
type Scenario struct {
	// Shape describes the deployment.
	Shape     workloader.Shape
	Seed      uint64
	Placement Placement
	// FIFO replaces the scheduler by the baseline modeler.FIFO.
	FIFO bool
	// Load is the demand of each class as a fraction of the group's capacity.
	Load [workloader.ClassCount]float64
	// Streams are sources of chats in addition to Load, and so is Flood if it is
	// not nil.
	Streams []workloader.Stream
	Flood   *workloader.Flood
	// Arrivals from From until To are measured. There are no new chats after To.
	From, To time.Duration
	// EngineChurn is the time between departures of engines, each of which is
	// replaced by a new one after joinDelay. RouterChurn is the time between
	// crashes of routers. Zero means that there are none.
	EngineChurn, RouterChurn time.Duration
	// Quota is the token rate of each workspace; zero means no quotas.
	Quota float64
	// CheckAdmission, if not nil, is called after each admission by
	// PlacementRouter with the new load of the engine, the step, and the group
	// loads on which the decision was based: that of the engine's owner, and that
	// of the owner that planned the step.
	CheckAdmission func(load int, step placer.Step, own, sender placer.GroupLoad)
}

// joinDelay is the time between the departure of an engine and the arrival of
// its replacement.
const joinDelay = 5 * time.Second

// simulation holds the state of a run.
type simulation struct {
	looper.Loop
	Scenario
	source   workloader.Source
	observer Observer
	rng      *rand.Rand
	// engines has the same order as the candidates of group. It includes engines
	// that have left within the last placer.SearchPeriod.
	engines []*engine
	byName  map[string]*engine
	// createdEngines counts the engines that were added, and departures those that
	// left.
	createdEngines int
	departures     int
	group          *placer.Group
	bound          placer.LoadBound
	// requests holds the requests that have not ended, by ID.
	requests map[string]*modeler.Request
	// reports holds the last load report of each engine, by name.
	reports map[string]loadReport
	// quotas is nil if the scenario has none.
	quotas *quotas
	// order and plan are buffers that are reused between placements.
	order []int
	plan  []placer.Step
	// lastDecision is the last admission by PlacementRouter.
	lastDecision decision
}

// decision is an admission of a request with the step and the group loads on which
// it was based.
type decision struct {
	engine      *engine
	step        placer.Step
	own, sender placer.GroupLoad
}

// loadReport is the last load report of an engine that the aggregator received.
type loadReport struct {
	load int
	at   time.Duration
}

// Observer records the events of a simulation.
type Observer interface {
	// Arrived is called for the first attempt of a request.
	Arrived(now time.Duration, r *modeler.Request)
	// Started is called each time a request takes a slot of an engine.
	Started(now time.Duration, r *modeler.Request)
	// Admitted is called each time an engine admits a request to its queue.
	Admitted(now time.Duration, a Admission)
	// Redirected is called for each attempt at another endpoint than the first.
	Redirected(now time.Duration)
	// Unplaced is called if no endpoint has admitted a request.
	Unplaced()
	// Refused is called for each refusal by a quota, by placement or by a queue.
	Refused(r *modeler.Request)
	// Preempted is called when a request has lost its slot to a more urgent one.
	Preempted(r *modeler.Request)
	// Completed is called when a request has generated its whole output.
	Completed(now time.Duration, r *modeler.Request)
	// Lost is called for a request that its client gives up.
	Lost(r *modeler.Request)
	// Pending is called for each request that has not ended when the simulation
	// ends.
	Pending(r *modeler.Request)
	// Sampled is called every tickInterval with the number of slots that each
	// class holds.
	Sampled(now time.Duration, held [workloader.ClassCount]int)
}

// Admission describes an admission of a request to an engine.
type Admission struct {
	// Load is the load of the engine after the admission. Capacity is the highest
	// load that the load bound allows for the present load of the group, of which
	// routers only know older values.
	Load     int
	Capacity int
}

// engine is a modelled engine together with the state that its owner, the router
// that admits requests to it, keeps for it.
type engine struct {
	*modeler.Engine
	simulation    *simulation
	name          string
	failureDomain string
	// overrides holds the endpoints that served the chats whose first endpoint is
	// this engine.
	overrides *placer.Overrides
	// cachedChats is the owner's estimate of the chats in the engine's cache.
	cachedChats *estimator.PrefixCache
	// loads is the owner's view of the loads of the group.
	loads *placer.Loads
	// owner is the number of the router that owns the engine.
	owner    int
	joinedAt time.Duration
	// ownedSince is when the owner began to keep overrides and cachedChats, and
	// leftAt is when the engine left.
	ownedSince, leftAt time.Duration
	// warm is set for the engines that exist from the start. They take their full
	// share of chats at once, without a slow start.
	warm     bool
	draining bool
	gone     bool
	// receivedLoad is the group load that the owner received last, at receivedAt.
	receivedLoad placer.GroupLoad
	receivedAt   time.Duration
}

// Run simulates a scenario and reports its events to the observer.
func Run(sc Scenario, observer Observer) {
	s := &simulation{
		Scenario: sc, observer: observer,
		rng:    rand.New(rand.NewPCG(sc.Seed, hasher.Hash("simulation"))),
		byName: map[string]*engine{}, requests: map[string]*modeler.Request{}, reports: map[string]loadReport{},
		bound: placer.LoadBound{Multiple: sc.Shape.Multiple},
	}
	if sc.Quota > 0 {
		s.quotas = newQuotas(sc.Quota)
	}
	for range sc.Shape.Engines {
		s.addEngine(true)
	}
	s.source = workloader.Source{Loop: &s.Loop, Seed: sc.Seed, Pause: sc.Shape.Pause, End: sc.To, Send: s.arrive}
	for _, f := range s.demandStreams() {
		s.source.AddStream(f)
	}
	s.After(tickInterval, s.tick)
	if sc.EngineChurn > 0 {
		s.After(sc.EngineChurn, s.churnEngine)
	}
	if sc.RouterChurn > 0 {
		s.After(sc.RouterChurn, s.churnRouter)
	}
	s.Run(sc.To + drainTime)
	for _, r := range s.requests {
		s.observer.Pending(r)
	}
}

// drainTime is how long the simulation continues after the last arrival, so
// that admitted requests can end.
const drainTime = 10 * time.Minute

// demandStreams returns the streams for the load, the additional streams and the
// flood of the scenario.
func (s *simulation) demandStreams() []workloader.Stream {
	names, weights := workloader.ZipfWorkspaces("workspace", s.Shape.Workspaces)
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

// addEngine adds an engine in the next failure domain and with a random owner.
func (s *simulation) addEngine(warm bool) {
	n := s.createdEngines
	s.createdEngines++
	var queue modeler.Queue = scheduler.New(scheduler.Config{Classes: workloader.Classes(), Headroom: workloader.Headroom})
	if s.FIFO {
		queue = modeler.NewFIFO(workloader.Classes())
	}
	e := &engine{
		simulation: s, name: fmt.Sprintf("engine-%03d", n+1), failureDomain: fmt.Sprintf("domain-%d", n%s.Shape.FailureDomains),
		overrides: placer.NewOverrides(maxStateBytes), loads: placer.NewLoads(),
		cachedChats: estimator.NewPrefixCache(s.Shape.CacheTokens, maxStateBytes), owner: s.rng.IntN(s.Shape.Routers),
		joinedAt: s.Now, ownedSince: s.Now, warm: warm,
	}
	e.Engine = modeler.New(&s.Loop, s.Shape, queue, e)
	s.engines = append(s.engines, e)
	s.byName[e.name] = e
	s.rebuildGroup()
	s.After(time.Duration(s.rng.Int64N(int64(s.Shape.ReportInterval))), e.sendReport)
}

// rebuildGroup removes the engines that left longer than placer.SearchPeriod ago and
// rebuilds the routers' view of the group.
func (s *simulation) rebuildGroup() {
	s.engines = slices.DeleteFunc(s.engines, func(e *engine) bool { return e.gone && s.Now-e.leftAt > placer.SearchPeriod })
	candidates := make([]placer.Candidate, len(s.engines))
	for i, e := range s.engines {
		candidates[i] = placer.Candidate{Name: e.name, FailureDomain: e.failureDomain, Draining: e.draining || e.gone, Weight: 1}
		if !e.warm {
			candidates[i].SlowStart = looper.Epoch.Add(e.joinedAt)
		}
	}
	s.group = placer.NewGroup(candidates, 0)
}

// sendReport sends the load of the engine to the aggregator, takes the group load
// and the loads of all engines from the response, and schedules the next report.
func (e *engine) sendReport() {
	s := e.simulation
	if e.gone {
		return
	}
	s.reports[e.name] = loadReport{e.Load(), s.Now}
	e.receivedLoad = placer.GroupLoad{}
	for _, other := range s.engines {
		r, ok := s.reports[other.name]
		if !ok || other.gone {
			continue
		}
		e.receivedLoad.Requests += r.load
		if !other.draining {
			e.receivedLoad.Engines++
		}
		e.receivedLoad.Age = max(e.receivedLoad.Age, s.Now-r.at)
	}
	e.receivedAt = s.Now
	e.loads.Reset(e.receivedLoad.Engines, s.Clock().Add(-e.receivedLoad.Age))
	for _, other := range s.engines {
		if r, ok := s.reports[other.name]; ok && !other.gone {
			e.loads.Set(other.name, r.load)
		}
	}
	s.After(s.Shape.ReportInterval, e.sendReport)
}

// groupLoad returns the group load that the owner knows, with its present age.
func (e *engine) groupLoad() placer.GroupLoad {
	load := e.receivedLoad
	load.Age += e.simulation.Now - e.receivedAt
	return load
}

// tick refuses the requests that have waited too long, removes drained engines and
// takes samples.
func (s *simulation) tick() {
	var held [workloader.ClassCount]int
	for _, e := range s.engines {
		if e.gone {
			continue
		}
		for _, r := range e.Queue.Expire(s.Clock()) {
			s.handleRefusal(r)
		}
		e.Dispatch()
		for class := range held {
			held[class] += e.SlotsHeld(class)
		}
		if e.draining && e.Load() == 0 {
			e.markGone()
		}
	}
	s.observer.Sampled(s.Now, held)
	s.After(tickInterval, s.tick)
}

// arrive submits a new turn of a chat.
func (s *simulation) arrive(t workloader.Turn) {
	r := &modeler.Request{Turn: t, Arrived: s.Now}
	s.observer.Arrived(s.Now, r)
	s.submit(r)
}

// submit makes one attempt to place a request: it charges the quota, places the
// request and adds it to the queue of the engine.
func (s *simulation) submit(r *modeler.Request) {
	r.Attempts++
	s.requests[r.ID] = r
	if wait, ok := s.spendQuota(r); !ok {
		s.handleRefusal(scheduler.Refused{Item: r.Item(), RetryAfter: max(wait, minQuotaRetryAfter)})
		return
	}
	e := s.place(r)
	if e == nil {
		s.observer.Unplaced()
		s.handleRefusal(scheduler.Refused{Item: r.Item(), RetryAfter: noEndpointRetryAfter})
		return
	}
	for _, refusal := range e.Queue.Push(s.Clock(), r.Item()) {
		s.handleRefusal(refusal)
	}
	groupLoad := s.trueGroupLoad()
	groupLoad.Requests--
	s.observer.Admitted(s.Now, Admission{Load: e.Load(), Capacity: s.bound.Capacity(groupLoad)})
	if s.CheckAdmission != nil && s.lastDecision.engine == e {
		s.CheckAdmission(e.Load(), s.lastDecision.step, s.lastDecision.own, s.lastDecision.sender)
	}
	e.Dispatch()
}

// handleRefusal lets the client retry a refused request after the given time, or
// give it up after maxAttempts.
func (s *simulation) handleRefusal(refusal scheduler.Refused) {
	r, ok := s.requests[refusal.Item.ID]
	if !ok {
		return
	}
	s.observer.Refused(r)
	if r.Attempts < maxAttempts {
		s.After(refusal.RetryAfter, func() { s.submit(r) })
		return
	}
	delete(s.requests, r.ID)
	s.observer.Lost(r)
	s.source.ScheduleNextTurn(r.Chat)
}

// FindRequest implements modeler.Hooks.
func (e *engine) FindRequest(id string) *modeler.Request {
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

// PrefixCached implements modeler.Hooks. It updates the owner's estimate of the
// cache.
func (e *engine) PrefixCached(r *modeler.Request, tokens int) {
	e.cachedChats.Put(r.Name, tokens)
}

// Completed implements modeler.Hooks.
func (e *engine) Completed(r *modeler.Request) {
	s := e.simulation
	delete(s.requests, r.ID)
	s.observer.Completed(s.Now, r)
	s.source.ScheduleNextTurn(r.Chat)
}

// churnEngine makes a random engine leave, by a crash and by draining in turn, and
// schedules its replacement and the next departure.
func (s *simulation) churnEngine() {
	if s.Now >= s.To {
		return
	}
	live := s.liveEngines()
	e := live[s.rng.IntN(len(live))]
	s.departures++
	if s.departures%2 == 0 {
		e.draining = true
	} else {
		e.crash()
	}
	s.rebuildGroup()
	s.After(joinDelay, func() { s.addEngine(false) })
	s.After(s.EngineChurn, s.churnEngine)
}

// markGone records that the engine has left.
func (e *engine) markGone() {
	e.gone = true
	e.leftAt = e.simulation.Now
}

// crash makes the engine leave with its cache. The entry routers submit its
// requests again, which continue after the output generated so far and do not count
// this as a further attempt.
func (e *engine) crash() {
	e.markGone()
	s := e.simulation
	ids := e.Crash()
	s.rebuildGroup()
	for _, id := range ids {
		r := s.requests[id]
		r.Attempts--
		s.submit(r)
	}
}

// churnRouter crashes a random router. Its engines get new owners, which start
// without overrides and without an estimate of the caches.
func (s *simulation) churnRouter() {
	if s.Now >= s.To {
		return
	}
	router := s.rng.IntN(s.Shape.Routers)
	for _, e := range s.engines {
		if e.owner == router {
			e.overrides = placer.NewOverrides(maxStateBytes)
			e.cachedChats = estimator.NewPrefixCache(s.Shape.CacheTokens, maxStateBytes)
			e.owner = s.rng.IntN(s.Shape.Routers)
			e.ownedSince = s.Now
		}
	}
	s.After(s.RouterChurn, s.churnRouter)
}
