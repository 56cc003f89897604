package tracker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/balancer"
	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/subscriber"
	"github.com/bergamotdale/bergamotdale/tracker"
)

// formerChoices is the hash of the choices of commit 78710cc, before estimates of loads.
const formerChoices = 2283160305274508724

// choices replays a load of prompts and other requests to one router of a fleet and
// returns the hash of its choices. observe is called after each of them.
func choices(tr *tracker.Tracker, observe func(now time.Time, id string)) uint64 {
	random := rand.New(rand.NewPCG(3, 4))
	var ids []string
	for i := range 30 {
		ids = append(ids, fmt.Sprint("engine-", i))
	}
	all := endpoints(ids...)
	tr.UpdateEndpoints(start, subscriber.NewState(nil, all))
	tr.SetRouterCount(40)
	hash, now := uint64(0), start
	var running []string
	for n := range 3000 {
		now = now.Add(20 * time.Millisecond)
		loads := map[string]int{}
		for _, id := range ids {
			loads[id] = random.IntN(12)
		}
		switch {
		case n%25 == 0 && n < 2000:
			tr.SetTotals(now, loads, 39)
		case n%5 == 0:
			tr.MergeReport(now, fmt.Sprint("r", n%3), tracker.Report{Loads: loads})
		case n%50 == 1:
			tr.Evaluate(now)
		case n%97 == 0:
			tr.Suspend(now, ids[random.IntN(len(ids))], "s")
		}
		c, _ := tr.Candidates(now, all, "", nil)
		policy := balancer.Policies()[n/40%4]
		request := balancer.Request{RequestID: fmt.Sprint("request-", n), Key: fmt.Sprint("key-", random.IntN(50)), HasPrompt: n%4 > 0}
		index := policy.Place(request, c, balancer.Bound{Multiple: 2, Spread: 0.5 * float64(n%2)})
		hash = hasher.Weight(hash, uint64(index)+1)
		tr.BeginRequest(ids[index], "s")
		running = append(running, ids[index])
		if len(running) > 20 {
			result := tracker.Result{Failed: random.IntN(20) == 0, Latency: time.Duration(random.IntN(100)) * time.Millisecond}
			tr.EndRequest(running[0], "s", result)
			running = running[1:]
		}
		observe(now, ids[index])
	}
	return hash
}

// Guards against choices that differ from the former ones where neither the settings nor
// an endpoint call for estimates of the load.
func TestChoicesWithoutLiveLoad(t *testing.T) {
	assert.Equal(t, choices(tracker.New(), func(time.Time, string) {}), uint64(formerChoices))
}
