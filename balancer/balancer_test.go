package balancer_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale/balancer"
)

func endpoints(n int) []balancer.Candidate {
	all := make([]balancer.Candidate, n)
	for i := range all {
		all[i] = balancer.Candidate{ID: fmt.Sprintf("e%d", i), Slots: 64, Weight: 1}
	}
	return all
}

// Guards against prompts with the same key that go to different endpoints
// although the first is below its load bound, and against keys that move when an
// endpoint that does not win them joins.
func TestKeyAssignmentIsStable(t *testing.T) {
	moved := 0
	for k := range 500 {
		key := fmt.Sprint("part-", k)
		first := balancer.ByKey("", key, endpoints(12), balancer.Bound{Multiple: 2})
		assert.Equal(t, first, balancer.ByKey("", key, endpoints(12), balancer.Bound{Multiple: 2}))
		if balancer.ByKey("", key, endpoints(13), balancer.Bound{Multiple: 2}) != first {
			moved++
		}
	}
	// The new endpoint wins one in 13 keys on average.
	assert.Assert(t, moved < 500/13*2, "%d of 500 keys moved", moved)
}

// Guards against a hot key that overloads its endpoint: at least half of the
// requests have the same shared prefix.
func TestHotKeySpreadsWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "endpoints")
		requests := rapid.IntRange(1, 300).Draw(t, "requests")
		hot := rapid.IntRange(50, 100).Draw(t, "hot-percent")
		c := endpoints(n)
		for r := range requests {
			key := "hot"
			if r%100 >= hot {
				key = fmt.Sprint(r)
			}
			c[balancer.ByKey("", key, c, balancer.Bound{Multiple: 2})].Load++
		}
		for _, e := range c {
			// The documented limit: twice the mean load plus three.
			bound := 2*float64(requests)/float64(n) + 3
			assert.Assert(t, float64(e.Load) <= bound, "load %d above %f", e.Load, bound)
		}
	})
}

// Guards against a hot key that spreads over more endpoints than its load
// requires: each further endpoint computes the prefix again.
func TestHotKeyUsesFewEndpoints(t *testing.T) {
	c := endpoints(12)
	for i := range c {
		c[i].Load = 6
	}
	used := map[int]bool{}
	for range 12 {
		selected := balancer.ByKey("", "hot", c, balancer.Bound{Multiple: 2})
		c[selected].Load++
		used[selected] = true
	}
	assert.Assert(t, len(used) <= 3, "%d endpoints for 12 requests", len(used))
}

// Guards against requests placed at suspended endpoints while others respond, and
// against no placement at all when all are suspended.
func TestSuspended(t *testing.T) {
	c := endpoints(3)
	c[0].Suspended, c[1].Suspended = true, true
	assert.Equal(t, balancer.ByKey("", "k", c, balancer.Bound{Multiple: 2}), 2)
	assert.Equal(t, balancer.ByLoad("", "k", c, balancer.Bound{}), 2)
	c[2].Suspended = true
	assert.Assert(t, balancer.ByKey("", "k", c, balancer.Bound{Multiple: 2}) >= 0)
	assert.Equal(t, balancer.ByKey("", "k", nil, balancer.Bound{Multiple: 2}), -1)
}

// Guards against requests without a prompt that queue at one endpoint while
// others are idle.
func TestByLoad(t *testing.T) {
	c := endpoints(4)
	for i := range c {
		c[i].Slots = 6
	}
	for r := range 22 {
		c[balancer.ByLoad("", fmt.Sprint(r), c, balancer.Bound{})].Load++
	}
	for _, e := range c {
		assert.Assert(t, e.Load == 5 || e.Load == 6, "%v", c)
	}
}

// Guards against an endpoint with a reduced weight that keeps its full share of
// keys.
func TestReducedWeightLosesKeys(t *testing.T) {
	c := endpoints(4)
	c[1].Weight = 1.0 / 8
	won := 0
	for k := range 2000 {
		if balancer.ByKey("", fmt.Sprint(k), c, balancer.Bound{Multiple: 2}) == 1 {
			won++
		}
	}
	assert.Assert(t, won > 0 && won < 2000/4/4, "%d of 2000 keys", won)
}

// Guards against a policy that places requests by another policy's method, which
// would make comparisons of the policies wrong. One endpoint is busy, and all
// requests share one prefix.
func TestPolicies(t *testing.T) {
	busy := endpoints(8)
	request := balancer.Request{RequestID: "r", Key: "hot", HasPrompt: true}
	hot := balancer.ConsistentHash.Place(request, busy, balancer.Bound{Multiple: 2})
	assert.Equal(t, hot, balancer.ByKey("", "hot", endpoints(8), balancer.Bound{Multiple: 2}))
	busy[hot].Load = 60
	placed := func(r balancer.Policy) int { return r.Place(request, busy, balancer.Bound{Multiple: 2}) }
	assert.Equal(t, placed(balancer.ConsistentHash), hot)
	assert.Equal(t, placed(balancer.LeastLoad), balancer.ByLoad("", "hot", busy, balancer.Bound{}))
	assert.Equal(t, placed(balancer.SharedPrefix), balancer.ByKey("", "hot", busy, balancer.Bound{Multiple: 2}))
	assert.Assert(t, placed(balancer.SharedPrefix) != hot)
	chosen := map[int]bool{}
	for r := range 100 {
		request.RequestID = fmt.Sprint(r)
		chosen[placed(balancer.Random)] = true
	}
	assert.Equal(t, len(chosen), len(busy))
	for _, r := range balancer.Policies() {
		assert.Equal(t, r.Place(request, nil, balancer.Bound{}), -1)
		for i := range busy {
			busy[i].Suspended = i != 3
		}
		assert.Equal(t, placed(r), 3, r)
		for i := range busy {
			busy[i].Suspended = false
		}
	}
}

// Guards against a large fleet whose routers all send their requests to the one least
// loaded endpoint until they hear of each other's requests, and against one that
// leaves the failure domain of the router for loads that hardly differ.
func TestByLoadSpreadsOverAboutEqualLoads(t *testing.T) {
	c := endpoints(12)
	for i := range c {
		c[i].Load, c[i].Slots = 6+i%3, 12
	}
	c[0].Load = 5
	chosen := map[int]int{}
	for r := range 600 {
		chosen[balancer.ByLoad(fmt.Sprint(r), "popular", c, balancer.Bound{Spread: 0.5})]++
	}
	for i, n := range chosen {
		assert.Assert(t, n < 150, "endpoint %d of 12 got %d of 600 requests", i, n)
	}
	c[5].SameFailureDomain = true
	assert.Equal(t, balancer.ByLoad("r", "popular", c, balancer.Bound{Spread: 0.5}), 5)
	c[5].Load = 12
	assert.Assert(t, balancer.ByLoad("r", "popular", c, balancer.Bound{Spread: 0.5}) != 5)
	c[5].Load, c[5].Weight = 1, 1.0/16
	assert.Assert(t, balancer.ByLoad("r", "popular", c, balancer.Bound{Spread: 0.5}) != 5, "an endpoint that fails requests")
	for i := range c {
		c[i].Suspended = true
	}
	c[3].Load = 0
	assert.Equal(t, balancer.ByLoad("r", "popular", c, balancer.Bound{}), 3, "the least loaded of the suspended ones")
}
