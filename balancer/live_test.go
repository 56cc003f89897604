package balancer_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/balancer"
)

var liveBound = balancer.Bound{Multiple: 2, Spread: 0.5, Live: true}

// liveEndpoints returns endpoints with an estimated load.
func liveEndpoints(n int, load float64) []balancer.Candidate {
	c := endpoints(n)
	for i := range c {
		c[i].Estimate = balancer.Estimate{Load: load, Speed: 1}
	}
	return c
}

// placeLive returns how many of n requests with the key each candidate gets.
func placeLive(c []balancer.Candidate, n int, r balancer.Request) []int {
	got := make([]int, len(c))
	for i := range n {
		r.RequestID = fmt.Sprint("request-", i)
		got[balancer.SharedPrefix.Place(r, c, liveBound)]++
	}
	return got
}

// Guards against a request that leaves the endpoint with its prompt although that is
// below its bound, and against a seldom key that moves with each request.
func TestLiveKeyStays(t *testing.T) {
	c := liveEndpoints(12, 10)
	for _, popular := range []bool{false, true} {
		request := balancer.Request{Key: "part", HasPrompt: true, Popular: popular}
		home := balancer.ByKey("", "part", c, liveBound)
		assert.Equal(t, placeLive(c, 50, request)[home], 50)
		c[home].Estimate.Excess = 3
		used := 0
		for _, n := range placeLive(c, 400, request) {
			if n > 0 {
				used++
			}
		}
		assert.Equal(t, used > 1, popular)
		c[home].Estimate.Excess = 0
	}
}

// Guards against a hot key that overruns one further endpoint after the other, and
// against routers that spread it to different ones: only the first endpoints in
// rendezvous order get it, none of the further ones more than about half.
func TestHotLiveKeySpreadsInOrder(t *testing.T) {
	c := liveEndpoints(40, 10)
	home := balancer.ByKey("", "hot", c, liveBound)
	c[home].Estimate.Load = 20
	got := placeLive(c, 1000, balancer.Request{Key: "hot", HasPrompt: true, Popular: true})
	used := 0
	for i, n := range got {
		if n > 0 {
			used++
		}
		assert.Assert(t, i == home || n < 600, "endpoint %d of 40 gets %d of 1000", i, n)
	}
	assert.Assert(t, got[home] < 50 && used <= 14, "%v", got)
}

// Guards against requests at an endpoint without a free slot, or without memory for one
// more prompt of this length, while others have room.
func TestLivePlaces(t *testing.T) {
	c := liveEndpoints(6, 28)
	home := balancer.ByKey("", "part", c, liveBound)
	request := balancer.Request{Key: "part", HasPrompt: true, Tokens: 12_000}
	for i := range c {
		c[i].Slots = 48
		c[i].Estimate.Memory = 400_000
	}
	assert.Equal(t, placeLive(c, 10, request)[home], 10)
	c[home].Estimate.Memory = 330_000
	assert.Equal(t, placeLive(c, 10, request)[home], 0)
	c[home].Estimate.Memory, c[home].Slots = 0, 28
	assert.Equal(t, placeLive(c, 10, request)[home], 0)
	for i := range c {
		c[i].Slots = 28
	}
	assert.Assert(t, balancer.SharedPrefix.Place(request, c, liveBound) >= 0)
	for i := range c {
		c[i].Suspended = i != 2
	}
	assert.Equal(t, placeLive(c, 10, request)[2], 10)
	c[2].Suspended = true
	assert.Assert(t, balancer.SharedPrefix.Place(request, c, liveBound) >= 0)
	assert.Equal(t, balancer.SharedPrefix.Place(request, nil, liveBound), -1)
}

// Guards against requests without a prompt that all go to the least loaded endpoint, that
// leave the router's failure domain without need, or that a slow endpoint gets as many of
// as a fast one.
func TestLiveLoad(t *testing.T) {
	c := liveEndpoints(10, 10)
	c[3].Estimate.Load, c[4].Estimate.Speed = 6, 0.9
	got := placeLive(c, 2000, balancer.Request{})
	assert.Assert(t, got[3] > got[0] && got[3] < 1000 && got[4] < got[0], "%v", got)
	c[5].SameFailureDomain, c[6].SameFailureDomain = true, true
	c[5].Estimate.Load, c[6].Estimate.Load = 9, 9
	got = placeLive(c, 100, balancer.Request{})
	assert.Equal(t, got[5]+got[6], 100)
	c[5].Estimate.Load = 12
	got = placeLive(c, 100, balancer.Request{})
	assert.Assert(t, got[5]+got[6] < 50, "%v", got)
}

// The cost of a choice among the endpoints of the largest deployment.
func BenchmarkLive750(b *testing.B) {
	c := liveEndpoints(750, 14)
	request := balancer.Request{HasPrompt: true, Popular: true}
	b.ReportAllocs()
	for i := range b.N {
		request.RequestID, request.Key = fmt.Sprint(i), fmt.Sprint(i%100)
		c[i%750].Estimate.Load = float64(8 + i%20)
		balancer.SharedPrefix.Place(request, c, liveBound)
	}
}

func BenchmarkCounts750(b *testing.B) {
	c := endpoints(750)
	request := balancer.Request{HasPrompt: true}
	b.ReportAllocs()
	for i := range b.N {
		request.RequestID, request.Key = fmt.Sprint(i), fmt.Sprint(i%100)
		c[i%750].Load = 8 + i%20
		balancer.SharedPrefix.Place(request, c, balancer.Bound{Multiple: 2, Spread: 0.5})
	}
}

// Guards against a long prefix that is copied to or computed by a further endpoint although
// its own one has room, for the sake of loads at which nobody waits, and against one that
// stays beyond the bound or keeps a popular key in one place.
func TestLongPrefixStaysBelowTheBound(t *testing.T) {
	elsewhere := func(load float64, request balancer.Request) int {
		c := liveEndpoints(60, 4)
		home := balancer.ByKey("", request.Key, c, liveBound)
		c[home].Estimate.Load, c[home].Estimate.Excess = load, 2
		return 200 - placeLive(c, 200, request)[home]
	}
	long := balancer.Request{Key: "k", HasPrompt: true, PrefixTokens: 5000}
	popular := long
	popular.Popular = true
	// The bound is twice the mean of 4 and two.
	assert.Equal(t, elsewhere(9.5, long), 0)
	assert.Equal(t, elsewhere(11, long), 200)
	assert.Assert(t, elsewhere(9.5, popular) > 100)
}
