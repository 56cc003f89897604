package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// remainingPath is the message of a previous owner to the present one.
	remainingPath = "remaining"
	// remainingInterval is the time between two such messages.
	remainingInterval = 500 * time.Millisecond
)

// remainingRequest tells the owner of an engine how many requests a previous
// owner still runs there. It is sent until none remains.
type remainingRequest struct {
	From     string `json:"from"`
	Endpoint string `json:"endpoint"`
	Requests int    `json:"requests"`
}

type remainingResponse struct{}

// reportRemaining tells the owners of engines that this router has given up
// what it still runs there, so that both together stay within the limit.
func (r *Router) reportRemaining(ctx context.Context) error {
	last := map[string]int{}
	for bergamotdale.Wait(ctx, r.clock, remainingInterval) == nil {
		remaining := r.dispatch.RemainingRequests()
		for endpoint := range last {
			if _, ok := remaining[endpoint]; !ok {
				r.sendRemaining(ctx, endpoint, 0)
			}
		}
		for endpoint, n := range remaining {
			r.sendRemaining(ctx, endpoint, n)
		}
		last = remaining
	}
	return nil
}

// sendRemaining sends one count to the owner of an engine.
func (r *Router) sendRemaining(ctx context.Context, endpoint string, n int) {
	owner, ok := r.views.Owner(endpoint)
	if !ok || owner.ID == r.self.ID {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, remainingInterval)
	defer cancel()
	message := remainingRequest{From: r.self.ID, Endpoint: endpoint, Requests: n}
	if err := r.peer.Call(ctx, owner.Address, remainingPath, message, &remainingResponse{}); err != nil {
		r.Logger.Debug("remaining requests not reported", zap.String("endpoint", endpoint), zap.Error(err))
	}
}

// handleRemaining takes in the count of a previous owner.
func (r *Router) handleRemaining(_ context.Context, m remainingRequest) (remainingResponse, error) {
	r.dispatch.SetRemainingRequests(m.Endpoint, m.Requests)
	return remainingResponse{}, nil
}
