package elector

import (
	"context"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/claimer"
)

// handover offers names to their next owner. Admission stops first. A name
// that was claimed is lost, one that was rejected is kept, and one with an
// unclear result is settled by settle.
func (e *Elector) handover(ctx context.Context, successor bergamotdale.Member, names []string) {
	request := e.offer(names)
	if len(request.Names) == 0 {
		return
	}
	limited, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	var response HandoverResponse
	err := e.Peer.Call(limited, successor.Address, HandoverPath, request, &response)
	results := map[string]HandoverResult{}
	for _, r := range response.Results {
		results[r.Name] = r
	}
	for _, item := range request.Names {
		e.finishHandover(item.Ownership.Name, handoverResult(results[item.Ownership.Name], err))
		e.held.End(item.Ownership.Name)
	}
	if err != nil {
		e.Logger.Info("handover-failed", zap.String("successor", successor.ID), zap.Error(err))
	}
}

// handoverResult returns the result of one name after a call.
func handoverResult(r HandoverResult, err error) HandoverResult {
	var refusal *bergamotdale.Refusal
	switch {
	case err == nil && r.Status != "":
		return r
	case errors.As(err, &refusal) && refusal.Outcome == bergamotdale.OutcomeNotRun:
		return HandoverResult{Status: claimer.StatusRejected}
	}
	return HandoverResult{Status: claimer.StatusUnknown}
}

// offer stops admission to the names and returns the request. The names stay
// reserved.
func (e *Elector) offer(names []string) HandoverRequest {
	request := HandoverRequest{From: e.Self.ID}
	for _, name := range names {
		if !e.held.Begin(name) {
			continue
		}
		h, held := e.held.Stop(name)
		if !held {
			e.held.End(name)
			continue
		}
		item := HandoverItem{Ownership: h.Ownership, Full: h.Full}
		if e.State != nil {
			item.State = e.State(name)
		}
		if len(item.State) > MaxStateBytes {
			item.State = nil
		}
		request.Names = append(request.Names, item)
	}
	return request
}

// finishHandover takes in the result of one name.
func (e *Elector) finishHandover(name string, r HandoverResult) {
	switch r.Status {
	case claimer.StatusClaimed:
		e.See(r.Ownership)
	case claimer.StatusRejected:
		e.held.Resume(name)
		return
	}
	e.held.Doubt(name)
}

// settle finds out whether this router still owns a name. If so it raises the
// epoch of the record, so that a claim by another router that is still on its
// way cannot take effect, and goes on owning the name.
func (e *Elector) settle(ctx context.Context, name string) {
	r, err := e.read(ctx, name)
	h, held := e.held.View()[name]
	if err != nil || !held {
		return
	}
	o, status := r.Ownership, claimer.StatusClaimed
	if !e.records.Adopt(r) {
		if !r.Found || r.Nonce != h.Nonce {
			// The record has another writer.
			e.lose(name, h.Epoch+1)
			return
		}
		o, status = e.records.Claim(ctx, r)
	}
	if status == claimer.StatusClaimed {
		e.gain(o, h.Full)
	}
}

// HandleHandover claims the names that their owner offers.
func (e *Elector) HandleHandover(ctx context.Context, r HandoverRequest) HandoverResponse {
	var response HandoverResponse
	for _, item := range r.Names[:min(len(r.Names), MaxHandover)] {
		result := HandoverResult{Name: item.Ownership.Name, Status: claimer.StatusRejected}
		if e.held.Begin(item.Ownership.Name) {
			result = e.accept(ctx, item)
			e.held.End(item.Ownership.Name)
		}
		response.Results = append(response.Results, result)
	}
	return response
}

// accept claims one offered name. Its calls of the store cannot wait, since
// nobody admits work to the name meanwhile.
func (e *Elector) accept(ctx context.Context, item HandoverItem) HandoverResult {
	result := HandoverResult{Name: item.Ownership.Name, Status: claimer.StatusRejected}
	if e.draining() || !e.Lease.RecentlyRenewed() || ctx.Err() != nil {
		return result
	}
	defer e.account(e.records.Calls(), 0)
	r, err := e.read(ctx, item.Ownership.Name)
	if err != nil || r.Nonce != item.Ownership.Nonce || r.Owner != item.Ownership.Owner {
		return result
	}
	result.Ownership, result.Status = e.records.Claim(ctx, r)
	if result.Status != claimer.StatusClaimed {
		return result
	}
	if e.Receive != nil {
		e.Receive(result.Ownership, item.State)
	}
	e.gain(result.Ownership, item.Full)
	return result
}

// release gives up a name that no router should own.
func (e *Elector) release(ctx context.Context, name string) {
	h, held := e.held.Stop(name)
	if !held {
		return
	}
	r, err := e.read(ctx, name)
	if err == nil && r.Nonce == h.Nonce && e.records.Release(ctx, r) == claimer.StatusClaimed {
		e.dropOutdated(name)
		return
	}
	e.held.Doubt(name)
}
