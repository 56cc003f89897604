package collector_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/balancer"
	"github.com/bergamotdale/bergamotdale/collector"
	"github.com/bergamotdale/bergamotdale/subscriber"
	"github.com/bergamotdale/bergamotdale/tracker"
)

var start = time.Unix(1000, 0)

func members(n, domains int) []bergamotdale.Member {
	var all []bergamotdale.Member
	for i := range n {
		id := fmt.Sprintf("r%d", i)
		all = append(all, bergamotdale.Member{ID: id, Address: id, FailureDomain: fmt.Sprintf("d%d", i%domains)})
	}
	return all
}

// Guards against a small fleet that depends on collectors, and against a failure
// domain of a large one without a collector or with more routers than it can serve.
func TestCollectors(t *testing.T) {
	for n := 1; n <= 400; n++ {
		all := members(n, 6)
		collectors := collector.Collectors(all)
		if n <= 16 {
			assert.Equal(t, len(collectors), 0)
			continue
		}
		for domain, ids := range collectors {
			size := 0
			for _, m := range all {
				if m.FailureDomain == domain {
					size++
				}
			}
			assert.Assert(t, len(ids) >= 1 && len(ids)*48 >= size && (len(ids)-1)*48 < size, "%d routers: %s has %v", n, domain, ids)
		}
	}
}

// Guards against messages that take more than half of the 15 KB/s that a router may
// spend on control traffic, and against loads that are older than two seconds at the
// target of 750 endpoints.
func TestInterval(t *testing.T) {
	for endpoints := range 751 {
		interval := collector.Interval(endpoints, false)
		assert.Assert(t, float64(700+20*endpoints)/interval.Seconds() <= 7501)
		assert.Assert(t, interval >= 300*time.Millisecond && interval <= 2200*time.Millisecond, "%d endpoints: %s", endpoints, interval)
	}
}

// Guards against loads that count twice, are lost between failure domains or stay
// after their router has stopped.
func TestTotals(t *testing.T) {
	var a, b collector.Table
	a.SetOwn(map[string]int{"x": 1})
	a.SetRouter(start, "r1", map[string]int{"x": 2, "y": 1}, nil)
	a.SetRouter(start, "r1", map[string]int{"x": 3}, nil)
	b.SetOwn(nil)
	b.SetRouter(start.Add(time.Second), "r2", map[string]int{"y": 5}, nil)
	loads, covers := b.Sums(start.Add(time.Second))
	a.SetDomain(start.Add(time.Second), "b", loads, covers)
	totals, n := a.Totals(start.Add(time.Second))
	assert.DeepEqual(t, totals, map[string]int{"x": 4, "y": 5})
	assert.Equal(t, n, 4)
	totals, n = a.Totals(start.Add(2 * time.Second))
	assert.DeepEqual(t, totals, map[string]int{"x": 1, "y": 5})
	assert.Equal(t, n, 3)
}

// loadsOf returns the loads by which a router places its next request.
func loadsOf(t *tracker.Tracker, now time.Time, ids []string) []balancer.Candidate {
	var endpoints []subscriber.Endpoint
	for _, id := range ids {
		endpoints = append(endpoints, subscriber.Endpoint{EndpointRecord: bergamotdale.EndpointRecord{ID: id, Service: "s", Slots: 12}})
	}
	c, _ := t.Candidates(now, endpoints, "", nil)
	return c
}

// Guards against a load bound that does not hold in a large fleet. On the days
// trouble-2 and trouble-3 of 195 routers before 117 engines, 98 of 2,843 requests in
// five seconds went to engines with more than twice the mean load plus 3, because a
// router extrapolated the loads from the reports of ten others. The test replays
// such a load: each of 195 routers places 5 requests, which last for the whole
// test, one after the other, with every tenth request to one popular prompt. The
// promise allows 3 in 100 requests to an engine above the bound.
func TestLoadBoundHoldsInALargeFleet(t *testing.T) {
	const routers, engines, requests = 195, 117, 5
	random := rand.New(rand.NewPCG(1, 2))
	var ids []string
	for i := range engines {
		ids = append(ids, fmt.Sprintf("e%d", i))
	}
	all := members(routers, 6)
	fleet := map[string]*collector.Collector{}
	now := &fixedClock{now: start}
	for _, m := range all {
		tr := tracker.New()
		tr.SetRouterCount(routers)
		fleet[m.ID] = &collector.Collector{
			Self: m.ID, Clock: now, Tracker: tr, Peer: fleetPeer{routers: fleet}, Logger: zap.NewNop(),
			Members: func() []bergamotdale.Member { return all },
		}
	}
	present := map[string]int{}
	placed, above := 0, 0
	for range requests {
		for i, n := range random.Perm(routers) {
			if i%(routers/3) == 0 {
				// About three rounds of reports pass while the requests of one round
				// arrive.
				for _, k := range random.Perm(routers) {
					fleet[all[k].ID].ReportOnce(context.Background())
				}
			}
			c := fleet[all[n].ID]
			key := fmt.Sprint("prompt-", random.IntN(200))
			if random.IntN(10) == 0 {
				key = "popular"
			}
			index := balancer.ByKey(fmt.Sprint("request-", placed), key, loadsOf(c.Tracker, now.now, ids), balancer.Bound{Multiple: 2, Spread: 0.5})
			c.Tracker.BeginRequest(ids[index], "s")
			if float64(present[ids[index]]) > 2*float64(placed)/engines+3 {
				above++
			}
			present[ids[index]]++
			placed++
		}
	}
	assert.Assert(t, above*100 <= 3*placed, "%d of %d requests above the bound", above, placed)
}

