// Package gateway assembles the gateway: a router process that forwards clients'
// requests to endpoints by host and path. It watches the platform's store for
// configuration and endpoints, finds the other routers by gossip, relays
// requests and serves readiness and metrics.
//
// A gateway persists no state. After a start it reads configuration and
// endpoints from the store and rebuilds everything else from requests and from
// the other routers.
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
	"github.com/bergamotdale/bergamotdale/budgeter"
	"github.com/bergamotdale/bergamotdale/chronicler"
	"github.com/bergamotdale/bergamotdale/collector"
	"github.com/bergamotdale/bergamotdale/dialer"
	"github.com/bergamotdale/bergamotdale/exchanger"
	"github.com/bergamotdale/bergamotdale/gatekeeper"
	"github.com/bergamotdale/bergamotdale/gossiper"
	"github.com/bergamotdale/bergamotdale/isolator"
	"github.com/bergamotdale/bergamotdale/loader"
	"github.com/bergamotdale/bergamotdale/locator"
	"github.com/bergamotdale/bergamotdale/meter"
	"github.com/bergamotdale/bergamotdale/peerclient"
	"github.com/bergamotdale/bergamotdale/pinner"
	"github.com/bergamotdale/bergamotdale/rationer"
	"github.com/bergamotdale/bergamotdale/regulator"
	"github.com/bergamotdale/bergamotdale/relayer"
	"github.com/bergamotdale/bergamotdale/reloader"
	"github.com/bergamotdale/bergamotdale/replicator"
	"github.com/bergamotdale/bergamotdale/reserver"
	"github.com/bergamotdale/bergamotdale/selfmonitor"
	"github.com/bergamotdale/bergamotdale/server"
	"github.com/bergamotdale/bergamotdale/subscriber"
	"github.com/bergamotdale/bergamotdale/tracker"
)

const (
	// evaluateInterval is the time between two rounds of evaluateEndpoints.
	evaluateInterval = time.Second
	// memoryLimitFraction is the part of the VM's memory that is set as the
	// runtime's soft memory limit. The rest is left for stacks, sockets and
	// memory that the runtime does not return to the operating system.
	memoryLimitFraction = 0.6
	// gcPercent is the growth of the heap, in percent, that starts a garbage
	// collection. The live heap is 2 to 4 MB and a collection takes under a
	// millisecond, while the default of 100 would let garbage fill most of a
	// small VM's memory.
	gcPercent = 30
	// minReadyAge is the age of the configuration up to which a router reports that
	// it is ready, whatever the promises. It is below the age at which requests with
	// API keys are refused.
	minReadyAge = 3500 * time.Millisecond
)

// Gateway is one router process. The exported fields must be set before Run.
type Gateway struct {
	Settings *loader.GatewaySettings
	Logger   *zap.Logger
	// Adapters provides the implementations of bergamotdale.ChangeStore,
	// RecordStore, Dialect, Layout, FeatureReader, Peer and Clock; see NewAdapters.
	Adapters do.Injector
	// Elapsed reads a clock that advances also while the VM is suspended, such
	// as SinceBoot.
	Elapsed func() time.Duration
	// SettingsFile is the path of the settings file. It is read again on each
	// signal from ReloadSignal.
	SettingsFile string
	ReloadSignal <-chan os.Signal
	// OmittedLogLines returns the number of log lines dropped so far by rate limits
	// or a full queue.
	OmittedLogLines func() uint64

	clock       bergamotdale.Clock
	self        bergamotdale.Member
	directory   *subscriber.Subscriber
	source      *replicator.Source
	replica     *replicator.Replica
	tracker     *tracker.Tracker
	dialer      *dialer.Dialer
	gatekeeper  *gatekeeper.Gatekeeper
	rationer    *rationer.Rationer
	gossiper    *gossiper.Gossiper
	quarantine  *isolator.Isolator
	pinner      *pinner.Pinner
	chronicler  *chronicler.Chronicler
	exchanger   *exchanger.Exchanger
	collector   *collector.Collector
	relayer     *relayer.Relayer
	meter       *meter.Meter
	selfMonitor *selfmonitor.Monitor
	descriptors budgeter.Descriptors
	memory      budgeter.Memory
	reserver    *reserver.Reserver
	// bodyLimit is the limit of the configuration that was checked last.
	bodyLimit int64
	// clientServer serves clients.
	clientServer *server.Server
	// regulator is nil where the settings do not call for admission.
	regulator *regulator.Regulator

	// stopping is set once a planned stop has begun, and refusing once new
	// requests are refused. activeRequests counts the client requests in
	// progress.
	stopping       atomic.Bool
	refusing       atomic.Bool
	activeRequests atomic.Int64
	// aborted is done once the requests in progress are ended, by abort.
	aborted context.Context
	abort   context.CancelFunc
	// readyAge is the age of the configuration, as a time.Duration, from which the router
	// is not ready. Until then a router that follows others asks the store itself.
	readyAge atomic.Int64
	// doubting is set while endpoints are in doubt, and doubtfulChoices counts the
	// choices of an endpoint meanwhile.
	doubting        atomic.Bool
	doubtfulChoices atomic.Int64
}

