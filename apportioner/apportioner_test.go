package apportioner_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/apportioner"
)

const objective = 300 * time.Millisecond

var start = time.Unix(1000, 0)

// endpoints returns endpoints with 6 slots and a load that leaves none of them idle.
func endpoints(n int) []apportioner.Endpoint {
	var all []apportioner.Endpoint
	for i := range n {
		all = append(all, apportioner.Endpoint{ID: fmt.Sprint("e", i), Slots: 6, Load: 15})
	}
	return all
}

// arrive records ten arrivals a second for ten seconds.
func arrive(s *apportioner.Share) time.Time {
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		s.Arrive(now)
	}
	return now
}

// Guards against a share that is not the part of the demand, with routers of an earlier
// version that do not tell theirs, and without news for a long time.
func TestShareFollowsDemand(t *testing.T) {
	s := apportioner.New(1)
	now := arrive(s)
	share := func(f apportioner.Fleet) float64 {
		s.Update(now, endpoints(5), f, 0, objective)
		return s.Allowed()
	}
	all := share(apportioner.Fleet{Routers: 1})
	own, work := s.Demand(now)
	assert.Assert(t, all >= 30 && all < 90, "%f", all)
	assert.Assert(t, math.Abs(share(apportioner.Fleet{Routers: 72, Covers: 71, Demand: own * 9, Work: work * 9})/all-0.1) < 0.001)
	// Half of the routers tell ten times the demand of this one, and the others count with
	// the mean of all that do.
	half := apportioner.Fleet{Routers: 72, Covers: 35, Demand: own * 9, Work: work * 9}
	assert.Assert(t, math.Abs(share(half)/all-0.05) < 0.001)
	half.Age = time.Hour
	assert.Assert(t, math.Abs(share(half)/all-1.0/72) < 0.001)
}

// Guards against a share that stays when endpoints are lost or reject requests, and that
// does not recover.
func TestShareFollowsCapacity(t *testing.T) {
	s := apportioner.New(1)
	now := arrive(s)
	fleet := apportioner.Fleet{Routers: 1}
	s.Update(now, endpoints(5), fleet, 0, objective)
	all := s.Allowed()
	s.Update(now, endpoints(2), fleet, 0, objective)
	assert.Assert(t, math.Abs(s.Allowed()/all-0.4) < 0.001)
	s.Update(now, endpoints(5), fleet, 0, objective)
	for range 3 {
		f := s.Start(now, nil, true)
		s.End(now, f, "e0", apportioner.Rejected)
	}
	s.Update(now, endpoints(5), fleet, 0, objective)
	// Several rejections at a time are one.
	assert.Assert(t, math.Abs(s.Allowed()/all-0.9) < 0.001, "%f of %f", s.Allowed(), all)
	now = now.Add(2 * time.Second)
	s.Update(now, endpoints(5), fleet, 0, objective)
	assert.Assert(t, s.Allowed() >= all)
}

// Guards against a fraction of a request that is rounded up, which 72 routers would
// add up to more than the endpoints take, and against one that is rounded down.
func TestFractionOfARequest(t *testing.T) {
	s := apportioner.New(1)
	now := arrive(s)
	fleet := apportioner.Fleet{Routers: 72, Covers: 71, Demand: 1420, Work: 85}
	s.Update(now, endpoints(5), fleet, 1, objective)
	assert.Assert(t, s.Binds() && s.Allowed() < 1)
	var flight *apportioner.Flight
	busy, total := 0, 20_000
	for i := range total {
		now = now.Add(time.Millisecond)
		if i%100 == 0 {
			s.Arrive(now)
		}
		if flight != nil && int(now.Sub(start).Milliseconds())%100 == 0 {
			s.End(now, flight, flight.Endpoint, apportioner.Served)
			flight = nil
		}
		s.Update(now, endpoints(5), fleet, 1, objective)
		if flight == nil {
			flight = s.Start(now, nil, false)
		}
		if flight != nil {
			busy++
		}
	}
	used := float64(busy) / float64(total)
	assert.Assert(t, math.Abs(used-s.Allowed()) < 0.1*s.Allowed()+0.02, "%f of %f", used, s.Allowed())
}

// Guards against a router that stops because requests at a silent endpoint do not end,
// and against one that prefers such an endpoint.
func TestSilentEndpointDoesNotStopTheRouter(t *testing.T) {
	s := apportioner.New(1)
	now := arrive(s)
	fleet := apportioner.Fleet{Routers: 72, Covers: 71, Demand: 710, Work: 42}
	started := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		s.Update(now, endpoints(5), fleet, 1, objective)
		if f := s.Start(now, map[string]bool{"e1": true}, false); f != nil {
			assert.Assert(t, f.Endpoint != "e1")
			started++
			if f.Endpoint != "e0" {
				s.End(now, f, f.Endpoint, apportioner.Served)
			}
		}
	}
	assert.Assert(t, started > 10, "%d", started)
	s.Update(now, nil, fleet, 1, objective)
	assert.Equal(t, s.Start(now, nil, false).Endpoint, "")
}
