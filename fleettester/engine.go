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

// restartDelay is how long a crashed engine is away.
const restartDelay = 200 * time.Millisecond

// Engine is a fake engine of the fleet. After a crash it comes back at its
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
	// highest is the highest number of requests of earlier incarnations.
	highest int
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
		adjust:  f.Engine,
		logger:  f.Logger,
	}
	f.engines = append(f.engines, e)
	f.runFake(ctx, func(ctx context.Context) error { return e.run(ctx, listener) })
	return Await(ctx, func() bool { return e.current() != nil })
}

// run serves until the context is done, with a restart after each crash.
func (e *Engine) run(ctx context.Context, listener net.Listener) error {
	e.serve(ctx, listener)
	for bergamotdale.Wait(ctx, bergamotdale.SystemClock{}, restartDelay) == nil {
		e.logger.Info("engine restarts", zap.String("endpoint", e.Name))
		again, err := net.Listen("tcp", e.Address)
		if err != nil {
			return errors.Trace(err)
		}
		e.serve(ctx, again)
	}
	return nil
}

// serve runs one incarnation of the engine to its end.
func (e *Engine) serve(ctx context.Context, listener net.Listener) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := e.replace(listener, cancel).Run(ctx); err != nil {
		e.logger.Info("engine ended", zap.String("endpoint", e.Name), zap.Error(err))
	}
}

// replace makes a new server the current one.
func (e *Engine) replace(listener net.Listener, stop context.CancelFunc) *engineserver.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		e.highest = max(e.highest, e.server.Counters().MaxInFlight)
	}
	if e.faults == nil {
		e.faults = &injector.Injector{OnCrash: e.Crash}
	}
	e.server = &engineserver.Server{
		Address:  e.Address,
		Listener: listener,
		Name:     e.Name,
		// Fast enough for short tests.
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

func (e *Engine) current() *engineserver.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.server
}

// Crash ends the engine process at once; it restarts a moment later.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes++
	e.stop()
}

// Crashes returns the number of crashes so far.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Faults injects faults into the engine.
func (e *Engine) Faults() *injector.Injector {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// Counters returns what the engine has executed since its last start.
func (e *Engine) Counters() engineserver.Counters {
	return e.current().Counters()
}

// MaxInFlight returns the highest number of requests that the engine has had at
// the same time.
func (e *Engine) MaxInFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.highest, e.server.Counters().MaxInFlight)
}

// Drain makes the engine refuse new requests and report that it is draining.
func (e *Engine) Drain() {
	e.current().Drain()
}
