package relayer

import (
	"context"
	"sync"
	"time"
)

// MaxStartupWait is how long requests wait while a process that has just started
// reads its configuration. Reading it takes 0.05 to 0.3 s. A request that is
// refused instead is retried by its client later than that.
const MaxStartupWait = 400 * time.Millisecond

// StartupGate holds the first requests of a process until it has read its routes.
// When all routers were killed and start again, the requests of all clients arrive
// within a tenth of a second in which no router has read its configuration;
// without the gate, each of them would be refused.
type StartupGate struct {
	once sync.Once
	// opened is closed by Open.
	opened chan struct{}
}

// NewStartupGate returns a closed gate that opens after maxWait at the latest.
func NewStartupGate(maxWait time.Duration) *StartupGate {
	g := &StartupGate{opened: make(chan struct{})}
	time.AfterFunc(maxWait, g.Open)
	return g
}

// Open lets requests through from now on. It may be called more than once.
func (g *StartupGate) Open() {
	g.once.Do(func() { close(g.opened) })
}

// Wait returns once the gate is open or the context is done.
func (g *StartupGate) Wait(ctx context.Context) {
	select {
	case <-g.opened:
	case <-ctx.Done():
	}
}
