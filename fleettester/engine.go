package fleettester

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/engineserver"
	"github.com/bergamotdale/bergamotdale/injector"
)

// restartDelay is the time from a crash of an engine to its restart.
const restartDelay = 200 * time.Millisecond

// Engine is a fake engine of the fleet. After a crash it restarts at the same
// address with an empty cache.
type Engine struct {
	Name    string
	Address string

	adjust func(*engineserver.Server)
	logger *zap.Logger

	mu      sync.Mutex
	server  *engineserver.Server
	faults  *injector.Injector
	stop    context.CancelFunc
	crashes int
	// earlierMaxInFlight is the highest number of concurrent requests before the
	// last restart.
	earlierMaxInFlight int
}

// startEngine starts the engine with the index.
func (f *Fleet) startEngine(ctx context.Context, i int) error {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.2.%d:0", i+1))
	if err != nil {
		return errors.Trace(err)
	}
	e := &Engine{
		Name:    fmt.Sprintf("engine-%02d", i+1),
		Address: listener.Addr().String(),
		adjust:  f.AdjustEngine,
		logger:  f.Logger,
	}
	f.engines = append(f.engines, e)
	f.runFake(ctx, func(ctx context.Context) error { return e.run(ctx, listener) })
	return Await(ctx, func() bool { return e.currentServer() != nil })
}

// run serves until the context is done and restarts the engine after each crash.
func (e *Engine) run(ctx context.Context, listener net.Listener) error {
	e.serve(ctx, listener)
	for bergamotdale.Wait(ctx, bergamotdale.SystemClock{}, restartDelay) == nil {
		e.logger.Info("engine restarting after a crash", zap.String("endpoint", e.Name))
		reopened, err := net.Listen("tcp", e.Address)
		if err != nil {
			return errors.Trace(err)
		}
		e.serve(ctx, reopened)
	}
	return nil
}

// serve runs the engine until it crashes or the context is done.
func (e *Engine) serve(ctx context.Context, listener net.Listener) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := e.replaceServer(listener, cancel).Run(ctx); err != nil {
		e.logger.Info("engine stopped with an error", zap.String("endpoint", e.Name), zap.Error(err))
	}
}

// replaceServer creates the server that replaces the current one. The faults
// stay active across a restart.
func (e *Engine) replaceServer(listener net.Listener, stop context.CancelFunc) *engineserver.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		e.earlierMaxInFlight = max(e.earlierMaxInFlight, e.server.Counters().MaxInFlight)
	}
	if e.faults == nil {
		e.faults = &injector.Injector{OnCrash: e.Crash}
	}
	e.server = &engineserver.Server{
		Address:  e.Address,
		Listener: listener,
		Name:     e.Name,
		// High rates keep the tests short.
		TokenRate:   500,
		PrefillRate: 100000,
		Faults:      e.faults,
	}
	if e.adjust != nil {
		e.adjust(e.server)
	}
	e.stop = stop
	return e.server
}

// currentServer returns the running server, or nil before the first start.
func (e *Engine) currentServer() *engineserver.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.server
}

// Crash stops the engine immediately, as the end of its process would. The
// engine restarts after restartDelay.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes++
	e.stop()
}

// Crashes returns how often the engine has crashed.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Faults returns the injector of the engine.
func (e *Engine) Faults() *injector.Injector {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Counters returns the counters of the engine since its last start.
func (e *Engine) Counters() engineserver.Counters {
	return e.currentServer().Counters()
}

// MaxInFlight returns the highest number of concurrent requests that the engine
// has had, across restarts.
func (e *Engine) MaxInFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.earlierMaxInFlight, e.server.Counters().MaxInFlight)
}

// Drain makes the engine refuse new requests and report that it is draining.
func (e *Engine) Drain() {
	e.currentServer().Drain()
}
