// Package leaser keeps the lease of a router in the store, and decides from the
// time since its last renewal how many requests the router may admit to the
// endpoints that it owns (D3 of docs/design.md).
//
// A router that holds a lease may own endpoints. When the lease expires, another
// router may take over its ownership. If the lease cannot be renewed because the
// store is down for the whole fleet, nobody can take over and the router may
// continue.
//
// AdmissionMode is the decision, free of I/O. Leaser renews the lease, to which the
// store key "router/<id>" is attached. It also records periodic heartbeats of its
// own process to detect pauses, so that a router that was paused does not rely on
// what it knew before the pause.
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
	// RenewRetry is the mean time between a failed renewal and the next attempt.
	RenewRetry = time.Second
	// ContactSpreadTime is added to TTL before the store counts as down for the whole
	// fleet: a contact of another router with the store needs up to this long to
	// become known by gossip.
	ContactSpreadTime = 2 * time.Second
	// HeartbeatInterval is the time between two heartbeats of the process.
	HeartbeatInterval = 500 * time.Millisecond
	// PauseThreshold is the time between two heartbeats above which the process counts
	// as paused.
	PauseThreshold = 2 * time.Second
	// storeTimeout is the timeout of one call of the store.
	storeTimeout = 2 * time.Second
	routerPrefix = "router/"
)

// Membership is the part of gossiper.Gossiper that the leaser uses.
type Membership interface {
	// Members returns all known members, dead and left ones included.
	Members() []bergamotdale.Member
	// Member returns the member with the given ID, dead or left ones included.
	Member(id string) (bergamotdale.Member, bool)
	// ListedRouters returns the number of routers in the VM list, or 0 before the
	// list has been read.
	ListedRouters() int
	// StoreContactAge returns the time since the latest known contact of any router
	// with the store. It reports false if none is known.
	StoreContactAge() (time.Duration, bool)
	// SetStoreContact records a contact of this router with the store at the given
	// time.
	SetStoreContact(at time.Time)
}

// Key returns the store key that exists while the router holds its lease.
func Key(id string) string {
	return routerPrefix + id
}

// Record is the value of the key that Key returns for a router.
type Record struct {
	ID          string               `json:"id"`
	Address     string               `json:"address"`
	Session     bergamotdale.LeaseID `json:"session"`
	Incarnation int64                `json:"incarnation"`
	// Era is the era of the store in which the record was written, or zero if the
	// store does not tell it.
	Era int64 `json:"era,omitempty"`
}

// Leaser keeps the lease of one router. Exported fields are set before the
// first renewal. RenewOnce and HeartbeatOnce are called by one goroutine each.
type Leaser struct {
	Self       bergamotdale.Member
	Store      bergamotdale.Store
	Membership Membership
	Clock      bergamotdale.Clock
	Logger     *zap.Logger
	// Random spreads the retries of the routers over time after an outage.
	Random *rand.Rand
	// OnExpired is called after the store has dropped the lease, or was restored from a
	// copy. What this router owned under it may have a new owner.
	OnExpired func()

	calls atomic.Int64
	// The values of lease and lastHeartbeat are replaced, never changed.
	lease         atomic.Pointer[lease]
	lastHeartbeat atomic.Pointer[heartbeat]
	// loggedMode is the mode that HeartbeatOnce logged last. Only HeartbeatOnce uses
	// it.
	loggedMode Mode
	// firstRenewal is when the first lease was obtained. Only RenewOnce uses it.
	firstRenewal time.Time
}

// lease is the state of the lease of this router.
type lease struct {
	id bergamotdale.LeaseID
	// keyAttached is true once the router's store key is attached to the lease.
	keyAttached bool
	// everCompleted is true once any lease, this or an earlier one, was granted and had
	// its key attached.
	everCompleted bool
	// renewedAt is when the last successful renewal began. The store counts the lifetime
	// of the lease from the moment when it handles the renewal, which is later.
	renewedAt time.Time
	// members holds the IDs of the members at the last successful renewal, dead ones
	// included. If dead members were left out, a router that is cut off first from all
	// other routers and later from the store would take itself for the majority.
	members []string
	// era is the era of the store in which the lease is known to be this router's. A
	// restored store may give out the ID of a lost lease again.
	era int64
	// listedRouters is the number of routers in the VM list at the last successful
	// renewal. It is kept in addition to members, because a router that started while
	// the network was split knows only the routers on its side as members and would
	// otherwise take that side for the whole fleet.
	listedRouters int
}

// heartbeat records that the process was running.
type heartbeat struct {
	at time.Time
	// runningSince is the end of the last pause of the process.
	runningSince time.Time
}

