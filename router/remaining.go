package router

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// remainingPath is the path at which the current owner of an engine takes
	// the counts of previous owners.
	remainingPath = "remaining"
	// remainingInterval is the time between two counts of a previous owner.
	remainingInterval = 500 * time.Millisecond
)

// remainingRequest tells the owner of an engine how many requests a previous
// owner still runs there. The previous owner repeats it until none remains.
type remainingRequest struct {
	From     string `json:"from"`
	Endpoint string `json:"endpoint"`
	Requests int    `json:"requests"`
}

type remainingResponse struct{}

// reportRemaining tells the current owners of engines that this router owned
// before how many requests it still runs there, so that both routers together
// stay within the concurrency limit of the engine.
func (r *Router) reportRemaining(ctx context.Context) error {
	reported := map[string]int{}
	for bergamotdale.Wait(ctx, r.clock, remainingInterval) == nil {
		remaining := r.dispatcher.RemainingRequests()
		for endpoint := range reported {
			if _, ok := remaining[endpoint]; !ok {
				r.sendRemaining(ctx, endpoint, 0)
			}
		}
		for endpoint, n := range remaining {
			r.sendRemaining(ctx, endpoint, n)
		}
		reported = remaining
	}
	return nil
}

// sendRemaining sends the number of remaining requests to the owner of an
// engine.
func (r *Router) sendRemaining(ctx context.Context, endpoint string, n int) {
	owner, ok := r.views.Owner(endpoint)
	if !ok || owner.ID == r.self.ID {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, remainingInterval)
	defer cancel()
	message := remainingRequest{From: r.self.ID, Endpoint: endpoint, Requests: n}
	if err := r.peer.Call(ctx, owner.Address, remainingPath, message, &remainingResponse{}); err != nil {
		r.Logger.Debug("failed to report the remaining requests to the owner", zap.String("endpoint", endpoint), zap.Error(err))
	}
}

// handleRemaining records the count that a previous owner of an engine reports.
func (r *Router) handleRemaining(_ context.Context, m remainingRequest) (remainingResponse, error) {
	r.dispatcher.SetRemainingRequests(m.Endpoint, m.Requests)
	return remainingResponse{}, nil
}
