// Package exchanger exchanges load reports between routers: how many requests each
// router has in flight at each endpoint and how its requests ended. The request
// and the response of an exchange each carry a report, so that a router sends only
// half of the exchanges from which it learns.
package exchanger

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/collector"
	"github.com/bergamotdale/bergamotdale/tracker"
)

const (
	// Path is the path of a Message below /peer/v1/.
	Path = "in-flight"
	// interval is the time between two exchanges that a router starts. With nine
	// routers, each pair exchanges reports about every half second.
	interval = 100 * time.Millisecond
	// largeInterval applies if a router has largeFleet peers or more, and
	// hugeInterval if it has hugeFleet or more. An exchange takes about 1.8 KB
	// with both reports and the headers, and a router may spend 15 KB/s on control
	// traffic. Package tracker counts reports for 2 s; in that time a router starts
	// five exchanges and responds to as many, which yields a sample of ten routers.
	largeInterval = 250 * time.Millisecond
	largeFleet    = 16
	hugeInterval  = 400 * time.Millisecond
	hugeFleet     = 96
	// outcomeInterval applies while the loads come from a collector, which takes
	// half of the control traffic. The reports then serve only the detection of
	// outliers.
	outcomeInterval = 500 * time.Millisecond
	// callTimeout is the timeout of an exchange. Round trips between routers take
	// milliseconds.
	callTimeout = 300 * time.Millisecond
)

// Message carries a router's report about its own requests at the endpoints.
type Message struct {
	Router string `json:"router"`
	tracker.Report
	// Demands is the demand of the router for services with few endpoints; nil if it does
	// not take part in admission, or if the fleet has collectors, which add it up.
	Demands *collector.Demands `json:"demands,omitempty"`
}

// DemandExchange is the admission of this router, whose demand goes with its loads.
type DemandExchange interface {
	// Demands returns the demand of this router.
	Demands() collector.Demands
	// MergeDemands replaces the demand of another router.
	MergeDemands(now time.Time, router string, d collector.Demands)
}

// Exchanger exchanges load reports with the other routers. Exported fields are set
// before Run.
type Exchanger struct {
	// Self is the ID of this router.
	Self    string
	Peer    bergamotdale.Peer
	Clock   bergamotdale.Clock
	Tracker *tracker.Tracker
	Logger  *zap.Logger
	// Members returns the live routers, this one included.
	Members func() []bergamotdale.Member
	// Demand is the admission whose demand goes with the loads; nil for none.
	Demand DemandExchange

	// remaining holds the routers that are still to be asked in this pass. Only
	// ExchangeOnce uses it.
	remaining []bergamotdale.Member
}

// Run exchanges reports with one router after the other until the context is
// done.
func (x *Exchanger) Run(ctx context.Context) error {
	wait := interval
	for bergamotdale.Wait(ctx, x.Clock, wait) == nil {
		wait = x.ExchangeOnce(ctx)
	}
	return ctx.Err()
}

// ExchangeOnce exchanges reports with the next router and returns the time until the
// next exchange. It is not safe for concurrent use.
func (x *Exchanger) ExchangeOnce(ctx context.Context) time.Duration {
	peers := x.shuffledPeers()
	x.Tracker.SetRouterCount(len(peers) + 1)
	if len(x.remaining) == 0 {
		x.remaining = peers
	}
	if len(x.remaining) > 0 {
		x.exchangeWith(ctx, x.remaining[0])
		x.remaining = x.remaining[1:]
	}
	wait := Interval(len(peers))
	if x.Tracker.HasTotals(x.Clock.Now()) {
		wait = max(wait, outcomeInterval)
	}
	return wait
}

// Interval returns the time between two exchanges that a router with the given
// number of peers starts.
func Interval(peers int) time.Duration {
	switch {
	case peers >= hugeFleet:
		return hugeInterval
	case peers >= largeFleet:
		return largeInterval
	default:
		return interval
	}
}

// shuffledPeers returns the other routers in a random order.
func (x *Exchanger) shuffledPeers() []bergamotdale.Member {
	var peers []bergamotdale.Member
	for _, m := range x.Members() {
		if m.ID != x.Self {
			peers = append(peers, m)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

func (x *Exchanger) exchangeWith(ctx context.Context, peer bergamotdale.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response Message
	if err := x.Peer.Call(ctx, peer.Address, Path, x.ownMessage(), &response); err != nil {
		x.Logger.Debug("failed to exchange load reports", zap.String("peer", peer.ID), zap.Error(err))
		return
	}
	x.merge(response)
}

// merge takes over the message of another router.
func (x *Exchanger) merge(m Message) {
	now := x.Clock.Now()
	x.Tracker.MergeReport(now, m.Router, m.Report)
	if x.Demand != nil && m.Demands != nil {
		x.Demand.MergeDemands(now, m.Router, *m.Demands)
	}
}

func (x *Exchanger) ownMessage() Message {
	m := Message{Router: x.Self, Report: x.Tracker.Report()}
	if x.Demand != nil && !x.Tracker.HasTotals(x.Clock.Now()) {
		d := x.Demand.Demands()
		m.Demands = &d
	}
	return m
}

// Handle merges the report of another router and responds with the report of this
// one.
func (x *Exchanger) Handle(_ context.Context, m Message) (Message, error) {
	x.merge(m)
	return x.ownMessage(), nil
}