// fleetPeer passes calls to the collector of the router at the address.
type fleetPeer struct {
	bergamotdale.Peer
	routers map[string]*collector.Collector
}

func (p fleetPeer) Call(ctx context.Context, address, _ string, request, response any) error {
	got, err := p.routers[address].Handle(ctx, request.(collector.LoadReport))
	*response.(*collector.LoadTotals) = got
	return err
}

// fixedClock is a clock that stands still.
type fixedClock struct {
	bergamotdale.Clock
	now time.Time
}

func (c *fixedClock) Now() time.Time { return c.now }

// suspendedAt returns the candidates that a router takes for suspended.
func suspendedAt(c *collector.Collector, now time.Time, ids []string) []string {
	var suspended []string
	for _, candidate := range loadsOf(c.Tracker, now, ids) {
		if candidate.Suspended {
			suspended = append(suspended, candidate.ID)
		}
	}
	return suspended
}

// newFleet returns routers of several failure domains that share suspensions or do not.
func newFleet(clock *fixedClock, routers, domains int, share bool) map[string]*collector.Collector {
	all := members(routers, domains)
	fleet := map[string]*collector.Collector{}
	for _, m := range all {
		tr := tracker.New()
		tr.SetRouterCount(routers)
		fleet[m.ID] = &collector.Collector{
			Self: m.ID, Clock: clock, Tracker: tr, Peer: fleetPeer{routers: fleet}, Logger: zap.NewNop(),
			Members: func() []bergamotdale.Member { return all }, ShareSuspensions: func(time.Time) bool { return share },
		}
	}
	return fleet
}

// Guards against routers that each have to lose requests at endpoints without power that
// another router of their failure domain has found, against a suspension that crosses to
// domains with another path to the endpoint, and against one that stays when its router
// has lifted it or stopped.
func TestSuspensionsAreSharedWithinAFailureDomain(t *testing.T) {
	clock := &fixedClock{now: start}
	fleet := newFleet(clock, 32, 4, true)
	ids := []string{"e0", "e1", "e2", "e3", "e4"}
	reportAll := func() {
		for i := range 32 {
			fleet[fmt.Sprint("r", i)].ReportOnce(context.Background())
		}
	}
	check := func(want ...string) {
		t.Helper()
		reportAll()
		reportAll()
		for i := range 32 {
			got := suspendedAt(fleet[fmt.Sprint("r", i)], clock.now, ids)
			if i%4 == 0 {
				assert.DeepEqual(t, got, want)
			} else {
				assert.Equal(t, len(got), 0, "r%d of another domain: %v", i, got)
			}
		}
	}
	suspend := func(id string) {
		for _, router := range []string{"r4", "r8", "r16"} {
			fleet[router].Tracker.Suspend(start, id, "s")
		}
	}
	fleet["r4"].Tracker.Suspend(start, "e0", "s")
	reportAll()
	reportAll()
	assert.Equal(t, len(suspendedAt(fleet["r8"], clock.now, ids)), 0, "one router may have lost its path to a sound endpoint")
	fleet["r4"].Tracker.BeginRequest("e0", "s")
	fleet["r4"].Tracker.EndRequest("e0", "s", tracker.Result{})
	suspend("e1")
	check("e1")
	suspend("e3")
	check("e1", "e3")
	for _, router := range []string{"r4", "r8", "r16"} {
		fleet[router].Tracker.BeginRequest("e1", "s")
		fleet[router].Tracker.EndRequest("e1", "s", tracker.Result{})
	}
	check("e3")
	fleet["r12"].Tracker.RecordResponse(clock.now, "e3", "s")
	assert.Equal(t, len(suspendedAt(fleet["r12"], clock.now, ids)), 0, "the endpoint has just responded to this router")
	for _, id := range []string{"e0", "e1", "e2"} {
		suspend(id)
	}
	reportAll()
	reportAll()
	assert.Equal(t, len(suspendedAt(fleet["r12"], clock.now, ids)), 0, "most of the service is suspended")
	clock.now = clock.now.Add(2 * time.Second)
	assert.Equal(t, len(suspendedAt(fleet["r12"], clock.now, ids)), 0, "the reports have expired")
}

// Guards against suspensions that are shared where the deployment does not call for it.
func TestSuspensionsAreNotSharedByDefault(t *testing.T) {
	clock := &fixedClock{now: start}
	fleet := newFleet(clock, 32, 4, false)
	for _, router := range []string{"r4", "r8", "r16"} {
		fleet[router].Tracker.Suspend(start, "e1", "s")
	}
	for i := range 64 {
		fleet[fmt.Sprint("r", i%32)].ReportOnce(context.Background())
	}
	for i := range 32 {
		if i != 4 && i != 8 && i != 16 {
			assert.Equal(t, len(suspendedAt(fleet[fmt.Sprint("r", i)], clock.now, []string{"e0", "e1", "e2"})), 0)
		}
	}
}
