package elector

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotdale/bergamotdale"
)

// ReconcileOnce makes one pass over the names: it settles what is open, reads
// held records again, hands over, and claims, as far as the budget of store
// calls allows. It returns the time to wait before the next pass.
func (e *Elector) ReconcileOnce(ctx context.Context) time.Duration {
	if e.leased() {
		e.settleAll(ctx)
		e.checkAll(ctx)
		plan := e.plan()
		e.handoverAll(ctx, plan)
		e.claimAll(ctx, plan)
		e.notify(ctx)
	}
	return reconcileInterval
}

// leased reports whether the lease was renewed recently enough to begin a
// change of ownership.
func (e *Elector) leased() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.keyed && e.Clock.Now().Sub(e.lease.confirmed) < LeaseTTL-RenewInterval
}

func (e *Elector) draining() bool {
	m, ok := e.Membership.Member(e.Self.ID)
	return ok && m.State != bergamotdale.MemberAlive
}

// plan returns what Decide finds for the current membership.
func (e *Elector) plan() Plan {
	owners := e.Membership.Owners()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.wanted == nil || !slices.Equal(owners, e.wantedOwners) {
		e.wanted = Wanted(e.names, owners)
		e.wantedOwners = slices.Clone(owners)
		e.spread()
	}
	return Decide(Snapshot{Self: e.Self.ID, Wanted: e.wanted, Held: lo.Keys(e.held)})
}

// spread gives the names that this router should own a random time for the
// first look. The caller holds mu.
func (e *Elector) spread() {
	now := e.Clock.Now()
	for name, owner := range e.wanted {
		if owner == e.Self.ID && e.held[name] == nil {
			e.retries[name] = &retry{at: now.Add(time.Duration(e.Random.Int64N(int64(claimSpread))))}
		} else {
			delete(e.retries, name)
		}
	}
}

func (e *Elector) settleAll(ctx context.Context) {
	for _, name := range e.due(func(h *holding, _ time.Time) bool { return h.unsettled }) {
		if !e.spend(claimCalls) {
			return
		}
		e.settle(ctx, name)
	}
}

func (e *Elector) checkAll(ctx context.Context) {
	due := e.due(func(h *holding, now time.Time) bool {
		return !h.handing && !now.Before(h.verify) || !h.verified
	})
	for _, name := range due {
		if !e.spend(1) {
			return
		}
		e.check(ctx, name)
	}
}

// due returns the held names for which f is true, in order.
func (e *Elector) due(f func(h *holding, now time.Time) bool) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.Clock.Now()
	var names []string
	for name, h := range e.held {
		if f(h, now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (e *Elector) handoverAll(ctx context.Context, plan Plan) {
	open := e.due(func(h *holding, now time.Time) bool {
		return !h.unsettled && !now.Before(h.retryHandover)
	})
	successors := lo.Keys(plan.Handover)
	slices.Sort(successors)
	for _, successor := range successors {
		m, ok := e.Membership.Member(successor)
		names := lo.Intersect(open, plan.Handover[successor])
		if ok && len(names) > 0 {
			e.handover(ctx, m, names[:min(len(names), MaxHandover)])
		}
	}
	for _, name := range lo.Intersect(open, plan.Release) {
		if !e.spend(claimCalls) {
			return
		}
		e.release(ctx, name)
	}
}

func (e *Elector) claimAll(ctx context.Context, plan Plan) {
	e.mu.Lock()
	now := e.Clock.Now()
	due := lo.Filter(plan.Claim, func(name string, _ int) bool {
		r := e.retries[name]
		return r == nil || !now.Before(r.at)
	})
	e.mu.Unlock()
	for _, name := range due {
		if !e.leased() || !e.spend(claimCalls) {
			return
		}
		e.claim(ctx, name)
	}
}
