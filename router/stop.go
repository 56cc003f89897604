package router

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/server"
)

const (
	// errStopped ends the run group after a planned stop.
	errStopped = errors.ConstError("stopped")
	// handoverTimeout bounds the handover of ownership in a planned stop. With
	// the store down nothing can be handed over, and the lease expires instead.
	handoverTimeout = 10 * time.Second
	// leaveTimeout bounds the last messages of a router.
	leaveTimeout = 2 * time.Second
	// stopPoll is how often a planned stop looks for progress.
	stopPoll = 50 * time.Millisecond
)

// untilStopped waits for the planned stop and carries it out. The second
// context is done when another part of the router has failed.
func (r *Router) untilStopped(ctx, failed context.Context, servers []*server.Server) error {
	select {
	case <-failed.Done():
		return nil
	case <-ctx.Done():
	}
	r.Logger.Info("stopping", zap.Duration("drain-deadline", r.Settings.DrainDeadline))
	r.stopping.Store(true)
	drain, cancel := context.WithTimeout(failed, r.Settings.DrainDeadline)
	defer cancel()
	r.gossiper.SetDraining()
	r.handOver(drain)
	clients, peers, operators := servers[0], servers[1], servers[2]
	clients.Shutdown(drain)
	if err := r.dispatch.Drain(drain); err != nil {
		r.Logger.Warn("streams still running at the drain deadline", zap.Error(err))
	}
	if err := r.shards.Drain(drain); err != nil {
		r.Logger.Warn("calls still running at the drain deadline", zap.Error(err))
	}
	peers.Shutdown(drain)
	operators.Shutdown(drain)
	r.leave(failed)
	return errStopped
}

// handOver waits until every endpoint and shard has another owner. The elector
// hands them over as soon as this router is draining.
func (r *Router) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for len(r.elector.Held()) > 0 && r.hasSuccessor() {
		if bergamotdale.Wait(ctx, r.clock, stopPoll) != nil {
			r.Logger.Warn("ownership not handed over", zap.Int("names", len(r.elector.Held())))
			return
		}
	}
}

// hasSuccessor reports whether any other router can take ownership.
func (r *Router) hasSuccessor() bool {
	for _, id := range r.gossiper.Owners() {
		if id != r.self.ID {
			return true
		}
	}
	return false
}

// leave tells the fleet and the store that this router is gone.
func (r *Router) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	r.gossiper.Leave(ctx)
	if err := r.elector.Close(ctx); err != nil {
		r.Logger.Warn("lease not revoked", zap.Error(err))
	}
}
