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

// modelKeys fill more than one segment of the size that the model uses.
var modelKeys = []string{"a", "b", "c", "d"}

// fault is what happens to one write of the store.
type fault string

const (
	healthy      fault = "healthy"
	unavailable  fault = "unavailable"
	lostRequest  fault = "lost-request"
	lostResponse fault = "lost-response"
	lateWrite    fault = "late-write"
	crashBefore  fault = "crash-before"
	crashAfter   fault = "crash-after"
	pause        fault = "pause"
)

// world is a store, two owners and the ledger of what was executed.
type world struct {
	store *storetester.Store
	clock bergamotdale.SystemClock

	lock sync.Mutex
	// faults are taken by the writes in turn.
	faults     []fault
	epoch      int64
	executions map[string]int
	responses  map[string]string
	recorded   map[string]bool
	violations []string
	requests   sync.WaitGroup
	processes  []*process
}

// process is a router that may own the shard. A crash ends it for good.
type process struct {
	world   *world
	name    string
	shard   *committer.Shard
	cancel  context.CancelFunc
	crashed bool
	opening bool
	// resume is not nil while the process is paused.
	resume chan struct{}
}

func (w *world) process() *process {
	p := &process{world: w, name: fmt.Sprintf("router-%d", len(w.processes))}
	w.processes = append(w.processes, p)
	return p
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// wait blocks for a time. It makes no timer that is due at once: with -race,
// Go 1.26.8 crashed in runtime.(*timer).maybeRunChan when it received from such
// a timer inside a bubble.
func (w *world) wait(d time.Duration) {
	if d > 0 {
		<-w.clock.After(d)
	}
}

func (w *world) nextFault() fault {
	w.lock.Lock()
	defer w.lock.Unlock()
	if len(w.faults) == 0 {
		return healthy
	}
	f := w.faults[0]
	w.faults = w.faults[1:]
	return f
}

// blocked waits while the process is paused, and forever in effect after it
// crashed: its context is done then.
func (p *process) blocked() error {
	for {
		p.world.lock.Lock()
		resume, crashed := p.resume, p.crashed
		p.world.lock.Unlock()
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
	p.world.lock.Lock()
	defer p.world.lock.Unlock()
	p.crashed = true
	p.release()
	if p.cancel != nil {
		p.cancel()
	}
}

func (p *process) release() {
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

func (p *process) pause() {
	p.world.lock.Lock()
	defer p.world.lock.Unlock()
	if p.resume == nil && !p.crashed {
		p.resume = make(chan struct{})
	}
}

func (p *process) unpause() {
	p.world.lock.Lock()
	defer p.world.lock.Unlock()
	p.release()
}

// faultyStore is the store as one process sees it.
type faultyStore struct {
	bergamotdale.Store
	process *process
}

func (s faultyStore) Get(ctx context.Context, key string) (bergamotdale.Entry, error) {
	if err := s.process.blocked(); err != nil {
		return bergamotdale.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s faultyStore) List(ctx context.Context, prefix string) ([]bergamotdale.Entry, error) {
	if err := s.process.blocked(); err != nil {
		return nil, err
	}
	return s.Store.List(ctx, prefix)
}

func (s faultyStore) Delete(ctx context.Context, key string, version int64) error {
	if err := s.process.blocked(); err != nil {
		return err
	}
	return s.Store.Delete(ctx, key, version)
}

func (s faultyStore) CompareAndSwap(ctx context.Context, key string, value []byte, version int64) (bergamotdale.Entry, error) {
	p := s.process
	f := p.world.nextFault()
	switch f {
	case pause:
		p.pause()
	case crashBefore:
		p.crash()
	}
	if err := p.blocked(); err != nil {
		return bergamotdale.Entry{}, err
	}
	switch f {
	case unavailable:
		return bergamotdale.Entry{}, bergamotdale.ErrUnavailable
	case lostRequest:
		return bergamotdale.Entry{}, bergamotdale.ErrAmbiguous
	case lateWrite:
		go func() {
			<-p.world.clock.After(3 * time.Second)
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

// open makes the process the owner under a new epoch.
func (w *world) open(p *process) {
	w.lock.Lock()
	if p.opening {
		w.lock.Unlock()
		return
	}
	p.opening = true
	w.epoch++
	epoch := w.epoch
	w.lock.Unlock()
	if p.cancel != nil {
		p.cancel()
	}
	shard, err := committer.Open(context.Background(), committer.Settings{
		Epoch:        epoch,
		Owner:        p.name,
		Store:        faultyStore{w.store, p},
		Clock:        w.clock,
		SegmentBytes: 250,
		CallTimeout:  30 * time.Second,
		Held: func() bool {
			w.lock.Lock()
			defer w.lock.Unlock()
			return w.epoch == epoch
		},
	})
	w.lock.Lock()
	defer w.lock.Unlock()
	p.opening = false
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.shard, p.cancel = shard, cancel
	if p.crashed {
		cancel()
	}
	w.requests.Go(func() { shard.Run(ctx) })
}

// behaviour is what the endpoint does with a call.
type behaviour string

const (
	responds     behaviour = "responds"
	refuses      behaviour = "refuses"
	losesEffect  behaviour = "fails-before-the-effect"
	losesAnswer  behaviour = "fails-after-the-effect"
	respondsLong behaviour = "responds-with-a-body-too-large"
)

// call returns a call of the endpoint and a flag that the call had an effect.
func (w *world) call(p *process, key string, b behaviour, delay time.Duration) (committer.CallFunc, *bool) {
	effect := new(bool)
	return func(context.Context) (bergamotdale.ServiceResponse, error) {
		lost := errors.New("connection lost")
		if p.blocked() != nil {
			return bergamotdale.ServiceResponse{}, lost
		}
		w.wait(delay)
		w.lock.Lock()
		if b == refuses {
			w.lock.Unlock()
			return bergamotdale.ServiceResponse{}, bergamotdale.Refuse(bergamotdale.CodeEndpointRefused, "busy")
		}
		if b == losesEffect {
			w.lock.Unlock()
			return bergamotdale.ServiceResponse{}, lost
		}
		*effect = true
		w.executions[key]++
		if w.executions[key] > 1 {
			w.violate("%s executed %d times", key, w.executions[key])
		}
		body := fmt.Sprintf(`{"booking": "%s/%d <&>"}`, key, w.executions[key])
		if b == respondsLong {
			body = fmt.Sprintf("%q", make([]byte, committer.MaxResponseBytes))
		}
		w.responses[key] = body
		w.lock.Unlock()
		w.wait(delay)
		if b == losesAnswer || p.blocked() != nil {
			return bergamotdale.ServiceResponse{}, lost
		}
		return bergamotdale.ServiceResponse{Status: 200, Body: json.RawMessage(body)}, nil
	}, effect
}

// request sends a request to the process and checks its result.
func (w *world) request(p *process, key string, b behaviour, delay, patience time.Duration) {
	w.lock.Lock()
	shard := p.shard
	before, recorded := w.executions[key], w.recorded[key]
	w.lock.Unlock()
	if shard == nil || p.crashed {
		return
	}
	call, effect := w.call(p, key, b, delay)
	w.requests.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		r := committer.Request{Workspace: "linen", Service: "pickup", Key: key, Call: "book", Body: []byte("{}")}
		response, err := shard.Execute(ctx, r, call)
		w.lock.Lock()
		defer w.lock.Unlock()
		if p.crashed {
			return
		}
		w.check(key, response, err, before, recorded, *effect)
	})
}

func (w *world) check(key string, response committer.Response, err error, before int, recorded, effect bool) {
	if err == nil {
		if string(response.Body) != w.responses[key] || w.executions[key] != 1 {
			w.violate("%s got %q, executed with %q", key, response.Body, w.responses[key])
		}
		w.recorded[key] = w.recorded[key] || response.Recorded
		return
	}
	var refusal *bergamotdale.Refusal
	if !errors.As(err, &refusal) {
		w.violate("%s ended with %v", key, err)
		return
	}
	switch refusal.Outcome {
	case bergamotdale.OutcomeNotRun:
		if before > 0 || effect {
			w.violate("%s refused as not-run after an execution: %v", key, refusal)
		}
	case bergamotdale.OutcomeRun:
		if w.executions[key] != 1 {
			w.violate("%s reported as run without an execution: %v", key, refusal)
		}
	case bergamotdale.OutcomeUnknown:
		if recorded && refusal.Code == bergamotdale.CodeOutcomeUnknown {
			w.violate("%s is unknown after its response was recorded", key)
		}
	default:
		w.violate("%s refused without an outcome: %v", key, refusal)
	}
}

// Guards against a second execution of a key, not-run after an execution, and
// a response other than that of the execution, while owners crash, pause and
// fence each other and writes are lost, late or refused.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) { runModel(t) })
	})
}

func runModel(t *rapid.T) {
	w := &world{
		executions: map[string]int{},
		responses:  map[string]string{},
		recorded:   map[string]bool{},
	}
	w.store = storetester.New(w.clock)
	faults := []fault{
		healthy, healthy, healthy, healthy, healthy, healthy, healthy, unavailable,
		lostRequest, lostResponse, lateWrite, crashBefore, crashAfter, pause,
	}
	w.faults = rapid.SliceOfN(rapid.SampledFrom(faults), 0, 40).Draw(t, "faults")
	defer w.close()
	all := []*process{w.process(), w.process()}
	w.requests.Go(func() { w.open(all[0]) })
	synctest.Wait()
	drawProcess := func() int { return rapid.IntRange(0, 1).Draw(t, "process") }
	actions := map[string]func(*rapid.T){
		"request": func(t *rapid.T) {
			key := rapid.SampledFrom(modelKeys).Draw(t, "key")
			b := rapid.SampledFrom([]behaviour{
				responds, responds, responds, refuses, losesEffect, losesAnswer, respondsLong,
			}).Draw(t, "behaviour")
			delay := time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay-ms")) * time.Millisecond
			patience := time.Duration(rapid.IntRange(0, 4000).Draw(t, "patience-ms")) * time.Millisecond
			w.request(all[drawProcess()], key, b, delay, patience)
		},
		"advance": func(t *rapid.T) {
			<-w.clock.After(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"take over": func(*rapid.T) {
			i := drawProcess()
			if all[i].crashed {
				all[i] = w.process()
			}
			p := all[i]
			w.requests.Go(func() { w.open(p) })
			synctest.Wait()
		},
		"crash":       func(*rapid.T) { all[drawProcess()].crash() },
		"pause":       func(*rapid.T) { all[drawProcess()].pause() },
		"resume":      func(*rapid.T) { all[drawProcess()].unpause() },
		"outage":      func(*rapid.T) { w.store.SetOutage(true) },
		"outage ends": func(*rapid.T) { w.store.SetOutage(false) },
		"":            func(t *rapid.T) { w.verify(t) },
	}
	t.Repeat(actions)
	w.recover(t, all)
}

func (w *world) verify(t *rapid.T) {
	synctest.Wait()
	w.lock.Lock()
	defer w.lock.Unlock()
	if len(w.violations) > 0 {
		t.Fatalf("violations: %q", w.violations)
	}
}

// recover ends all faults and checks that a new owner gives every key its
// final response and runs a new key.
func (w *world) recover(t *rapid.T, all []*process) {
	w.lock.Lock()
	w.faults = nil
	w.lock.Unlock()
	w.store.SetOutage(false)
	last := w.process()
	for _, p := range all {
		p.unpause()
	}
	<-w.clock.After(10 * time.Second)
	w.open(last)
	for _, key := range append([]string{"new"}, modelKeys...) {
		w.request(last, key, responds, 0, time.Minute)
	}
	<-w.clock.After(time.Minute)
	w.verify(t)
	if !w.recorded["new"] {
		t.Fatalf("a new key is not executed after recovery")
	}
}

// close ends every goroutine of the world, also while a failure unwinds.
func (w *world) close() {
	w.store.SetOutage(false)
	for _, p := range w.processes {
		p.crash()
	}
	w.requests.Wait()
	<-w.clock.After(time.Minute)
}
