// Package soaker runs a fleet of router processes under load while it injects
// failures, and checks the invariants of docs/design.md from what clients got
// and from the counters of the fakes. The schedule of failures and the load
// follow from one seed; the interleaving of the processes does not.
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
	// engineSlots is above the configured concurrency, so that an engine shows
	// when a router admits too much.
	engineSlots = 64
	// chatClients and callClients send requests one after another.
	chatClients = 12
	callClients = 4
	// settleTime is how long the fleet has to recover at the end.
	settleTime = 60 * time.Second
)

// Soaker is one randomised run. Exported fields are set before Run.
type Soaker struct {
	Seed     uint64
	Duration time.Duration
	// Binary is the program of the routers, Directory receives their logs.
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
	// Violations lists every broken invariant.
	Violations []string
	// Counts holds how often each thing happened.
	Counts map[string]int
}

// Run runs the fleet, the load and the failures.
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
	s.load(ctx)
	if err := s.awaitReady(ctx); err != nil {
		s.violate("the fleet does not recover: %v", err)
	}
	s.checkCalls()
	s.checkEngines()
	return &Report{Violations: s.violations, Counts: s.counts}, nil
}

// awaitReady waits until every router is ready.
func (s *Soaker) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	return errors.Trace(s.fleet.AwaitReady(ctx))
}

// load runs clients and failures for the duration, and then lets clients finish
// while no failure is in force.
func (s *Soaker) load(ctx context.Context) {
	deadline := s.clock.Now().Add(s.Duration)
	running := func() bool { return ctx.Err() == nil && s.clock.Now().Before(deadline) }
	var wait sync.WaitGroup
	for i := range chatClients {
		wait.Go(func() { s.chatClient(ctx, s.random(fmt.Sprint("chat", i)), i, running) })
	}
	for i := range callClients {
		wait.Go(func() { s.callClient(ctx, s.random(fmt.Sprint("call", i)), i, running) })
	}
	wait.Go(func() { s.operators(ctx, s.random("operators"), running) })
	wait.Go(func() { s.watchRevisions(ctx, running) })
	wait.Go(func() { s.watchEngines(ctx, running) })
	s.failures(ctx, s.random("failures"), running)
	wait.Wait()
}

// random returns a source of random numbers of its own for each part.
func (s *Soaker) random(part string) *rand.Rand {
	sum := uint64(0)
	for _, c := range part {
		sum = sum*31 + uint64(c)
	}
	return rand.New(rand.NewPCG(s.Seed, sum))
}

// violate records a broken invariant.
func (s *Soaker) violate(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
	s.Logger.Error("invariant broken", zap.String("violation", fmt.Sprintf(format, args...)))
}

// count counts something that happened.
func (s *Soaker) count(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[what]++
}

// pause waits for a random time up to limit.
func (s *Soaker) pause(ctx context.Context, random *rand.Rand, limit time.Duration) {
	_ = bergamotdale.Wait(ctx, s.clock, time.Duration(random.Int64N(int64(limit))))
}

// url returns the base URL of a random router.
func (s *Soaker) url(random *rand.Rand) string {
	return s.fleet.Router(random.IntN(routers)).URL
}
