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
	// errStopped ends the run group after a planned stop.
	errStopped = errors.ConstError("stopped")
	// acceptAfterStop is how long a stopping router takes new requests: until
	// the platform has noticed, from two answers a second apart, that it is not
	// ready.
	acceptAfterStop = 2800 * time.Millisecond
	// refuseAfterStop is how long it refuses requests after that before it closes
	// its connections: a client that connected in the last moment has its request
	// under way, and TCP repeats a lost packet after 0.2 to 0.4 s.
	refuseAfterStop = 500 * time.Millisecond
	// settleAfterStop is how long the process stays after its last response, so
	// that a lost packet of it is repeated.
	settleAfterStop = 300 * time.Millisecond
	// stopMargin is how long before the deadline the last requests are ended.
	stopMargin = 500 * time.Millisecond
	// stopPoll is how often a planned stop looks for running requests.
	stopPoll = 50 * time.Millisecond
	// leaveTimeout bounds the last messages to other routers.
	leaveTimeout = 300 * time.Millisecond
	// stoppingRetryAfter sends clients to another router at once.
	stoppingRetryAfter = 100 * time.Millisecond
)

// refusing returns the refusal of new requests near the end of a planned stop.
func (g *Gateway) refusing() *bergamotdale.Refusal {
	if !g.closed.Load() {
		return nil
	}
	return bergamotdale.Refuse(bergamotdale.CodeStopping, "the router is stopping").After(stoppingRetryAfter)
}

// counted counts the requests that are in progress.
func (g *Gateway) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.active.Add(1)
		defer g.active.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// untilStopped waits for the planned stop and carries it out. The second
// context is done when another part of the gateway has failed.
func (g *Gateway) untilStopped(ctx, failed context.Context, clients *server.Server) error {
	select {
	case <-failed.Done():
		return nil
	case <-ctx.Done():
	}
	begun := g.clock.Now()
	deadline := begun.Add(g.Settings.StopDeadline - stopMargin)
	g.Logger.Info("stopping", zap.Int64("requests", g.active.Load()), zap.Duration("deadline", g.Settings.StopDeadline))
	g.stopping.Store(true)
	g.gossiper.SetDraining()
	clients.DisableKeepAlives()
	// A short deadline leaves half of its time to the requests in progress.
	accept := min(acceptAfterStop, deadline.Sub(begun)/2)
	if bergamotdale.Wait(failed, g.clock, accept) != nil {
		return nil
	}
	g.closed.Store(true)
	drain, cancel := context.WithTimeout(failed, deadline.Sub(g.clock.Now()))
	defer cancel()
	if bergamotdale.Wait(drain, g.clock, refuseAfterStop) == nil {
		clients.Shutdown(drain)
	}
	for g.active.Load() > 0 {
		if bergamotdale.Wait(drain, g.clock, stopPoll) != nil {
			break
		}
	}
	g.Logger.Info("requests ended", zap.Int64("left", g.active.Load()), zap.Duration("after", g.clock.Now().Sub(begun)))
	leave, cancelLeave := context.WithTimeout(failed, leaveTimeout)
	defer cancelLeave()
	g.gossiper.Leave(leave)
	if err := bergamotdale.Wait(drain, g.clock, settleAfterStop); err != nil {
		g.Logger.Warn("stopped at the deadline", zap.Error(err))
	}
	return errStopped
}
