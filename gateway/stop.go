package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/server"
)

const (
	// errStopped makes the run group return after a planned stop.
	errStopped = errors.ConstError("stopped")
	// acceptAfterStop is how long a stopping router still accepts new requests.
	// The platform needs two failed readiness probes, a second apart, to stop
	// sending clients to it.
	acceptAfterStop = 2800 * time.Millisecond
	// refuseAfterStop is how long the router then refuses new requests before it
	// closes its connections. The request of a client that connected at the last
	// moment may still be on its way, and TCP retransmits a lost packet after 0.2
	// to 0.4 s.
	refuseAfterStop = 500 * time.Millisecond
	// settleAfterStop is how long the process keeps running after its last
	// response, so that TCP can retransmit a lost packet of that response.
	settleAfterStop = 300 * time.Millisecond
	// stopMargin is how long before the stop deadline the router stops waiting
	// for requests in progress.
	stopMargin = 500 * time.Millisecond
	// abortTime is how long the responses to aborted requests may take to be written.
	abortTime = 100 * time.Millisecond
	// drainPollInterval is the time between two checks whether requests are still
	// in progress during a planned stop.
	drainPollInterval = 50 * time.Millisecond
	// leaveTimeout bounds the messages that tell the other routers of the stop.
	leaveTimeout = 300 * time.Millisecond
	// stoppingRetryAfter is the Retry-After time of a refusal by a stopping
	// router. It is short, since another router can take the request at once.
	stoppingRetryAfter = 100 * time.Millisecond
	// excessRetryAfter is that of a refusal on a connection in excess. Another router is
	// likely to have room.
	excessRetryAfter = 250 * time.Millisecond
)

// processRefusal returns the refusal for a request on a connection in excess, and for all
// once a planned stop no longer accepts them, else nil.
func (g *Gateway) processRefusal(ctx context.Context) *bergamotdale.Refusal {
	switch {
	case g.refusing.Load():
		return bergamotdale.Refuse(bergamotdale.CodeStopping, "this router is stopping").After(stoppingRetryAfter)
	case server.IsExcess(ctx):
		return bergamotdale.Refuse(bergamotdale.CodeTooManyConnections, "this router serves %d connections already, each with a request in progress",
			g.servedConnections()).After(excessRetryAfter)
	default:
		return nil
	}
}

// countActive wraps a handler and counts its requests in progress. During a planned
// stop each response closes its connection, so that the client connects to another
// router. Idle connections stay open until the listener closes: the next request
// may already be on its way.
func (g *Gateway) countActive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.activeRequests.Add(1)
		defer g.activeRequests.Add(-1)
		if g.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// waitForRequests waits until no request is in progress or the context is done. It
// reports whether none is.
func (g *Gateway) waitForRequests(ctx context.Context) bool {
	for g.activeRequests.Load() > 0 {
		if bergamotdale.Wait(ctx, g.clock, drainPollInterval) != nil {
			return g.activeRequests.Load() == 0
		}
	}
	return true
}

// stopWhenDone carries out a planned stop once ctx is done. It returns early if
// groupCtx is done, which means that another component of the gateway has failed.
func (g *Gateway) stopWhenDone(ctx, groupCtx context.Context, clientServer *server.Server) error {
	select {
	case <-groupCtx.Done():
		return nil
	case <-ctx.Done():
	}
	began := g.clock.Now()
	deadline := began.Add(g.Settings.StopDeadline - stopMargin)
	g.Logger.Info("stopping", zap.Int64("requests", g.activeRequests.Load()), zap.Duration("deadline", g.Settings.StopDeadline))
	g.stopping.Store(true)
	g.gossiper.SetDraining()
	// If the deadline is short, half of its time is kept for requests in progress.
	accept := min(acceptAfterStop, deadline.Sub(began)/2)
	if bergamotdale.Wait(groupCtx, g.clock, accept) != nil {
		return nil
	}
	g.refusing.Store(true)
	drainCtx, cancel := context.WithTimeout(groupCtx, deadline.Sub(g.clock.Now()))
	defer cancel()
	if bergamotdale.Wait(drainCtx, g.clock, refuseAfterStop) == nil {
		clientServer.Drain(drainCtx)
	}
	if !g.waitForRequests(drainCtx) {
		g.abort()
		abortCtx, cancelAbort := context.WithTimeout(groupCtx, abortTime)
		defer cancelAbort()
		g.waitForRequests(abortCtx)
	}
	g.Logger.Info("finished waiting for requests in progress", zap.Int64("left", g.activeRequests.Load()), zap.Duration("after", g.clock.Now().Sub(began)))
	leaveCtx, cancelLeave := context.WithTimeout(groupCtx, leaveTimeout)
	defer cancelLeave()
	g.gossiper.Leave(leaveCtx)
	if err := bergamotdale.Wait(drainCtx, g.clock, settleAfterStop); err != nil {
		g.Logger.Warn("stop ended before the last response had time to be retransmitted", zap.Error(err))
	}
	return errStopped
}