// Run serves until the context is done and then stops gracefully. It returns an
// error if a component fails.
func (g *Gateway) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(g.Settings.Memory) * memoryLimitFraction))
	if err := g.build(); err != nil {
		return errors.Trace(err)
	}
	servers, err := g.newServers()
	if err != nil {
		return errors.Trace(err)
	}
	var group run.Group
	for _, component := range []func(context.Context) error{g.runAdmission, g.directory.Run, g.gossiper.Run, g.exchanger.Run, g.collector.Run, g.chronicler.Run, g.pinner.Run, g.evaluateEndpoints, g.mergeQuarantine, g.followMembers, g.runReloader, g.selfMonitor.Run} {
		componentCtx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return component(componentCtx) }, func(error) { cancel() })
	}
	for _, s := range servers {
		group.Add(s.Run, s.Interrupt)
	}
	groupCtx, cancelGroup := context.WithCancel(context.Background())
	group.Add(func() error { return g.stopWhenDone(ctx, groupCtx, servers[0]) }, func(error) { cancelGroup() })
	g.Logger.Info("gateway started", zap.String("failure-domain", g.Settings.FailureDomain),
		zap.Int64("incarnation", g.self.Incarnation), zap.String("store", g.Settings.Store))
	err = group.Run()
	if errors.Is(err, errStopped) || errors.Is(err, server.ErrClosed) {
		g.Logger.Info("gateway stopped")
		return nil
	}
	return errors.Trace(err)
}

