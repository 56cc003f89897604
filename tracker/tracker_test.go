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
// the reported load of a stopped router that never expires.
func TestLoad(t *testing.T) {
	tr := tracker.New()
	tr.BeginRequest("a", "s")
	tr.BeginRequest("a", "s")
	tr.MergeReport(start, "r2", tracker.Report{Loads: map[string]int{"a": 3, "b": 1}})
	assert.Equal(t, load(tr, start, "a"), 5)
	assert.DeepEqual(t, tr.Report().Loads, map[string]int{"a": 2})
	tr.EndRequest("a", "s", tracker.Result{})
	tr.MergeReport(start, "r2", tracker.Report{Loads: map[string]int{"a": 1}})
	assert.Equal(t, load(tr, start, "a"), 2)
	assert.Equal(t, load(tr, start, "b"), 0)
	assert.Equal(t, load(tr, start.Add(time.Minute), "a"), 1)
}

// Guards against loads that are underestimated in a large fleet, where only some
// reports are recent at any time.
func TestPeerLoadIsExtrapolated(t *testing.T) {
	tr := tracker.New()
	tr.SetRouterCount(11)
	for _, r := range []string{"r1", "r2", "r3", "r4", "r5"} {
		tr.MergeReport(start, r, tracker.Report{Loads: map[string]int{"a": 2}})
	}
	assert.Equal(t, load(tr, start, "a"), 20)
}

// Guards against requests to an endpoint that just failed to respond, and against
// a suspension that continues after the endpoint has recovered.
func TestSuspension(t *testing.T) {
	tr := tracker.New()
	suspended := func(at time.Time) bool {
		c, _ := tr.Candidates(at, endpoints("a"), "", nil)
		return c[0].Suspended
	}
	first := tr.Suspend(start, "a", "s")
	assert.Assert(t, suspended(start))
	assert.Assert(t, !suspended(start.Add(first)))
	second := tr.Suspend(start.Add(first), "a", "s")
	assert.Assert(t, second > first)
	tr.BeginRequest("a", "s")
	tr.EndRequest("a", "s", tracker.Result{})
	assert.Assert(t, !suspended(start.Add(first)))
}

// Guards against requests to endpoints that are draining or excluded.
func TestCandidates(t *testing.T) {
	tr := tracker.New()
	all := endpoints("a", "b", "c")
	all[0].Draining = true
	c, records := tr.Candidates(start, all, "", map[string]bool{"b": true})
	assert.Equal(t, len(c), 1)
	assert.Equal(t, records[0].ID, "c")
}

// Guards against an endpoint that fails half of its requests and keeps its full
// weight, and against a failure common to all endpoints that reduces all weights.
func TestFailingEndpointLosesWeight(t *testing.T) {
	run := func(failing map[string]bool) map[string]float64 {
		tr := tracker.New()
		tr.UpdateEndpoints(start, subscriber.NewState(nil, endpoints("a", "b", "c", "d")))
		var weights map[string]float64
		for second := range 5 {
			for _, id := range []string{"a", "b", "c", "d"} {
				for n := range 10 {
					tr.BeginRequest(id, "s")
					tr.EndRequest(id, "s", tracker.Result{Failed: failing[id] && n%2 == 0, Latency: time.Millisecond})
				}
			}
			weights = tr.Evaluate(start.Add(time.Duration(second+1) * 1100 * time.Millisecond))
		}
		return weights
	}
	one := run(map[string]bool{"b": true})
	assert.Assert(t, one["b"] > 0 && one["b"] < 0.5, "%v", one)
	assert.Equal(t, len(one), 1)
	all := run(map[string]bool{"a": true, "b": true, "c": true, "d": true})
	assert.Equal(t, len(all), 0, "%v", all)
}

// Guards against failures that go unnoticed in a large fleet because no single
// router sends an endpoint enough requests. The test stands for a fleet of 60
// routers that send each endpoint a few requests a second, of which one endpoint
// fails half.
func TestReportedFailuresCount(t *testing.T) {
	tr, ids := tracker.New(), []string{"a", "b", "c", "d"}
	tr.UpdateEndpoints(start, subscriber.NewState(nil, endpoints(ids...)))
	now, weights := start, map[string]float64{}
	for second := range 4 {
		now = start.Add(time.Duration(second+1) * 1100 * time.Millisecond)
		for r := range 10 {
			other := tracker.New()
			for _, id := range ids {
				other.BeginRequest(id, "s")
				other.EndRequest(id, "s", tracker.Result{Failed: id == "b" && r%2 == 0, Latency: time.Millisecond})
			}
			tr.MergeReport(now, fmt.Sprint("r", r), other.Report())
		}
		weights = tr.Evaluate(now)
	}
	assert.Assert(t, weights["b"] > 0 && weights["b"] < 0.5, "%v", weights)
	assert.Equal(t, len(weights), 1)
	// Each report counts once: without new reports the endpoint regains its
	// weight.
	for second := range 20 {
		weights = tr.Evaluate(now.Add(time.Duration(second+1) * 1100 * time.Millisecond))
	}
	assert.Equal(t, len(weights), 0, "%v", weights)
}
