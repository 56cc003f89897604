package elector

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/claimer"
	"github.com/bergamotdale/bergamotdale/holder"
	"github.com/bergamotdale/bergamotdale/planner"
)

// claimCalls is the most store calls of one claim without faults: the record,
// the old owner's key and the compare-and-swap.
const claimCalls = 3

// notice is a claim notice to be sent.
type notice struct {
	address   string
	ownership bergamotdale.Ownership
}

// ReconcileOnce makes one pass over the names: it settles what is open, reads
// held records again, hands over, and claims, as far as the budget of store
// calls allows. It returns the time to wait before the next pass.
func (e *Elector) ReconcileOnce(ctx context.Context) time.Duration {
	if e.Lease.RecentlyRenewed() {
		e.forEach(ctx, e.held.Unsettled(), claimCalls, e.settle)
		e.forEach(ctx, e.held.Unverified(), 1, e.check)
		plan := e.plan()
		e.handoverAll(ctx, plan)
		e.claimAll(ctx, plan)
		e.notify(ctx)
	}
	return reconcileInterval
}

// forEach reserves each name and runs the step, while the budget allows the
// calls of a step.
func (e *Elector) forEach(ctx context.Context, names []string, calls int, step func(ctx context.Context, name string)) {
	for _, name := range names {
		if !e.Lease.RecentlyRenewed() || !e.spend(calls) {
			return
		}
		before := e.records.Calls()
		if e.held.Begin(name) {
			step(ctx, name)
			e.held.End(name)
		}
		e.account(before, calls)
	}
}

// spend takes n store calls from the budget.
func (e *Elector) spend(n int) bool {
	live := max(1, len(e.Membership.Live()))
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.Take(e.Clock.Now(), max(minStoreRate, float64(FleetStoreRate)/float64(live)), n)
}

// account corrects the budget by the calls made since before; taken is what
// was spent in advance.
func (e *Elector) account(before int64, taken int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.Adjust(float64(taken) - float64(e.records.Calls()-before))
}

// draining reports whether this router takes no new ownership.
func (e *Elector) draining() bool {
	m, ok := e.Membership.Member(e.Self.ID)
	return ok && m.State != bergamotdale.MemberAlive
}

// plan returns what the planner finds for the current membership.
func (e *Elector) plan() planner.Plan {
	owners := e.Membership.Owners()
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := e.wanted == nil || !slices.Equal(owners, e.wantedOwners)
	if changed {
		e.wanted = planner.DesiredOwners(e.names, owners)
		e.wantedOwners = slices.Clone(owners)
	}
	plan := planner.Decide(planner.Snapshot{Self: e.Self.ID, DesiredOwners: e.wanted, Held: lo.Keys(e.held.View())})
	if changed {
		e.held.Schedule(plan.Claim, claimSpread)
	}
	return plan
}

func (e *Elector) handoverAll(ctx context.Context, plan planner.Plan) {
	open := e.held.Transferable()
	successors := lo.Keys(plan.Handover)
	slices.Sort(successors)
	for _, successor := range successors {
		m, ok := e.Membership.Member(successor)
		names := lo.Intersect(open, plan.Handover[successor])
		if ok && len(names) > 0 {
			e.handover(ctx, m, names[:min(len(names), MaxHandover)])
		}
	}
	e.forEach(ctx, lo.Intersect(open, plan.Release), claimCalls, e.release)
}

// claimAll looks at the names to claim and at those with an own claim that
// may have taken effect without this router knowing.
func (e *Elector) claimAll(ctx context.Context, plan planner.Plan) {
	wanted := lo.SliceToMap(plan.Claim, func(name string) (string, bool) { return name, true })
	names := append(e.records.Pending(), plan.Claim...)
	e.forEach(ctx, e.held.Claimable(names), claimCalls, func(ctx context.Context, name string) {
		if err := e.claim(ctx, name, wanted[name] && !e.draining()); err != nil {
			e.Logger.Debug("claim-failed", zap.String("name", name), zap.Error(err))
			e.held.Postpone(name, 2*holder.RetryMin)
		}
	})
}