// New returns a leaser without a lease.
func New(self bergamotdale.Member, store bergamotdale.Store, m Membership, clock bergamotdale.Clock) *Leaser {
	l := &Leaser{
		Self: self, Store: store, Membership: m, Clock: clock,
		Logger:    zap.NewNop(),
		Random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		OnExpired: func() {},
	}
	l.lease.Store(&lease{})
	l.lastHeartbeat.Store(&heartbeat{})
	return l
}

// ID returns the ID of the lease, or "" without one.
func (l *Leaser) ID() bergamotdale.LeaseID {
	return l.lease.Load().id
}

// StoreCalls returns the number of store calls since the start of the process.
func (l *Leaser) StoreCalls() int64 {
	return l.calls.Load()
}

// RecentlyRenewed reports whether the lease was renewed recently enough to begin a
// change of ownership: at least RenewInterval of its lifetime remains, and the store
// has not been restored since.
func (l *Leaser) RecentlyRenewed() bool {
	s := l.lease.Load()
	return s.keyAttached && s.era == bergamotdale.StoreEra(l.Store) && elapsed(s.renewedAt, l.Clock.Now()) < TTL-RenewInterval
}

// Mode returns the current admission mode.
func (l *Leaser) Mode() Mode {
	return AdmissionMode(l.AdmissionInput())
}

// AdmissionInput returns the current input of AdmissionMode. Fields that AdmissionMode
// does not read in the current state are left zero.
func (l *Leaser) AdmissionInput() AdmissionInput {
	s := l.lease.Load()
	input := AdmissionInput{Leased: s.everCompleted}
	if !input.Leased {
		return input
	}
	now := l.Clock.Now()
	input.SinceRenewal = elapsed(s.renewedAt, now)
	if input.SinceRenewal < TTL {
		return input
	}
	p := l.lastHeartbeat.Load()
	if elapsed(p.at, now) <= PauseThreshold {
		input.SincePause = elapsed(p.runningSince, now)
	}
	input.SinceFleetContact, input.FleetHasContact = l.Membership.StoreContactAge()
	input.KnownMembers = max(len(s.members), s.listedRouters)
	for _, id := range s.members {
		m, ok := l.Membership.Member(id)
		responds := ok && (m.State == bergamotdale.MemberAlive || m.State == bergamotdale.MemberDraining)
		if responds || id == l.Self.ID {
			input.ReachableMembers++
		}
	}
	return input
}

// elapsed returns the time between two moments by the monotonic clock or the wall
// clock, whichever is longer: the monotonic clock may stop while the VM is frozen.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// HeartbeatOnce records a heartbeat of the process and returns the time to wait before
// the next one.
func (l *Leaser) HeartbeatOnce(context.Context) time.Duration {
	now := l.Clock.Now()
	p := *l.lastHeartbeat.Load()
	if elapsed(p.at, now) > PauseThreshold {
		p.runningSince = now
	}
	p.at = now
	l.lastHeartbeat.Store(&p)
	l.logModeChange()
	return HeartbeatInterval
}

// logModeChange logs a change of the admission mode with what it was decided from.
func (l *Leaser) logModeChange() {
	input := l.AdmissionInput()
	mode := AdmissionMode(input)
	if mode == l.loggedMode {
		return
	}
	l.Logger.Info("admission-mode", zap.Stringer("mode", mode), zap.Stringer("before", l.loggedMode),
		zap.Duration("since-renewal", input.SinceRenewal), zap.Duration("since-pause", input.SincePause),
		zap.Bool("fleet-has-contact", input.FleetHasContact), zap.Duration("since-fleet-contact", input.SinceFleetContact),
		zap.Int("known-members", input.KnownMembers), zap.Int("reachable-members", input.ReachableMembers))
	l.loggedMode = mode
}

// RenewOnce renews the lease, or obtains a new one if there is none or it has
// expired, and returns the time to wait before the next call.
func (l *Leaser) RenewOnce(ctx context.Context) time.Duration {
	start := l.Clock.Now()
	if err := l.renew(ctx, start); err != nil {
		l.Logger.Warn("lease-renewal-failed", zap.String("router", l.Self.ID), zap.Error(err))
		return RenewRetry/2 + time.Duration(l.Random.Int64N(int64(RenewRetry)))
	}
	interval := RenewInterval
	if l.isJoining(start) {
		interval = RenewRetry
	}
	return max(0, interval-l.Clock.Now().Sub(start))
}

// isJoining reports whether the router got its first lease less than RenewInterval ago
// and did not know all listed routers as members at the latest renewal. In an outage of
// the store that began before the next renewal, it would not know whether these respond.
func (l *Leaser) isJoining(now time.Time) bool {
	if l.firstRenewal.IsZero() {
		l.firstRenewal = now
	}
	s := l.lease.Load()
	return len(s.members) < s.listedRouters && now.Sub(l.firstRenewal) < RenewInterval
}

