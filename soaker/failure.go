package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/fleettester"
	"github.com/bergamotdale/bergamotdale/generator"
	"github.com/bergamotdale/bergamotdale/injector"
)

// failure is a kind of failure that can be injected.
type failure struct {
	name string
	// unavailableRouters is the number of routers that the failure makes
	// unavailable, 0 or 1.
	unavailableRouters int
	// inject causes the failure and blocks until it has ended. Faults of endpoints
	// are the exception: they end on their own after inject has returned. The
	// router is an index, or -1 if the failure makes none unavailable.
	inject func(ctx context.Context, random *rand.Rand, router int)
}

// maxUnavailableRouters is the number of routers that may be unavailable at the
// same time.
const maxUnavailableRouters = 2

// injectFailures starts a random failure every few seconds while running returns
// true. Failures may overlap. At the end it waits for those that still block and
// clears the faults of the platform.
func (s *Soaker) injectFailures(ctx context.Context, random *rand.Rand, running func() bool) {
	kinds := s.failureKinds()
	reservations := newRouterReservations(maxUnavailableRouters)
	var wait sync.WaitGroup
	for running() {
		s.waitRandomly(ctx, random, 3*time.Second)
		kind := kinds[random.IntN(len(kinds))]
		router := -1
		if kind.unavailableRouters > 0 {
			if router = reservations.reserve(random); router < 0 {
				continue
			}
		}
		kindRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		s.countEvent("failure: " + kind.name)
		s.Logger.Info("failure injected", zap.String("kind", kind.name), zap.Int("router", router+1))
		wait.Go(func() {
			kind.inject(ctx, kindRandom, router)
			if router >= 0 {
				reservations.release(router)
			}
		})
	}
	wait.Wait()
	s.fleet.PlatformFaults().Clear()
}

// routerReservations tracks the routers that a failure makes unavailable, so that
// two failures do not hit the same router and enough routers remain.
type routerReservations struct {
	mu       sync.Mutex
	reserved map[int]bool
	limit    int
}

func newRouterReservations(limit int) *routerReservations {
	return &routerReservations{reserved: map[int]bool{}, limit: limit}
}

// reserve picks a random router and reserves it. It returns -1 if that router is
// reserved already or the limit is reached.
func (r *routerReservations) reserve(random *rand.Rand) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	router := random.IntN(routers)
	if len(r.reserved) >= r.limit || r.reserved[router] {
		return -1
	}
	r.reserved[router] = true
	return router
}

// release ends the reservation of a router.
func (r *routerReservations) release(router int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reserved, router)
}

// failureKinds returns all kinds of failures.
func (s *Soaker) failureKinds() []failure {
	return []failure{
		{"kill router", 1, s.killRouter},
		{"pause router", 1, s.pauseRouter},
		{"stop router", 1, s.stopRouter},
		{"cut router from store", 1, s.cutRouterFromStore},
		{"store outage", 0, s.injectPlatformFault(injector.Outage, 20*time.Second)},
		{"slow store", 0, s.injectPlatformFault(injector.Delay, 5*time.Second)},
		{"lost store responses", 0, s.injectPlatformFault(injector.LoseResponse, 2*time.Second)},
		{"VM lists disagree", 0, s.hideVMsFromRouter},
		{"engine crash", 0, s.crashEngine},
		{"engine freeze", 0, s.injectEngineFault(injector.Freeze)},
		{"engine silence", 0, s.injectEngineFault(injector.Silence)},
		{"engine cut", 0, s.injectEngineFault(injector.Cut)},
		{"service loses responses", 0, s.injectServiceFault(injector.LoseResponse)},
		{"service refuses", 0, s.injectServiceFault(injector.Refuse)},
		{"service cut", 0, s.injectServiceFault(injector.Cut)},
		{"poison request", 0, s.sendPoisonRequest},
		{"flood", 0, s.sendFlood},
	}
}

// randomDuration returns a random duration from a tenth of the limit up to 1.1
// times the limit.
func randomDuration(random *rand.Rand, limit time.Duration) time.Duration {
	return limit/10 + time.Duration(random.Int64N(int64(limit)))
}

func (s *Soaker) killRouter(ctx context.Context, random *rand.Rand, router int) {
	s.fleet.Router(router).Kill()
	_ = bergamotdale.Wait(ctx, s.clock, randomDuration(random, 5*time.Second))
	s.restartRouter(router)
}

func (s *Soaker) stopRouter(ctx context.Context, random *rand.Rand, router int) {
	if err := s.fleet.Router(router).Stop(); err != nil {
		s.recordViolation("I6: router %d ended its planned stop with an error: %v", router+1, err)
	}
	_ = bergamotdale.Wait(ctx, s.clock, randomDuration(random, 5*time.Second))
	s.restartRouter(router)
}

func (s *Soaker) restartRouter(router int) {
	if _, err := s.fleet.StartRouter(router); err != nil {
		s.recordViolation("router %d could not be restarted: %v", router+1, err)
	}
}

