package benchmarker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/placer"
	"github.com/bergamotdale/bergamotdale/scheduler"
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
	Shape     Shape
	Seed      uint64
	Placement Placement
	// FIFO replaces the scheduler by the baseline.
	FIFO bool
	// Load is the demand of each class as a fraction of the capacity.
	Load [classCount]float64
	// Streams are added to the demand of Load.
	streams []stream
	Flood   *Flood
	// From and To bound the arrivals that are measured.
	From, To time.Duration
	// EngineChurn is the time between departures of engines, which a new one
	// replaces after joinDelay; zero means none. RouterChurn is the time
	// between crashes of routers.
	EngineChurn, RouterChurn time.Duration
	// ReportInterval is the interval of the load reports to the aggregator.
	ReportInterval time.Duration
	// Quota is the token rate of each workspace; zero means no quotas.
	Quota float64
	// check is called after each admission by the router's policy with the
	// engine and the means on which its owner decided.
	check func(e *engine, step placer.Step, own, sender placer.Mean)
}

// joinDelay is the time between the departure of an engine and the arrival of
// its replacement.
const joinDelay = 5 * time.Second

// simulation is the state of a run.
type simulation struct {
	loop
	Scenario
	shape    Shape
	seed     uint64
	rng      *rand.Rand
	engines  []*engine
	byName   map[string]*engine
	created  int
	group    *placer.Group
	bound    placer.Bound
	requests map[string]*request
	reports  map[string]report
	result   *Result
	quotas   *quotas
	order    []int
	plan     []placer.Step
	// admission is the last decision of the router's policy.
	admission admission
}

// admission is what an owner knew when it admitted a request.
type admission struct {
	engine      *engine
	step        placer.Step
	own, sender placer.Mean
}

// report is the last load report of an engine at the aggregator.
type report struct {
	load int
	at   time.Duration
}

func hashName(name string) uint64 {
	return hasher.Hash(name)
}

// Run simulates a scenario.
func Run(sc Scenario) *Result {
	if sc.ReportInterval == 0 {
		sc.ReportInterval = sc.Shape.reportInterval()
	}
	s := &simulation{
		Scenario: sc, shape: sc.Shape, seed: sc.Seed,
		rng:    rand.New(rand.NewPCG(sc.Seed, hashName("simulation"))),
		byName: map[string]*engine{}, requests: map[string]*request{}, reports: map[string]report{},
		bound:  placer.Bound{Multiple: sc.Shape.Multiple},
		result: newResult(),
	}
	if sc.Quota > 0 {
		s.quotas = newQuotas(sc.Quota)
	}
	for range sc.Shape.Engines {
		s.join(true)
	}
	for _, f := range s.demandStreams() {
		s.feed(f)
	}
	s.after(tick, s.tick)
	if sc.EngineChurn > 0 {
		s.after(sc.EngineChurn, s.churnEngine)
	}
	if sc.RouterChurn > 0 {
		s.after(sc.RouterChurn, s.churnRouter)
	}
	s.run(sc.To + drainTime)
	s.result.finish(s)
	return s.result
}

// drainTime is how long the simulation continues after the last arrival, so
// that accepted work can end.
const drainTime = 10 * time.Minute

// demandStreams returns the arrivals of the scenario.
func (s *simulation) demandStreams() []stream {
	names, weights := zipf("workspace", s.shape.Workspaces)
	streams := slices.Clone(s.streams)
	for class, load := range s.Load {
		if load > 0 {
			streams = append(streams, s.shape.stream("base-"+classNames[class], class, load, names, weights, 0, s.To))
		}
	}
	if f := s.Flood; f != nil {
		flood := s.shape.stream("flood", f.Class, f.Load, names[:3], weights[:3], f.From, f.To)
		flood.rate *= flood.turns
		flood.turns = 1
		streams = append(streams, flood)
	}
	return streams
}

// stream returns the arrivals that demand a fraction of the capacity.
func (s Shape) stream(name string, class int, load float64, names []string, weights []float64, from, to time.Duration) stream {
	rate := load * s.capacity() / s.slotTime(class) / s.Turns
	return stream{name: name, class: class, rate: rate, turns: s.Turns, workspaces: names, weights: weights, from: from, to: to}
}

// join adds an engine.
func (s *simulation) join(warm bool) {
	n := s.created
	s.created++
	e := &engine{
		simulation: s, name: fmt.Sprintf("engine-%03d", n+1), domain: fmt.Sprintf("domain-%d", n%s.shape.Domains),
		overrides: placer.NewOverrides(memory), loads: placer.NewLoads(),
		residents: placer.NewResidents(s.shape.CacheTokens, memory), owner: s.rng.IntN(s.shape.Routers),
		joined: s.now, since: s.now, warm: warm, cache: newCache(s.shape.CacheTokens), running: map[string]*request{},
	}
	if s.FIFO {
		e.queue = newFIFO(classes())
	} else {
		e.queue = scheduler.New(scheduler.Config{Classes: classes(), Headroom: headroom})
	}
	e.queue.SetLimit(s.clock(), s.shape.Slots)
	s.engines = append(s.engines, e)
	s.byName[e.name] = e
	s.regroup()
	s.after(time.Duration(s.rng.Int64N(int64(s.ReportInterval))), e.report)
}

