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

// failure is one kind of failure. It blocks while the failure lasts.
type failure struct {
	name string
	// routers is the number of routers that are away meanwhile.
	routers int
	inject  func(ctx context.Context, random *rand.Rand, router int)
}

// maxAway is the number of routers that may be away at the same time.
const maxAway = 2

// failures injects failures until the run ends, up to two or three at a time.
func (s *Soaker) failures(ctx context.Context, random *rand.Rand, running func() bool) {
	kinds := s.kinds()
	away := newSlots(maxAway)
	var wait sync.WaitGroup
	for running() {
		s.pause(ctx, random, 3*time.Second)
		kind := kinds[random.IntN(len(kinds))]
		router := -1
		if kind.routers > 0 {
			if router = away.take(random); router < 0 {
				continue
			}
		}
		part := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		s.count("failure: " + kind.name)
		s.Logger.Info("failure", zap.String("kind", kind.name), zap.Int("router", router+1))
		wait.Go(func() {
			kind.inject(ctx, part, router)
			if router >= 0 {
				away.free(router)
			}
		})
	}
	wait.Wait()
	s.fleet.PlatformFaults().Clear()
}

// slots keeps track of the routers that are away.
type slots struct {
	mu    sync.Mutex
	taken map[int]bool
	limit int
}

func newSlots(limit int) *slots {
	return &slots{taken: map[int]bool{}, limit: limit}
}

// take returns a router that is not away, or -1 if enough are.
func (s *slots) take(random *rand.Rand) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	router := random.IntN(routers)
	if len(s.taken) >= s.limit || s.taken[router] {
		return -1
	}
	s.taken[router] = true
	return router
}

func (s *slots) free(router int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.taken, router)
}

// kinds returns all failures.
func (s *Soaker) kinds() []failure {
	return []failure{
		{"kill router", 1, s.killRouter},
		{"pause router", 1, s.pauseRouter},
		{"stop router", 1, s.stopRouter},
		{"cut router from store", 1, s.cutFromStore},
		{"store outage", 0, s.platformFault(injector.Outage, 20*time.Second)},
		{"slow store", 0, s.platformFault(injector.Delay, 5*time.Second)},
		{"lost store responses", 0, s.platformFault(injector.LoseResponse, 2*time.Second)},
		{"VM lists disagree", 0, s.listsDisagree},
		{"engine crash", 0, s.engineCrash},
		{"engine freeze", 0, s.engineFault(injector.Freeze)},
		{"engine silence", 0, s.engineFault(injector.Silence)},
		{"engine cut", 0, s.engineFault(injector.Cut)},
		{"service loses responses", 0, s.serviceFault(injector.LoseResponse)},
		{"service refuses", 0, s.serviceFault(injector.Refuse)},
		{"service cut", 0, s.serviceFault(injector.Cut)},
		{"poison request", 0, s.poison},
		{"flood", 0, s.flood},
	}
}

// duration returns a random time of at least a tenth of the limit.
func duration(random *rand.Rand, limit time.Duration) time.Duration {
	return limit/10 + time.Duration(random.Int64N(int64(limit)))
}

func (s *Soaker) killRouter(ctx context.Context, random *rand.Rand, router int) {
	s.fleet.Router(router).Kill()
	_ = bergamotdale.Wait(ctx, s.clock, duration(random, 5*time.Second))
	s.restart(router)
}

func (s *Soaker) stopRouter(ctx context.Context, random *rand.Rand, router int) {
	if err := s.fleet.Router(router).Stop(); err != nil {
		s.violate("I6: the planned stop of router %d failed: %v", router+1, err)
	}
	_ = bergamotdale.Wait(ctx, s.clock, duration(random, 5*time.Second))
	s.restart(router)
}

func (s *Soaker) restart(router int) {
	if _, err := s.fleet.StartRouter(router); err != nil {
		s.violate("router %d does not start: %v", router+1, err)
	}
}

func (s *Soaker) pauseRouter(ctx context.Context, random *rand.Rand, router int) {
	r := s.fleet.Router(router)
	if err := r.Pause(); err != nil {
		return
	}
	_ = bergamotdale.Wait(ctx, s.clock, duration(random, 15*time.Second))
	_ = r.Resume()
}

