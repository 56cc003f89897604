package elector

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

// lease is the lease of this router. Guarded by Elector.mu.
type lease struct {
	id bergamotdale.LeaseID
	// keyed is true once the router's key is attached to the lease.
	keyed bool
	// granted is true once any lease was complete.
	granted bool
	// confirmed is the start of the last confirmed renewal. The store counts
	// the lifetime from a later moment.
	confirmed time.Time
	// known holds the live members at that moment.
	known []string
}

// Contact returns what the admission mode depends on.
func (e *Elector) Contact() Contact {
	e.mu.Lock()
	l := e.lease
	e.mu.Unlock()
	c := Contact{Leased: l.granted}
	if !c.Leased {
		return c
	}
	c.SinceRenewal = e.Clock.Now().Sub(l.confirmed)
	if c.SinceRenewal < LeaseTTL {
		return c
	}
	c.FleetAge, c.FleetHeard = e.Membership.StoreAge()
	c.Known = len(l.known)
	for _, id := range l.known {
		m, ok := e.Membership.Member(id)
		responds := ok && (m.State == bergamotdale.MemberAlive || m.State == bergamotdale.MemberDraining)
		if responds || id == e.Self.ID {
			c.Reachable++
		}
	}
	return c
}

// RenewOnce renews the lease, or obtains a new one, and returns the time to
// wait before the next call.
func (e *Elector) RenewOnce(ctx context.Context) time.Duration {
	start := e.Clock.Now()
	if err := e.renew(ctx, start); err != nil {
		e.Logger.Warn("lease-renewal-failed", zap.String("router", e.Self.ID), zap.Error(err))
		return e.jitter(RenewRetry)
	}
	return max(0, RenewInterval-e.Clock.Now().Sub(start))
}

func (e *Elector) renew(ctx context.Context, start time.Time) error {
	e.mu.Lock()
	l := e.lease
	e.mu.Unlock()
	if l.id != "" && l.keyed {
		err := e.call(ctx, func(ctx context.Context) error { return e.Store.RenewLease(ctx, l.id) })
		if err == nil {
			e.confirm(l, start)
			return nil
		}
		if !errors.Is(err, bergamotdale.ErrNotFound) {
			return errors.Annotate(err, "renewing the lease")
		}
		e.loseLease()
		l = lease{}
		start = e.Clock.Now()
	}
	return e.obtain(ctx, l, start)
}

// obtain gets a lease, if there is none yet, and attaches the router's key.
func (e *Elector) obtain(ctx context.Context, l lease, start time.Time) error {
	if l.id == "" {
		err := e.call(ctx, func(ctx context.Context) (err error) {
			l.id, err = e.Store.GrantLease(ctx, LeaseTTL)
			return err
		})
		if err != nil {
			return errors.Annotate(err, "obtaining a lease")
		}
		e.setLease(l)
	}
	value, err := json.Marshal(RouterRecord{
		ID: e.Self.ID, Address: e.Self.Address, Session: l.id, Incarnation: e.Self.Incarnation,
	})
	if err != nil {
		return errors.Trace(err)
	}
	err = e.call(ctx, func(ctx context.Context) error {
		return e.Store.PutWithLease(ctx, RouterKey(e.Self.ID), value, l.id)
	})
	if errors.Is(err, bergamotdale.ErrNotFound) {
		// The lease expired before the key was attached.
		e.setLease(lease{})
	}
	if err != nil {
		return errors.Annotate(err, "attaching the router key")
	}
	l.keyed = true
	e.confirm(l, start)
	return nil
}

func (e *Elector) setLease(l lease) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l.granted = e.lease.granted
	l.confirmed = e.lease.confirmed
	l.known = e.lease.known
	e.lease = l
}

func (e *Elector) confirm(l lease, start time.Time) {
	live := e.Membership.Live()
	l.known = make([]string, 0, len(live))
	for _, m := range live {
		l.known = append(l.known, m.ID)
	}
	l.granted = true
	l.confirmed = start
	e.mu.Lock()
	e.lease = l
	e.mu.Unlock()
	e.Membership.SetStoreContact(start)
}

// loseLease forgets a lease that has expired. While it was expired others may
// have claimed what this router holds, so each record is read again.
func (e *Elector) loseLease() {
	e.setLease(lease{})
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range e.held {
		h.verified = false
	}
	e.publish()
}

// Close ends the lease. It is called after all names were handed over.
func (e *Elector) Close(ctx context.Context) error {
	e.mu.Lock()
	id := e.lease.id
	e.lease = lease{}
	e.mu.Unlock()
	if id == "" {
		return nil
	}
	err := e.call(ctx, func(ctx context.Context) error { return e.Store.RevokeLease(ctx, id) })
	return errors.Annotate(err, "revoking the lease")
}

// call bounds and counts one call of the store.
func (e *Elector) call(ctx context.Context, f func(ctx context.Context) error) error {
	e.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return f(ctx)
}

func (e *Elector) jitter(d time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return d/2 + time.Duration(e.Random.Int64N(int64(d)))
}
