package dispatcher_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/admitter"
	"github.com/bergamotdale/bergamotdale/dispatcher"
	"github.com/bergamotdale/bergamotdale/fleettester"
	"github.com/bergamotdale/bergamotdale/placer"
	"github.com/bergamotdale/bergamotdale/replayer"
	"github.com/bergamotdale/bergamotdale/scheduler"
)

const concurrencyLimit = 4

// fakeEngine runs requests until they are cancelled. It continues to run a
// request whose connection broke, as a real engine does for some time.
type fakeEngine struct {
	mu         sync.Mutex
	running    map[string]*blockedStream
	maxRunning int
	// failCancel makes cancellations fail.
	failCancel bool
	// staleLoads makes load reports show an idle engine and an age of one hour, so
	// that they predate the assignment of the engine.
	staleLoads bool
}

func (e *fakeEngine) Complete(_ context.Context, _ string, r bergamotdale.EngineRequest) (bergamotdale.FrameStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &blockedStream{closed: make(chan struct{}), broken: make(chan struct{})}
	e.running[r.RequestID] = s
	e.maxRunning = max(e.maxRunning, len(e.running))
	return s, nil
}

func (e *fakeEngine) Cancel(_ context.Context, _, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.failCancel {
		return bergamotdale.Refuse(bergamotdale.CodeDeadlineExceeded, "no response").WithOutcome(bergamotdale.OutcomeUnknown)
	}
	delete(e.running, id)
	return nil
}

func (e *fakeEngine) Load(context.Context, string) (bergamotdale.EngineLoad, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := bergamotdale.EngineLoad{Running: len(e.running), Incarnation: "1"}
	if e.staleLoads {
		report.Running, report.AgeMS = 0, time.Hour.Milliseconds()
	}
	return report, nil
}

func (e *fakeEngine) CacheEvents(context.Context, string, int64) ([]bergamotdale.CacheEvent, error) {
	return nil, nil
}

func (e *fakeEngine) Send(context.Context, string, bergamotdale.Command) error { return nil }

// runningCounts returns the number of running requests and its maximum so far.
func (e *fakeEngine) runningCounts() (running, maxRunning int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), e.maxRunning
}

func (e *fakeEngine) setFailCancel(failCancel bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failCancel = failCancel
}

// breakAll breaks the connections of all running requests.
func (e *fakeEngine) breakAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.running {
		s.breakOnce.Do(func() { close(s.broken) })
	}
}

// blockedStream sends no frames. It fails once it is closed or broken.
type blockedStream struct {
	closed, broken       chan struct{}
	closeOnce, breakOnce sync.Once
}

func (s *blockedStream) Next() (bergamotdale.Frame, error) {
	select {
	case <-s.closed:
	case <-s.broken:
	}
	return bergamotdale.Frame{}, io.ErrUnexpectedEOF
}

func (s *blockedStream) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return nil
}

// permissiveOwnership, unknownLoads and emptyQuarantine restrict no request.
type permissiveOwnership struct{}

func (permissiveOwnership) Admits(string) bool        { return true }
func (permissiveOwnership) Expired() bool             { return false }
func (permissiveOwnership) ConfirmFull(string, int64) {}

type unknownLoads struct{}

func (unknownLoads) Mean(string) (placer.GroupLoad, bool) { return placer.GroupLoad{}, false }
func (unknownLoads) Refresh(string) bool                  { return false }
func (unknownLoads) NotifyLoadChange()                    {}
func (unknownLoads) LeastLoaded(string, string) string    { return "" }

type emptyQuarantine struct{}

func (emptyQuarantine) Refusal(string) *bergamotdale.Refusal { return nil }
func (emptyQuarantine) MayRun(string, []string) bool         { return true }
func (emptyQuarantine) RecordBrokenStream(string) bool       { return false }
func (emptyQuarantine) RecordCrash(string, []string)         {}
func (emptyQuarantine) RecordCompletion(string)              {}

type discardRecorder struct{}

func (discardRecorder) Record(bergamotdale.Event) {}

