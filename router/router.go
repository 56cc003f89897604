// Package router composes one router process from its parts: membership,
// ownership, configuration, the request paths of entry and owner, and the HTTP
// servers for clients, peers and operators.
//
// One goroutine, control, reacts to changes of membership, ownership and
// configuration. It publishes an immutable view that the request paths read
// through an atomic pointer.
package router

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/admitter"
	"github.com/bergamotdale/bergamotdale/aggregator"
	"github.com/bergamotdale/bergamotdale/assigner"
	"github.com/bergamotdale/bergamotdale/caller"
	"github.com/bergamotdale/bergamotdale/dispatcher"
	"github.com/bergamotdale/bergamotdale/elector"
	"github.com/bergamotdale/bergamotdale/follower"
	"github.com/bergamotdale/bergamotdale/forwarder"
	"github.com/bergamotdale/bergamotdale/gossiper"
	"github.com/bergamotdale/bergamotdale/isolator"
	"github.com/bergamotdale/bergamotdale/loader"
	"github.com/bergamotdale/bergamotdale/meter"
	"github.com/bergamotdale/bergamotdale/quoter"
	"github.com/bergamotdale/bergamotdale/replayer"
	"github.com/bergamotdale/bergamotdale/retrier"
	"github.com/bergamotdale/bergamotdale/server"
	"github.com/bergamotdale/bergamotdale/sharder"
	"github.com/bergamotdale/bergamotdale/viewer"
	"github.com/bergamotdale/bergamotdale/watcher"
)

// loadPollInterval is the time between two load reports of an owned engine.
const loadPollInterval = time.Second

// Listeners are open sockets to serve on. A nil one is opened at the address
// in the settings.
type Listeners struct {
	Clients   net.Listener
	Peers     net.Listener
	Operators net.Listener
}

// Router is one router process. Exported fields are set before Run.
type Router struct {
	Settings  *loader.Settings
	Logger    *zap.Logger
	Listeners Listeners
	// Adapters provides the ports; NewAdapters returns those of a process.
	Adapters do.Injector

	clock    bergamotdale.Clock
	peer     bergamotdale.Peer
	recorder bergamotdale.Recorder
	self     bergamotdale.Member
	vms      *watcher.VMs
	gossiper *gossiper.Gossiper
	elector  *elector.Elector
	follower *follower.Follower
	loads    *aggregator.Aggregator
	dispatch *dispatcher.Dispatcher
	shards   *sharder.Sharder
	forward  *forwarder.Forwarder
	callers  *caller.Caller
	views    *viewer.Viewer
	suspects *isolator.Isolator
	quotas   *quoter.Quoter
	meter    *meter.Meter

	started time.Time
	// drainChecked is the last revision that checkDrain has seen; used by
	// control only.
	drainChecked int64
	// serving is set once the router knows enough to serve.
	serving atomic.Bool
	// stopping is set once a planned stop has begun.
	stopping atomic.Bool
}

// Run serves until the context is done, and then stops gracefully: requests
// that were accepted finish first.
func (r *Router) Run(ctx context.Context) error {
	if err := r.build(); err != nil {
		return errors.Trace(err)
	}
	servers, err := r.servers()
	if err != nil {
		return errors.Trace(err)
	}
	var group run.Group
	for _, part := range r.parts() {
		partCtx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return part(partCtx) }, func(error) { cancel() })
	}
	for _, s := range servers {
		group.Add(s.Run, s.Interrupt)
	}
	stopCtx, stopNow := context.WithCancel(context.Background())
	group.Add(func() error { return r.untilStopped(ctx, stopCtx, servers) }, func(error) { stopNow() })
	r.Logger.Info("router started", zap.String("id", r.self.ID), zap.Int64("incarnation", r.self.Incarnation),
		zap.String("failure-domain", r.self.FailureDomain))
	err = group.Run()
	if errors.Is(err, errStopped) || errors.Is(err, server.ErrClosed) {
		r.Logger.Info("router stopped", zap.String("id", r.self.ID))
		return nil
	}
	return errors.Trace(err)
}

// parts returns the goroutines of the router beside its servers.
func (r *Router) parts() []func(context.Context) error {
	return []func(context.Context) error{
		r.vms.Run,
		r.dispatch.Run,
		r.shards.Run,
		r.follower.Run,
		r.gossiper.Run,
		r.elector.Run,
		r.loads.Run,
		r.quotas.Run,
		r.control,
		r.reportRemaining,
	}
}

// build creates the parts of the router.
func (r *Router) build() error {
	i := r.Adapters
	r.clock = do.MustInvoke[bergamotdale.Clock](i)
	r.peer = do.MustInvoke[bergamotdale.Peer](i)
	r.recorder = do.MustInvoke[bergamotdale.Recorder](i)
	store := do.MustInvoke[bergamotdale.Store](i)
	r.started = r.clock.Now()
	r.self = bergamotdale.NewMember(r.Settings.ID, r.Settings.Listen.Peers, r.Settings.FailureDomain, r.clock.Now())
	metrics, err := meter.New()
	if err != nil {
		return errors.Trace(err)
	}
	r.meter = metrics
	r.buildMembership(do.MustInvoke[bergamotdale.VMLister](i), store)
	r.buildRequestPath(i, store)
	return errors.Trace(r.observe())
}

