package collector_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/collector"
	"github.com/bergamotdale/bergamotdale/subscriber"
	"github.com/bergamotdale/bergamotdale/tracker"
)

// countingPeer passes calls as JSON, as between processes, and adds up their bytes.
type countingPeer struct {
	bergamotdale.Peer
	routers map[string]*collector.Collector
	bytes   int
}

func (p *countingPeer) Call(ctx context.Context, address, _ string, request, response any) error {
	sent, err := json.Marshal(request)
	if err != nil {
		return err
	}
	var report collector.LoadReport
	if err := json.Unmarshal(sent, &report); err != nil {
		return err
	}
	got, err := p.routers[address].Handle(ctx, report)
	if err != nil {
		return err
	}
	received, err := json.Marshal(got)
	if err != nil {
		return err
	}
	p.bytes += len(sent) + len(received)
	return json.Unmarshal(received, response)
}

// compactFleet returns 20 routers of two failure domains, of which those with an index
// from compact on exchange loads without IDs, and state returns their endpoints.
func compactFleet(clock *fixedClock, compact, endpoints int) ([]*collector.Collector, *countingPeer) {
	all := members(20, 2)
	peer := &countingPeer{routers: map[string]*collector.Collector{}}
	var fleet []*collector.Collector
	for i, m := range all {
		c := &collector.Collector{
			Self: m.ID, Clock: clock, Tracker: tracker.New(), Peer: peer, Logger: zap.NewNop(), Compact: i >= compact,
			Members: func() []bergamotdale.Member { return all },
		}
		c.Tracker.SetRouterCount(len(all))
		c.Tracker.UpdateEndpoints(start, listOf(endpoints))
		peer.routers[m.ID] = c
		fleet = append(fleet, c)
	}
	return fleet, peer
}

func engineID(i int) string { return fmt.Sprintf("engine-%03d", i) }

func listOf(n int) *subscriber.State {
	var endpoints []subscriber.Endpoint
	for i := range n {
		endpoints = append(endpoints, subscriber.Endpoint{EndpointRecord: bergamotdale.EndpointRecord{ID: engineID(i), Service: "s", Slots: 48}})
	}
	return subscriber.NewState(nil, endpoints)
}

// Guards against loads that are lost or mixed up while a part of the routers exchange
// them without IDs, or while the routers know different endpoints.
func TestCompactLoads(t *testing.T) {
	for _, compact := range []int{20, 10, 1, 0} {
		clock := &fixedClock{now: start}
		fleet, _ := compactFleet(clock, compact, 40)
		for i, c := range fleet {
			for range i + 1 {
				c.Tracker.BeginRequest(engineID(i), "s")
			}
		}
		for round := range 12 {
			if round == 6 {
				for _, c := range fleet[:7] {
					c.Tracker.UpdateEndpoints(start, listOf(39))
				}
			}
			clock.now = clock.now.Add(100 * time.Millisecond)
			for _, c := range fleet {
				c.ReportOnce(context.Background())
			}
			if round != 5 && round != 11 {
				continue
			}
			for k, c := range fleet {
				candidates, _ := c.Tracker.Candidates(clock.now, listOf(20).Endpoints("s"), "", nil)
				for i := range candidates {
					assert.Equal(t, candidates[i].Load, i+1, "round %d: engine-%d at router %d, compact from %d", round, i, k, compact)
				}
			}
		}
	}
}

// Guards against compact messages that take more than half of the 15 KB/s that a router
// may spend on control traffic, or that come more often than the others may, and against
// loads older than a second at the target of 750 endpoints.
func TestCompactInterval(t *testing.T) {
	const headers = 700
	for _, endpoints := range []int{1, 60, 140, 400, 750} {
		clock := &fixedClock{now: start}
		fleet, peer := compactFleet(clock, 0, endpoints)
		follower := fleet[0]
		for _, ids := range collector.Collectors(members(20, 2)) {
			if ids[0] == follower.Self {
				follower = fleet[2]
			}
		}
		// The loads of one of 360 routers, and those of the whole fleet at one other router.
		for i := range 30 {
			follower.Tracker.BeginRequest(engineID(i%endpoints), "s")
		}
		for i := range 20 * endpoints {
			fleet[19].Tracker.BeginRequest(engineID(i%endpoints), "s")
		}
		for range 3 {
			for _, c := range fleet {
				c.ReportOnce(context.Background())
			}
		}
		peer.bytes = 0
		interval := follower.ReportOnce(context.Background())
		bytes := headers + peer.bytes
		assert.Assert(t, float64(bytes)/interval.Seconds() <= 7501, "%d endpoints: %d bytes every %s", endpoints, bytes, interval)
		assert.Assert(t, interval >= 300*time.Millisecond && interval <= time.Second, "%d endpoints: %s", endpoints, interval)
	}
}
