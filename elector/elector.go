// Package elector decides which router owns each named thing: endpoints, and
// shards named "shard/<n>" (D1 to D3 of docs/design.md).
//
// A router keeps one lease and the key "router/<id>". It claims the names for
// which it is first in rendezvous order over the live members, by one
// compare-and-swap that raises the epoch. It hands over names for which
// another router is first, and drops a name as soon as it sees a higher epoch.
//
// decide.go holds the decisions as pure functions. Elector does the I/O: one
// loop renews the lease, another reconciles ownership under a limit of store
// calls. Admission tells the request path how much an owner may admit now.
package elector

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// LeaseTTL is the time after which the store drops the lease of a router
	// that does not renew it.
	LeaseTTL = 10 * time.Second
	// RenewInterval is the time between two renewals.
	RenewInterval = 3 * time.Second
	// RenewRetry is the time to the next attempt after a failed renewal.
	RenewRetry = time.Second
	// OutageSettle is added to LeaseTTL before the fleet counts as without
	// store: news of a contact, and of a partition, needs this long to spread.
	OutageSettle = 2 * time.Second
	// storeTimeout bounds one call of the store.
	storeTimeout = 2 * time.Second
	// reconcileInterval is the time between two passes over the names.
	reconcileInterval = 200 * time.Millisecond
	// verifyInterval is the time after which an owner reads its record again,
	// in case the notice of a claim was lost.
	verifyInterval = 30 * time.Second
	// handoverTimeout bounds one handover message.
	handoverTimeout = 5 * time.Second
	// noticeTimeout bounds one claim notice, which is best effort.
	noticeTimeout = 300 * time.Millisecond
	// claimSpread is the time over which routers spread their claims after a
	// change of membership.
	claimSpread = 2 * time.Second
	// retryMin and retryMax bound the time between two looks at a record that
	// cannot be claimed.
	retryMin = time.Second
	retryMax = 30 * time.Second
	// FleetStoreRate is the number of store calls a second that all routers
	// together spend on ownership, renewals excluded. Each takes its part.
	FleetStoreRate = 360
	// minStoreRate and storeBurst bound the part of one router.
	minStoreRate = 1
	storeBurst   = 4
)

// Membership is what the elector needs of the gossiper.
type Membership interface {
	// Owners returns the IDs of live members that are not draining.
	Owners() []string
	// Live returns all live members.
	Live() []bergamotdale.Member
	// Member returns a member, dead or left ones included.
	Member(id string) (bergamotdale.Member, bool)
	// StoreAge returns the time since the latest contact of any router with
	// the store.
	StoreAge() (time.Duration, bool)
	// SetStoreContact records a contact of this router with the store.
	SetStoreContact(at time.Time)
}

// Elector owns names on behalf of one router. Exported fields are set before
// Run.
type Elector struct {
	Self       bergamotdale.Member
	Store      bergamotdale.Store
	Peer       bergamotdale.Peer
	Membership Membership
	Clock      bergamotdale.Clock
	Logger     *zap.Logger
	// Random spreads claims and makes nonces. It is seeded in tests.
	Random *rand.Rand
	// State returns what the next owner of a name needs; called after the
	// admission of work to the name has stopped. May be nil.
	State func(name string) json.RawMessage
	// Receive takes the state of a name that was handed over to this router;
	// called before the name is held. May be nil.
	Receive func(o bergamotdale.Ownership, state json.RawMessage)

	mu sync.Mutex
	// names, held and the maps below are guarded by mu.
	names []string
	held  map[string]*holding
	// known is the highest epoch seen of each name.
	known map[string]seen
	// retries holds the names that could not be claimed yet.
	retries map[string]*retry
	// pending holds own claims whose outcome could not be read back.
	pending map[string]bergamotdale.Ownership
	// busy holds the names that a claim or handover is working on.
	busy        map[string]bool
	notices     []notice
	subscribers []chan struct{}
	lease       lease
	budget      budget
	// wanted is the function Wanted of names and wantedOwners, nil if they
	// have changed.
	wanted       map[string]string
	wantedOwners []string
	calls        atomic.Int64

	// view is the immutable copy of held for the request path.
	view atomic.Pointer[map[string]Holding]
}

