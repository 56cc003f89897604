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
	// errStopped is the error with which a planned stop ends the run group.
	errStopped = errors.ConstError("stopped")
	// handoverTimeout bounds the handover of ownership in a planned stop. While
	// the store is down nothing can be handed over, and other routers claim the
	// names after the lease has expired.
	handoverTimeout = 10 * time.Second
	// leaveTimeout bounds the last messages to other routers and to the store.
	leaveTimeout = 2 * time.Second
	// stopPollInterval is the time between two checks whether ownership has been
	// handed over.
	stopPollInterval = 50 * time.Millisecond
)

// stopOnDone waits until ctx is done and then performs the planned stop. The
// context failed is done when another task or a server of the router has
// returned; the planned stop then ends early.
func (r *Router) stopOnDone(ctx, failed context.Context, servers []*server.Server) error {
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
	if err := r.dispatcher.Drain(drain); err != nil {
		r.Logger.Warn("streams still running at the drain deadline", zap.Error(err))
	}
	if err := r.shards.Drain(drain); err != nil {
		r.Logger.Warn("service calls still running at the drain deadline", zap.Error(err))
	}
	peers.Shutdown(drain)
	operators.Shutdown(drain)
	r.leave(failed)
	return errStopped
}

// handOver waits until this router owns no endpoint and no shard, or no other
// router can take them. The elector hands them over because this router is
// marked as draining.
func (r *Router) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for len(r.elector.Held()) > 0 && r.hasSuccessor() {
		if bergamotdale.Wait(ctx, r.clock, stopPollInterval) != nil {
			r.Logger.Warn("ownership not handed over before the timeout", zap.Int("names", len(r.elector.Held())))
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

// leave tells the other routers that this router leaves and revokes its lease in
// the store.
func (r *Router) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	r.gossiper.Leave(ctx)
	if err := r.elector.Close(ctx); err != nil {
		r.Logger.Warn("failed to revoke the lease", zap.Error(err))
	}
}
