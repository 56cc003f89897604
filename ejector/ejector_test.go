package ejector_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale/ejector"
)

var start = time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)

func name(i int) string {
	return fmt.Sprint("engine-", i)
}

func newGroup(n int) *ejector.Group {
	g := ejector.New(start, ejector.Config{})
	for i := range n {
		g.Join(start, name(i), false)
	}
	return g
}

// evaluate feeds one interval in which the endpoints with a factor are slower.
func evaluate(g *ejector.Group, n, interval int, factor map[int]int) {
	for i := range n {
		f := max(factor[i], 1)
		g.Observe(name(i), ejector.Summary{Requests: 20, Latency: time.Duration(f) * 25 * time.Millisecond})
	}
	g.Evaluate(start.Add(time.Duration(interval) * ejector.DefaultInterval))
}

// Guards against an ejection at once, of a healthy endpoint, or for ever.
func TestSlowEndpointLosesWeightGraduallyAndReturns(t *testing.T) {
	const n = 12
	g := newGroup(n)
	weights := []float64{}
	for interval := range 6 {
		evaluate(g, n, interval+1, map[int]int{4: 5})
		weights = append(weights, g.State(name(4)).Weight)
	}
	assert.DeepEqual(t, weights, []float64{0.5, 0.25, 0.125, 0.0625, 0.0625, 0.0625})
	evaluate(g, n, 7, nil)
	state := g.State(name(4))
	assert.Equal(t, state.Weight, 1.0)
	ramp := start.Add(7 * ejector.DefaultInterval).Sub(state.SlowStart)
	assert.Equal(t, ramp, ejector.DefaultSlowStart/16)
	for i := range n {
		assert.Equal(t, g.State(name(i)).Weight, 1.0)
	}
}

// Guards against failures that do not count because they are fast.
func TestFailingEndpointIsWeakened(t *testing.T) {
	g := newGroup(12)
	for i := range 12 {
		failures := 0
		if i == 7 {
			failures = 10
		}
		g.Observe(name(i), ejector.Summary{Requests: 20, Failures: failures, Latency: time.Millisecond})
	}
	assert.Assert(t, !g.Evaluate(start.Add(time.Second)))
	assert.Assert(t, g.Evaluate(start.Add(ejector.DefaultInterval)))
	assert.Equal(t, g.State(name(7)).Weight, 0.5)
	assert.Equal(t, g.State(name(8)).Weight, 1.0)
}

// Guards against a group that loses more than its fraction, which would
// overload the rest, however many endpoints are outliers and in what order.
func TestWeightTakenAwayIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "endpoints")
		g := newGroup(n)
		for interval := range rapid.IntRange(1, 12).Draw(t, "intervals") {
			factor := map[int]int{}
			for i := range n {
				factor[i] = rapid.IntRange(1, 6).Draw(t, "factor")
			}
			evaluate(g, n, interval+1, factor)
			taken := 0.0
			for i := range n {
				w := g.State(name(i)).Weight
				assert.Assert(t, w >= ejector.MinWeight && w <= 1)
				taken += 1 - w
			}
			assert.Assert(t, taken <= ejector.DefaultMaxFraction*float64(n)+1e-9, "%f of %d", taken, n)
		}
	})
}

// Guards against a cold engine that gets its full share at once, and an ejected
// one without any requests that never returns.
func TestColdAndIdleEndpoints(t *testing.T) {
	const n = 12
	g := newGroup(n)
	g.Join(start, "cold", true)
	assert.Equal(t, g.State("cold").SlowStart, start)
	evaluate(g, n, 1, map[int]int{0: 5})
	assert.Equal(t, g.State(name(0)).Weight, 0.5)
	for interval := 2; interval < 12; interval++ {
		for i := 1; i < n; i++ {
			g.Observe(name(i), ejector.Summary{Requests: 20, Latency: 25 * time.Millisecond})
		}
		g.Evaluate(start.Add(time.Duration(interval) * ejector.DefaultInterval))
	}
	assert.Equal(t, g.State(name(0)).Weight, 1.0)
	g.Leave("cold")
	assert.Equal(t, g.State("cold"), ejector.State{Weight: 1})
}
