// Package exchanger tells routers what the others have in flight at each
// endpoint and how their requests ended. Each exchange carries the reports of
// both sides, so a router sends half of what it learns.
package exchanger

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/tracker"
)

const (
	// Path is the path of a Message below /peer/v1/.
	Path = "in-flight"
	// interval is the time between two exchanges of a router. With nine
	// routers every pair speaks about every half second.
	interval = 100 * time.Millisecond
	// largeInterval applies from largeFleet routers on and hugeInterval from
	// hugeFleet on: an exchange takes about 1.8 KB, both sides and headers
	// included, and a router may spend 15 KB/s on control. Five exchanges started
	// and as many answered in tracker's 2 s are a sample of ten routers.
	largeInterval = 250 * time.Millisecond
	largeFleet    = 16
	hugeInterval  = 400 * time.Millisecond
	hugeFleet     = 96
	// callTimeout bounds an exchange. Routers are milliseconds apart.
	callTimeout = 300 * time.Millisecond
)

// Message holds what a router knows of endpoints from its own requests.
type Message struct {
	Router string `json:"router"`
	tracker.Report
}

// Exchanger exchanges loads with other routers. Exported fields are set before
// Run.
type Exchanger struct {
	Self    string
	Peer    bergamotdale.Peer
	Clock   bergamotdale.Clock
	Tracker *tracker.Tracker
	Logger  *zap.Logger
	// Members returns the live routers.
	Members func() []bergamotdale.Member
}

// Run exchanges loads with one router after the other until the context is
// done.
func (x *Exchanger) Run(ctx context.Context) error {
	var order []bergamotdale.Member
	pause := interval
	for bergamotdale.Wait(ctx, x.Clock, pause) == nil {
		if len(order) == 0 {
			order = x.others()
			x.Tracker.SetRouterCount(len(order) + 1)
			pause = Interval(len(order))
		}
		if len(order) > 0 {
			x.exchange(ctx, order[0])
			order = order[1:]
		}
	}
	return ctx.Err()
}

// Interval returns the time between two exchanges of a router with that many
// others.
func Interval(others int) time.Duration {
	switch {
	case others >= hugeFleet:
		return hugeInterval
	case others >= largeFleet:
		return largeInterval
	default:
		return interval
	}
}

// others returns the other routers in a random order.
func (x *Exchanger) others() []bergamotdale.Member {
	var others []bergamotdale.Member
	for _, m := range x.Members() {
		if m.ID != x.Self {
			others = append(others, m)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

func (x *Exchanger) exchange(ctx context.Context, m bergamotdale.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer Message
	if err := x.Peer.Call(ctx, m.Address, Path, x.message(), &answer); err != nil {
		x.Logger.Debug("loads not exchanged", zap.String("peer", m.ID), zap.Error(err))
		return
	}
	x.Tracker.MergeReport(x.Clock.Now(), answer.Router, answer.Report)
}

func (x *Exchanger) message() Message {
	return Message{Router: x.Self, Report: x.Tracker.Report()}
}

// Handle takes in the loads of another router and answers with its own.
func (x *Exchanger) Handle(_ context.Context, m Message) (Message, error) {
	x.Tracker.MergeReport(x.Clock.Now(), m.Router, m.Report)
	return x.message(), nil
}
