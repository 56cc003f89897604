package exchanger_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/exchanger"
	"github.com/bergamotdale/bergamotdale/subscriber"
	"github.com/bergamotdale/bergamotdale/tracker"
)

// silentPeer responds to no exchange.
type silentPeer struct{ bergamotdale.Peer }

func (silentPeer) Call(context.Context, string, string, any, any) error {
	return context.DeadlineExceeded
}

// Guards against an interval and an extrapolation that follow the number of routers
// only once a pass over all of them has ended, which takes over a minute in a large
// fleet.
func TestFleetSizeAppliesAtOnce(t *testing.T) {
	routers := 2
	x := &exchanger.Exchanger{
		Self: "r0", Peer: silentPeer{}, Clock: bergamotdale.SystemClock{}, Tracker: tracker.New(), Logger: zap.NewNop(),
		Members: func() []bergamotdale.Member {
			var members []bergamotdale.Member
			for i := range routers {
				members = append(members, bergamotdale.Member{ID: fmt.Sprintf("r%d", i)})
			}
			return members
		},
	}
	assert.Equal(t, x.ExchangeOnce(context.Background()), exchanger.Interval(1))
	routers = 195
	for range 194 {
		assert.Equal(t, x.ExchangeOnce(context.Background()), exchanger.Interval(194))
	}
	x.Tracker.MergeReport(time.Now(), "r1", tracker.Report{Loads: map[string]int{"a": 1}})
	candidates, _ := x.Tracker.Candidates(time.Now(), []subscriber.Endpoint{{EndpointRecord: bergamotdale.EndpointRecord{ID: "a"}}}, "", nil)
	assert.Equal(t, candidates[0].Load, 194)
}

// Guards against exchanges that take more than the 15 KB/s that a router of a large
// fleet may spend on control traffic, and against samples of too few routers.
func TestInterval(t *testing.T) {
	const (
		bytesPerExchange      = 1800
		controlBytesPerSecond = 15000
		// reportLifetime is the peerExpiry of package tracker, after which a report
		// no longer counts.
		reportLifetime = 2 * time.Second
	)
	for others := 16; others < 400; others++ {
		// A router responds to as many exchanges as it starts.
		rate := 2 * float64(time.Second) / float64(exchanger.Interval(others))
		assert.Assert(t, rate*bytesPerExchange <= controlBytesPerSecond, "%d others: %.0f B/s", others, rate*bytesPerExchange)
		assert.Assert(t, rate*reportLifetime.Seconds() >= 10, "%d others: %.0f reports", others, rate*reportLifetime.Seconds())
	}
	assert.Equal(t, exchanger.Interval(5), 100*time.Millisecond)
}
