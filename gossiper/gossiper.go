// Package gossiper runs the gossip protocol by which the routers learn which
// routers are members of the fleet and which of them respond (D11 of
// docs/design.md). Package detector implements the protocol as a state machine
// without I/O, and package disseminator its data. This package drives the machine
// by the clock and sends its messages over bergamotdale.Peer.
package gossiper

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/detector"
	"github.com/bergamotdale/bergamotdale/disseminator"
)

// Aliases for types of detector and disseminator, so that users of this package
// need not import those.
type (
	// Config holds the timing of the protocol.
	Config = detector.Config
	// View is an immutable snapshot of the fleet.
	View = disseminator.View
	// RumourEntry is a rumour with its expiry by the clock of this router.
	RumourEntry = disseminator.RumourEntry
	// Stats holds counters since the start of the process.
	Stats = detector.Stats
	// PingRequest is a probe; the response is a PingResponse.
	PingRequest = detector.PingRequest
	// PingResponse acknowledges a probe.
	PingResponse = detector.PingResponse
	// IndirectRequest asks a router to probe a third router; the response is an
	// IndirectResponse.
	IndirectRequest = detector.IndirectRequest
	// IndirectResponse tells whether the third router responded.
	IndirectResponse = detector.IndirectResponse
)

const (
	// PingPath is the path of a PingRequest below /peer/v1/.
	PingPath = detector.PingPath
	// IndirectPath is the path of an IndirectRequest.
	IndirectPath = detector.IndirectPath
)

// DefaultConfig returns the timing used in production.
func DefaultConfig() Config {
	return detector.DefaultConfig()
}

const (
	// tickInterval is the interval of Machine.Tick, the resolution of the timers of
	// the protocol.
	tickInterval = 100 * time.Millisecond
	// listInterval is the time between two reads of the VM list.
	listInterval = 5 * time.Second
	// listTimeout bounds one read of the VM list.
	listTimeout = 2 * time.Second
)

// Gossiper runs a detector.Machine over the network. Exported fields are set before
// Run; the handlers may be called from New on.
type Gossiper struct {
	Peer   bergamotdale.Peer
	Lister bergamotdale.VMLister
	Clock  bergamotdale.Clock
	Logger *zap.Logger
	// Revision returns the configuration revision in force, which probes carry.
	// It may be nil.
	Revision func() int64
	// OnRevision is called with the revision that another router reports. It may be
	// nil.
	OnRevision func(revision int64)

	mu sync.Mutex
	// machine is guarded by mu.
	machine     *detector.Machine
	subscribers []chan struct{}
	view        atomic.Pointer[View]
	background  sync.WaitGroup
}

// New returns a gossiper for the router self. The incarnation of self must be
// larger after each start of the process; the start time serves.
func New(config Config, self bergamotdale.Member, clock bergamotdale.Clock) *Gossiper {
	g := &Gossiper{
		Clock:   clock,
		Logger:  zap.NewNop(),
		machine: detector.NewMachine(config, self, rand.Uint64(), clock.Now()),
	}
	g.view.Store(g.machine.View())
	return g
}

// View returns the latest view of the fleet.
func (g *Gossiper) View() *View {
	return g.view.Load()
}

// Subscribe returns a channel that receives a value after the view has changed.
// Several changes may be combined into one value.
func (g *Gossiper) Subscribe() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := make(chan struct{}, 1)
	g.subscribers = append(g.subscribers, c)
	return c
}

// Stats returns the counters of the protocol.
func (g *Gossiper) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Stats()
}

// Joined reports whether this router has read the whole list of another member since
// its start.
func (g *Gossiper) Joined() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Joined()
}

// SpreadRumour sends a rumour to the whole fleet. A rumour whose version is not
// above the known one of its key is ignored.
func (g *Gossiper) SpreadRumour(key, value string, version int64, ttl time.Duration) {
	g.updateMachine(func(m *detector.Machine, now time.Time) { m.SpreadRumour(now, key, value, version, ttl) })
}

// SetDraining marks this router as draining, so that it takes no new ownership.
func (g *Gossiper) SetDraining() {
	g.updateMachine(func(m *detector.Machine, now time.Time) { m.SetDraining() })
}

// Leave marks this router as left and notifies a few members directly.
func (g *Gossiper) Leave(ctx context.Context) {
	var sends []detector.Send
	g.updateMachine(func(m *detector.Machine, now time.Time) { sends = m.Leave(now) })
	// g.background cannot be used: its goroutines end only with Run.
	var notices sync.WaitGroup
	for _, s := range sends {
		notices.Go(func() { g.sendAndFollowUp(ctx, s) })
	}
	notices.Wait()
}

// SetStoreContact records a successful call of the store by this router at the
// given time.
func (g *Gossiper) SetStoreContact(at time.Time) {
	g.updateMachine(func(m *detector.Machine, now time.Time) { m.SetStoreContact(at) })
}

// StoreContactAge returns the time since the latest known contact of any router
// with the store. It reports false if none is known.
func (g *Gossiper) StoreContactAge() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.StoreAge(g.Clock.Now())
}

