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
	"github.com/bergamotdale/bergamotdale/leaser"
	"github.com/bergamotdale/bergamotdale/ownershipholder"
	"github.com/bergamotdale/bergamotdale/planner"
)

// maxCallsPerClaim is the largest number of store calls that a claim needs when
// none of them fails: read the record, read the lease key of its owner, and write
// the record by compare-and-swap.
const maxCallsPerClaim = 3

// pendingNotice is a claim notice that has not been sent yet.
type pendingNotice struct {
	address   string
	ownership bergamotdale.Ownership
}

// ReconcileOnce makes one pass over the names, as far as the budget of store
// calls allows: it resolves uncertain ownership, verifies the records of held
// names, hands names over, and claims names. It returns the time to wait before
// the next pass.
func (e *Elector) ReconcileOnce(ctx context.Context) time.Duration {
	e.noteEra()
	if e.Lease.RecentlyRenewed() {
		e.forEachReserved(ctx, e.held.Uncertain(), maxCallsPerClaim, e.resolveUncertain)
		e.forEachReserved(ctx, e.held.DueForVerification(), 1, e.verifyRecord)
		plan := e.plan()
		e.handOverAll(ctx, plan)
		e.claimAll(ctx, plan)
		e.sendNotices(ctx)
	}
	return reconcileInterval
}

// forEachReserved reserves each name and runs the step on it, until the budget
// cannot pay for the calls of another step or the lease was not renewed recently.
// It skips names that another operation, such as a handover, has reserved.
func (e *Elector) forEachReserved(ctx context.Context, names []string, calls int, step func(ctx context.Context, name string)) {
	for _, name := range names {
		if !e.Lease.RecentlyRenewed() || !e.takeStoreCalls(calls) {
			return
		}
		callsBefore := e.records.StoreCalls()
		if e.held.Reserve(name) {
			step(ctx, name)
			e.held.Unreserve(name)
		}
		e.correctStoreCalls(callsBefore, calls)
	}
}

// takeStoreCalls takes a number of store calls from the budget and reports
// whether the budget covered them.
func (e *Elector) takeStoreCalls(calls int) bool {
	live := max(1, len(e.Membership.Live()))
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.Take(e.Clock.Now(), max(minStoreRate, float64(FleetStoreRate)/float64(live)), calls)
}

// correctStoreCalls adjusts the budget to the calls actually made since the
// count callsBefore; taken is the number of calls paid in advance.
func (e *Elector) correctStoreCalls(callsBefore int64, taken int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.Adjust(float64(taken) - float64(e.records.StoreCalls()-callsBefore))
}

// isDraining reports whether the membership lists this router in any state but
// alive, in which it must not take new ownership.
func (e *Elector) isDraining() bool {
	m, ok := e.Membership.Member(e.Self.ID)
	return ok && m.State != bergamotdale.MemberAlive
}

// plan returns what to claim, hand over and release under the current membership.
func (e *Elector) plan() planner.Plan {
	owners := e.Membership.Owners()
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := e.desiredOwners == nil || !slices.Equal(owners, e.eligibleOwners)
	if changed {
		e.desiredOwners = planner.DesiredOwners(e.names, owners)
		e.eligibleOwners = slices.Clone(owners)
	}
	plan := planner.Decide(planner.Snapshot{Self: e.Self.ID, DesiredOwners: e.desiredOwners, Held: lo.Keys(e.held.View())})
	if changed {
		e.held.ScheduleClaims(plan.Claim, claimSpread)
	}
	return plan
}

// handOverAll offers names to their desired owners, one message per owner, and
// releases the names that no router should own.
func (e *Elector) handOverAll(ctx context.Context, plan planner.Plan) {
	transferable := e.held.Transferable()
	successors := lo.Keys(plan.Handover)
	slices.Sort(successors)
	for _, successor := range successors {
		m, ok := e.Membership.Member(successor)
		names := lo.Intersect(transferable, plan.Handover[successor])
		if ok && len(names) > 0 {
			e.handOver(ctx, m, names[:min(len(names), MaxHandoverNames)])
		}
	}
	e.forEachReserved(ctx, lo.Intersect(transferable, plan.Release), maxCallsPerClaim, e.releaseName)
}

// claimAll processes the names that this router should claim, and the names for
// which an earlier claim of this router may have taken effect unnoticed.
func (e *Elector) claimAll(ctx context.Context, plan planner.Plan) {
	toClaim := lo.SliceToMap(plan.Claim, func(name string) (string, bool) { return name, true })
	names := append(e.records.Pending(), plan.Claim...)
	e.forEachReserved(ctx, e.held.DueForClaim(names), maxCallsPerClaim, func(ctx context.Context, name string) {
		if err := e.claimName(ctx, name, toClaim[name] && !e.isDraining()); err != nil {
			e.Logger.Debug("claim-failed", zap.String("name", name), zap.Error(err))
			e.held.PostponeClaim(name, 2*ownershipholder.MinClaimRetry)
		}
	})
}

