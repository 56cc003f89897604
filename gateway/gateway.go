// Package gateway composes a router that forwards clients' requests by host and
// path: it follows the store, knows the other routers, relays requests and says
// whether it is ready for more.
//
// A gateway keeps nothing that has to last. It reads configuration and
// endpoints from the platform's store and learns everything else anew.
package gateway

import (
	"context"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/balancer"
	"github.com/bergamotdale/bergamotdale/dialer"
	"github.com/bergamotdale/bergamotdale/exchanger"
	"github.com/bergamotdale/bergamotdale/gossiper"
	"github.com/bergamotdale/bergamotdale/isolator"
	"github.com/bergamotdale/bergamotdale/loader"
	"github.com/bergamotdale/bergamotdale/locator"
	"github.com/bergamotdale/bergamotdale/meter"
	"github.com/bergamotdale/bergamotdale/pacer"
	"github.com/bergamotdale/bergamotdale/peerclient"
	"github.com/bergamotdale/bergamotdale/relayer"
	"github.com/bergamotdale/bergamotdale/reloader"
	"github.com/bergamotdale/bergamotdale/replicator"
	"github.com/bergamotdale/bergamotdale/server"
	"github.com/bergamotdale/bergamotdale/subscriber"
	"github.com/bergamotdale/bergamotdale/tracker"
)

const (
	// evaluateInterval is how often endpoints are compared with each other.
	evaluateInterval = time.Second
	// memoryShare is the part of the VM's memory that the collector aims for;
	// the rest is for stacks, sockets and what the runtime holds back.
	memoryShare = 0.6
	// collectPercent is the growth of the heap between two collections. The live
	// heap is 2 to 4 MB, so the default of 100 lets most of a small VM's memory
	// hold garbage, while a collection takes under a millisecond.
	collectPercent = 30
	// readyAge is the age of the configuration up to which a router asks for
	// new clients. It is below the age at which requests with keys are refused.
	readyAge = 3500 * time.Millisecond
)

// Gateway is one router process. Exported fields are set before Run.
type Gateway struct {
	Settings *loader.GatewaySettings
	Logger   *zap.Logger
	// Adapters provides bergamotdale.ChangeStore, Dialect, Layout, Peer and
	// Clock.
	Adapters do.Injector
	// Elapsed returns a time that also runs while the VM is suspended.
	Elapsed func() time.Duration
	// File is the settings file to read again, and Reload the signal to do so.
	File   string
	Reload <-chan os.Signal
	// Omitted returns the number of log lines left out so far.
	Omitted func() uint64

	clock     bergamotdale.Clock
	self      bergamotdale.Member
	directory *subscriber.Subscriber
	source    *replicator.Source
	replica   *replicator.Replica
	tracker   *tracker.Tracker
	dialer    *dialer.Dialer
	gossiper  *gossiper.Gossiper
	suspects  *isolator.Isolator
	exchanger *exchanger.Exchanger
	relayer   *relayer.Relayer
	meter     *meter.Meter
	pacer     *pacer.Monitor

	// stopping is set once a planned stop has begun, and closed once new
	// requests are refused.
	stopping atomic.Bool
	closed   atomic.Bool
	active   atomic.Int64
}

// Run serves until the context is done, and then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(float64(g.Settings.Memory) * memoryShare))
	if err := g.build(); err != nil {
		return errors.Trace(err)
	}
	servers, err := g.servers()
	if err != nil {
		return errors.Trace(err)
	}
	var group run.Group
	for _, part := range []func(context.Context) error{g.directory.Run, g.gossiper.Run, g.exchanger.Run, g.evaluate, g.reload, g.pacer.Run} {
		partCtx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return part(partCtx) }, func(error) { cancel() })
	}
	for _, s := range servers {
		group.Add(s.Run, s.Interrupt)
	}
	stopCtx, stopNow := context.WithCancel(context.Background())
	group.Add(func() error { return g.untilStopped(ctx, stopCtx, servers[0]) }, func(error) { stopNow() })
	g.Logger.Info("gateway started", zap.String("failure-domain", g.Settings.FailureDomain),
		zap.Int64("incarnation", g.self.Incarnation), zap.String("store", g.Settings.Store))
	err = group.Run()
	if errors.Is(err, errStopped) || errors.Is(err, server.ErrClosed) {
		g.Logger.Info("gateway stopped")
		return nil
	}
	return errors.Trace(err)
}

