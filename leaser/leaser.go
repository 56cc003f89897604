// Package leaser keeps the lease of a router in the store, and decides from
// the age of its last renewal how much the router may admit to what it owns
// (D3 of docs/design.md).
//
// Admission is the pure decision. Leaser does the I/O: it renews the lease
// with the key "router/<id>" attached, and marks that the process runs, so
// that a paused router does not trust what it knew before the pause.
package leaser

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// TTL is the time after which the store drops a lease that is not renewed.
	TTL = 10 * time.Second
	// RenewInterval is the time between two renewals.
	RenewInterval = 3 * time.Second
	// RenewRetry is the mean time to the next attempt after a failed renewal.
	RenewRetry = time.Second
	// OutageSettle is added to TTL before the fleet counts as without store:
	// news of a contact needs up to this long to spread.
	OutageSettle = 2 * time.Second
	// PulseInterval is the time between two marks that the process runs.
	PulseInterval = 500 * time.Millisecond
	// PauseThreshold is the time between two marks that counts as a pause.
	PauseThreshold = 2 * time.Second
	// storeTimeout bounds one call of the store.
	storeTimeout = 2 * time.Second
	routerPrefix = "router/"
)

// Membership is what the leaser needs of the gossiper.
type Membership interface {
	// Members returns all members that are remembered, dead and left ones
	// included.
	Members() []bergamotdale.Member
	// Member returns a member, dead or left ones included.
	Member(id string) (bergamotdale.Member, bool)
	// Listed returns the number of routers in the VM list, zero before it was
	// read.
	Listed() int
	// StoreAge returns the time since the latest contact of any router with
	// the store.
	StoreAge() (time.Duration, bool)
	// SetStoreContact records a contact of this router with the store.
	SetStoreContact(at time.Time)
}

// Key returns the store key that exists while the router holds its lease.
func Key(id string) string {
	return routerPrefix + id
}

// Record is the value of a router's key.
type Record struct {
	ID          string               `json:"id"`
	Address     string               `json:"address"`
	Session     bergamotdale.LeaseID `json:"session"`
	Incarnation int64                `json:"incarnation"`
}

// Leaser keeps the lease of one router. Exported fields are set before the
// first renewal. RenewOnce and PulseOnce are called by one goroutine each.
type Leaser struct {
	Self       bergamotdale.Member
	Store      bergamotdale.Store
	Membership Membership
	Clock      bergamotdale.Clock
	Logger     *zap.Logger
	// Random spreads the attempts after an outage over the fleet.
	Random *rand.Rand
	// Lost is called after a lease has expired. What it covered may have a new
	// owner. May be nil.
	Lost func()

	calls atomic.Int64
	// lease and pulse are replaced, never changed.
	lease atomic.Pointer[lease]
	pulse atomic.Pointer[pulse]
}

// lease is the state of the lease.
type lease struct {
	id bergamotdale.LeaseID
	// keyed is true once the router's key is attached to the lease.
	keyed bool
	// granted is true once any lease was complete.
	granted bool
	// confirmed is the start of the last confirmed renewal. The store counts
	// the lifetime from a later moment.
	confirmed time.Time
	// known holds the members at that moment, with the dead that are still
	// remembered: a router that was cut off from all others for a while and
	// then from the store must not take itself for the majority.
	known []string
	// listed is the number of routers in the VM list at that moment: a router
	// that started inside a partition has met only a part of them.
	listed int
}

// pulse marks that the process runs.
type pulse struct {
	at time.Time
	// since is the end of the last pause.
	since time.Time
}

// New returns a leaser without a lease.
func New(self bergamotdale.Member, store bergamotdale.Store, m Membership, clock bergamotdale.Clock) *Leaser {
	l := &Leaser{
		Self: self, Store: store, Membership: m, Clock: clock,
		Logger: zap.NewNop(),
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Lost:   func() {},
	}
	l.lease.Store(&lease{})
	l.pulse.Store(&pulse{})
	return l
}

// ID returns the lease, or "" without one.
func (l *Leaser) ID() bergamotdale.LeaseID {
	return l.lease.Load().id
}

// Calls returns the number of store calls so far.
func (l *Leaser) Calls() int64 {
	return l.calls.Load()
}

// Fresh reports whether the lease was renewed recently enough to begin a
// change of ownership.
func (l *Leaser) Fresh() bool {
	s := l.lease.Load()
	return s.keyed && elapsed(s.confirmed, l.Clock.Now()) < TTL-RenewInterval
}

// Mode returns the mode that the lease allows now.
func (l *Leaser) Mode() Mode {
	return Admission(l.Contact())
}

