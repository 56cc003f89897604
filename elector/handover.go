package elector

import (
	"context"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/claimer"
)

// handOver offers names to their next owner, after admission to them has
// stopped. A name that the successor claimed is given up, a name that it
// rejected is kept, and a name with an unknown result is marked as uncertain for
// resolveUncertain.
func (e *Elector) handOver(ctx context.Context, successor bergamotdale.Member, names []string) {
	request := e.prepareHandover(names)
	if len(request.Names) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var response HandoverResponse
	err := e.Peer.Call(callCtx, successor.Address, HandoverPath, request, &response)
	results := map[string]HandoverResult{}
	for _, r := range response.Results {
		results[r.Name] = r
	}
	for _, item := range request.Names {
		e.applyHandoverResult(item.Ownership.Name, resolveHandoverResult(results[item.Ownership.Name], err))
		e.held.Unreserve(item.Ownership.Name)
	}
	if err != nil {
		e.Logger.Info("handover-failed", zap.String("successor", successor.ID), zap.Error(err))
	}
}

// resolveHandoverResult returns the result of one name, given the error of the
// call that carried it.
func resolveHandoverResult(r HandoverResult, err error) HandoverResult {
	var refusal *bergamotdale.Refusal
	switch {
	case err == nil && r.Status != "":
		return r
	case errors.As(err, &refusal) && refusal.Outcome == bergamotdale.OutcomeNotRun:
		return HandoverResult{Status: claimer.StatusRejected}
	}
	return HandoverResult{Status: claimer.StatusUnknown}
}

// prepareHandover stops admission to the names and returns the request that
// offers them. The offered names stay reserved until the result is known.
func (e *Elector) prepareHandover(names []string) HandoverRequest {
	request := HandoverRequest{From: e.Self.ID}
	for _, name := range names {
		if !e.held.Reserve(name) {
			continue
		}
		h, held := e.held.StopAdmission(name)
		if !held {
			e.held.Unreserve(name)
			continue
		}
		item := HandoverItem{Ownership: h.Ownership, Full: h.Full}
		if e.ExportState != nil {
			item.State = e.ExportState(name)
		}
		if len(item.State) > MaxStateBytes {
			item.State = nil
		}
		request.Names = append(request.Names, item)
	}
	return request
}

// applyHandoverResult applies the result of one name to the ownership state.
func (e *Elector) applyHandoverResult(name string, r HandoverResult) {
	switch r.Status {
	case claimer.StatusClaimed:
		e.ObserveOwnership(r.Ownership)
	case claimer.StatusRejected:
		e.held.ResumeAdmission(name)
		return
	}
	e.held.MarkUncertain(name)
}

// resolveUncertain finds out whether this router still owns a name. If it does,
// it keeps the name and raises the epoch of the record, so that a delayed claim
// by another router fails its compare-and-swap.
func (e *Elector) resolveUncertain(ctx context.Context, name string) {
	r, err := e.readRecord(ctx, name)
	h, held := e.held.View()[name]
	if err != nil || !held {
		return
	}
	if h.Limit == ModeNone && e.records.IsFormer(r) && !e.hasEraSettled() {
		// The successor may have claimed the name and admit to it although the store
		// has lost the claim.
		return
	}
	// A lost claim may still put load of another router on the name.
	full := h.Full && !e.records.IsFormer(r)
	o, status := r.Ownership, claimer.StatusClaimed
	if !e.records.ResolvePending(r) {
		if !r.Found || r.Nonce != h.Nonce {
			// The record was deleted, or another router has written it.
			e.stopHoldingBelow(name, h.Epoch+1)
			return
		}
		o, status = e.records.Claim(ctx, r)
	}
	if status == claimer.StatusClaimed {
		e.startHolding(o, full)
	}
}

// HandleHandover claims the names that their current owner offers.
func (e *Elector) HandleHandover(ctx context.Context, r HandoverRequest) HandoverResponse {
	var response HandoverResponse
	for _, item := range r.Names[:min(len(r.Names), MaxHandoverNames)] {
		result := HandoverResult{Name: item.Ownership.Name, Status: claimer.StatusRejected}
		if e.held.Reserve(item.Ownership.Name) {
			result = e.acceptHandover(ctx, item)
			e.held.Unreserve(item.Ownership.Name)
		}
		response.Results = append(response.Results, result)
	}
	return response
}

// acceptHandover claims one offered name. Its store calls do not wait for the
// budget, since no router admits work to the name until it is claimed.
func (e *Elector) acceptHandover(ctx context.Context, item HandoverItem) HandoverResult {
	result := HandoverResult{Name: item.Ownership.Name, Status: claimer.StatusRejected}
	if e.isDraining() || !e.Lease.RecentlyRenewed() || ctx.Err() != nil {
		return result
	}
	defer e.correctStoreCalls(e.records.StoreCalls(), 0)
	r, err := e.readRecord(ctx, item.Ownership.Name)
	if err != nil || r.Nonce != item.Ownership.Nonce || r.Owner != item.Ownership.Owner {
		return result
	}
	if e.records.IsFormer(r) {
		// The offer may be from before a restore of the store that lost a later claim
		// of the predecessor. It writes the record again before it offers the name.
		return result
	}
	result.Ownership, result.Status = e.records.Claim(ctx, r)
	if result.Status != claimer.StatusClaimed {
		return result
	}
	if e.ImportState != nil {
		e.ImportState(result.Ownership, item.State)
	}
	e.startHolding(result.Ownership, item.Full)
	return result
}

// releaseName gives up a name that no router should own any more.
func (e *Elector) releaseName(ctx context.Context, name string) {
	h, held := e.held.StopAdmission(name)
	if !held {
		return
	}
	r, err := e.readRecord(ctx, name)
	if err == nil && r.Nonce == h.Nonce && e.records.Release(ctx, r) == claimer.StatusClaimed {
		e.dropIfSuperseded(name)
		return
	}
	e.held.MarkUncertain(name)
}