// build creates the components of the gateway and connects them.
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
	descriptors, err := descriptorLimit(g.Settings.Descriptors)
	if err != nil {
		return errors.Trace(err)
	}
	g.descriptors = budgeter.DivideDescriptors(descriptors)
	g.Logger.Info("descriptors divided", zap.Int("limit", descriptors), zap.Int("clients", g.descriptors.Clients),
		zap.Int("idle-endpoints", g.descriptors.IdleEndpoints))
	g.divideMemory()
	g.tracker = tracker.New()
	features := do.MustInvoke[bergamotdale.FeatureReader](i)(g.Settings.Terms)
	g.tracker.LiveLoad = features.LiveLoad
	g.dialer = &dialer.Dialer{ReceiveBuffer: g.memory.ReceiveBuffer, MaxHead: int(g.Settings.Responses.MaxHead), MaxIdle: g.descriptors.IdleEndpoints, Elapsed: g.Elapsed}
	g.gatekeeper = gatekeeper.New(g.clock)
	g.rationer = rationer.New(g.self.ID, g.clock.Now())
	g.selfMonitor = &selfmonitor.Monitor{Clock: g.clock, Logger: g.Logger.Named("pacer")}
	g.gossiper = gossiper.New(gossiper.DefaultConfig(), g.self, g.clock)
	g.gossiper.Peer, g.gossiper.Logger = peer, g.Logger.Named("gossiper")
	g.gossiper.Lister = seeds(g.Settings.Seeds)
	g.source = &replicator.Source{
		Self: g.self.ID, Store: do.MustInvoke[bergamotdale.ChangeStore](i), Peer: peer,
		Logger: g.Logger.Named("replicator"), Members: g.gossiper.Live,
	}
	startupGate := relayer.NewStartupGate(relayer.MaxStartupWait)
	g.directory = &subscriber.Subscriber{
		Store:   g.source,
		Dialect: dialect,
		Layout:  do.MustInvoke[bergamotdale.StoreLayout](i),
		Clock:   g.clock,
		Elapsed: g.Elapsed,
		Logger:  g.Logger.Named("subscriber"),
		OnChange: func(s *subscriber.State) {
			g.tracker.UpdateEndpoints(g.clock.Now(), s)
			g.gatekeeper.UpdateEndpoints(s)
			g.rationer.UpdateEndpoints(g.clock.Now(), s)
			g.chronicler.Observe(s)
			g.pinner.Observe(s)
			if s.Table != nil {
				g.clientServer.SetIdleTimeout(s.Table.Limits().IdleTimeout)
				g.checkBodyLimit(s.Table.Limits().BodyBytes)
				startupGate.Open()
			}
		},
		OnRecord: g.recordReading,
		OnBatch: func(b bergamotdale.Batch) {
			g.chronicler.Apply(b)
			g.replica.Apply(g.chronicler.Shared(b), g.source.Hops())
		},
	}
	g.replica = replicator.NewReplica(g.directory.Age)
	g.source.OnStoreLost = g.replica.MarkStoreLost
	g.quarantine = isolator.New(g.self.ID, g.clock, g.gossiper)
	g.quarantine.Logger = g.Logger.Named("isolator")
	g.quarantine.OnPartEvent = func(e isolator.PartEvent) { g.meter.RecordPartEvent(string(e)) }
	g.chronicler = chronicler.New(g.self.ID, g.clock)
	g.chronicler.Store, g.chronicler.Logger = do.MustInvoke[bergamotdale.RecordStore](i), g.Logger.Named("chronicler")
	g.chronicler.Prefix = do.MustInvoke[bergamotdale.StoreLayout](i).RecordPrefix
	g.chronicler.Members, g.chronicler.Period = g.gossiper.Live, g.versionPeriod
	g.chronicler.FirstStart = g.Settings.FirstStart
	g.pinner = pinner.New(g.self.ID, g.clock)
	g.pinner.Chronicle = g.chronicler
	g.chronicler.Peer, g.chronicler.StreamTime = peer, g.streamTime
	g.chronicler.Pending, g.chronicler.Recorded, g.chronicler.NewStreams = g.pinner.Unrecorded, g.pinner.Recorded, g.pinner.NewStreams()
	g.pinner.Peer, g.pinner.Logger = peer, g.Logger.Named("pinner")
	g.pinner.Members, g.pinner.Joined = g.gossiper.Live, g.gossiper.Joined
	g.pinner.MembersChanged, g.pinner.Age = g.gossiper.Subscribe(), g.directory.Age
	g.exchanger = &exchanger.Exchanger{
		Self: g.self.ID, Peer: peer, Clock: g.clock, Tracker: g.tracker,
		Logger: g.Logger.Named("exchanger"), Members: g.gossiper.Live,
	}
	g.collector = &collector.Collector{
		Self: g.self.ID, Peer: peer, Clock: g.clock, Tracker: g.tracker,
		Logger: g.Logger.Named("collector"), Members: g.gossiper.Live, Compact: features.LiveLoad, ShareSuspensions: g.tracker.AnyLive,
	}
	g.aborted, g.abort = context.WithCancel(context.Background())
	g.relayer = &relayer.Relayer{
		Abort:          g.aborted,
		FailureDomain:  g.Settings.FailureDomain,
		Dialect:        dialect,
		Directory:      g.directory,
		Tracker:        g.tracker,
		Locator:        locator.New(),
		Dialer:         g.dialer,
		Gatekeeper:     g.gatekeeper,
		Rationer:       g.rationer,
		OnGone:         g.spreadGone,
		Quarantine:     g.quarantine,
		Pins:           g.pinner,
		Health:         g.selfMonitor,
		Clock:          g.clock,
		Reserver:       g.reserver,
		Logger:         g.Logger.Named("relayer"),
		StartupGate:    startupGate,
		Routers:        func() int { return max(1, len(g.gossiper.Live())) },
		Doubt:          g.doubt,
		ProcessRefusal: g.processRefusal,
		OnFinished: func(r relayer.Report) {
			g.meter.RecordRequest(string(r.Kind), r.Outcome, r.Status, r.TimeToFirstByte, r.Total)
		},
	}
	g.pinner.Ask = g.relayer.AskIncarnation
	g.buildAdmission()
	g.applySettings(g.Settings)
	if err := g.registerGauges(); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(g.registerAdmissionGauges())
}

// streamTime returns the longest time for which a stream may be taken up.
func (g *Gateway) streamTime() time.Duration {
	if table := g.directory.State().Table; table != nil && table.LongestStream() > 0 {
		return table.LongestStream()
	}
	return pinner.MaxStreamAge
}

