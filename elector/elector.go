// Package elector assigns each name to one owning router without a central
// coordinator. A name is that of an endpoint, or "shard/<n>" for an idempotency
// shard (D1 to D3 of docs/design.md).
//
// Rendezvous hashing over the live members ranks the routers for every name.
// A router claims the names for which it ranks first and hands over those for
// which another router ranks first. Ownership is a record in the shared store
// with an epoch that rises with every change of owner; a router stops using a
// name as soon as it learns of a higher epoch. The request path asks Admission
// how much work the owner may accept at the moment.
//
// Package planner makes the decisions as pure functions, and package
// ownershipholder keeps the names that this router owns. Elector does the I/O: its
// leaser renews the lease of the router, and its claimer reads and writes
// ownership records.
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
	"github.com/bergamotdale/bergamotdale/leaser"
	"github.com/bergamotdale/bergamotdale/ownershipholder"
	"github.com/bergamotdale/bergamotdale/planner"
)

const (
	// reconcileInterval is the time between two reconciliation passes over all
	// names.
	reconcileInterval = 200 * time.Millisecond
	// handoverTimeout bounds the call that sends one handover message.
	handoverTimeout = 5 * time.Second
	// noticeTimeout bounds the call that sends one claim notice. It is short,
	// since delivery of a notice is best effort.
	noticeTimeout = 300 * time.Millisecond
	// claimSpread is the interval over which routers spread their claims at
	// random after a membership change, to avoid a burst of store calls.
	claimSpread = 2 * time.Second
	// FleetStoreRate is the number of store calls per second that all routers
	// together may spend on ownership, lease renewals excluded. Each live router
	// gets an equal share.
	FleetStoreRate = 360
	// minStoreRate is the smallest share of a router in calls per second, and
	// storeBurst the smallest burst that its budget allows.
	minStoreRate = 1
	storeBurst   = 4
)

// Mode is how much work the owner of a name may admit.
type Mode = leaser.Mode

// The modes of admission.
const (
	ModeNone    = leaser.ModeNone
	ModeReduced = leaser.ModeReduced
	ModeFull    = leaser.ModeFull
)

// Holding is a name that this router owns, with its admission limit.
type Holding = ownershipholder.Holding

// DesiredOwners returns, for each name, the owner that ranks first in
// rendezvous order.
func DesiredOwners(names, owners []string) map[string]string {
	return planner.DesiredOwners(names, owners)
}

// Membership is the view of the cluster members that the elector needs. The
// gossiper provides it.
type Membership interface {
	leaser.Membership
	// Live returns the members that are alive, suspected dead or draining.
	Live() []bergamotdale.Member
	// Owners returns the IDs of the live members that are not draining. Only
	// they may take new ownership.
	Owners() []string
}

// Elector acquires, keeps and hands over the ownership of names on behalf of
// one router. Exported fields must be set before Run.
type Elector struct {
	Self       bergamotdale.Member
	Peer       bergamotdale.Peer
	Membership Membership
	Clock      bergamotdale.Clock
	Logger     *zap.Logger
	// Lease keeps the store lease of this router.
	Lease *leaser.Leaser
	// ExportState returns the state that the next owner of a name needs. It is
	// called after admission to the name has stopped. May be nil.
	ExportState func(name string) json.RawMessage
	// ImportState receives the state of a name that was handed over to this
	// router. It is called before the router starts to own the name. May be nil.
	ImportState func(o bergamotdale.Ownership, state json.RawMessage)

	records *claimer.Claimer
	held    *ownershipholder.Holder
	// startedAt is when New was called.
	startedAt time.Time

	// mu guards all fields below.
	mu    sync.Mutex
	names []string
	// desiredOwners caches DesiredOwners(names, eligibleOwners). It is nil
	// after a change of names.
	desiredOwners  map[string]string
	eligibleOwners []string
	notices        []pendingNotice
	budget         planner.Budget

	// store is asked only for its era. era is the latest one that was noticed, at
	// eraSince; they are used only by the goroutine of ReconcileOnce.
	store    bergamotdale.Store
	era      int64
	eraSince time.Time
}

// New returns an elector without names. The seed feeds the random times of
// claims and the nonces of records; every process must use a different seed.
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
		held:       ownershipholder.New(clock, rand.New(rand.NewPCG(seed, 3))),
		budget:     planner.Budget{Burst: storeBurst},
		store:      store,
		startedAt:  clock.Now(),
	}
	lease.OnExpired = e.held.MarkAllUncertain
	return e
}

// SetNames replaces the set of endpoint and shard names to distribute.
func (e *Elector) SetNames(names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Equal(e.names, names) {
		// Planning again would draw new random times for pending claims and
		// so delay them.
		return
	}
	e.names = slices.Clone(names)
	e.desiredOwners = nil
}

// Subscribe returns a channel that receives a value after names were gained or
// lost or after their limit changed. Several changes may be merged into one
// value.
func (e *Elector) Subscribe() <-chan struct{} {
	return e.held.Subscribe()
}

// Held returns the names that this router owns. The map is shared; callers must
// not modify it.
func (e *Elector) Held() map[string]Holding {
	return e.held.View()
}

// Admission returns how much work this router may admit for the name now, and
// the epoch of its ownership. The request path must call it before each
// admission.
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

// Owner returns the ownership of the name with the highest epoch that this
// router knows of.
func (e *Elector) Owner(name string) (bergamotdale.Ownership, bool) {
	return e.records.KnownOwnership(name)
}

// ConfirmFull lifts the reduced limit of a new owner. The caller has received a
// load report, taken after the claim, that shows no load from other routers.
func (e *Elector) ConfirmFull(name string, epoch int64) {
	e.held.AllowFull(name, epoch)
}

// ObserveOwnership records an ownership reported by another router, for example
// in an error response with CodeNotOwner, and gives the name up if the reported
// epoch is higher than the one held.
func (e *Elector) ObserveOwnership(o bergamotdale.Ownership) {
	e.records.ObserveFromPeer(o)
	e.dropIfSuperseded(o.Name)
}

// HandleClaimNotice processes the notice of a claim by another router.
func (e *Elector) HandleClaimNotice(n ClaimNotice) ClaimNoticeResponse {
	e.ObserveOwnership(n.Ownership)
	known, _ := e.records.KnownOwnership(n.Ownership.Name)
	return ClaimNoticeResponse{Epoch: known.Epoch}
}

// StoreCalls returns the number of store calls made so far for ownership and for
// the lease.
func (e *Elector) StoreCalls() (ownership, lease int64) {
	return e.records.StoreCalls(), e.Lease.StoreCalls()
}

// Run renews the lease and reconciles ownership until the context is done. It
// does not give up any name when it returns: a planned shutdown drains the
// router first and then calls Close.
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

// Close ends the lease. Call it after all names were handed over.
func (e *Elector) Close(ctx context.Context) error {
	return e.Lease.Close(ctx)
}
