// Package gossiper runs the membership of the router fleet (D11 of
// docs/design.md) over bergamotdale.Peer. The detector is the state machine;
// the disseminator holds what it knows.
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

// The types of other packages that users of this package need.
type (
	// Config holds the timing of the protocol.
	Config = detector.Config
	// View is an immutable snapshot of the fleet.
	View = disseminator.View
	// RumourEntry is a rumour with its local expiry.
	RumourEntry = disseminator.RumourEntry
	// Stats holds counters since the start.
	Stats = detector.Stats
	// PingRequest is a probe; the response is a PingResponse.
	PingRequest = detector.PingRequest
	// PingResponse acknowledges a probe.
	PingResponse = detector.PingResponse
	// IndirectRequest asks for a probe of a third router; the response is an
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

// DefaultConfig returns the timing in use.
func DefaultConfig() Config {
	return detector.DefaultConfig()
}

const (
	// tickInterval is the resolution of the timers of the machine.
	tickInterval = 100 * time.Millisecond
	// listInterval is the time between two reads of the VM list.
	listInterval = 5 * time.Second
	// listTimeout bounds one read of the VM list.
	listTimeout = 2 * time.Second
)

// Gossiper runs a Machine over the network. Exported fields are set before
// Run; the handlers may be called from New on.
type Gossiper struct {
	Peer   bergamotdale.Peer
	Lister bergamotdale.VMLister
	Clock  bergamotdale.Clock
	Logger *zap.Logger
	// Revision returns the configuration revision in force, which probes carry.
	// Seen is called with that of another router. Both may be nil.
	Revision func() int64
	Seen     func(revision int64)

	mu sync.Mutex
	// machine is guarded by mu.
	machine     *detector.Machine
	subscribers []chan struct{}
	view        atomic.Pointer[View]
	sends       sync.WaitGroup
}

// New returns a gossiper of the router itself. The incarnation of self must
// be larger after each start of the process, for example the time of start.
func New(config Config, self bergamotdale.Member, clock bergamotdale.Clock) *Gossiper {
	g := &Gossiper{
		Clock:   clock,
		Logger:  zap.NewNop(),
		machine: detector.NewMachine(config, self, rand.Uint64(), clock.Now()),
	}
	g.view.Store(g.machine.View())
	return g
}

// View returns the current view.
func (g *Gossiper) View() *View {
	return g.view.Load()
}

// Subscribe returns a channel that receives after changes of the view.
// Several changes may be reported once.
func (g *Gossiper) Subscribe() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := make(chan struct{}, 1)
	g.subscribers = append(g.subscribers, c)
	return c
}

// Stats returns the counters.
func (g *Gossiper) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Stats()
}

// Spread makes a rumour known to the fleet. A rumour whose version is not
// above the known one of its key is ignored.
func (g *Gossiper) Spread(key, value string, version int64, ttl time.Duration) {
	g.change(func(m *detector.Machine, now time.Time) { m.SpreadRumour(now, key, value, version, ttl) })
}

// SetDraining marks the router as draining: it takes no new ownership.
func (g *Gossiper) SetDraining() {
	g.change(func(m *detector.Machine, now time.Time) { m.SetDraining() })
}

// Leave marks the router as left and tells a few members directly.
func (g *Gossiper) Leave(ctx context.Context) {
	var sends []detector.Send
	g.change(func(m *detector.Machine, now time.Time) { sends = m.Leave(now) })
	// Not g.sends, which ends only with Run.
	var notices sync.WaitGroup
	for _, s := range sends {
		notices.Go(func() { g.exchange(ctx, s) })
	}
	notices.Wait()
}

// SetStoreContact records a successful call of the store by this router.
func (g *Gossiper) SetStoreContact(at time.Time) {
	g.change(func(m *detector.Machine, now time.Time) { m.SetStoreContact(at) })
}

// StoreAge returns the time since the latest contact of any router with the
// store, as far as this router knows. It is false without any contact.
func (g *Gossiper) StoreAge() (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.StoreAge(g.Clock.Now())
}