func (s *Soaker) pauseRouter(ctx context.Context, random *rand.Rand, router int) {
	r := s.fleet.Router(router)
	if err := r.Pause(); err != nil {
		return
	}
	_ = bergamotdale.Wait(ctx, s.clock, randomDuration(random, 15*time.Second))
	_ = r.Resume()
}

// cutRouterFromStore makes the platform unreachable for one router.
func (s *Soaker) cutRouterFromStore(ctx context.Context, random *rand.Rand, router int) {
	id := s.fleet.PlatformFaults().Add(injector.Fault{Kind: injector.Outage, Caller: s.fleet.Router(router).Name})
	_ = bergamotdale.Wait(ctx, s.clock, randomDuration(random, 20*time.Second))
	s.fleet.PlatformFaults().Remove(id)
}

// injectPlatformFault returns a failure that applies a fault to all requests to
// the store and the VM list.
func (s *Soaker) injectPlatformFault(kind injector.Kind, limit time.Duration) func(context.Context, *rand.Rand, int) {
	return func(ctx context.Context, random *rand.Rand, _ int) {
		id := s.fleet.PlatformFaults().Add(injector.Fault{Kind: kind, DelayMS: 100 + random.Int64N(900)})
		_ = bergamotdale.Wait(ctx, s.clock, randomDuration(random, limit))
		s.fleet.PlatformFaults().Remove(id)
	}
}

// hideVMsFromRouter gives one router an empty VM list, while the other routers still
// get the complete one.
func (s *Soaker) hideVMsFromRouter(ctx context.Context, random *rand.Rand, _ int) {
	caller := s.fleet.Router(random.IntN(routers)).Name
	s.fleet.Platform().OverrideVMs(caller, []bergamotdale.VM{})
	_ = bergamotdale.Wait(ctx, s.clock, randomDuration(random, 10*time.Second))
	s.fleet.Platform().OverrideVMs(caller, nil)
}

func (s *Soaker) crashEngine(_ context.Context, random *rand.Rand, _ int) {
	s.fleet.EngineAt(random.IntN(engines)).Crash()
}

// injectEngineFault returns a failure that applies a fault to a random engine.
func (s *Soaker) injectEngineFault(kind injector.Kind) func(context.Context, *rand.Rand, int) {
	return func(_ context.Context, random *rand.Rand, _ int) {
		s.fleet.EngineAt(random.IntN(engines)).Faults().Add(injector.Fault{
			Kind: kind, DurationMS: randomDuration(random, 8*time.Second).Milliseconds(),
		})
	}
}

// injectServiceFault returns a failure that applies a fault to the bookings at a
// random service endpoint.
func (s *Soaker) injectServiceFault(kind injector.Kind) func(context.Context, *rand.Rand, int) {
	return func(_ context.Context, random *rand.Rand, _ int) {
		s.fleet.ServiceAt(random.IntN(services)).Faults.Add(injector.Fault{
			Kind: kind, Path: "/" + fleettester.CallConfirm, DurationMS: randomDuration(random, 4*time.Second).Milliseconds(),
		})
	}
}

// sendPoisonRequest sends a request that crashes every engine that executes it, and
// repeats it until the routers quarantine it.
func (s *Soaker) sendPoisonRequest(ctx context.Context, random *rand.Rand, _ int) {
	mark := fmt.Sprintf("poison-%d", random.Uint64())
	for i := range engines {
		s.fleet.EngineAt(i).Faults().Add(injector.Fault{
			Kind: injector.Crash, Mark: mark, DurationMS: time.Minute.Milliseconds(),
		})
	}
	before := s.engineCrashes()
	for range maxAttempts {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		result, _ := s.client.Chat(requestCtx, generator.ChatRequest{
			URL: s.randomURL(random), Workspace: fleettester.LargeWorkspace, ChatID: mark,
			Model: fleettester.Model, Messages: []string{mark}, MaxTokens: 10,
		})
		cancel()
		if result.Refusal != nil && result.Refusal.Code == bergamotdale.CodeQuarantined {
			s.countEvent("poison request quarantined")
			break
		}
		s.waitRandomly(ctx, random, time.Second)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts["crashes around poison requests"] += s.engineCrashes() - before
}

// engineCrashes returns the total number of crashes of all engines.
func (s *Soaker) engineCrashes() int {
	sum := 0
	for i := range engines {
		sum += s.fleet.EngineAt(i).Crashes()
	}
	return sum
}

// sendFlood sends many requests of one priority class at the same time.
func (s *Soaker) sendFlood(ctx context.Context, random *rand.Rand, _ int) {
	class := []string{fleettester.ClassUrgent, fleettester.ClassBatch}[random.IntN(2)]
	var wait sync.WaitGroup
	for i := range 100 {
		url := s.randomURL(random)
		wait.Go(func() {
			requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			_, _ = s.client.Chat(requestCtx, generator.ChatRequest{
				URL: url, Workspace: fleettester.LargeWorkspace, Class: class,
				ChatID: fmt.Sprintf("flood-%d", i), Model: fleettester.Model,
				Messages: []string{fmt.Sprintf("flood %d", i)}, MaxTokens: 30,
			})
		})
	}
	wait.Wait()
}
