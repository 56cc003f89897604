package regulator

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/apportioner"
	"github.com/bergamotdale/bergamotdale/balancer"
	"github.com/bergamotdale/bergamotdale/retrier"
)

// The load that is replayed: see the design note docs/design/admission.md.
const (
	replayRate       = 234.0
	replayWork       = 0.06
	replaySigma      = 0.5
	replaySlots      = 6
	replayQueue      = 24
	replayWorkspaces = 10
	hotWorkspace     = 3
	replayObjective  = 300 * time.Millisecond
	replayTimeout    = 1500 * time.Millisecond
	replayAttempts   = 3
	snapshotInterval = 50 * time.Millisecond
	viewInterval     = 350 * time.Millisecond
)

// phase is a part of the replay.
type phase struct {
	from, to time.Duration
	// factor multiplies the rate, and hot the rate of one workspace.
	factor, hot float64
	// lost is the number of endpoints that are down.
	lost int
	// router multiplies the rate of the first router, zero for 1.
	router float64
	// dead is the number of routers that are dead, whose clients use the others, and
	// silent is set while no load messages arrive.
	dead   int
	silent bool
}

// replay is one run of the load in virtual time.
type replay struct {
	random    *rand.Rand
	start     time.Time
	now       time.Time
	events    eventQueue
	order     int
	routers   []*replayRouter
	endpoints []*replayEndpoint
	phases    []phase
	admit     bool
	// waiters holds the attempts in admission.
	waiters   map[*waiter]*attempt
	snapshots []snapshot
	weights   []float64
	total     figures
	spaces    [replayWorkspaces]figures
	kinds     [2]figures
	// busy and possible are the busy and all slots over the time in which requests wait.
	busy, possible float64
	// measureFrom is when the figures start.
	measureFrom, measureTo time.Duration
	ended                  bool
	longestWait            time.Duration
}

type figures struct {
	arrivals, sends, rejected, refused, good, late, lost int
}

func (f figures) goodShare() float64     { return float64(f.good) / float64(max(1, f.arrivals)) }
func (f figures) rejectedShare() float64 { return float64(f.rejected) / float64(max(1, f.sends)) }

// snapshot is what the load messages carry at a time.
type snapshot struct {
	at       time.Time
	loads    []int
	demand   [2]float64
	demands  [][2]float64
	inFlight [][]int
}

type replayRouter struct {
	index    int
	domain   int
	service  *service
	view     snapshot
	inFlight []int
	downTill []time.Time
	budget   *retrier.Budget
	wakeAt   time.Time
}

type replayEndpoint struct {
	index, domain int
	up, listed    bool
	queue         []*attempt
	// present holds the attempts that run.
	present map[*attempt]bool
}

type attempt struct {
	router  *replayRouter
	waiter  *waiter
	id      int
	space   int
	kind    int
	arrival time.Time
	tried   map[string]bool
	sends   int
	target  int
}

type event struct {
	at    time.Time
	order int
	run   func()
}
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func newReplay(seed uint64, routers, endpoints int, admit bool, phases []phase) *replay {
	r := &replay{random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), admit: admit, phases: phases, waiters: map[*waiter]*attempt{}}
	r.now = r.start
	sum := 0.0
	for i := range routers {
		w := math.Exp(0.8 * r.random.NormFloat64())
		if i == 0 {
			w = 1
		}
		sum += w
		r.weights = append(r.weights, w)
		r.routers = append(r.routers, &replayRouter{
			index: i, domain: i % 4, service: newService("s", uint64(i)*7919+seed, 256), inFlight: make([]int, endpoints),
			downTill: make([]time.Time, endpoints), budget: retrier.NewBudgetSize(max(1, 7/float64(routers)), 0.05),
		})
	}
	for i := range r.weights {
		r.weights[i] /= sum
	}
	for i := range endpoints {
		r.endpoints = append(r.endpoints, &replayEndpoint{index: i, domain: i % 4, up: true, listed: true, present: map[*attempt]bool{}})
	}
	return r
}