// renew renews or obtains the lease and attaches the router's key if it is not yet
// attached. start is when the renewal began.
func (l *Leaser) renew(ctx context.Context, start time.Time) error {
	s := *l.lease.Load()
	if s.id != "" {
		err := l.callStore(ctx, func(ctx context.Context) error { return l.Store.RenewLease(ctx, s.id) })
		if err != nil && !errors.Is(err, bergamotdale.ErrNotFound) {
			return errors.Annotate(err, "renewing the lease in the store")
		}
		if err != nil {
			s = l.replaceLease("", 0)
			l.OnExpired()
		}
	}
	if era := bergamotdale.StoreEra(l.Store); s.id != "" && era > s.era {
		var err error
		if s, err = l.resumeLease(ctx, s, era); err != nil {
			return err
		}
	}
	if s.id == "" {
		start = l.Clock.Now()
		var id bergamotdale.LeaseID
		err := l.callStore(ctx, func(ctx context.Context) (err error) {
			id, err = l.Store.GrantLease(ctx, TTL)
			return err
		})
		if err != nil {
			return errors.Annotate(err, "obtaining a lease from the store")
		}
		s = l.replaceLease(id, bergamotdale.StoreEra(l.Store))
	}
	if !s.keyAttached {
		if err := l.attachKey(ctx, s.id, s.era); err != nil {
			return err
		}
		if era := bergamotdale.StoreEra(l.Store); era != s.era {
			return errors.Annotatef(bergamotdale.ErrUnavailable, "the store was restored to era %d while a lease of era %d was obtained", era, s.era)
		}
		s.keyAttached = true
	}
	l.recordRenewal(s, start)
	return nil
}

// resumeLease returns the lease after a restore of the store: what this router has
// written since the copy is lost, and others may rely on what they read from the copy.
// The lease is kept only if the router's key in the store is attached to it.
func (l *Leaser) resumeLease(ctx context.Context, s lease, era int64) (lease, error) {
	var entry bergamotdale.Entry
	err := l.callStore(ctx, func(ctx context.Context) (err error) {
		entry, err = l.Store.Get(ctx, Key(l.Self.ID))
		return err
	})
	if err != nil && !errors.Is(err, bergamotdale.ErrNotFound) {
		return s, errors.Annotate(err, "reading the router key from a restored store")
	}
	var r Record
	kept := err == nil && json.Unmarshal(entry.Value, &r) == nil && r.Session == s.id && r.Incarnation == l.Self.Incarnation
	l.Logger.Warn("store-restored", zap.String("router", l.Self.ID), zap.Int64("era", era),
		zap.Int64("former-era", s.era), zap.Bool("lease-kept", kept))
	id := s.id
	if !kept {
		id = ""
	}
	s = l.replaceLease(id, era)
	l.OnExpired()
	return s, nil
}

// attachKey writes the router's store key and attaches it to the lease.
func (l *Leaser) attachKey(ctx context.Context, id bergamotdale.LeaseID, era int64) error {
	value, err := json.Marshal(Record{
		ID: l.Self.ID, Address: l.Self.Address, Session: id, Incarnation: l.Self.Incarnation, Era: era,
	})
	if err != nil {
		return errors.Trace(err)
	}
	err = l.callStore(ctx, func(ctx context.Context) error {
		return l.Store.PutWithLease(ctx, Key(l.Self.ID), value, id)
	})
	return errors.Annotate(err, "attaching the router key to the lease")
}

// replaceLease switches to another lease, to which no key is attached yet, or to no
// lease if id is empty. The last successful renewal still counts for admission.
func (l *Leaser) replaceLease(id bergamotdale.LeaseID, era int64) lease {
	s := *l.lease.Load()
	s.id, s.era = id, era
	s.keyAttached = false
	l.lease.Store(&s)
	return s
}

// recordRenewal stores a successful renewal that began at start, with the members
// known now that have not left the fleet.
func (l *Leaser) recordRenewal(s lease, start time.Time) {
	members := l.Membership.Members()
	s.members = make([]string, 0, len(members))
	for _, m := range members {
		if m.State != bergamotdale.MemberLeft {
			s.members = append(s.members, m.ID)
		}
	}
	s.listedRouters = l.Membership.ListedRouters()
	s.everCompleted = true
	s.renewedAt = start
	l.lease.Store(&s)
	l.Membership.SetStoreContact(start)
}

// Close revokes the lease. It is called after this router has handed over all that
// it owned.
func (l *Leaser) Close(ctx context.Context) error {
	id := l.lease.Load().id
	l.lease.Store(&lease{})
	if id == "" {
		return nil
	}
	err := l.callStore(ctx, func(ctx context.Context) error { return l.Store.RevokeLease(ctx, id) })
	return errors.Annotate(err, "revoking the lease in the store")
}

// callStore counts one call of the store and limits it to storeTimeout.
func (l *Leaser) callStore(ctx context.Context, f func(ctx context.Context) error) error {
	l.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return f(ctx)
}