// HandlePing handles a probe and returns the response.
func (g *Gossiper) HandlePing(r PingRequest) PingResponse {
	var response PingResponse
	g.updateMachine(func(m *detector.Machine, now time.Time) { response = m.HandlePing(now, r) })
	g.notifyRevision(r.Revision)
	response.Revision = g.revision()
	return response
}

// revision returns the configuration revision of this router, or 0 if Revision is
// nil.
func (g *Gossiper) revision() int64 {
	if g.Revision == nil {
		return 0
	}
	return g.Revision()
}

// notifyRevision calls OnRevision with the configuration revision of another router.
func (g *Gossiper) notifyRevision(revision int64) {
	if g.OnRevision != nil && revision > 0 {
		g.OnRevision(revision)
	}
}

// HandleIndirect probes the target of the request and reports the result.
func (g *Gossiper) HandleIndirect(ctx context.Context, r IndirectRequest) IndirectResponse {
	var send detector.Send
	g.updateMachine(func(m *detector.Machine, now time.Time) { send = m.HandleIndirect(now, r) })
	result := g.send(ctx, send)
	var response IndirectResponse
	g.updateMachine(func(m *detector.Machine, now time.Time) { response = m.RespondIndirect(now, r, result) })
	return response
}

// Run probes members and the routers of the VM list until the context is done.
func (g *Gossiper) Run(ctx context.Context) error {
	defer g.background.Wait()
	lists := make(chan []bergamotdale.VM, 1)
	g.background.Go(func() { g.pollVMList(ctx, lists) })
	for {
		var sends []detector.Send
		g.updateMachine(func(m *detector.Machine, now time.Time) { sends = m.Tick(now) })
		for _, s := range sends {
			g.background.Go(func() { g.sendAndFollowUp(ctx, s) })
		}
		select {
		case <-ctx.Done():
			return nil
		case vms := <-lists:
			g.updateMachine(func(m *detector.Machine, now time.Time) { m.SetSeeds(vms) })
		case <-g.Clock.After(tickInterval):
		}
	}
}

// pollVMList reads the VM list periodically. After a failed read the previous list
// stays in use.
func (g *Gossiper) pollVMList(ctx context.Context, lists chan<- []bergamotdale.VM) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, listTimeout)
		vms, err := g.Lister.ListVMs(limited)
		cancel()
		if err != nil {
			g.Logger.Debug("vm-list-failed", zap.Error(err))
		} else {
			select {
			case lists <- vms:
			case <-ctx.Done():
			}
		}
		_ = bergamotdale.Wait(ctx, g.Clock, listInterval)
	}
}

// sendAndFollowUp sends a message and then the messages that the machine returns
// for its result.
func (g *Gossiper) sendAndFollowUp(ctx context.Context, s detector.Send) {
	for pending := []detector.Send{s}; len(pending) > 0 && ctx.Err() == nil; {
		result := g.send(ctx, pending[0])
		var next []detector.Send
		g.updateMachine(func(m *detector.Machine, now time.Time) { next = m.HandleResult(now, result) })
		pending = pending[1:]
		for _, n := range next {
			g.background.Go(func() { g.sendAndFollowUp(ctx, n) })
		}
	}
}

// send sends one message and returns its result.
func (g *Gossiper) send(ctx context.Context, s detector.Send) detector.Result {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	result := detector.Result{Send: s}
	switch s.Kind {
	case detector.SendPing:
		s.Ping.Revision = g.revision()
		result.Err = g.Peer.Call(ctx, s.Address, PingPath, s.Ping, &result.Ping)
		g.notifyRevision(result.Ping.Revision)
	case detector.SendIndirect:
		result.Err = g.Peer.Call(ctx, s.Address, IndirectPath, s.Indirect, &result.Indirect)
	}
	return result
}

// updateMachine applies f to the machine under the lock. If the view has changed, it
// publishes the view and notifies the subscribers.
func (g *Gossiper) updateMachine(f func(m *detector.Machine, now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.machine, g.Clock.Now())
	if g.machine.Version() == g.view.Load().Version() {
		return
	}
	g.view.Store(g.machine.View())
	for _, s := range g.subscribers {
		select {
		case s <- struct{}{}:
		default:
		}
	}
}

// Owners returns the IDs of live members that are not draining, sorted.
func (g *Gossiper) Owners() []string {
	return g.View().Owners()
}

// Live returns the members that are alive, suspect or draining, sorted by ID.
func (g *Gossiper) Live() []bergamotdale.Member {
	return g.View().Live()
}

// Member returns the member with the given ID, dead or left ones included.
func (g *Gossiper) Member(id string) (bergamotdale.Member, bool) {
	return g.View().Member(id)
}

// Members returns all known members, sorted by ID, dead and left ones included.
func (g *Gossiper) Members() []bergamotdale.Member {
	return g.View().Members()
}

// ListedRouters returns the number of routers in the VM list, or 0 before the list
// has been read.
func (g *Gossiper) ListedRouters() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.ListedRouters()
}
