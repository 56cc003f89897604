package tracker_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/subscriber"
	"github.com/bergamotdale/bergamotdale/tracker"
)

var start = time.Unix(1000, 0)

func endpoints(ids ...string) []subscriber.Endpoint {
	var all []subscriber.Endpoint
	for _, id := range ids {
		all = append(all, subscriber.Endpoint{EndpointRecord: bergamotdale.EndpointRecord{ID: id, Service: "s", Slots: 8}})
	}
	return all
}

func load(t *tracker.Tracker, now time.Time, id string) int {
	c, _ := t.Candidates(now, endpoints(id), "", nil)
	return c[0].Load
}

// Guards against requests that are counted twice or never removed, and against
// the load of a router that is gone staying for good.
func TestLoad(t *testing.T) {
	k := tracker.New()
	k.Begin("a", "s")
	k.Begin("a", "s")
	k.Merge(start, "r2", tracker.Report{Loads: map[string]int{"a": 3, "b": 1}})
	assert.Equal(t, load(k, start, "a"), 5)
	assert.DeepEqual(t, k.Report().Loads, map[string]int{"a": 2})
	k.End("a", "s", tracker.Result{})
	k.Merge(start, "r2", tracker.Report{Loads: map[string]int{"a": 1}})
	assert.Equal(t, load(k, start, "a"), 2)
	assert.Equal(t, load(k, start, "b"), 0)
	assert.Equal(t, load(k, start.Add(time.Minute), "a"), 1)
}

// Guards against a large fleet underestimating loads because only some reports
// are recent at any time.
func TestRecentReportsStandForTheOthers(t *testing.T) {
	k := tracker.New()
	k.SetRouters(11)
	for _, r := range []string{"r1", "r2", "r3", "r4", "r5"} {
		k.Merge(start, r, tracker.Report{Loads: map[string]int{"a": 2}})
	}
	assert.Equal(t, load(k, start, "a"), 20)
}

// Guards against work for an endpoint that just failed to respond, and against
// one that is left out after it has recovered.
func TestSuspension(t *testing.T) {
	k := tracker.New()
	suspended := func(at time.Time) bool {
		c, _ := k.Candidates(at, endpoints("a"), "", nil)
		return c[0].Suspended
	}
	first := k.Unreachable(start, "a", "s")
	assert.Assert(t, suspended(start))
	assert.Assert(t, !suspended(start.Add(first)))
	second := k.Unreachable(start.Add(first), "a", "s")
	assert.Assert(t, second > first)
	k.Begin("a", "s")
	k.End("a", "s", tracker.Result{})
	assert.Assert(t, !suspended(start.Add(first)))
}

// Guards against work for endpoints that are draining or were tried before.
func TestCandidates(t *testing.T) {
	k := tracker.New()
	all := endpoints("a", "b", "c")
	all[0].Draining = true
	c, records := k.Candidates(start, all, "", map[string]bool{"b": true})
	assert.Equal(t, len(c), 1)
	assert.Equal(t, records[0].ID, "c")
}

// Guards against an endpoint that fails half of its requests while it keeps its
// full share, and against all endpoints being weakened by a fault that they
// share.
func TestFailingEndpointIsWeakened(t *testing.T) {
	run := func(failing map[string]bool) map[string]float64 {
		k := tracker.New()
		k.Update(start, subscriber.NewState(nil, endpoints("a", "b", "c", "d")))
		var weakened map[string]float64
		for second := range 5 {
			for _, id := range []string{"a", "b", "c", "d"} {
				for n := range 10 {
					k.Begin(id, "s")
					k.End(id, "s", tracker.Result{Failed: failing[id] && n%2 == 0, Latency: time.Millisecond})
				}
			}
			weakened = k.Evaluate(start.Add(time.Duration(second+1) * 1100 * time.Millisecond))
		}
		return weakened
	}
	one := run(map[string]bool{"b": true})
	assert.Assert(t, one["b"] > 0 && one["b"] < 0.5, "%v", one)
	assert.Equal(t, len(one), 1)
	all := run(map[string]bool{"a": true, "b": true, "c": true, "d": true})
	assert.Equal(t, len(all), 0, "%v", all)
}

// Guards against a large fleet in which no router sends an endpoint enough
// requests to see that it fails: the load pattern is a few requests a second at
// each endpoint from 60 routers, and one endpoint that fails half of them.
func TestFailuresSeenByOthersCount(t *testing.T) {
	k, ids := tracker.New(), []string{"a", "b", "c", "d"}
	k.Update(start, subscriber.NewState(nil, endpoints(ids...)))
	now, weakened := start, map[string]float64{}
	for second := range 4 {
		now = start.Add(time.Duration(second+1) * 1100 * time.Millisecond)
		for r := range 10 {
			other := tracker.New()
			for _, id := range ids {
				other.Begin(id, "s")
				other.End(id, "s", tracker.Result{Failed: id == "b" && r%2 == 0, Latency: time.Millisecond})
			}
			k.Merge(now, fmt.Sprint("r", r), other.Report())
		}
		weakened = k.Evaluate(now)
	}
	assert.Assert(t, weakened["b"] > 0 && weakened["b"] < 0.5, "%v", weakened)
	assert.Equal(t, len(weakened), 1)
	// A report counts once: without news the endpoint gets its share back.
	for second := range 20 {
		weakened = k.Evaluate(now.Add(time.Duration(second+1) * 1100 * time.Millisecond))
	}
	assert.Equal(t, len(weakened), 0, "%v", weakened)
}