func (s *Soaker) cutFromStore(ctx context.Context, random *rand.Rand, router int) {
	id := s.fleet.PlatformFaults().Add(injector.Fault{Kind: injector.Outage, Caller: s.fleet.Router(router).Name})
	_ = bergamotdale.Wait(ctx, s.clock, duration(random, 20*time.Second))
	s.fleet.PlatformFaults().Remove(id)
}

func (s *Soaker) platformFault(kind injector.Kind, limit time.Duration) func(context.Context, *rand.Rand, int) {
	return func(ctx context.Context, random *rand.Rand, _ int) {
		id := s.fleet.PlatformFaults().Add(injector.Fault{Kind: kind, DelayMS: 100 + random.Int64N(900)})
		_ = bergamotdale.Wait(ctx, s.clock, duration(random, limit))
		s.fleet.PlatformFaults().Remove(id)
	}
}

// listsDisagree shows one router a VM list without most of the others.
func (s *Soaker) listsDisagree(ctx context.Context, random *rand.Rand, _ int) {
	caller := s.fleet.Router(random.IntN(routers)).Name
	s.fleet.Platform().OverrideVMs(caller, []bergamotdale.VM{})
	_ = bergamotdale.Wait(ctx, s.clock, duration(random, 10*time.Second))
	s.fleet.Platform().OverrideVMs(caller, nil)
}

func (s *Soaker) engineCrash(_ context.Context, random *rand.Rand, _ int) {
	s.fleet.EngineAt(random.IntN(engines)).Crash()
}

func (s *Soaker) engineFault(kind injector.Kind) func(context.Context, *rand.Rand, int) {
	return func(_ context.Context, random *rand.Rand, _ int) {
		s.fleet.EngineAt(random.IntN(engines)).Faults().Add(injector.Fault{
			Kind: kind, DurationMS: duration(random, 8*time.Second).Milliseconds(),
		})
	}
}

func (s *Soaker) serviceFault(kind injector.Kind) func(context.Context, *rand.Rand, int) {
	return func(_ context.Context, random *rand.Rand, _ int) {
		s.fleet.ServiceAt(random.IntN(services)).Faults.Add(injector.Fault{
			Kind: kind, Path: "/" + fleettester.CallConfirm, DurationMS: duration(random, 4*time.Second).Milliseconds(),
		})
	}
}

// poison sends a request that crashes every engine that runs it.
func (s *Soaker) poison(ctx context.Context, random *rand.Rand, _ int) {
	mark := fmt.Sprintf("poison-%d", random.Uint64())
	for i := range engines {
		s.fleet.EngineAt(i).Faults().Add(injector.Fault{
			Kind: injector.Crash, Mark: mark, DurationMS: time.Minute.Milliseconds(),
		})
	}
	before := s.crashes()
	for range attempts {
		limited, cancel := context.WithTimeout(ctx, requestTimeout)
		result, _ := s.client.Chat(limited, generator.ChatRequest{
			URL: s.url(random), Workspace: fleettester.LargeWorkspace, ChatID: mark,
			Model: fleettester.Model, Messages: []string{mark}, MaxTokens: 10,
		})
		cancel()
		if result.Refusal != nil && result.Refusal.Code == bergamotdale.CodeQuarantined {
			s.count("poison request quarantined")
			break
		}
		s.pause(ctx, random, time.Second)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts["crashes around poison requests"] += s.crashes() - before
}

// crashes returns the crashes of all engines.
func (s *Soaker) crashes() int {
	sum := 0
	for i := range engines {
		sum += s.fleet.EngineAt(i).Crashes()
	}
	return sum
}

// flood sends many requests of one class at once.
func (s *Soaker) flood(ctx context.Context, random *rand.Rand, _ int) {
	class := []string{fleettester.ClassUrgent, fleettester.ClassBatch}[random.IntN(2)]
	var wait sync.WaitGroup
	for i := range 100 {
		url := s.url(random)
		wait.Go(func() {
			limited, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			_, _ = s.client.Chat(limited, generator.ChatRequest{
				URL: url, Workspace: fleettester.LargeWorkspace, Class: class,
				ChatID: fmt.Sprintf("flood-%d", i), Model: fleettester.Model,
				Messages: []string{fmt.Sprintf("flood %d", i)}, MaxTokens: 30,
			})
		})
	}
	wait.Wait()
}
