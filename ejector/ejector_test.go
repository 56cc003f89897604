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

// evaluate simulates one interval in which the latency of each endpoint in factors
// is multiplied by its factor.
func evaluate(g *ejector.Group, n, interval int, factors map[int]int) {
	for i := range n {
		factor := max(factors[i], 1)
		g.Observe(name(i), ejector.Summary{Requests: 20, Latency: time.Duration(factor) * 25 * time.Millisecond})
	}
	g.Evaluate(start.Add(time.Duration(interval) * ejector.DefaultInterval))
}

// Guards against an outlier that loses its whole weight at once or never gets it
// back, and against a healthy endpoint that loses weight.
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

// Guards against an endpoint that keeps its weight although it fails often,
// because its failures are fast.
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

// Guards against a group that loses more weight than the allowed fraction, which
// would overload the other endpoints, for any number and order of outliers.
func TestWeightTakenAwayIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "endpoints")
		g := newGroup(n)
		for interval := range rapid.IntRange(1, 12).Draw(t, "intervals") {
			factors := map[int]int{}
			for i := range n {
				factors[i] = rapid.IntRange(1, 6).Draw(t, "factor")
			}
			evaluate(g, n, interval+1, factors)
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

// Guards against a cold endpoint that gets its full share at once, and against an
// ejected endpoint without requests that never gets its weight back.
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
