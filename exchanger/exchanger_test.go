package exchanger_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/collector"
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

// fakeAdmission has a fixed demand and records that of the others.
type fakeAdmission map[string]collector.Demands

func (fakeAdmission) Demands() collector.Demands                                     { return collector.Demands{Covers: 1} }
func (a fakeAdmission) MergeDemands(_ time.Time, router string, d collector.Demands) { a[router] = d }

// Guards against demand that is not exchanged in a small fleet, that of a router of an
// earlier version, which tells none, and demand beside the sums of a collector.
func TestDemandIsExchanged(t *testing.T) {
	known := fakeAdmission{}
	x := &exchanger.Exchanger{Self: "r0", Clock: bergamotdale.SystemClock{}, Tracker: tracker.New(), Logger: zap.NewNop(), Demand: known}
	response, err := x.Handle(context.Background(), exchanger.Message{Router: "earlier"})
	assert.NilError(t, err)
	assert.Equal(t, len(known), 0)
	assert.Equal(t, response.Demands.Covers, 1)
	d := collector.Demands{Covers: 1}
	d.Add("s", 2, 0.125)
	x.Tracker.SetTotals(time.Now(), nil, 71)
	response, err = x.Handle(context.Background(), exchanger.Message{Router: "r1", Demands: &d})
	assert.NilError(t, err)
	assert.DeepEqual(t, known["r1"], d)
	assert.Assert(t, response.Demands == nil)
}