// regroup rebuilds the routers' view of the group.
func (s *simulation) regroup() {
	s.engines = slices.DeleteFunc(s.engines, func(e *engine) bool { return e.gone && s.now-e.left > placer.SearchPeriod })
	candidates := make([]placer.Candidate, len(s.engines))
	for i, e := range s.engines {
		candidates[i] = placer.Candidate{Name: e.name, FailureDomain: e.domain, Draining: e.draining || e.gone, Weight: 1}
		if !e.warm {
			candidates[i].SlowStart = epoch.Add(e.joined)
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
	s.reports[e.name] = report{e.load(), s.now}
	e.known = placer.Mean{}
	for _, o := range s.engines {
		r, ok := s.reports[o.name]
		if !ok || o.gone {
			continue
		}
		e.known.Load += r.load
		if !o.draining {
			e.known.Engines++
		}
		e.known.Age = max(e.known.Age, s.now-r.at)
	}
	e.knownAt = s.now
	e.loads.Reset(e.known.Engines, s.clock().Add(-e.known.Age))
	for _, o := range s.engines {
		if r, ok := s.reports[o.name]; ok && !o.gone {
			e.loads.Set(o.name, r.load)
		}
	}
	s.result.Reports++
	s.after(s.ReportInterval, e.report)
}

// mean returns the mean as the owner knows it, with its present age.
func (e *engine) mean() placer.Mean {
	m := e.known
	m.Age += e.simulation.now - e.knownAt
	return m
}

// tick applies time limits and takes samples.
func (s *simulation) tick() {
	for _, e := range s.engines {
		if e.gone {
			continue
		}
		for _, r := range e.queue.Expire(s.clock()) {
			s.refused(r)
		}
		e.dispatch()
		if e.draining && e.load() == 0 {
			e.leave()
		}
	}
	s.result.sample(s)
	s.after(tick, s.tick)
}

// submit sends a request to the first endpoint that takes it.
func (s *simulation) submit(r *request) {
	r.attempts++
	s.requests[r.id] = r
	if wait, ok := s.spend(r); !ok {
		s.refused(scheduler.Refused{Item: r.item(), RetryAfter: max(wait, minQuotaRetry)})
		return
	}
	e := s.place(r)
	if e == nil {
		s.result.Unplaced++
		s.refused(scheduler.Refused{Item: r.item(), RetryAfter: noEndpointRetry})
		return
	}
	for _, out := range e.queue.Push(s.clock(), r.item()) {
		s.refused(out)
	}
	s.result.admitted(s, e)
	if s.check != nil && s.admission.engine == e {
		s.check(e, s.admission.step, s.admission.own, s.admission.sender)
	}
	e.dispatch()
}

// refused tells the client when to come back. It does so a few times.
func (s *simulation) refused(out scheduler.Refused) {
	r, ok := s.requests[out.Item.ID]
	if !ok {
		return
	}
	s.result.Refused[r.chat.class]++
	if r.attempts >= maxAttempts {
		s.lost(r)
		return
	}
	s.after(out.RetryAfter, func() { s.submit(r) })
}

// completed records a finished request and starts the pause of its chat.
func (s *simulation) completed(r *request) {
	delete(s.requests, r.id)
	s.result.completed(s, r)
	s.resume(r.chat)
}

func (s *simulation) lost(r *request) {
	delete(s.requests, r.id)
	s.result.lost(s, r)
	s.resume(r.chat)
}

// churnEngine lets an engine leave, by a crash or by draining in turn.
func (s *simulation) churnEngine() {
	if s.now >= s.To {
		return
	}
	live := s.live()
	e := live[s.rng.IntN(len(live))]
	s.result.Departures++
	if s.result.Departures%2 == 0 {
		e.draining = true
	} else {
		e.crash()
	}
	s.regroup()
	s.after(joinDelay, func() { s.join(false) })
	s.after(s.EngineChurn, s.churnEngine)
}

// leave ends an engine.
func (e *engine) leave() {
	e.gone = true
	e.left = e.simulation.now
}

// crash loses the cache; the entry routers resume the requests elsewhere.
func (e *engine) crash() {
	e.leave()
	s := e.simulation
	ids := e.queue.Items()
	slices.Sort(ids)
	clear(e.running)
	s.regroup()
	for _, id := range ids {
		r := s.requests[id]
		r.attempts--
		s.submit(r)
	}
}

// churnRouter crashes a router, which loses the overrides of its endpoints.
func (s *simulation) churnRouter() {
	if s.now >= s.To {
		return
	}
	router := s.rng.IntN(s.shape.Routers)
	for _, e := range s.engines {
		if e.owner == router {
			e.overrides = placer.NewOverrides(memory)
			e.residents = placer.NewResidents(s.shape.CacheTokens, memory)
			e.owner = s.rng.IntN(s.shape.Routers)
			e.since = s.now
		}
	}
	s.after(s.RouterChurn, s.churnRouter)
}