// claimName reads the record of a name. It takes the name over if an earlier
// claim of this router succeeded although its response was lost. Otherwise, if
// newClaimAllowed, it claims the name when the record permits it.
func (e *Elector) claimName(ctx context.Context, name string, newClaimAllowed bool) error {
	r, err := e.readRecord(ctx, name)
	if err != nil {
		return err
	}
	if e.records.ResolvePending(r) {
		e.startHolding(r.Ownership, false)
		return nil
	}
	if !newClaimAllowed {
		e.held.PostponeClaim(name, ownershipholder.MaxClaimRetry)
		return nil
	}
	if e.records.IsFormer(r) && !e.hasEraSettled() {
		e.held.PostponeClaim(name, ownershipholder.MinClaimRetry)
		return nil
	}
	claimability, err := e.records.MayClaim(ctx, r, e.isGone)
	if err != nil {
		return err
	}
	switch claimability {
	case claimer.ClaimOwnerLive:
		if _, known := e.Membership.Member(r.Owner); !known {
			// It counts as gone later, without a change of the membership.
			e.held.PostponeClaim(name, ownershipholder.MinClaimRetry)
			return nil
		}
		// Retrying soon would not help: either the owner hands the name over,
		// or its death changes the membership, which schedules the claim again.
		e.held.PostponeClaim(name, ownershipholder.MaxClaimRetry)
		return nil
	case claimer.ClaimOwnerLeased:
		e.held.PostponeClaim(name, ownershipholder.MinClaimRetry)
		return nil
	}
	o, status := e.records.Claim(ctx, r)
	if status != claimer.StatusClaimed {
		return errors.Errorf("claiming %s: the write of the ownership record has status %s", name, status)
	}
	e.startHolding(o, false)
	if r.Address != "" && r.Owner != e.Self.ID {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.notices = append(e.notices, pendingNotice{r.Address, o})
	}
	return nil
}

// noteEra records when this router saw the latest era of the store first.
func (e *Elector) noteEra() {
	if era := bergamotdale.StoreEra(e.store); era > e.era {
		e.era, e.eraSince = era, e.Clock.Now()
	}
}

// hasEraSettled reports whether no router admits fully any more on the strength of a
// claim or a lease that a restore of the store has lost: each has either renewed its
// lease since, and so noticed the restore, or its lease has expired.
func (e *Elector) hasEraSettled() bool {
	e.noteEra()
	return e.Clock.Now().Sub(e.eraSince) >= leaser.TTL
}

// isGone reports whether a member is dead, has left, or is unknown to a router that has
// run for leaser.TTL. A router that has just started may not have met an owner that
// still counts it as alive and so admits fully in an outage of the store.
func (e *Elector) isGone(id string) bool {
	m, ok := e.Membership.Member(id)
	if !ok {
		return e.Clock.Now().Sub(e.startedAt) >= leaser.TTL
	}
	return m.State == bergamotdale.MemberDead || m.State == bergamotdale.MemberLeft
}

// startHolding starts to own a name whose record was written by this router.
func (e *Elector) startHolding(o bergamotdale.Ownership, full bool) {
	known, _ := e.records.KnownOwnership(o.Name)
	if known.Epoch > o.Epoch {
		// A later claim became known before the response to this one.
		e.dropIfSuperseded(o.Name)
		return
	}
	if known.Nonce != o.Nonce {
		panic(fmt.Sprintf("elector: this router gained epoch %d of %s, but the known owner of that epoch is %q", o.Epoch, o.Name, known.Owner))
	}
	e.held.Hold(o, full, o.Session != e.Lease.ID() || !e.Lease.RecentlyRenewed())
	// The gossiped time of the last store contact tells routers that cannot
	// reach the store that claims were possible until now.
	e.Membership.SetStoreContact(e.Clock.Now())
	e.Logger.Info("ownership-gained", zap.String("name", o.Name), zap.Int64("epoch", o.Epoch), zap.Bool("full", full))
	// A later claim may have become known in the meantime.
	e.dropIfSuperseded(o.Name)
}

// dropIfSuperseded gives a name up if a higher epoch than the held one is known.
func (e *Elector) dropIfSuperseded(name string) {
	known, _ := e.records.KnownOwnership(name)
	e.stopHoldingBelow(name, known.Epoch)
}

// stopHoldingBelow gives a name up if it is held with an epoch below the given one.
func (e *Elector) stopHoldingBelow(name string, epoch int64) {
	if e.held.RemoveBelow(name, epoch) {
		e.Logger.Info("ownership-lost", zap.String("name", name), zap.Int64("below-epoch", epoch))
	}
}

// readRecord returns the record of the name, and gives the name up if a higher
// epoch than the one held is known after the read. The exception is a record with
// the ID and lease of this router: the name is then kept.
func (e *Elector) readRecord(ctx context.Context, name string) (claimer.Record, error) {
	r, err := e.records.Read(ctx, name)
	// A record with the ID and lease of this router may come from a write of
	// this router whose response was lost, so it does not end the ownership.
	if !r.Found || r.Owner != e.Self.ID || r.Session != e.Lease.ID() {
		e.dropIfSuperseded(name)
	}
	return r, err
}

// verifyRecord reads the record of a held name again, in case a claim by another
// router went unnoticed.
func (e *Elector) verifyRecord(ctx context.Context, name string) {
	r, err := e.readRecord(ctx, name)
	h, held := e.held.View()[name]
	if held && err == nil && (!r.Found || r.Nonce != h.Nonce) {
		// The record was deleted, or another router has written it.
		e.stopHoldingBelow(name, h.Epoch+1)
		return
	}
	e.held.ScheduleVerification(name)
}

// sendNotices sends the claim notices of this pass. Delivery is best effort: a
// previous owner that misses a notice finds out when it verifies its record.
func (e *Elector) sendNotices(ctx context.Context) {
	e.mu.Lock()
	notices := e.notices
	e.notices = nil
	e.mu.Unlock()
	for _, n := range notices {
		callCtx, cancel := context.WithTimeout(ctx, noticeTimeout)
		var response ClaimNoticeResponse
		err := e.Peer.Call(callCtx, n.address, ClaimNoticePath, ClaimNotice{Ownership: n.ownership}, &response)
		cancel()
		if err != nil {
			e.Logger.Debug("claim-notice-failed", zap.String("name", n.ownership.Name), zap.Error(err))
		}
	}
}
