// Package router composes one router process from the packages that do its work
// and runs it until it is stopped.
//
// A router accepts requests from clients and sends them to endpoints: engines
// and services. Each engine, and each shard of idempotency keys, is owned by one
// router of the fleet. The router that a client is connected to is the entry
// router of its requests. It authorizes them and forwards completions to the
// owner of an engine, which queues them and decides when they start there. It
// forwards service calls that are not idempotent to the owner of their shard,
// which executes each key at most once, and executes idempotent calls itself. A
// process has both roles, and HTTP servers for clients, for other routers
// (peers) and for operators.
//
// One goroutine, Router.control, reacts to changes of membership, ownership and
// configuration. It publishes an immutable view of them, which the request
// paths read through an atomic pointer.
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

// loadPollInterval is the time between two reads of the load report of an owned
// engine.
const loadPollInterval = time.Second

// Listeners are the open sockets of the HTTP servers. For a nil one Run opens a
// socket at the address in the settings.
type Listeners struct {
	Clients   net.Listener
	Peers     net.Listener
	Operators net.Listener
}

// Router is one router process. Exported fields must be set before Run.
type Router struct {
	Settings  *loader.Settings
	Logger    *zap.Logger
	Listeners Listeners
	// Adapters provides the implementations of the interfaces to the outside:
	// clock, store, peers, engines and services. NewAdapters returns those of a
	// real process.
	Adapters do.Injector

	clock      bergamotdale.Clock
	peer       bergamotdale.Peer
	recorder   bergamotdale.Recorder
	self       bergamotdale.Member
	vms        *watcher.VMs
	gossiper   *gossiper.Gossiper
	elector    *elector.Elector
	follower   *follower.Follower
	loads      *aggregator.Aggregator
	dispatcher *dispatcher.Dispatcher
	shards     *sharder.Sharder
	forwarder  *forwarder.Forwarder
	caller     *caller.Caller
	views      *viewer.Viewer
	isolator   *isolator.Isolator
	quotas     *quoter.Quoter
	meter      *meter.Meter

	started time.Time
	// drainCheckedRevision is the last revision that checkDrainDeadline has
	// checked. Only the goroutine of control uses it.
	drainCheckedRevision int64
	// serving is set once the owners of names are known, or ownersTimeout has
	// passed. Until then backend.Ready fails.
	serving atomic.Bool
	// stopping is set when a planned stop begins.
	stopping atomic.Bool
}

// Run serves until the context is done and then stops gracefully: accepted
// requests may finish until the drain deadline. It returns nil after such a
// planned stop.
func (r *Router) Run(ctx context.Context) error {
	if err := r.build(); err != nil {
		return errors.Trace(err)
	}
	servers, err := r.servers()
	if err != nil {
		return errors.Trace(err)
	}
	var group run.Group
	for _, task := range r.tasks() {
		taskCtx, cancel := context.WithCancel(context.Background())
		group.Add(func() error { return task(taskCtx) }, func(error) { cancel() })
	}
	for _, s := range servers {
		group.Add(s.Run, s.Interrupt)
	}
	stopCtx, stopNow := context.WithCancel(context.Background())
	group.Add(func() error { return r.stopOnDone(ctx, stopCtx, servers) }, func(error) { stopNow() })
	r.Logger.Info("router started", zap.String("id", r.self.ID), zap.Int64("incarnation", r.self.Incarnation),
		zap.String("failure-domain", r.self.FailureDomain))
	err = group.Run()
	if errors.Is(err, errStopped) || errors.Is(err, server.ErrClosed) {
		r.Logger.Info("router stopped", zap.String("id", r.self.ID))
		return nil
	}
	return errors.Trace(err)
}

// tasks returns the background tasks of the router. Each runs in a goroutine
// until its context is done.
func (r *Router) tasks() []func(context.Context) error {
	return []func(context.Context) error{
		r.vms.Run,
		r.dispatcher.Run,
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

// build creates the components of the router.
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
	return errors.Trace(r.registerMetrics())
}

// buildMembership creates the components that learn of other routers, owners
// and the configuration, and those that share state with other routers.
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
	r.elector.Lease.Logger = r.Logger.Named("leaser")
	r.elector.ExportState = r.handoverState
	r.elector.ImportState = r.receiveState

	r.follower = &follower.Follower{
		Router: r.self.ID, Store: store, Peer: r.peer, Clock: r.clock, Recorder: r.recorder,
		Logger: r.Logger.Named("follower"), Peers: r.peerAddresses,
	}
	// A long poll of the store on a connection that has gone silent times out
	// late. Gossip probes carry the revision and spread a new one within seconds.
	r.gossiper.Revision = func() int64 { return r.follower.Status().Revision }
	r.gossiper.OnRevision = r.follower.HintRevision
	r.views = &viewer.Viewer{Self: r.self.ID, Clock: r.clock, Follower: r.follower, Gossiper: r.gossiper, Elector: r.elector, VMs: r.vms}
	r.loads = aggregator.New(r.self.ID, r.peer, r.gossiper, r.clock)
	r.loads.Logger = r.Logger.Named("aggregator")
	r.loads.Groups = func() []aggregator.Group { return assigner.GroupLoads(r.views.Current(), r.dispatcher.ReportLoads()) }
	r.quotas = quoter.New(r.self.ID, r.peer, r.gossiper, r.clock)
	r.quotas.Logger = r.Logger.Named("quoter")
	r.quotas.Rate = func(workspace string) (float64, bool) { return assigner.TokenRate(r.views.Current(), workspace) }
	r.isolator = isolator.New(r.self.ID, r.clock, r.gossiper)
}

// buildRequestPath creates the components that handle requests as the entry
// router and as the owner.
func (r *Router) buildRequestPath(i do.Injector, store bergamotdale.Store) {
	budget := retrier.NewBudget()
	r.dispatcher = &dispatcher.Dispatcher{Environment: admitter.Environment{
		Engine:       do.MustInvoke[bergamotdale.Engine](i),
		Clock:        r.clock,
		Recorder:     r.recorder,
		Logger:       r.Logger.Named("dispatcher"),
		Ownership:    &ownership{r},
		Loads:        &loads{r},
		Quarantine:   r.isolator,
		Replayer:     replayer.New(r.clock, replayer.Retention, replayer.DefaultMaxBytes),
		PollInterval: loadPollInterval,
		OnDraining:   r.views.MarkDraining,
	}}
	r.caller = &caller.Caller{
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
			return r.caller.Call(ctx, c, false)
		},
		Held:     func(name string) bool { return r.admissionMode(name) == elector.ModeFull },
		OnOpened: r.elector.ConfirmFull,
		Lifetime: func() time.Duration { return r.views.Current().Config().Limits().IdempotencyRecordLifetime },
	}
	r.forwarder = &forwarder.Forwarder{
		Self:      r.self.ID,
		Directory: r.views,
		Local:     r.dispatcher,
		Peer:      r.peer,
		Clock:     r.clock,
		Recorder:  r.recorder,
		Logger:    r.Logger.Named("forwarder"),
		Budget:    budget,
		Suspects:  r.isolator,
	}
}