// Holding is a name that this router owns.
type Holding struct {
	bergamotdale.Ownership
	// Limit is the mode that the name itself allows: none while it is handed
	// over, reduced until foreign load is ruled out.
	Limit Mode
}

// holding is a Holding with the state of its control.
type holding struct {
	Holding
	// full is true once foreign load is ruled out.
	full bool
	// verified is false from a lost lease until the record was read again.
	verified bool
	verify   time.Time
	// handing is true from the offer to a successor to its result, and
	// unsettled if that result is unknown.
	handing   bool
	unsettled bool
	// retryHandover is the earliest time of the next offer.
	retryHandover time.Time
}

// seen is the highest epoch known of a name, and the version of its record or
// zero if it was learned from a peer.
type seen struct {
	bergamotdale.Ownership
	version int64
}

type retry struct {
	at    time.Time
	delay time.Duration
}

type notice struct {
	address   string
	ownership bergamotdale.Ownership
}

// New returns an elector without names.
func New(self bergamotdale.Member, store bergamotdale.Store, peer bergamotdale.Peer, m Membership, clock bergamotdale.Clock) *Elector {
	e := &Elector{
		Self:       self,
		Store:      store,
		Peer:       peer,
		Membership: m,
		Clock:      clock,
		Logger:     zap.NewNop(),
		Random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		held:       map[string]*holding{},
		known:      map[string]seen{},
		retries:    map[string]*retry{},
		pending:    map[string]bergamotdale.Ownership{},
		busy:       map[string]bool{},
	}
	e.view.Store(&map[string]Holding{})
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
	e.mu.Lock()
	defer e.mu.Unlock()
	c := make(chan struct{}, 1)
	e.subscribers = append(e.subscribers, c)
	return c
}

// Held returns the names that this router owns. The map is shared and must
// not be changed.
func (e *Elector) Held() map[string]Holding {
	return *e.view.Load()
}

// Admission returns how much this router may admit to the name now, and the
// epoch of its ownership. The request path calls it before each admission.
func (e *Elector) Admission(name string) (Mode, int64) {
	h, ok := (*e.view.Load())[name]
	if !ok {
		return ModeNone, 0
	}
	if h.Limit == ModeNone {
		return ModeNone, h.Epoch
	}
	return min(h.Limit, Admission(e.Contact())), h.Epoch
}

// Owner returns the owner with the highest epoch known of the name.
func (e *Elector) Owner(name string) (bergamotdale.Ownership, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.known[name]
	return s.Ownership, ok
}

// ConfirmFull lifts the reduced limit of a new owner, after a load report
// taken after the claim has shown no foreign load.
func (e *Elector) ConfirmFull(name string, epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.held[name]
	if h == nil || h.Epoch != epoch || h.full {
		return
	}
	h.full = true
	e.publish()
}

// See takes in an ownership reported by another router, for example in a
// refusal with CodeNotOwner.
func (e *Elector) See(o bergamotdale.Ownership) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observe(o, 0)
}

// HandleClaimNotice takes in a claim by another router.
func (e *Elector) HandleClaimNotice(n ClaimNotice) ClaimNoticeResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observe(n.Ownership, 0)
	return ClaimNoticeResponse{Epoch: e.known[n.Ownership.Name].Epoch}
}

// StoreCalls returns the number of calls of the store so far.
func (e *Elector) StoreCalls() int64 {
	return e.calls.Load()
}

// Run renews the lease and reconciles ownership until the context is done. It
// gives nothing up at the end: a planned stop drains first and calls Close.
func (e *Elector) Run(ctx context.Context) error {
	var group run.Group
	for _, loop := range []func(context.Context) time.Duration{e.RenewOnce, e.ReconcileOnce} {
		ctx, cancel := context.WithCancel(ctx)
		group.Add(func() error {
			for ctx.Err() == nil {
				_ = bergamotdale.Wait(ctx, e.Clock, loop(ctx))
			}
			return nil
		}, func(error) { cancel() })
	}
	return group.Run()
}