// build creates the parts of the gateway.
func (g *Gateway) build() error {
	i := g.Adapters
	g.clock = do.MustInvoke[bergamotdale.Clock](i)
	peer := do.MustInvoke[bergamotdale.Peer](i)
	dialect := do.MustInvoke[bergamotdale.Dialect](i)
	g.self = bergamotdale.NewMember(g.Settings.ID, g.Settings.Listen.Peers, g.Settings.FailureDomain, g.clock.Now())
	metrics, err := meter.New()
	if err != nil {
		return errors.Trace(err)
	}
	g.meter = metrics
	g.tracker, g.dialer = tracker.New(), &dialer.Dialer{}
	g.pacer = &pacer.Monitor{Clock: g.clock, Logger: g.Logger.Named("pacer")}
	g.gossiper = gossiper.New(gossiper.DefaultConfig(), g.self, g.clock)
	g.gossiper.Peer, g.gossiper.Logger = peer, g.Logger.Named("gossiper")
	g.gossiper.Lister = seeds(g.Settings.Seeds)
	g.source = &replicator.Source{
		Self: g.self.ID, Store: do.MustInvoke[bergamotdale.ChangeStore](i), Peer: peer,
		Logger: g.Logger.Named("replicator"), Members: g.gossiper.Live,
	}
	start := relayer.NewStartupGate(relayer.MaxStartupWait)
	g.directory = &subscriber.Subscriber{
		Store:   g.source,
		Dialect: dialect,
		Layout:  do.MustInvoke[bergamotdale.Layout](i),
		Clock:   g.clock,
		Elapsed: g.Elapsed,
		Logger:  g.Logger.Named("subscriber"),
		Changed: func(s *subscriber.State) {
			g.tracker.UpdateEndpoints(g.clock.Now(), s)
			if s.Table != nil {
				start.Open()
			}
		},
		Observed: func(b bergamotdale.Batch) { g.replica.Apply(b, g.source.Direct()) },
	}
	g.replica = replicator.NewReplica(g.directory.Age)
	g.source.OnStoreLost = g.replica.MarkStoreLost
	g.suspects = isolator.New(g.self.ID, g.clock, g.gossiper)
	g.exchanger = &exchanger.Exchanger{
		Self: g.self.ID, Peer: peer, Clock: g.clock, Tracker: g.tracker,
		Logger: g.Logger.Named("exchanger"), Members: g.gossiper.Live,
	}
	g.relayer = &relayer.Relayer{
		FailureDomain:   g.Settings.FailureDomain,
		Dialect:         dialect,
		Directory:       g.directory,
		Tracker:         g.tracker,
		Locator:         locator.New(),
		Dialer:          g.dialer,
		Quarantine:      g.suspects,
		Health:          g.pacer,
		Clock:           g.clock,
		Logger:          g.Logger.Named("relayer"),
		StartupGate:     start,
		Routers:         func() int { return max(1, len(g.gossiper.Live())) },
		ShutdownRefusal: g.refusing,
		OnFinished: func(r relayer.Report) {
			g.meter.Finished(string(r.Kind), r.Outcome, r.Status, r.TimeToFirstByte, r.Total)
		},
	}
	g.apply(g.Settings)
	return nil
}

// apply puts settings into force that may change while the gateway runs.
func (g *Gateway) apply(s *loader.GatewaySettings) {
	g.relayer.SetLimits(relayer.Limits{
		MaxKeyAge:    s.Promises.KeyRevocation,
		Placement:    balancer.Policy(s.Placement),
		LoadMultiple: s.Promises.LoadMultiple,
		RetryRatio:   s.Promises.RetryRatio,
		RetrySlack:   s.Promises.RetrySlack,
	})
	if s.Listen != g.Settings.Listen || s.ID != g.Settings.ID || s.Store != g.Settings.Store {
		g.Logger.Warn("changed addresses are in force after a restart", zap.String("store", s.Store))
	}
}

// reload applies changed settings until the context is done.
func (g *Gateway) reload(ctx context.Context) error {
	r := &reloader.Reloader[loader.GatewaySettings]{
		File: g.File, Parse: loader.ParseGatewaySettings, Apply: g.apply, Signal: g.Reload, Clock: g.clock,
		Logger: g.Logger.Named("reloader"),
	}
	return r.Run(ctx)
}

// seeds are the addresses of routers to contact first.
type seeds []string

// ListVMs implements bergamotdale.VMLister.
func (s seeds) ListVMs(context.Context) ([]bergamotdale.VM, error) {
	vms := make([]bergamotdale.VM, 0, len(s))
	for _, address := range s {
		vms = append(vms, bergamotdale.VM{Name: address, Address: address, Role: "router", State: bergamotdale.VMLive})
	}
	return vms, nil
}

// evaluate compares the endpoints and takes in rumours until the context is
// done.
func (g *Gateway) evaluate(ctx context.Context) error {
	before := map[string]float64{}
	omitted := uint64(0)
	for bergamotdale.Wait(ctx, g.clock, evaluateInterval) == nil {
		now := g.clock.Now()
		weakened := g.tracker.Evaluate(now)
		for id, weight := range weakened {
			if before[id] != weight {
				g.Logger.Info("endpoint weakened", zap.String("endpoint", id), zap.Float64("weight", weight))
			}
		}
		for id := range before {
			if _, still := weakened[id]; !still {
				g.Logger.Info("endpoint at full weight", zap.String("endpoint", id))
			}
		}
		before = weakened
		if n := g.Omitted(); n != omitted {
			g.Logger.Warn("log lines left out", zap.Uint64("since-last", n-omitted), zap.Uint64("total", n))
			omitted = n
		}
		g.suspects.Merge(g.gossiper.View(), now)
		g.dialer.CloseExpired()
	}
	return ctx.Err()
}

// ready reports whether the router asks for new clients.
func (g *Gateway) ready() bool {
	age, known := g.directory.Age()
	return known && !g.stopping.Load() && g.directory.State().Table != nil && age < readyAge
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// NewAdapters returns the ports of a gateway process on a platform.
func NewAdapters(store bergamotdale.ChangeStore, dialect bergamotdale.Dialect, layout bergamotdale.Layout) do.Injector {
	i := do.New()
	do.ProvideValue[bergamotdale.Clock](i, bergamotdale.SystemClock{})
	do.Provide(i, func(do.Injector) (bergamotdale.Peer, error) { return peerclient.New(), nil })
	do.ProvideValue(i, store)
	do.ProvideValue(i, dialect)
	do.ProvideValue(i, layout)
	return i
}
