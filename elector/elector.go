// Package elector decides which router owns each named thing: endpoints, and
// shards named "shard/<n>" (D1 to D3 of docs/design.md).
//
// A router claims the names for which it is first in rendezvous order over the
// live members, hands over names for which another router is first, and drops
// a name as soon as it sees a higher epoch. Admission tells the request path
// how much an owner may admit now.
//
// The planner holds the decisions as pure functions and the holder what this
// router owns. Elector does the I/O with a leaser, which keeps the router's
// lease, and a claimer, which writes the records.
package elector

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/claimer"
	"github.com/bergamotdale/bergamotdale/holder"
	"github.com/bergamotdale/bergamotdale/leaser"
	"github.com/bergamotdale/bergamotdale/planner"
)

const (
	// reconcileInterval is the time between two passes over the names.
	reconcileInterval = 200 * time.Millisecond
	// handoverTimeout bounds one handover message.
	handoverTimeout = 5 * time.Second
	// noticeTimeout bounds one claim notice, which is best effort.
	noticeTimeout = 300 * time.Millisecond
	// claimSpread is the time over which routers spread their claims after a
	// change of membership.
	claimSpread = 2 * time.Second
	// FleetStoreRate is the number of store calls a second that all routers
	// together spend on ownership, renewals excluded. Each takes its part.
	FleetStoreRate = 360
	// minStoreRate and storeBurst bound the part of one router.
	minStoreRate = 1
	storeBurst   = 4
)

// Mode is how much work an owner may admit.
type Mode = leaser.Mode

// The modes of admission.
const (
	ModeNone    = leaser.ModeNone
	ModeReduced = leaser.ModeReduced
	ModeFull    = leaser.ModeFull
)

// Holding is a name that this router owns.
type Holding = holder.Holding

// Wanted returns the first owner in rendezvous order for each name.
func Wanted(names, owners []string) map[string]string {
	return planner.DesiredOwners(names, owners)
}

// Membership is what the elector needs of the gossiper.
type Membership interface {
	leaser.Membership
	// Live returns the members that are alive, suspect or draining.
	Live() []bergamotdale.Member
	// Owners returns the IDs of live members that are not draining.
	Owners() []string
}

// Elector owns names on behalf of one router. Exported fields are set before
// Run.
type Elector struct {
	Self       bergamotdale.Member
	Peer       bergamotdale.Peer
	Membership Membership
	Clock      bergamotdale.Clock
	Logger     *zap.Logger
	// Lease is the lease of this router.
	Lease *leaser.Leaser
	// State returns what the next owner of a name needs; called after the
	// admission of work to the name has stopped. May be nil.
	State func(name string) json.RawMessage
	// Receive takes the state of a name that was handed over to this router;
	// called before the name is held. May be nil.
	Receive func(o bergamotdale.Ownership, state json.RawMessage)

	records *claimer.Claimer
	held    *holder.Holder

	mu sync.Mutex
	// All below are guarded by mu.
	names []string
	// wanted is the function Wanted of names and wantedOwners, nil if they
	// have changed.
	wanted       map[string]string
	wantedOwners []string
	notices      []notice
	budget       planner.Budget
}

// New returns an elector without names. The seed spreads claims over time and
// makes nonces; processes must use different ones.
func New(self bergamotdale.Member, store bergamotdale.Store, peer bergamotdale.Peer, m Membership, clock bergamotdale.Clock, seed uint64) *Elector {
	lease := leaser.New(self, store, m, clock)
	lease.Random = rand.New(rand.NewPCG(seed, 1))
	e := &Elector{
		Self:       self,
		Peer:       peer,
		Membership: m,
		Clock:      clock,
		Logger:     zap.NewNop(),
		Lease:      lease,
		records:    claimer.New(self, store, lease.ID, rand.New(rand.NewPCG(seed, 2))),
		held:       holder.New(clock, rand.New(rand.NewPCG(seed, 3))),
		budget:     planner.Budget{Burst: storeBurst},
	}
	lease.OnExpired = e.held.DoubtAll
	return e
}

// SetNames replaces the names of the configuration: endpoints and shards.
func (e *Elector) SetNames(names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Equal(e.names, names) {
		// A new plan would draw the times of pending claims again.
		return
	}
	e.names = slices.Clone(names)
	e.wanted = nil
}

// Subscribe returns a channel that receives after names were gained or lost
// or their limit changed. Several changes may be reported once.
func (e *Elector) Subscribe() <-chan struct{} {
	return e.held.Subscribe()
}

// Held returns the names that this router owns. The map is shared and must
// not be changed.
func (e *Elector) Held() map[string]Holding {
	return e.held.View()
}

// Admission returns how much this router may admit to the name now, and the
// epoch of its ownership. The request path calls it before each admission.
func (e *Elector) Admission(name string) (Mode, int64) {
	h, ok := e.held.View()[name]
	if !ok {
		return ModeNone, 0
	}
	if h.Limit == ModeNone {
		return ModeNone, h.Epoch
	}
	return min(h.Limit, e.Lease.Mode()), h.Epoch
}

// Owner returns the owner with the highest epoch known of the name.
func (e *Elector) Owner(name string) (bergamotdale.Ownership, bool) {
	return e.records.Known(name)
}

// ConfirmFull lifts the reduced limit of a new owner, after a load report
// taken after the claim has shown no foreign load.
func (e *Elector) ConfirmFull(name string, epoch int64) {
	e.held.Confirm(name, epoch)
}

// See takes in an ownership reported by another router, for example in a
// refusal with CodeNotOwner.
func (e *Elector) See(o bergamotdale.Ownership) {
	e.records.Hear(o)
	e.dropOutdated(o.Name)
}

// HandleClaimNotice takes in a claim by another router.
func (e *Elector) HandleClaimNotice(n ClaimNotice) ClaimNoticeResponse {
	e.See(n.Ownership)
	known, _ := e.records.Known(n.Ownership.Name)
	return ClaimNoticeResponse{Epoch: known.Epoch}
}

// StoreCalls returns the number of calls of the store so far: for ownership,
// and for the lease.
func (e *Elector) StoreCalls() (ownership, lease int64) {
	return e.records.Calls(), e.Lease.Calls()
}

// Run renews the lease and reconciles ownership until the context is done. It
// gives nothing up at the end: a planned stop drains first and calls Close.
func (e *Elector) Run(ctx context.Context) error {
	var group run.Group
	for _, step := range []func(context.Context) time.Duration{e.Lease.HeartbeatOnce, e.Lease.RenewOnce, e.ReconcileOnce} {
		ctx, cancel := context.WithCancel(ctx)
		group.Add(func() error {
			for ctx.Err() == nil {
				_ = bergamotdale.Wait(ctx, e.Clock, step(ctx))
			}
			return nil
		}, func(error) { cancel() })
	}
	return group.Run()
}

// Close ends the lease. It is called after all names were handed over.
func (e *Elector) Close(ctx context.Context) error {
	return e.Lease.Close(ctx)
}