// HandlePing responds to a probe.
func (g *Gossiper) HandlePing(r PingRequest) PingResponse {
	var response PingResponse
	g.change(func(m *detector.Machine, now time.Time) { response = m.HandlePing(now, r) })
	g.see(r.Revision)
	response.Revision = g.revision()
	return response
}

// revision returns the configuration revision of this router.
func (g *Gossiper) revision() int64 {
	if g.Revision == nil {
		return 0
	}
	return g.Revision()
}

// see passes on the configuration revision of another router.
func (g *Gossiper) see(revision int64) {
	if g.Seen != nil && revision > 0 {
		g.Seen(revision)
	}
}

// HandleIndirect probes the target of the request and reports the result.
func (g *Gossiper) HandleIndirect(ctx context.Context, r IndirectRequest) IndirectResponse {
	var send detector.Send
	g.change(func(m *detector.Machine, now time.Time) { send = m.HandleIndirect(now, r) })
	result := g.call(ctx, send)
	var response IndirectResponse
	g.change(func(m *detector.Machine, now time.Time) { response = m.RespondIndirect(now, r, result) })
	return response
}

// Run probes members and seeds until the context is done.
func (g *Gossiper) Run(ctx context.Context) error {
	defer g.sends.Wait()
	lists := make(chan []bergamotdale.VM, 1)
	g.sends.Go(func() { g.readLists(ctx, lists) })
	for {
		var sends []detector.Send
		g.change(func(m *detector.Machine, now time.Time) { sends = m.Tick(now) })
		for _, s := range sends {
			g.sends.Go(func() { g.exchange(ctx, s) })
		}
		select {
		case <-ctx.Done():
			return nil
		case vms := <-lists:
			g.change(func(m *detector.Machine, now time.Time) { m.SetSeeds(vms) })
		case <-g.Clock.After(tickInterval):
		}
	}
}

// readLists reads the VM list periodically. A failed read keeps the last list.
func (g *Gossiper) readLists(ctx context.Context, lists chan<- []bergamotdale.VM) {
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

// exchange sends a message and the messages that follow from its result.
func (g *Gossiper) exchange(ctx context.Context, s detector.Send) {
	for pending := []detector.Send{s}; len(pending) > 0 && ctx.Err() == nil; {
		result := g.call(ctx, pending[0])
		var next []detector.Send
		g.change(func(m *detector.Machine, now time.Time) { next = m.HandleResult(now, result) })
		pending = pending[1:]
		for _, n := range next {
			g.sends.Go(func() { g.exchange(ctx, n) })
		}
	}
}

// call sends one message and returns its result.
func (g *Gossiper) call(ctx context.Context, s detector.Send) detector.Result {
	ctx, cancel := context.WithTimeout(ctx, s.Timeout)
	defer cancel()
	result := detector.Result{Send: s}
	switch s.Kind {
	case detector.SendPing:
		s.Ping.Revision = g.revision()
		result.Err = g.Peer.Call(ctx, s.Address, PingPath, s.Ping, &result.Ping)
		g.see(result.Ping.Revision)
	case detector.SendIndirect:
		result.Err = g.Peer.Call(ctx, s.Address, IndirectPath, s.Indirect, &result.Indirect)
	}
	return result
}

// change applies f to the machine and publishes the view if it has changed.
func (g *Gossiper) change(f func(m *detector.Machine, now time.Time)) {
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

// Owners returns View().Owners().
func (g *Gossiper) Owners() []string {
	return g.View().Owners()
}

// Live returns View().Live().
func (g *Gossiper) Live() []bergamotdale.Member {
	return g.View().Live()
}

// Member returns View().Member(id).
func (g *Gossiper) Member(id string) (bergamotdale.Member, bool) {
	return g.View().Member(id)
}

// Members returns View().Members().
func (g *Gossiper) Members() []bergamotdale.Member {
	return g.View().Members()
}

// Listed returns the number of routers in the VM list, zero before it was
// read.
func (g *Gossiper) Listed() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.ListedRouters()
}