// buildMembership creates what finds out about routers, owners and
// configuration.
func (r *Router) buildMembership(lister bergamotdale.VMLister, store bergamotdale.Store) {
	r.vms = watcher.New()
	r.vms.Lister, r.vms.Clock, r.vms.Logger = lister, r.clock, r.Logger
	r.vms.Interval, r.vms.Seeds = r.Settings.Periods.VMList, r.Settings.Seeds
	config := gossiper.DefaultConfig()
	config.ProbeInterval = r.Settings.Periods.Probe
	r.gossiper = gossiper.New(config, r.self, r.clock)
	r.gossiper.Peer = r.peer
	r.gossiper.Lister = r.vms
	r.gossiper.Logger = r.Logger.Named("gossiper")

	r.elector = elector.New(r.self, store, r.peer, r.gossiper, r.clock, uint64(r.self.Incarnation))
	r.elector.Logger = r.Logger.Named("elector")
	r.elector.ExportState = r.handoverState
	r.elector.ImportState = r.receiveState

	r.follower = &follower.Follower{
		Router: r.self.ID, Store: store, Peer: r.peer, Clock: r.clock, Recorder: r.recorder,
		Logger: r.Logger.Named("follower"), Peers: r.peerAddresses,
	}
	// A long poll on a connection that went silent is noticed late; probes tell
	// of a new revision within seconds.
	r.gossiper.Revision = func() int64 { return r.follower.Status().Revision }
	r.gossiper.Seen = r.follower.HintRevision
	r.views = &viewer.Viewer{Self: r.self.ID, Clock: r.clock, Follower: r.follower, Gossiper: r.gossiper, Elector: r.elector, VMs: r.vms}
	r.loads = aggregator.New(r.self.ID, r.peer, r.gossiper, r.clock)
	r.loads.Logger = r.Logger.Named("aggregator")
	r.loads.Groups = func() []aggregator.Group { return assigner.GroupLoads(r.views.Current(), r.dispatch.ReportLoads()) }
	r.quotas = quoter.New(r.self.ID, r.peer, r.gossiper, r.clock)
	r.quotas.Logger = r.Logger.Named("quoter")
	r.quotas.Rate = func(workspace string) (float64, bool) { return assigner.TokenRate(r.views.Current(), workspace) }
	r.suspects = isolator.New(r.self.ID, r.clock, r.gossiper)
}

// buildRequestPath creates the entry side and the owner side.
func (r *Router) buildRequestPath(i do.Injector, store bergamotdale.Store) {
	budget := retrier.NewBudget()
	r.dispatch = &dispatcher.Dispatcher{Environment: admitter.Environment{
		Engine:       do.MustInvoke[bergamotdale.Engine](i),
		Clock:        r.clock,
		Recorder:     r.recorder,
		Logger:       r.Logger.Named("dispatcher"),
		Ownership:    &ownership{r},
		Loads:        &loads{r},
		Quarantine:   r.suspects,
		Replayer:     replayer.New(r.clock, replayer.Retention, replayer.DefaultBytes),
		PollInterval: loadPollInterval,
		OnDraining:   r.views.MarkDraining,
	}}
	r.callers = &caller.Caller{
		Service:   do.MustInvoke[bergamotdale.Service](i),
		Clock:     r.clock,
		Recorder:  r.recorder,
		Endpoints: func(service string) []caller.Endpoint { return assigner.ServiceEndpoints(r.views.Current(), service) },
		Timeout:   caller.DefaultTimeout,
		Budget:    budget,
	}
	r.shards = &sharder.Sharder{
		Self:   r.self.ID,
		Store:  store,
		Clock:  r.clock,
		Logger: r.Logger.Named("sharder"),
		Call: func(ctx context.Context, c bergamotdale.ServiceCall) (bergamotdale.ServiceResponse, error) {
			return r.callers.Call(ctx, c, false)
		},
		Held:     func(name string) bool { return r.mode(name) == elector.ModeFull },
		OnOpened: r.elector.ConfirmFull,
		Lifetime: func() time.Duration { return r.views.Current().Config().Limits().IdempotencyRecordLifetime },
	}
	r.forward = &forwarder.Forwarder{
		Self:      r.self.ID,
		Directory: r.views,
		Local:     r.dispatch,
		Peer:      r.peer,
		Clock:     r.clock,
		Recorder:  r.recorder,
		Logger:    r.Logger.Named("forwarder"),
		Budget:    budget,
		Suspects:  r.suspects,
	}
}
