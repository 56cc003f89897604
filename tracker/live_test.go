package tracker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/subscriber"
	"github.com/bergamotdale/bergamotdale/tracker"
)

// Guards against reports of the load that change choices in a deployment whose settings
// do not call for it, and whose endpoints do not state their speed.
func TestReportsWithoutLiveLoad(t *testing.T) {
	tr, random := tracker.New(), rand.New(rand.NewPCG(5, 6))
	got := choices(tr, func(now time.Time, id string) {
		_, err := tr.RecordLoad(now, id, "s", 8, bergamotdale.ReportedLoad{Running: random.IntN(9), Slots: 8})
		assert.NilError(t, err)
	})
	assert.Equal(t, got, uint64(formerChoices))
	live := tracker.New()
	got = choices(live, func(now time.Time, id string) {
		_, err := live.RecordLoad(now, id, "s", 8, bergamotdale.ReportedLoad{Slots: 8, Slowdown: 1})
		assert.NilError(t, err)
	})
	// Each choice is made with bounds that are not live; only the state of the tracker
	// could differ.
	assert.Equal(t, got, uint64(formerChoices))
}

// Guards against a service that is placed by estimates without valid reports, and against
// one that is not although its settings or an endpoint call for it.
func TestLive(t *testing.T) {
	load := bergamotdale.ReportedLoad{Running: 5, Waiting: 2, Slots: 8}
	for _, c := range []struct {
		feature  bool
		slowdown float64
		want     bool
	}{{false, 0, false}, {true, 0, true}, {false, 1, true}, {true, 1, true}} {
		tr := tracker.New()
		tr.LiveLoad = c.feature
		load.Slowdown = c.slowdown
		assert.Assert(t, !tr.Live(start, "s"))
		_, err := tr.RecordLoad(start, "a", "s", 9, load)
		assert.ErrorContains(t, err, "8 slots instead of 9")
		assert.Assert(t, !tr.Live(start, "s"))
		first, err := tr.RecordLoad(start, "a", "s", 8, load)
		assert.NilError(t, err)
		assert.Equal(t, first, c.want)
		assert.Equal(t, tr.Live(start, "s"), c.want)
		assert.Assert(t, !tr.Live(start, "other"))
		assert.Assert(t, !tr.Live(start.Add(10*time.Second), "s"))
		candidates, _ := tr.Candidates(start, endpoints("a", "b"), "", nil)
		if c.want {
			assert.Equal(t, candidates[0].Estimate.Load, 7.0)
		}
		assert.Equal(t, candidates[1].Estimate.Load, 0.0)
	}
}

// Guards against endpoints that exceed their share in each of the counts and still get
// all requests that would go there, and against a restarted one that inherits this.
func TestExcessOverCounts(t *testing.T) {
	tr := tracker.New()
	tr.LiveLoad = true
	all := endpoints("a", "b", "c", "d")
	tr.UpdateEndpoints(start, subscriber.NewState(nil, all))
	now := start
	for range 10 {
		now = now.Add(300 * time.Millisecond)
		_, err := tr.RecordLoad(now, "b", "s", 8, bergamotdale.ReportedLoad{Slots: 8})
		assert.NilError(t, err)
		tr.SetTotals(now, map[string]int{"a": 20, "b": 4, "c": 4, "d": 4}, 20)
	}
	candidates, _ := tr.Candidates(now, all, "", nil)
	assert.Assert(t, candidates[0].Estimate.Excess > 1 && candidates[1].Estimate.Excess == 0, fmt.Sprint(candidates))
	assert.Assert(t, tr.Busiest(now) > 2.4 && tr.Busiest(now) < 3, "%f", tr.Busiest(now))
	assert.Equal(t, tr.Busiest(now.Add(time.Minute)), 0.0)
	all[0].Incarnation = 7
	tr.UpdateEndpoints(now, subscriber.NewState(nil, all))
	candidates, _ = tr.Candidates(now, all, "", nil)
	assert.Equal(t, candidates[0].Estimate.Excess, 0.0)
}

// The cost of the candidates of one choice in the largest deployment.
func BenchmarkCandidates750(b *testing.B) {
	for _, live := range []bool{false, true} {
		b.Run(fmt.Sprint("live=", live), func(b *testing.B) {
			tr := tracker.New()
			tr.LiveLoad = live
			var ids []string
			loads := map[string]int{}
			for i := range 750 {
				ids = append(ids, fmt.Sprint("engine-", i))
				loads[ids[i]] = 14
			}
			all := endpoints(ids...)
			tr.UpdateEndpoints(start, subscriber.NewState(nil, all))
			_, err := tr.RecordLoad(start, ids[0], "s", 8, bergamotdale.ReportedLoad{Running: 3, Slots: 8})
			assert.NilError(b, err)
			tr.SetTotals(start, loads, 359)
			b.ReportAllocs()
			for b.Loop() {
				tr.Candidates(start, all, "", nil)
			}
		})
	}
}
