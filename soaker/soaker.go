// Package soaker is a randomised fault-injection test. It runs a fleet of router
// processes under load, injects failures, and checks invariants of the fleet by
// comparing the responses to clients with the counters of the fake servers. The
// schedule of failures and the load are derived from one seed; the interleaving
// of the processes is not reproducible.
//
// It checks these invariants of docs/design.md:
//
//   - I1: an engine never has more concurrent requests than it is configured for.
//   - I2: a client gets the whole text of a completion, unaltered, also when it
//     had to reconnect.
//   - I3: a request that was refused with the outcome not-run was not executed.
//   - I4: a call with an idempotency key is executed at most once, and all
//     clients get the same response.
//   - I6: a planned stop of a router cuts off no stream. The check is that the
//     router process ends without an error.
//   - I7: the configuration revision of a router never decreases, and at most
//     one of several changes to the same revision is accepted.
package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/engineserver"
	"github.com/bergamotdale/bergamotdale/fleettester"
	"github.com/bergamotdale/bergamotdale/generator"
)

const (
	routers  = 4
	engines  = 5
	services = 2
	// engineSlots is the real capacity of an engine. It exceeds the configured
	// concurrency, so that the counters show when routers admit too many requests.
	engineSlots = 64
	// chatClients and callClients are the numbers of concurrent clients. Each
	// sends one request after another.
	chatClients = 12
	callClients = 4
	// settleTime bounds the start of the fleet and its recovery after the last
	// failure.
	settleTime = 60 * time.Second
)

// Soaker is one randomised run. The exported fields must be set before Run.
type Soaker struct {
	Seed     uint64
	Duration time.Duration
	// Binary is the path of the router program. Directory receives the logs of
	// the routers.
	Binary    string
	Directory string
	Logger    *zap.Logger

	fleet  *fleettester.Fleet
	client *generator.Client
	clock  bergamotdale.Clock

	mu         sync.Mutex
	violations []string
	counts     map[string]int
	calls      map[string]*callRecord
	texts      map[string]string
	revisions  map[string]int64
}

// Report is the result of a run.
type Report struct {
	// Violations describes each violation of an invariant.
	Violations []string
	// Counts maps descriptions of events to how often they happened.
	Counts map[string]int
}

// Run runs the fleet under load with failures and checks the invariants.
func (s *Soaker) Run(ctx context.Context) (*Report, error) {
	s.clock = bergamotdale.SystemClock{}
	s.client = generator.NewClient()
	s.counts = map[string]int{}
	s.calls = map[string]*callRecord{}
	s.texts = map[string]string{}
	s.revisions = map[string]int64{}
	s.fleet = &fleettester.Fleet{
		Routers: routers, Engines: engines, Services: services,
		Binary: s.Binary, Directory: s.Directory, Logger: s.Logger,
		AdjustEngine: func(e *engineserver.Server) {
			e.Slots = engineSlots
			e.TokenRate = 100
		},
	}
	if err := s.fleet.Start(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	defer s.fleet.Close()
	if err := s.awaitReady(ctx); err != nil {
		return nil, err
	}
	s.runLoad(ctx)
	if err := s.awaitReady(ctx); err != nil {
		s.recordViolation("the fleet did not recover after the last failure: %v", err)
	}
	s.checkCalls()
	s.checkEngines()
	return &Report{Violations: s.violations, Counts: s.counts}, nil
}

// awaitReady waits until every router is ready, at most for settleTime.
func (s *Soaker) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	return errors.Trace(s.fleet.AwaitReady(ctx))
}

// runLoad runs clients and failures for Duration. Then the failures end and the
// clients finish their last requests.
func (s *Soaker) runLoad(ctx context.Context) {
	deadline := s.clock.Now().Add(s.Duration)
	running := func() bool { return ctx.Err() == nil && s.clock.Now().Before(deadline) }
	var wait sync.WaitGroup
	for i := range chatClients {
		wait.Go(func() { s.runChatClient(ctx, s.newRandom(fmt.Sprint("chat", i)), i, running) })
	}
	for i := range callClients {
		wait.Go(func() { s.runCallClient(ctx, s.newRandom(fmt.Sprint("call", i)), i, running) })
	}
	wait.Go(func() { s.changeConfiguration(ctx, s.newRandom("operators"), running) })
	wait.Go(func() { s.watchRevisions(ctx, running) })
	wait.Go(func() { s.watchEngines(ctx, running) })
	s.injectFailures(ctx, s.newRandom("failures"), running)
	wait.Wait()
}

// newRandom returns the random number generator of a part of the run. Each part
// has its own, so that its numbers do not depend on the timing of other parts.
func (s *Soaker) newRandom(part string) *rand.Rand {
	sum := uint64(0)
	for _, c := range part {
		sum = sum*31 + uint64(c)
	}
	return rand.New(rand.NewPCG(s.Seed, sum))
}

// recordViolation records and logs the violation of an invariant.
func (s *Soaker) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
	s.Logger.Error("invariant violated", zap.String("violation", fmt.Sprintf(format, args...)))
}

// countEvent increments the count of the event.
func (s *Soaker) countEvent(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[event]++
}

// waitRandomly waits for a random time below the limit.
func (s *Soaker) waitRandomly(ctx context.Context, random *rand.Rand, limit time.Duration) {
	_ = bergamotdale.Wait(ctx, s.clock, time.Duration(random.Int64N(int64(limit))))
}

// randomURL returns the base URL of a random router.
func (s *Soaker) randomURL(random *rand.Rand) string {
	return s.fleet.Router(random.IntN(routers)).URL
}