// claim looks at the record of a name. It takes over an own claim whose
// response was lost, and makes a new one if the name is wanted and that is
// allowed.
func (e *Elector) claim(ctx context.Context, name string, wanted bool) error {
	r, err := e.read(ctx, name)
	if err != nil {
		return err
	}
	if e.records.Adopt(r) {
		e.gain(r.Ownership, false)
		return nil
	}
	if !wanted {
		e.held.Postpone(name, holder.RetryMax)
		return nil
	}
	may, err := e.records.MayClaim(ctx, r, e.gone)
	if err != nil {
		return err
	}
	switch may {
	case claimer.ClaimOwnerLive:
		// The owner hands over, or its death will change the membership.
		e.held.Postpone(name, holder.RetryMax)
		return nil
	case claimer.ClaimOwnerLeased:
		e.held.Postpone(name, holder.RetryMin)
		return nil
	}
	o, status := e.records.Claim(ctx, r)
	if status != claimer.StatusClaimed {
		return errors.Errorf("claim of %s was %s", name, status)
	}
	e.gain(o, false)
	if r.Address != "" && r.Owner != e.Self.ID {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.notices = append(e.notices, notice{r.Address, o})
	}
	return nil
}

func (e *Elector) gone(id string) bool {
	m, ok := e.Membership.Member(id)
	return !ok || m.State == bergamotdale.MemberDead || m.State == bergamotdale.MemberLeft
}

// gain starts to hold a name after its record was written or read back.
func (e *Elector) gain(o bergamotdale.Ownership, full bool) {
	known, _ := e.records.Known(o.Name)
	if known.Epoch > o.Epoch {
		// A later claim was seen before the response to this one.
		e.dropOutdated(o.Name)
		return
	}
	if known.Nonce != o.Nonce {
		panic(fmt.Sprintf("elector: epoch %d of %s is held by %q", o.Epoch, o.Name, known.Owner))
	}
	e.held.Gain(o, full, o.Session != e.Lease.ID() || !e.Lease.RecentlyRenewed())
	// Routers without contact must learn that claims were possible until now.
	e.Membership.SetStoreContact(e.Clock.Now())
	e.Logger.Info("ownership-gained", zap.String("name", o.Name), zap.Int64("epoch", o.Epoch), zap.Bool("full", full))
	// A later claim may have been seen meanwhile.
	e.dropOutdated(o.Name)
}

// dropOutdated loses a name of which a higher epoch was seen.
func (e *Elector) dropOutdated(name string) {
	known, _ := e.records.Known(name)
	e.lose(name, known.Epoch)
}

// lose stops holding a name whose epoch is below the given one.
func (e *Elector) lose(name string, below int64) {
	if e.held.Lose(name, below) {
		e.Logger.Info("ownership-lost", zap.String("name", name), zap.Int64("below-epoch", below))
	}
}

// read returns the record of the name, and loses the name if the record has a
// higher epoch than the one held.
func (e *Elector) read(ctx context.Context, name string) (claimer.Record, error) {
	r, err := e.records.Read(ctx, name)
	// The record may be that of an own write whose response was lost.
	if !r.Found || r.Owner != e.Self.ID || r.Session != e.Lease.ID() {
		e.dropOutdated(name)
	}
	return r, err
}

// check reads the record of a held name again.
func (e *Elector) check(ctx context.Context, name string) {
	r, err := e.read(ctx, name)
	h, held := e.held.View()[name]
	if held && err == nil && (!r.Found || r.Nonce != h.Nonce) {
		// The record has another writer.
		e.lose(name, h.Epoch+1)
		return
	}
	e.held.Verified(name)
}

// notify sends the claim notices of this pass. They are best effort: an old
// owner that misses one finds out when it reads its record again.
func (e *Elector) notify(ctx context.Context) {
	e.mu.Lock()
	notices := e.notices
	e.notices = nil
	e.mu.Unlock()
	for _, n := range notices {
		limited, cancel := context.WithTimeout(ctx, noticeTimeout)
		var response ClaimNoticeResponse
		err := e.Peer.Call(limited, n.address, ClaimNoticePath, ClaimNotice{Ownership: n.ownership}, &response)
		cancel()
		if err != nil {
			e.Logger.Debug("claim-notice-failed", zap.String("name", n.ownership.Name), zap.Error(err))
		}
	}
}
