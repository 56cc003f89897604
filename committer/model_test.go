package committer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/committer"
	"github.com/bergamotdale/bergamotdale/storetester"
)

// modelKeys are the idempotency keys of the simulated requests. Their records
// fill more than one segment of the SegmentBytes that the model sets.
var modelKeys = []string{"a", "b", "c", "d"}

// fault is a fault injected into one compare-and-swap on the store.
type fault string

const (
	healthy fault = "healthy"
	// unavailable fails the write with the certainty that it was not executed.
	unavailable fault = "unavailable"
	// After each of the next three faults the writer cannot tell whether the
	// write was executed. With lostRequest it never is, with lostResponse it is
	// executed at once, and with lateWrite 3 s later.
	lostRequest  fault = "lost-request"
	lostResponse fault = "lost-response"
	lateWrite    fault = "late-write"
	// crashBefore and crashAfter end the process before or after the write.
	crashBefore fault = "crash-before"
	crashAfter  fault = "crash-after"
	// pause blocks the process before the write until it is resumed.
	pause fault = "pause"
)

// simulation holds a store, the processes that own its shard in turn, and a
// record of what the endpoint executed.
type simulation struct {
	store *storetester.Store
	clock bergamotdale.SystemClock

	lock sync.Mutex
	// faults are applied to the writes in order.
	faults []fault
	epoch  int64
	// The maps hold by key how often its call was executed, the body of its last
	// response, and whether a client was told that the response is recorded.
	executions map[string]int
	responses  map[string]string
	recorded   map[string]bool
	violations []string
	requests   sync.WaitGroup
	processes  []*process
}

// process is a router process that may own the shard. A crashed process is not
// restarted.
type process struct {
	sim     *simulation
	name    string
	shard   *committer.Shard
	cancel  context.CancelFunc
	crashed bool
	opening bool
	// resume is non-nil while the process is paused and closed when it continues.
	resume chan struct{}
}

func (sim *simulation) newProcess() *process {
	p := &process{sim: sim, name: fmt.Sprintf("router-%d", len(sim.processes))}
	sim.processes = append(sim.processes, p)
	return p
}

func (sim *simulation) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// wait blocks for a duration. It creates no timer with a zero duration: with
// -race, Go 1.26.8 crashed in runtime.(*timer).maybeRunChan when it received
// from such a timer inside a synctest bubble.
func (sim *simulation) wait(d time.Duration) {
	if d > 0 {
		<-sim.clock.After(d)
	}
}

func (sim *simulation) nextFault() fault {
	sim.lock.Lock()
	defer sim.lock.Unlock()
	if len(sim.faults) == 0 {
		return healthy
	}
	f := sim.faults[0]
	sim.faults = sim.faults[1:]
	return f
}

// waitWhilePaused blocks while the process is paused. It returns ErrUnavailable
// if the process has crashed.
func (p *process) waitWhilePaused() error {
	for {
		p.sim.lock.Lock()
		resume, crashed := p.resume, p.crashed
		p.sim.lock.Unlock()
		if crashed {
			return bergamotdale.ErrUnavailable
		}
		if resume == nil {
			return nil
		}
		<-resume
	}
}

func (p *process) crash() {
	p.sim.lock.Lock()
	defer p.sim.lock.Unlock()
	p.crashed = true
	p.resumeLocked()
	if p.cancel != nil {
		p.cancel()
	}
}