// versionPeriod returns for how long a version that has gone is kept in mind. It is not
// shorter for a configuration that has just changed.
func (g *Gateway) versionPeriod() time.Duration { return max(pinner.MaxStreamAge, g.streamTime()) }

// registerGauges registers the values that are read at each scrape of the metrics.
func (g *Gateway) registerGauges() error {
	for _, gauge := range []struct {
		name, description string
		read              func() int64
	}{
		{"bergamotdale.routers.live", "live routers, this one included", func() int64 { return int64(len(g.gossiper.Live())) }},
		{"bergamotdale.endpoints.leaving", "endpoints that have said that they leave",
			func() int64 { return int64(g.gatekeeper.LeavingCount()) }},
		{"bergamotdale.endpoints.closed", "endpoints that want no requests from this router for a time",
			func() int64 { return int64(g.gatekeeper.ClosedCount()) }},
		{"bergamotdale.endpoints.cold", "endpoints that are cold, or may be as they did not respond", g.coldCount},
		{"bergamotdale.cold.turns.lost", "requests that another one of this router kept from a cold endpoint directly before the write",
			g.rationer.LostTurns},
		{"bergamotdale.domains.evacuated", "failure domains that the operators have evacuated",
			func() int64 { return int64(g.directory.State().EvacuatedCount()) }},
		{"bergamotdale.store.era", "era of the store that the state is from", g.directory.Era},
		{"bergamotdale.streams.pinned", "streams of which the router knows the software version that began them",
			func() int64 { return int64(g.pinner.PinCount()) }},
		{"bergamotdale.doubtful.choices", "choices of an endpoint while the router did not know in time which endpoints leave",
			g.doubtfulChoices.Load},
		{"bergamotdale.responses.invalid", "responses of endpoints with an invalid status, or without a length and cut by a reset",
			g.relayer.Dialer.InvalidResponses},
		{"bergamotdale.memory.capacity", "bytes that requests in progress may hold together",
			func() int64 { return g.reserver.Stats().Capacity }},
		{"bergamotdale.memory.reserved", "bytes that requests in progress hold",
			func() int64 { return g.reserver.Stats().Reserved }},
		{"bergamotdale.memory.refused", "times that a request was refused memory since the start",
			func() int64 { return g.reserver.Stats().Refused }},
		{"bergamotdale.memory.dropped", "requests that gave way since the start because their clients were too slow",
			func() int64 { return g.reserver.Stats().Dropped }},
		{"bergamotdale.connections.rejected", "connections of clients that were closed at once since the start, as too many were open",
			func() int64 { return g.clientServer.Rejected() }},
		{"bergamotdale.endpoints.suspended-by-peers", "endpoints that only other routers of the failure domain suspend",
			func() int64 { return int64(g.tracker.PeerSuspendedCount(g.clock.Now())) }},
		{"bergamotdale.load.busiest", "estimated load of the busiest endpoint in percent of its share, 0 if no service is placed by estimated loads",
			func() int64 { return int64(100 * g.tracker.Busiest(g.clock.Now())) }},
	} {
		if err := g.meter.RegisterGauge(gauge.name, gauge.description, gauge.read); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// applySettings applies the settings that may change while the gateway runs and
// warns about changed ones that need a restart.
func (g *Gateway) applySettings(s *loader.GatewaySettings) {
	g.relayer.SetLimits(relayer.Limits{
		MaxKeyAge:    s.Limits.KeyRevocationDelay,
		Placement:    balancer.Policy(s.Placement),
		LoadMultiple: s.Limits.LoadMultiple,
		RetryRatio:   s.Limits.RetryRatio,
		RetrySlack:   s.Limits.RetrySlack,
		MaxEvent:     int(s.Responses.MaxEvent),
		MaxResponse:  int64(s.Responses.MaxBody),
	})
	if g.regulator != nil {
		g.regulator.SetMaxWaiting(s.Admission.MaxWaiting)
	}
	readyAge := max(minReadyAge, s.Limits.Withdrawal)
	g.rationer.SetLimits(rationer.Limits{Excess: s.Limits.ColdExcess, Slack: s.Limits.ColdSlack, TrustedAge: readyAge})
	if bounds, err := replicator.NewBounds(s.Limits.Withdrawal, s.Limits.Evacuation, s.Limits.Contact); err != nil {
		g.Logger.Error("failed to apply the promises, keeping those in force", zap.Error(err))
	} else {
		g.source.SetBounds(bounds)
		g.replica.SetBounds(bounds)
		g.readyAge.Store(int64(readyAge))
	}
	if s.Listen != g.Settings.Listen || s.ID != g.Settings.ID || s.Store != g.Settings.Store {
		g.Logger.Warn("changed id, listen addresses or store take effect only after a restart", zap.String("store", s.Store))
	}
}

// runReloader applies changes of the settings file until the context is done.
func (g *Gateway) runReloader(ctx context.Context) error {
	r := &reloader.Reloader[loader.GatewaySettings]{
		File: g.SettingsFile, Parse: loader.ParseGatewaySettings, Apply: g.applySettings, Signal: g.ReloadSignal, Clock: g.clock,
		Logger: g.Logger.Named("reloader"),
	}
	return r.Run(ctx)
}

// seeds lists the addresses of the routers that gossip contacts first.
type seeds []string

// ListVMs implements bergamotdale.VMLister and reports each seed as a live
// router.
func (s seeds) ListVMs(context.Context) ([]bergamotdale.VM, error) {
	vms := make([]bergamotdale.VM, 0, len(s))
	for _, address := range s {
		vms = append(vms, bergamotdale.VM{Name: address, Address: address, Role: "router", State: bergamotdale.VMLive})
	}
	return vms, nil
}

// evaluateEndpoints runs the periodic tasks until the context is done: it
// compares the endpoints, logs changed weights and dropped log lines, merges the
// quarantine data received by gossip and closes expired connections.
func (g *Gateway) evaluateEndpoints(ctx context.Context) error {
	previousWeights := map[string]float64{}
	omitted := uint64(0)
	for bergamotdale.Wait(ctx, g.clock, evaluateInterval) == nil {
		now := g.clock.Now()
		reducedWeights := g.tracker.Evaluate(now)
		for id, weight := range reducedWeights {
			if previousWeights[id] != weight {
				g.Logger.Info("endpoint weakened", zap.String("endpoint", id), zap.Float64("weight", weight))
			}
		}
		for id := range previousWeights {
			if _, stillReduced := reducedWeights[id]; !stillReduced {
				g.Logger.Info("endpoint at full weight", zap.String("endpoint", id))
			}
		}
		previousWeights = reducedWeights
		if !g.source.IsDoubtful(now) && g.doubting.CompareAndSwap(true, false) {
			g.Logger.Info("endpoints no longer in doubt", zap.Int64("doubtful-choices", g.doubtfulChoices.Load()))
		}
		if n := g.OmittedLogLines(); n != omitted {
			g.Logger.Warn("log lines left out", zap.Uint64("since-last", n-omitted), zap.Uint64("total", n))
			omitted = n
		}
		g.quarantine.Merge(g.gossiper.View(), now)
		g.dialer.CloseExpired()
	}
	return ctx.Err()
}

// mergeQuarantine merges the quarantine data of other routers as it arrives, until the
// context is done.
func (g *Gateway) mergeQuarantine(ctx context.Context) error {
	changes := g.gossiper.Subscribe()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changes:
			g.quarantine.Merge(g.gossiper.View(), g.clock.Now())
		}
	}
}