// newDispatcher returns a running dispatcher that owns no engine yet.
func newDispatcher(t *testing.T, e *fakeEngine) *dispatcher.Dispatcher {
	t.Helper()
	clock := bergamotdale.SystemClock{}
	d := &dispatcher.Dispatcher{Environment: admitter.Environment{
		Engine: e, Clock: clock, Recorder: discardRecorder{}, Logger: zap.NewNop(), Ownership: permissiveOwnership{}, Loads: unknownLoads{},
		Quarantine: emptyQuarantine{}, Replayer: replayer.New(clock, time.Minute, 1<<20), PollInterval: 20 * time.Millisecond,
		OnDraining: func(string) {},
	}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return d
}

// assignEngine assigns engine-1 to the dispatcher.
func assignEngine(d *dispatcher.Dispatcher, epoch int64) {
	assignEngineWithQueue(d, epoch, 100)
}

// assignEngineWithQueue assigns engine-1 with a queue for the given number of
// waiting requests.
func assignEngineWithQueue(d *dispatcher.Dispatcher, epoch int64, queued int) {
	policy := &admitter.Policy{
		Classes:    []scheduler.Class{{Name: "only", MaxWait: time.Minute, MaxQueued: queued}},
		ClassIndex: map[string]int{"only": 0},
		Weight:     func(string) float64 { return 1 },
	}
	d.ApplyAssignments(policy, []admitter.Assignment{{
		Name: "engine-1", Address: "127.0.0.1:1", MaxConcurrency: concurrencyLimit, Epoch: epoch, Confirmed: true,
	}})
}

// dispatchRequests sends n requests named after name, each until it is accepted.
func dispatchRequests(t *testing.T, d *dispatcher.Dispatcher, name string, n int) {
	t.Helper()
	for i := range n {
		assert.NilError(t, fleettester.Await(t.Context(), func() bool {
			_, err := d.Dispatch(t.Context(), bergamotdale.Completion{
				RequestID: fmt.Sprintf("%s-%d", name, i), Workspace: "a", PriorityClass: "only",
				Endpoint: "engine-1", PromptTokens: 1, MaxTokens: 10,
			})
			return err == nil
		}))
	}
}

// Guards against an owner that regains an engine and does not count the requests
// that it still runs there from its earlier ownership, so that the engine runs
// more requests than its limit (found by make soak SEED=2 DURATION=60s: 9 requests
// at a limit of 8).
func TestRegainedEngineCountsEarlierRequests(t *testing.T) {
	e := &fakeEngine{running: map[string]*blockedStream{}, staleLoads: true}
	d := newDispatcher(t, e)
	assert.NilError(t, fleettester.Await(t.Context(), func() bool {
		assignEngine(d, 1)
		return len(d.ReportLoads()) == 1
	}))
	dispatchRequests(t, d, "before", concurrencyLimit)
	assert.NilError(t, fleettester.Await(t.Context(), func() bool {
		running, _ := e.runningCounts()
		return running == concurrencyLimit
	}))
	d.ApplyAssignments(&admitter.Policy{}, nil)
	d.ReceiveHandover("engine-1", admitter.Handover{})
	assignEngine(d, 3)
	dispatchRequests(t, d, "after", concurrencyLimit)
	// The queue is scheduled several times during this wait.
	assert.NilError(t, bergamotdale.Wait(t.Context(), bergamotdale.SystemClock{}, 600*time.Millisecond))
	_, maxRunning := e.runningCounts()
	assert.Equal(t, maxRunning, concurrencyLimit)
}

// Guards against a concurrency slot that is reused while the engine may still run
// the request whose connection broke.
func TestSlotIsKeptUntilTheEngineConfirmsTheCancellation(t *testing.T) {
	e := &fakeEngine{running: map[string]*blockedStream{}}
	d := newDispatcher(t, e)
	assert.NilError(t, fleettester.Await(t.Context(), func() bool {
		assignEngine(d, 1)
		return len(d.ReportLoads()) == 1
	}))
	dispatchRequests(t, d, "first", concurrencyLimit)
	assert.NilError(t, fleettester.Await(t.Context(), func() bool {
		running, _ := e.runningCounts()
		return running == concurrencyLimit
	}))
	e.setFailCancel(true)
	dispatchRequests(t, d, "second", concurrencyLimit)
	e.breakAll()
	// The owner opens each stream to the engine a second time; break these too.
	assert.NilError(t, bergamotdale.Wait(t.Context(), bergamotdale.SystemClock{}, 300*time.Millisecond))
	e.breakAll()
	assert.NilError(t, bergamotdale.Wait(t.Context(), bergamotdale.SystemClock{}, 300*time.Millisecond))
	_, maxRunning := e.runningCounts()
	assert.Equal(t, maxRunning, concurrencyLimit)
	e.setFailCancel(false)
	assert.NilError(t, fleettester.Await(t.Context(), func() bool {
		loads := d.ReportLoads()
		return loads[0].Load == concurrencyLimit && loads[0].Running == concurrencyLimit
	}))
	_, maxRunning = e.runningCounts()
	assert.Equal(t, maxRunning, concurrencyLimit)
}

// Guards against an owner that keeps the priority classes of the time at which it
// became the owner, although the configuration in force has changed (I7).
func TestChangedClassesAreInForce(t *testing.T) {
	e := &fakeEngine{running: map[string]*blockedStream{}}
	d := newDispatcher(t, e)
	assert.NilError(t, fleettester.Await(t.Context(), func() bool {
		assignEngine(d, 1)
		return len(d.ReportLoads()) == 1
	}))
	dispatchRequests(t, d, "running", concurrencyLimit)
	assert.NilError(t, fleettester.Await(t.Context(), func() bool {
		running, _ := e.runningCounts()
		return running == concurrencyLimit
	}))
	assignEngineWithQueue(d, 1, 1)
	for i := range 5 {
		// A full queue refuses one of its requests, not necessarily the newest.
		_, _ = d.Dispatch(t.Context(), bergamotdale.Completion{
			RequestID: fmt.Sprintf("waiting-%d", i), Workspace: "a", PriorityClass: "only", Endpoint: "engine-1",
			PromptTokens: 1, MaxTokens: 10,
		})
	}
	assert.Equal(t, d.ReportLoads()[0].Load, 1)
	_, maxRunning := e.runningCounts()
	assert.Equal(t, maxRunning, concurrencyLimit)
}

// Guards against a retry that receives the replayed failure of the previous
// attempt instead of running. After a crash the entry router sends the rest of a
// request to another engine, which the same router may own. Each such retry used
// up an attempt, a second and a token of the retry budget (seen in
// TestPoisonRequestIsQuarantined: a request that ran beside the crashing one was
// refused 7 s after the crash).
func TestRepeatAfterAFailureRunsAgain(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	e := &fakeEngine{running: map[string]*blockedStream{}}
	d := newDispatcher(t, e)
	assert.NilError(t, fleettester.Await(ctx, func() bool {
		assignEngine(d, 1)
		return len(d.ReportLoads()) == 1
	}))
	running := func(n int) func() bool {
		return func() bool {
			running, _ := e.runningCounts()
			return running == n
		}
	}
	c := bergamotdale.Completion{
		RequestID: "r", Workspace: "a", PriorityClass: "only", Endpoint: "engine-1", PromptTokens: 1, MaxTokens: 10,
	}
	stream, err := d.Dispatch(ctx, c)
	assert.NilError(t, err)
	failed := make(chan bergamotdale.Frame, 1)
	go func() {
		for {
			f, err := stream.Next()
			if err != nil || f.Kind == bergamotdale.FrameRefusal {
				failed <- f
				return
			}
		}
	}()
	assert.NilError(t, fleettester.Await(ctx, running(1)))
	assert.NilError(t, fleettester.Await(ctx, func() bool {
		e.breakAll()
		return len(failed) > 0
	}))
	assert.Equal(t, (<-failed).Kind, bergamotdale.FrameRefusal)
	assert.NilError(t, fleettester.Await(ctx, running(0)))
	c.Attempt = 1
	_, err = d.Dispatch(ctx, c)
	assert.NilError(t, err)
	assert.NilError(t, fleettester.Await(ctx, running(1)))
}