// resumeLocked ends a pause. The caller holds the lock of the simulation.
func (p *process) resumeLocked() {
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

func (p *process) pause() {
	p.sim.lock.Lock()
	defer p.sim.lock.Unlock()
	if p.resume == nil && !p.crashed {
		p.resume = make(chan struct{})
	}
}

func (p *process) unpause() {
	p.sim.lock.Lock()
	defer p.sim.lock.Unlock()
	p.resumeLocked()
}

// faultyStore gives one process access to the store and injects the faults.
type faultyStore struct {
	bergamotdale.Store
	process *process
}

func (s faultyStore) Get(ctx context.Context, key string) (bergamotdale.Entry, error) {
	if err := s.process.waitWhilePaused(); err != nil {
		return bergamotdale.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s faultyStore) List(ctx context.Context, prefix string) ([]bergamotdale.Entry, error) {
	if err := s.process.waitWhilePaused(); err != nil {
		return nil, err
	}
	return s.Store.List(ctx, prefix)
}

func (s faultyStore) Delete(ctx context.Context, key string, version int64) error {
	if err := s.process.waitWhilePaused(); err != nil {
		return err
	}
	return s.Store.Delete(ctx, key, version)
}

func (s faultyStore) CompareAndSwap(ctx context.Context, key string, value []byte, version int64) (bergamotdale.Entry, error) {
	p := s.process
	f := p.sim.nextFault()
	switch f {
	case pause:
		p.pause()
	case crashBefore:
		p.crash()
	}
	if err := p.waitWhilePaused(); err != nil {
		return bergamotdale.Entry{}, err
	}
	switch f {
	case unavailable:
		return bergamotdale.Entry{}, bergamotdale.ErrUnavailable
	case lostRequest:
		return bergamotdale.Entry{}, bergamotdale.ErrAmbiguous
	case lateWrite:
		go func() {
			<-p.sim.clock.After(3 * time.Second)
			s.Store.CompareAndSwap(context.Background(), key, value, version)
		}()
		return bergamotdale.Entry{}, bergamotdale.ErrAmbiguous
	}
	e, err := s.Store.CompareAndSwap(context.WithoutCancel(ctx), key, value, version)
	if f == crashAfter {
		p.crash()
	}
	if f == crashAfter || f == lostResponse {
		return bergamotdale.Entry{}, bergamotdale.ErrAmbiguous
	}
	return e, err
}

// open makes the process the owner of the shard under a new epoch.
func (sim *simulation) open(p *process) {
	sim.lock.Lock()
	if p.opening {
		sim.lock.Unlock()
		return
	}
	p.opening = true
	sim.epoch++
	epoch := sim.epoch
	sim.lock.Unlock()
	if p.cancel != nil {
		p.cancel()
	}
	shard, err := committer.Open(context.Background(), committer.Settings{
		Epoch:        epoch,
		Owner:        p.name,
		Store:        faultyStore{sim.store, p},
		Clock:        sim.clock,
		SegmentBytes: 250,
		CallTimeout:  30 * time.Second,
		StillOwned: func() bool {
			sim.lock.Lock()
			defer sim.lock.Unlock()
			return sim.epoch == epoch
		},
	})
	sim.lock.Lock()
	defer sim.lock.Unlock()
	p.opening = false
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.shard, p.cancel = shard, cancel
	if p.crashed {
		cancel()
	}
	sim.requests.Go(func() { shard.Run(ctx) })
}

// behaviour is how the endpoint handles a call.
type behaviour string

const (
	responds          behaviour = "responds"
	refuses           behaviour = "refuses"
	failsBeforeEffect behaviour = "fails-before-the-effect"
	failsAfterEffect  behaviour = "fails-after-the-effect"
	respondsTooLarge  behaviour = "responds-with-a-body-too-large"
)

// call returns a function that executes a call for the key at the endpoint, and a
// flag that is set once the call took effect. The call takes delay before its
// effect and again after it.
func (sim *simulation) call(p *process, key string, b behaviour, delay time.Duration) (committer.CallFunc, *bool) {
	effect := new(bool)
	return func(context.Context) (bergamotdale.ServiceResponse, error) {
		lost := errors.New("connection lost")
		if p.waitWhilePaused() != nil {
			return bergamotdale.ServiceResponse{}, lost
		}
		sim.wait(delay)
		sim.lock.Lock()
		if b == refuses {
			sim.lock.Unlock()
			return bergamotdale.ServiceResponse{}, bergamotdale.Refuse(bergamotdale.CodeEndpointRefused, "busy")
		}
		if b == failsBeforeEffect {
			sim.lock.Unlock()
			return bergamotdale.ServiceResponse{}, lost
		}
		*effect = true
		sim.executions[key]++
		if sim.executions[key] > 1 {
			sim.recordViolation("%s executed %d times", key, sim.executions[key])
		}
		body := fmt.Sprintf(`{"booking": "%s/%d <&>"}`, key, sim.executions[key])
		if b == respondsTooLarge {
			body = fmt.Sprintf("%q", make([]byte, committer.MaxResponseBytes))
		}
		sim.responses[key] = body
		sim.lock.Unlock()
		sim.wait(delay)
		if b == failsAfterEffect || p.waitWhilePaused() != nil {
			return bergamotdale.ServiceResponse{}, lost
		}
		return bergamotdale.ServiceResponse{Status: 200, Body: json.RawMessage(body)}, nil
	}, effect
}

// request sends a request to the process and checks the result once it arrives.
func (sim *simulation) request(p *process, key string, b behaviour, delay, clientTimeout time.Duration) {
	sim.lock.Lock()
	shard := p.shard
	before, recorded := sim.executions[key], sim.recorded[key]
	sim.lock.Unlock()
	if shard == nil || p.crashed {
		return
	}
	call, effect := sim.call(p, key, b, delay)
	sim.requests.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
		defer cancel()
		r := committer.Request{Workspace: "linen", Service: "pickup", Key: key, Call: "book", Body: []byte("{}")}
		response, err := shard.Execute(ctx, r, call)
		sim.lock.Lock()
		defer sim.lock.Unlock()
		if p.crashed {
			return
		}
		sim.checkResult(key, response, err, before, recorded, *effect)
	})
}

