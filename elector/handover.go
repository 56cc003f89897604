package elector

import (
	"context"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
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
		name := item.Ownership.Name
		e.finishHandover(name, handoverResult(results[name], err))
		e.end(name)
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
		r.Status = HandoverRejected
	default:
		r.Status = HandoverUnknown
	}
	return r
}

// offer stops admission to the names and returns the request.
func (e *Elector) offer(names []string) HandoverRequest {
	request := HandoverRequest{From: e.Self.ID}
	for _, name := range names {
		if !e.begin(name) {
			continue
		}
		e.mu.Lock()
		h := e.held[name]
		if h != nil {
			h.handing = true
			e.publish()
		}
		e.mu.Unlock()
		if h == nil {
			e.end(name)
			continue
		}
		item := HandoverItem{Ownership: h.Ownership}
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
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Status == HandoverClaimed {
		e.observe(r.Ownership, 0)
	}
	h := e.held[name]
	if h == nil {
		return
	}
	h.retryHandover = e.Clock.Now().Add(retryMin)
	if r.Status == HandoverRejected {
		h.handing = false
		e.publish()
		return
	}
	h.unsettled = true
}

// settle finds out whether a handover took effect. If not, it raises the epoch
// of the record, so that a claim by the successor that is still on its way
// cannot take effect, and goes on owning the name.
func (e *Elector) settle(ctx context.Context, name string) {
	if !e.begin(name) {
		return
	}
	defer e.end(name)
	r, err := e.read(ctx, name)
	if err != nil {
		return
	}
	e.mu.Lock()
	h := e.held[name]
	e.mu.Unlock()
	if h == nil {
		return
	}
	if !r.found || r.Nonce != h.Nonce && !e.isPending(r) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.held[name] == h {
			e.lose(h, "the record has another writer")
		}
		return
	}
	o, version, status := r.Ownership, r.version, HandoverClaimed
	if r.Nonce == h.Nonce {
		o, version, status = e.write(ctx, r, e.nextOwnership(r, name))
	}
	if status != HandoverClaimed {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gain(o, version, h.full)
}

func (e *Elector) isPending(r record) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pending[r.Name].Nonce == r.Nonce
}

// HandleHandover claims the names that their owner offers.
func (e *Elector) HandleHandover(ctx context.Context, r HandoverRequest) HandoverResponse {
	var response HandoverResponse
	for _, item := range r.Names[:min(len(r.Names), MaxHandover)] {
		result := HandoverResult{Name: item.Ownership.Name, Status: HandoverRejected}
		if e.begin(item.Ownership.Name) {
			result = e.accept(ctx, item)
			e.end(item.Ownership.Name)
		}
		response.Results = append(response.Results, result)
	}
	return response
}

// accept claims one offered name.
func (e *Elector) accept(ctx context.Context, item HandoverItem) HandoverResult {
	result := HandoverResult{Name: item.Ownership.Name, Status: HandoverRejected}
	if e.draining() || !e.leased() || ctx.Err() != nil {
		return result
	}
	before := e.calls.Load()
	defer func() { e.refund(-int(e.calls.Load() - before)) }()
	r, err := e.read(ctx, item.Ownership.Name)
	if err != nil || r.Nonce != item.Ownership.Nonce || r.Owner != item.Ownership.Owner {
		return result
	}
	o, version, status := e.write(ctx, r, e.nextOwnership(r, r.Name))
	result.Status = status
	result.Ownership = o
	if status != HandoverClaimed {
		return result
	}
	if e.Receive != nil {
		e.Receive(o, item.State)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gain(o, version, true)
	return result
}

// release gives up a name that no router should own.
func (e *Elector) release(ctx context.Context, name string) {
	if !e.begin(name) {
		return
	}
	defer e.end(name)
	e.mu.Lock()
	h := e.held[name]
	if h != nil {
		h.handing = true
		e.publish()
	}
	e.mu.Unlock()
	if h == nil {
		return
	}
	r, err := e.read(ctx, name)
	if err != nil || r.Nonce != h.Nonce {
		return
	}
	o := bergamotdale.Ownership{Name: name, Epoch: r.Epoch + 1}
	e.mu.Lock()
	o.Nonce = e.nonce()
	e.mu.Unlock()
	o, version, status := e.write(ctx, r, o)
	if status != HandoverClaimed {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.pending, name)
	e.observe(o, version)
}