func (r *replay) at(d time.Duration, run func()) {
	r.order++
	heap.Push(&r.events, event{r.now.Add(d), r.order, run})
}

func (r *replay) phase() phase {
	for _, p := range r.phases {
		if t := r.now.Sub(r.start); t >= p.from && t < p.to {
			return p
		}
	}
	return phase{factor: 1}
}

// run runs the replay for the time.
func (r *replay) run(d time.Duration) {
	end := r.start.Add(d)
	r.at(0, r.arrive)
	r.at(0, r.snapshot)
	for _, router := range r.routers {
		r.at(time.Duration(r.random.Float64()*float64(viewInterval)), func() { r.look(router) })
	}
	for _, p := range r.phases {
		if p.lost > 0 {
			r.at(p.from, func() { r.lose(p.lost) })
			r.at(p.to, r.restore)
		}
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.measure(e.at)
		r.now = e.at
		if !r.now.Before(end) {
			r.ended = true
		}
		if r.now.After(end.Add(time.Second)) {
			return
		}
		e.run()
	}
}

// measure adds the time up to the next event to the busy slots.
func (r *replay) measure(next time.Time) {
	if r.ended || !r.counts(r.now) {
		return
	}
	waiting := len(r.waiters)
	for _, e := range r.endpoints {
		waiting += len(e.queue) * b2i(!r.admit)
	}
	if waiting == 0 {
		return
	}
	for _, e := range r.endpoints {
		if e.up {
			r.busy += float64(len(e.present)) * next.Sub(r.now).Seconds()
			r.possible += replaySlots * next.Sub(r.now).Seconds()
		}
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (r *replay) counts(t time.Time) bool {
	d := t.Sub(r.start)
	return d >= r.measureFrom && (r.measureTo == 0 || d < r.measureTo)
}

func (r *replay) arrive() {
	p := r.phase()
	spaceWeights, sum := [replayWorkspaces]float64{}, 0.0
	for i := range spaceWeights {
		spaceWeights[i] = 1 / float64(i+1)
		sum += spaceWeights[i]
	}
	rate := 0.0
	for i := range spaceWeights {
		spaceWeights[i] *= replayRate * p.factor / sum
		if i == hotWorkspace && p.hot > 0 {
			spaceWeights[i] *= p.hot
		}
		rate += spaceWeights[i]
	}
	if r.ended {
		return
	}
	weights := slices.Clone(r.weights)
	if p.router > 0 {
		rate += rate * weights[0] * (p.router - 1)
		weights[0] *= p.router
	}
	clear(weights[:p.dead])
	r.at(time.Duration(r.random.ExpFloat64()/rate*float64(time.Second)), r.arrive)
	router := r.routers[pick(r.random, weights)]
	kind := 0
	if r.random.Float64() < 44.0/234 {
		kind = 1
	}
	a := &attempt{router: router, id: r.order, space: pick(r.random, spaceWeights[:]), kind: kind, arrival: r.now, tried: map[string]bool{}}
	router.budget.AddRequest()
	r.count(a, func(f *figures) { f.arrivals++ })
	r.submit(a)
}

func pick(random *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := random.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

func (r *replay) count(a *attempt, f func(*figures)) {
	if r.counts(a.arrival) {
		f(&r.total)
		f(&r.spaces[a.space])
		f(&r.kinds[a.kind])
	}
}

var ids = []string{"e0", "e1", "e2", "e3", "e4", "e5"}

func id(endpoint int) string { return ids[endpoint] }

// candidates returns the endpoints as the tracker of the router would.
func (r *replay) candidates(router *replayRouter, tried map[string]bool) ([]balancer.Candidate, []int) {
	var candidates []balancer.Candidate
	var indexes []int
	for i, e := range r.endpoints {
		if !e.listed || tried[id(i)] {
			continue
		}
		load := router.inFlight[i]
		if router.view.loads != nil {
			load += router.view.loads[i] - router.view.inFlight[router.index][i]
		}
		candidates = append(candidates, balancer.Candidate{
			ID: id(i), Load: load, Slots: replaySlots, Weight: 1, SameFailureDomain: e.domain == router.domain, Suspended: r.now.Before(router.downTill[i]),
		})
		indexes = append(indexes, i)
	}
	return candidates, indexes
}

// observe gives the service what the router knows.
func (r *replay) observe(router *replayRouter) {
	candidates, _ := r.candidates(router, nil)
	var endpoints []apportioner.Endpoint
	for _, c := range candidates {
		if !c.Suspended {
			endpoints = append(endpoints, apportioner.Endpoint{ID: c.ID, Slots: float64(c.Slots), Load: c.Load})
		}
	}
	fleet := apportioner.Fleet{Routers: len(r.routers), Age: time.Hour}
	if v := router.view; v.loads != nil {
		fleet.Age, fleet.Covers = r.now.Sub(v.at), len(r.routers)-1
		fleet.Demand, fleet.Work = v.demand[0]-v.demands[router.index][0], v.demand[1]-v.demands[router.index][1]
	}
	router.service.observe(r.now, endpoints, fleet)
}

func (r *replay) submit(a *attempt) {
	if !r.admit {
		r.send(a, "")
		return
	}
	router := a.router
	r.observe(router)
	a.waiter = &waiter{request: bergamotdale.AdmissionRequest{
		Workspace: fmt.Sprint(a.space), RequestID: fmt.Sprint(a.id), Arrival: a.arrival, Objective: replayObjective,
		Deadline: a.arrival.Add(replayTimeout), Tried: a.tried,
	}}
	router.service.submit(r.now, a.waiter)
	r.waiters[a.waiter] = a
	r.decided(a.waiter)
	r.dispatch(router)
}

func (r *replay) decided(w *waiter) {
	a := r.waiters[w]
	switch {
	case w.refusal != nil:
		delete(r.waiters, w)
		r.count(a, func(f *figures) { f.refused++ })
	case w.flight != nil:
		delete(r.waiters, w)
		r.longestWait = max(r.longestWait, r.now.Sub(a.arrival))
		r.send(a, w.flight.Endpoint)
	}
}

// dispatch lets waiting requests go and sets the next look at the queue.
func (r *replay) dispatch(router *replayRouter) {
	for _, w := range router.service.dispatch(r.now) {
		r.decided(w)
	}
	if wait := router.service.next(r.now); wait >= 0 {
		at := r.now.Add(wait)
		if router.wakeAt.After(r.now) && !at.Before(router.wakeAt) {
			return
		}
		router.wakeAt = at
		r.at(wait, func() {
			if router.wakeAt.Equal(at) {
				r.observe(router)
				r.dispatch(router)
			}
		})
	}
}

// send sends the attempt to an endpoint, the chosen one if there is one.
func (r *replay) send(a *attempt, chosen string) {
	router := a.router
	candidates, indexes := r.candidates(router, a.tried)
	if len(candidates) == 0 {
		r.finish(a, apportioner.Unsent, -1)
		return
	}
	spread := 0.0
	if len(r.routers) >= 17 {
		spread = 0.5
	}
	target := indexes[balancer.ByLoad(fmt.Sprint(a.id), "", candidates, balancer.Bound{Multiple: 2, Spread: spread})]
	if chosen != "" {
		for i, c := range candidates {
			if c.ID == chosen {
				target = indexes[i]
			}
		}
	}
	a.target = target
	a.tried[id(target)] = true
	router.inFlight[target]++
	e := r.endpoints[target]
	r.at(way(a, e), func() {
		if !e.up {
			r.at(way(a, e), func() {
				router.downTill[target] = r.now.Add(500 * time.Millisecond)
				r.finish(a, apportioner.Unsent, target)
			})
			return
		}
		full := len(e.present) >= replaySlots && len(e.queue) >= replayQueue
		r.count(a, func(f *figures) { f.sends++; f.rejected += b2i(full) })
		switch {
		case full:
			r.at(way(a, e), func() { r.finish(a, apportioner.Rejected, target) })
		case len(e.present) < replaySlots:
			r.work(e, a)
		default:
			e.queue = append(e.queue, a)
		}
	})
}

// way is the time between a router and an endpoint.
func way(a *attempt, e *replayEndpoint) time.Duration {
	if a.router.domain != e.domain {
		return 4 * time.Millisecond
	}
	return 200 * time.Microsecond
}

// work runs an attempt in a slot of the endpoint.
func (r *replay) work(e *replayEndpoint, a *attempt) {
	e.present[a] = true
	// The mean of a log-normal variable is exp(mu + sigma^2/2).
	work := replayWork * math.Exp(replaySigma*r.random.NormFloat64()-replaySigma*replaySigma/2)
	r.at(time.Duration(work*float64(time.Second)), func() {
		if !e.present[a] {
			return
		}
		delete(e.present, a)
		r.at(way(a, e), func() { r.finish(a, apportioner.Served, e.index) })
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			r.work(e, next)
		}
	})
}

func (r *replay) finish(a *attempt, outcome apportioner.Outcome, target int) {
	router := a.router
	if target >= 0 {
		router.inFlight[target]--
	}
	if r.admit && a.waiter != nil && a.waiter.flight != nil {
		name := ""
		if target >= 0 {
			name = id(target)
		}
		router.service.share.End(r.now, a.waiter.flight, name, outcome)
	}
	switch outcome {
	case apportioner.Served:
		r.count(a, func(f *figures) {
			if r.now.Sub(a.arrival) <= replayObjective {
				f.good++
			} else {
				f.late++
			}
		})
	default:
		a.sends += b2i(outcome == apportioner.Rejected)
		left := 0
		for i, e := range r.endpoints {
			left += b2i(e.listed && !a.tried[id(i)])
		}
		if r.now.Sub(a.arrival) < replayTimeout && left > 0 && a.sends < replayAttempts &&
			(outcome == apportioner.Unsent && target >= 0 || outcome == apportioner.Rejected && router.budget.Take()) {
			r.submit(a)
		} else {
			r.count(a, func(f *figures) { f.lost++ })
		}
	}
	if r.admit {
		r.observe(router)
		r.dispatch(router)
	}
}

// lose ends some endpoints. The routers see that the connections end.
func (r *replay) lose(n int) {
	for _, e := range r.endpoints[:n] {
		e.up = false
		for a := range e.present {
			e.queue = append(e.queue, a)
		}
		slices.SortFunc(e.queue, func(a, b *attempt) int { return a.id - b.id })
		for _, a := range e.queue {
			r.at(way(a, e), func() {
				a.router.downTill[e.index] = r.now.Add(500 * time.Millisecond)
				r.finish(a, apportioner.Lost, e.index)
			})
		}
		e.queue, e.present = nil, map[*attempt]bool{}
		r.at(time.Second, func() { e.listed = e.up })
	}
}

func (r *replay) restore() {
	for _, e := range r.endpoints {
		e.up, e.listed = true, true
	}
}

// snapshot keeps what the load messages carry.
func (r *replay) snapshot() {
	s := snapshot{at: r.now, loads: make([]int, len(r.endpoints))}
	for _, router := range r.routers {
		var d [2]float64
		d[0], d[1] = router.service.share.Demand(r.now)
		s.demand[0] += d[0]
		s.demand[1] += d[1]
		s.demands = append(s.demands, d)
		s.inFlight = append(s.inFlight, append([]int(nil), router.inFlight...))
		for i, n := range router.inFlight {
			s.loads[i] += n
		}
	}
	r.snapshots = append(r.snapshots, s)
	if len(r.snapshots) > 40 {
		r.snapshots = r.snapshots[1:]
	}
	r.at(snapshotInterval, r.snapshot)
}

// look gives the router a message that is 0.3 to 0.65 s old, until the next one.
func (r *replay) look(router *replayRouter) {
	back := 6 + r.random.IntN(8)
	if i := len(r.snapshots) - back; i >= 0 && !r.phase().silent {
		router.view = r.snapshots[i]
	}
	if r.admit {
		r.observe(router)
		r.dispatch(router)
	}
	r.at(viewInterval, func() { r.look(router) })
}

func (r *replay) String() string {
	worst, best := 1.0, 0.0
	for i, s := range r.spaces {
		if i != hotWorkspace && s.arrivals > 20 {
			worst, best = min(worst, s.goodShare()), max(best, s.goodShare())
		}
	}
	return fmt.Sprintf("arrivals %5d rejected %.4f refused %.3f busy %.3f good %.3f late %.3f lost %.3f; spaces %.3f..%.3f hot %.3f; kinds %.3f %.3f; wait %s",
		r.total.arrivals, r.total.rejectedShare(), float64(r.total.refused)/float64(max(1, r.total.arrivals)), r.busy/max(1e-9, r.possible), r.total.goodShare(),
		float64(r.total.late)/float64(max(1, r.total.arrivals)), float64(r.total.lost)/float64(max(1, r.total.arrivals)),
		worst, best, r.spaces[hotWorkspace].goodShare(), r.kinds[0].goodShare(), r.kinds[1].goodShare(), r.longestWait.Round(time.Millisecond))
}

var replaySeed = flag.Uint64("replay.seed", 1, "seed of the replays of the load")

const s = time.Second

// scenario is a part of the load and what it is compared with.
type scenario struct {
	name      string
	endpoints int
	phases    []phase
	from, to  time.Duration
	// overload is set if more arrives than the endpoints can serve.
	overload bool
}

var scenarios = []scenario{
	{"calm", 5, nil, 2 * s, 12 * s, false},
	{"burst of 1.7", 5, []phase{{from: 3 * s, to: 11 * s, factor: 1.7}}, 3 * s, 11 * s, false},
	{"burst of 1.7 before 4", 4, []phase{{from: 3 * s, to: 11 * s, factor: 1.7}}, 3 * s, 11 * s, false},
	{"burst of 2.4", 5, []phase{{from: 3 * s, to: 11 * s, factor: 2.4}}, 3 * s, 11 * s, true},
	{"burst of 2.4 before 4", 4, []phase{{from: 3 * s, to: 11 * s, factor: 2.4}}, 3 * s, 11 * s, true},
	{"burst of 2.4 before 6", 6, []phase{{from: 3 * s, to: 11 * s, factor: 2.4}}, 3 * s, 11 * s, false},
	{"workspace with 7.5 times its load", 5, []phase{{from: 3 * s, to: 11 * s, factor: 1.3, hot: 7.5}}, 3 * s, 11 * s, false},
	{"1 of 5 lost", 5, []phase{{from: 3 * s, to: 11 * s, factor: 1, lost: 1}}, 3 * s, 13 * s, false},
	{"3 of 5 lost", 5, []phase{{from: 3 * s, to: 11 * s, factor: 1, lost: 3}}, 3 * s, 11 * s, true},
	{"2 of 5 lost in a burst", 5, []phase{{from: s, to: 3 * s, factor: 1.7}, {from: 3 * s, to: 11 * s, factor: 1.7, lost: 2}}, 3 * s, 11 * s, true},
}

// play replays a scenario.
func play(t *testing.T, c scenario, routers int, admit bool) *replay {
	r := newReplay(*replaySeed, routers, c.endpoints, admit, c.phases)
	r.measureFrom, r.measureTo = c.from, c.to
	r.run(c.to + s)
	mode := "at once"
	if admit {
		mode = "admitted"
	}
	t.Logf("%s, %d routers, %s: %s", c.name, routers, mode, r)
	return r
}

// Guards against endpoints that reject requests while others have room, as they did with
// requests sent at once to the endpoint with the least known load, against idle slots
// while requests wait, and against a workspace or a kind of request that is starved.
func TestLoadOfFewEndpoints(t *testing.T) {
	for _, c := range scenarios {
		for _, routers := range []int{35, 72} {
			before, r := play(t, c, routers, false), play(t, c, routers, true)
			assert.Assert(t, r.total.rejected*100 < r.total.arrivals, "%s, %d routers: %s", c.name, routers, r)
			assert.Assert(t, r.total.goodShare() > before.total.goodShare()-0.005, "%s, %d routers: %s", c.name, routers, r)
			if c.overload {
				assert.Assert(t, r.busy >= 0.95*r.possible, "%s, %d routers: %s", c.name, routers, r)
			}
			for i, f := range r.spaces {
				assert.Assert(t, f.good*10 >= f.arrivals*3, "%s, %d routers, workspace %d: %s", c.name, routers, i, r)
			}
			assert.Assert(t, math.Abs(r.kinds[0].goodShare()-r.kinds[1].goodShare()) < 0.1, "%s, %d routers: %s", c.name, routers, r)
		}
	}
}

// Guards against the same at the target of 360 routers, where a share is a tenth of a
// request.
func TestLoadOfFewEndpointsAtTheTarget(t *testing.T) {
	for _, c := range scenarios[:len(scenarios)-1] {
		before, r := play(t, c, 360, false), play(t, c, 360, true)
		assert.Assert(t, r.total.rejected*100 < r.total.arrivals, "%s: %s", c.name, r)
		assert.Assert(t, r.total.goodShare() > before.total.goodShare()-0.005, "%s: %s", c.name, r)
	}
}

// Guards against idle slots while requests wait, and against rejections after a loss in
// a burst, at the target of 360 routers.
func TestEndpointsAreBusyAtTheTarget(t *testing.T) {
	for _, c := range scenarios {
		if c.overload {
			r := play(t, c, 360, true)
			assert.Check(t, r.total.rejected*100 < r.total.arrivals, "%s: %s", c.name, r)
			assert.Check(t, r.busy >= 0.95*r.possible, "%s: %s", c.name, r)
		}
	}
}

// Guards against a queue that adds a wait while the fleet has capacity to spare, also for
// a router whose demand rises suddenly.
func TestNoWaitInCalm(t *testing.T) {
	for _, c := range []scenario{
		{"calm", 5, nil, 0, 13 * s, false},
		{"router with 7.5 times its load", 5, []phase{{from: 3 * s, to: 11 * s, factor: 1, router: 7.5}}, 0, 13 * s, false},
	} {
		for _, routers := range []int{35, 72, 360} {
			r := play(t, c, routers, true)
			assert.Equal(t, r.longestWait, time.Duration(0), "%s, %d routers: %s", c.name, routers, r)
			assert.Equal(t, r.total.refused, 0)
		}
	}
}

// Guards against shares of dead routers that stay unused, and against endpoints that
// overflow or idle while no load messages arrive.
func TestLoadWhileRoutersOrCollectorsFail(t *testing.T) {
	burst := phase{from: 2 * s, to: 5 * s, factor: 2.4}
	dead, silent := burst, burst
	dead.from, dead.to, dead.dead = 5*s, 13*s, 24
	silent.from, silent.to, silent.silent = 5*s, 13*s, true
	for _, c := range []scenario{
		{"24 routers die", 5, []phase{burst, dead}, 7 * s, 13 * s, true},
		{"collectors fail", 5, []phase{burst, silent}, 5 * s, 13 * s, true},
	} {
		r := play(t, c, 72, true)
		assert.Assert(t, r.total.rejected*100 < r.total.arrivals, "%s: %s", c.name, r)
		assert.Assert(t, r.total.goodShare() > 0.5, "%s: %s", c.name, r)
	}
}