// isReady reports whether the router accepts new clients: it is not stopping and
// has a recent configuration.
func (g *Gateway) isReady() bool {
	age, known := g.directory.Age()
	return known && !g.stopping.Load() && g.directory.State().Table != nil && age < time.Duration(g.readyAge.Load())
}

// serveReady answers a readiness probe with status 200 or 503.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Store is the platform's store, which the gateway follows and keeps its records in.
type Store interface {
	bergamotdale.ChangeStore
	bergamotdale.RecordStore
}

// NewAdapters returns an injector with the adapters of a gateway process: the
// given store, dialect, layout and features of the platform, the system clock and an
// HTTP client for other routers.
func NewAdapters(store Store, dialect bergamotdale.Dialect, layout bergamotdale.StoreLayout, features bergamotdale.FeatureReader) do.Injector {
	i := do.New()
	do.ProvideValue[bergamotdale.Clock](i, bergamotdale.SystemClock{})
	do.Provide(i, func(do.Injector) (bergamotdale.Peer, error) { return peerclient.New(), nil })
	do.ProvideValue[bergamotdale.ChangeStore](i, store)
	do.ProvideValue[bergamotdale.RecordStore](i, store)
	do.ProvideValue(i, dialect)
	do.ProvideValue(i, layout)
	do.ProvideValue(i, features)
	return i
}