// checkResult compares the result of a request with the executions. before and
// recorded are the executions of the key and whether its response was recorded
// when the request was sent; effect is whether its own call took effect.
func (sim *simulation) checkResult(key string, response committer.Response, err error, before int, recorded, effect bool) {
	if err == nil {
		if string(response.Body) != sim.responses[key] || sim.executions[key] != 1 {
			sim.recordViolation("%s got response %q, its execution returned %q", key, response.Body, sim.responses[key])
		}
		sim.recorded[key] = sim.recorded[key] || response.Recorded
		return
	}
	var refusal *bergamotdale.Refusal
	if !errors.As(err, &refusal) {
		sim.recordViolation("%s ended with %v", key, err)
		return
	}
	switch refusal.Outcome {
	case bergamotdale.OutcomeNotRun:
		if before > 0 || effect {
			sim.recordViolation("%s refused as not-run after an execution: %v", key, refusal)
		}
	case bergamotdale.OutcomeRun:
		if sim.executions[key] != 1 {
			sim.recordViolation("%s reported as run without an execution: %v", key, refusal)
		}
	case bergamotdale.OutcomeUnknown:
		if recorded && refusal.Code == bergamotdale.CodeOutcomeUnknown {
			sim.recordViolation("%s is unknown after its response was recorded", key)
		}
	default:
		sim.recordViolation("%s refused without an outcome: %v", key, refusal)
	}
}

// Guards against a second execution of a key, a not-run outcome after an
// execution, and a response other than that of the execution. They may come
// about when owners crash, pause and fence each other and when writes to the
// store are lost, late or refused.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) { runModel(t) })
	})
}

func runModel(t *rapid.T) {
	sim := &simulation{
		executions: map[string]int{},
		responses:  map[string]string{},
		recorded:   map[string]bool{},
	}
	sim.store = storetester.New(sim.clock)
	faults := []fault{
		healthy, healthy, healthy, healthy, healthy, healthy, healthy, unavailable,
		lostRequest, lostResponse, lateWrite, crashBefore, crashAfter, pause,
	}
	sim.faults = rapid.SliceOfN(rapid.SampledFrom(faults), 0, 40).Draw(t, "faults")
	defer sim.shutDown()
	processes := []*process{sim.newProcess(), sim.newProcess()}
	sim.requests.Go(func() { sim.open(processes[0]) })
	synctest.Wait()
	drawProcess := func() int { return rapid.IntRange(0, 1).Draw(t, "process") }
	actions := map[string]func(*rapid.T){
		"request": func(t *rapid.T) {
			key := rapid.SampledFrom(modelKeys).Draw(t, "key")
			b := rapid.SampledFrom([]behaviour{
				responds, responds, responds, refuses, failsBeforeEffect, failsAfterEffect, respondsTooLarge,
			}).Draw(t, "behaviour")
			delay := time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay-ms")) * time.Millisecond
			clientTimeout := time.Duration(rapid.IntRange(0, 4000).Draw(t, "client-timeout-ms")) * time.Millisecond
			sim.request(processes[drawProcess()], key, b, delay, clientTimeout)
		},
		"advance": func(t *rapid.T) {
			<-sim.clock.After(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"take over": func(*rapid.T) {
			i := drawProcess()
			if processes[i].crashed {
				processes[i] = sim.newProcess()
			}
			p := processes[i]
			sim.requests.Go(func() { sim.open(p) })
			synctest.Wait()
		},
		"crash":       func(*rapid.T) { processes[drawProcess()].crash() },
		"pause":       func(*rapid.T) { processes[drawProcess()].pause() },
		"resume":      func(*rapid.T) { processes[drawProcess()].unpause() },
		"outage":      func(*rapid.T) { sim.store.SetOutage(true) },
		"outage ends": func(*rapid.T) { sim.store.SetOutage(false) },
		"":            func(t *rapid.T) { sim.failOnViolations(t) },
	}
	t.Repeat(actions)
	sim.checkRecovery(t, processes)
}

func (sim *simulation) failOnViolations(t *rapid.T) {
	synctest.Wait()
	sim.lock.Lock()
	defer sim.lock.Unlock()
	if len(sim.violations) > 0 {
		t.Fatalf("violations: %q", sim.violations)
	}
}

// checkRecovery ends all faults and checks that a new owner answers every key
// without a violation and executes a new key.
func (sim *simulation) checkRecovery(t *rapid.T, processes []*process) {
	sim.lock.Lock()
	sim.faults = nil
	sim.lock.Unlock()
	sim.store.SetOutage(false)
	last := sim.newProcess()
	for _, p := range processes {
		p.unpause()
	}
	<-sim.clock.After(10 * time.Second)
	sim.open(last)
	for _, key := range append([]string{"new"}, modelKeys...) {
		sim.request(last, key, responds, 0, time.Minute)
	}
	<-sim.clock.After(time.Minute)
	sim.failOnViolations(t)
	if !sim.recorded["new"] {
		t.Fatalf("a new key is not executed after recovery")
	}
}

// shutDown ends every goroutine of the simulation. It is deferred, so that it
// also runs after a failed check.
func (sim *simulation) shutDown() {
	sim.store.SetOutage(false)
	for _, p := range sim.processes {
		p.crash()
	}
	sim.requests.Wait()
	<-sim.clock.After(time.Minute)
}