// Contact returns what the admission mode depends on.
func (l *Leaser) Contact() Contact {
	s := l.lease.Load()
	c := Contact{Leased: s.granted}
	if !c.Leased {
		return c
	}
	now := l.Clock.Now()
	c.SinceRenewal = elapsed(s.confirmed, now)
	if c.SinceRenewal < TTL {
		return c
	}
	p := l.pulse.Load()
	if elapsed(p.at, now) <= PauseThreshold {
		c.Observed = elapsed(p.since, now)
	}
	c.FleetAge, c.FleetHeard = l.Membership.StoreAge()
	c.Known = max(len(s.known), s.listed)
	for _, id := range s.known {
		m, ok := l.Membership.Member(id)
		responds := ok && (m.State == bergamotdale.MemberAlive || m.State == bergamotdale.MemberDraining)
		if responds || id == l.Self.ID {
			c.Reachable++
		}
	}
	return c
}

// elapsed returns the time between two moments by the monotonic clock or the
// wall clock, whichever shows more: the monotonic clock of a VM may stand
// still while the VM is frozen.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// PulseOnce marks that the process runs, and returns the time to wait before
// the next mark.
func (l *Leaser) PulseOnce(context.Context) time.Duration {
	now := l.Clock.Now()
	p := *l.pulse.Load()
	if elapsed(p.at, now) > PauseThreshold {
		p.since = now
	}
	p.at = now
	l.pulse.Store(&p)
	return PulseInterval
}

// RenewOnce renews the lease, or obtains a new one, and returns the time to
// wait before the next call.
func (l *Leaser) RenewOnce(ctx context.Context) time.Duration {
	start := l.Clock.Now()
	if err := l.renew(ctx, start); err != nil {
		l.Logger.Warn("lease-renewal-failed", zap.String("router", l.Self.ID), zap.Error(err))
		return RenewRetry/2 + time.Duration(l.Random.Int64N(int64(RenewRetry)))
	}
	return max(0, RenewInterval-l.Clock.Now().Sub(start))
}

func (l *Leaser) renew(ctx context.Context, start time.Time) error {
	s := *l.lease.Load()
	if s.id != "" {
		err := l.call(ctx, func(ctx context.Context) error { return l.Store.RenewLease(ctx, s.id) })
		if err != nil && !errors.Is(err, bergamotdale.ErrNotFound) {
			return errors.Annotate(err, "renewing the lease")
		}
		if err != nil {
			s = l.replace("")
			l.Lost()
		}
	}
	if s.id == "" {
		start = l.Clock.Now()
		var id bergamotdale.LeaseID
		err := l.call(ctx, func(ctx context.Context) (err error) {
			id, err = l.Store.GrantLease(ctx, TTL)
			return err
		})
		if err != nil {
			return errors.Annotate(err, "obtaining a lease")
		}
		s = l.replace(id)
	}
	if !s.keyed {
		if err := l.attach(ctx, s.id); err != nil {
			return err
		}
		s.keyed = true
	}
	l.confirm(s, start)
	return nil
}

// attach writes the router's key under the lease.
func (l *Leaser) attach(ctx context.Context, id bergamotdale.LeaseID) error {
	value, err := json.Marshal(Record{
		ID: l.Self.ID, Address: l.Self.Address, Session: id, Incarnation: l.Self.Incarnation,
	})
	if err != nil {
		return errors.Trace(err)
	}
	err = l.call(ctx, func(ctx context.Context) error {
		return l.Store.PutWithLease(ctx, Key(l.Self.ID), value, id)
	})
	return errors.Annotate(err, "attaching the router key")
}

// replace starts with another lease that has no key yet. The last
// confirmation still counts for admission.
func (l *Leaser) replace(id bergamotdale.LeaseID) lease {
	s := *l.lease.Load()
	s.id = id
	s.keyed = false
	l.lease.Store(&s)
	return s
}

func (l *Leaser) confirm(s lease, start time.Time) {
	members := l.Membership.Members()
	s.known = make([]string, 0, len(members))
	for _, m := range members {
		if m.State != bergamotdale.MemberLeft {
			s.known = append(s.known, m.ID)
		}
	}
	s.listed = l.Membership.Listed()
	s.granted = true
	s.confirmed = start
	l.lease.Store(&s)
	l.Membership.SetStoreContact(start)
}

// Close ends the lease. It is called after all names were handed over.
func (l *Leaser) Close(ctx context.Context) error {
	id := l.lease.Load().id
	l.lease.Store(&lease{})
	if id == "" {
		return nil
	}
	err := l.call(ctx, func(ctx context.Context) error { return l.Store.RevokeLease(ctx, id) })
	return errors.Annotate(err, "revoking the lease")
}

// call bounds and counts one call of the store.
func (l *Leaser) call(ctx context.Context, f func(ctx context.Context) error) error {
	l.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return f(ctx)
}
