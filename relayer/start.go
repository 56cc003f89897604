package relayer

import (
	"context"
	"sync"
	"time"
)

// StartGrace is how long requests wait for the configuration of a process that
// has just started. Reading it takes 0.05 to 0.3 s; a client that is refused
// instead comes back later than that.
const StartGrace = 400 * time.Millisecond

// Start holds the first requests of a process until it knows its routes. It
// answers the load after all routers were killed: the clients of all of them
// arrive in the tenth of a second in which none has read its configuration.
type Start struct {
	once     sync.Once
	prepared chan struct{}
}

// NewStart returns a start that ends after the grace at the latest.
func NewStart(grace time.Duration) *Start {
	s := &Start{prepared: make(chan struct{})}
	time.AfterFunc(grace, s.End)
	return s
}

// End lets requests through from now on.
func (s *Start) End() {
	s.once.Do(func() { close(s.prepared) })
}

// Wait returns once the start has ended or the context is done.
func (s *Start) Wait(ctx context.Context) {
	select {
	case <-s.prepared:
	case <-ctx.Done():
	}
}
