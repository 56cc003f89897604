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

const limit = 4

// fakeEngine runs requests until they are cancelled. It goes on running one
// whose connection broke, as a real engine does for a while.
type fakeEngine struct {
	mu      sync.Mutex
	running map[string]*blockedStream
	highest int
	// deaf makes cancellations fail.
	deaf bool
	// late makes load reports older than the claim of the owner.
	late bool
}

func (e *fakeEngine) Complete(_ context.Context, _ string, r bergamotdale.EngineRequest) (bergamotdale.FrameStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &blockedStream{closed: make(chan struct{}), broken: make(chan struct{})}
	e.running[r.RequestID] = s
	e.highest = max(e.highest, len(e.running))
	return s, nil
}

func (e *fakeEngine) Cancel(_ context.Context, _, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.deaf {
		return bergamotdale.Refuse(bergamotdale.CodeDeadlineExceeded, "no response").WithOutcome(bergamotdale.OutcomeUnknown)
	}
	delete(e.running, id)
	return nil
}

func (e *fakeEngine) Load(context.Context, string) (bergamotdale.EngineLoad, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := bergamotdale.EngineLoad{Running: len(e.running), Incarnation: "1"}
	if e.late {
		report.Running, report.AgeMS = 0, time.Hour.Milliseconds()
	}
	return report, nil
}

func (e *fakeEngine) CacheEvents(context.Context, string, int64) ([]bergamotdale.CacheEvent, error) {
	return nil, nil
}

func (e *fakeEngine) Send(context.Context, string, bergamotdale.Command) error { return nil }

// count returns how many requests run, and the highest number so far.
func (e *fakeEngine) count() (running, highest int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running), e.highest
}

func (e *fakeEngine) setDeaf(deaf bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deaf = deaf
}

// breakAll breaks all connections.
func (e *fakeEngine) breakAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.running {
		s.breakOnce.Do(func() { close(s.broken) })
	}
}

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

// owner, loads and quarantine allow everything.
type owner struct{}

func (owner) Admits(string) bool      { return true }
func (owner) Expired() bool           { return false }
func (owner) Confirmed(string, int64) {}

type loads struct{}

func (loads) Mean(string) (placer.GroupLoad, bool) { return placer.GroupLoad{}, false }
func (loads) Refresh(string) bool                  { return false }
func (loads) Changed()                             {}
func (loads) LeastLoaded(string, string) string    { return "" }

type quarantine struct{}

func (quarantine) Refusal(string) *bergamotdale.Refusal { return nil }
func (quarantine) MayRun(string, []string) bool         { return true }
func (quarantine) Broke(string) bool                    { return false }
func (quarantine) Crashed(string, []string)             {}
func (quarantine) Completed(string)                     {}

type discard struct{}

func (discard) Record(bergamotdale.Event) {}

func newDispatcher(t *testing.T, e *fakeEngine) *dispatcher.Dispatcher {
	t.Helper()
	clock := bergamotdale.SystemClock{}
	d := &dispatcher.Dispatcher{Environment: admitter.Environment{
		Engine: e, Clock: clock, Recorder: discard{}, Logger: zap.NewNop(), Ownership: owner{}, Loads: loads{},
		Quarantine: quarantine{}, Replayer: replayer.New(clock, time.Minute, 1<<20), PollInterval: 20 * time.Millisecond,
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

func assign(d *dispatcher.Dispatcher, epoch int64) {
	assignQueue(d, epoch, 100)
}

// assignQueue assigns an engine whose queue holds the given number of requests.
func assignQueue(d *dispatcher.Dispatcher, epoch int64, queued int) {
	policy := &admitter.Policy{
		Classes:    []scheduler.Class{{Name: "only", MaxWait: time.Minute, MaxQueued: queued}},
		ClassIndex: map[string]int{"only": 0},
		Weight:     func(string) float64 { return 1 },
	}
	d.Apply(policy, []admitter.Assignment{{
		Name: "engine-1", Address: "127.0.0.1:1", MaxConcurrency: limit, Epoch: epoch, Confirmed: true,
	}})
}

// dispatch sends n requests.
func dispatch(t *testing.T, d *dispatcher.Dispatcher, name string, n int) {
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

// Guards against an owner that gets an engine back and forgets the requests that
// it still runs there from before (found by make soak SEED=2 DURATION=60s: 9
// requests at a limit of 8).
func TestRegainedEngineCountsEarlierRequests(t *testing.T) {
	e := &fakeEngine{running: map[string]*blockedStream{}, late: true}
	d := newDispatcher(t, e)
	assert.NilError(t, fleettester.Await(t.Context(), func() bool {
		assign(d, 1)
		return len(d.Report()) == 1
	}))
	dispatch(t, d, "before", limit)
	assert.NilError(t, fleettester.Await(t.Context(), func() bool {
		running, _ := e.count()
		return running == limit
	}))
	d.Apply(&admitter.Policy{}, nil)
	d.Receive("engine-1", admitter.Handover{})
	assign(d, 3)
	dispatch(t, d, "after", limit)
	// The queue is looked at several times meanwhile.
	assert.NilError(t, bergamotdale.Wait(t.Context(), bergamotdale.SystemClock{}, 600*time.Millisecond))
	_, highest := e.count()
	assert.Equal(t, highest, limit)
}

// Guards against a slot that is given away while the engine may still run the
// request whose connection broke.
func TestSlotIsKeptUntilTheEngineConfirmsTheCancellation(t *testing.T) {
	e := &fakeEngine{running: map[string]*blockedStream{}}
	d := newDispatcher(t, e)
	assert.NilError(t, fleettester.Await(t.Context(), func() bool {
		assign(d, 1)
		return len(d.Report()) == 1
	}))
	dispatch(t, d, "first", limit)
	assert.NilError(t, fleettester.Await(t.Context(), func() bool {
		running, _ := e.count()
		return running == limit
	}))
	e.setDeaf(true)
	dispatch(t, d, "second", limit)
	e.breakAll()
	// Streams to the same engine are opened a second time, and break again.
	assert.NilError(t, bergamotdale.Wait(t.Context(), bergamotdale.SystemClock{}, 300*time.Millisecond))
	e.breakAll()
	assert.NilError(t, bergamotdale.Wait(t.Context(), bergamotdale.SystemClock{}, 300*time.Millisecond))
	_, highest := e.count()
	assert.Equal(t, highest, limit)
	e.setDeaf(false)
	assert.NilError(t, fleettester.Await(t.Context(), func() bool {
		loads := d.Report()
		return loads[0].Load == limit && loads[0].Running == limit
	}))
	_, highest = e.count()
	assert.Equal(t, highest, limit)
}

// Guards against priority classes that stay as they were when the router became
// the owner, although the configuration in force has changed (I7).
func TestChangedClassesAreInForce(t *testing.T) {
	e := &fakeEngine{running: map[string]*blockedStream{}}
	d := newDispatcher(t, e)
	assert.NilError(t, fleettester.Await(t.Context(), func() bool {
		assign(d, 1)
		return len(d.Report()) == 1
	}))
	dispatch(t, d, "running", limit)
	assert.NilError(t, fleettester.Await(t.Context(), func() bool {
		running, _ := e.count()
		return running == limit
	}))
	assignQueue(d, 1, 1)
	for i := range 5 {
		// The queue refuses one of its requests, not always the last one.
		_, _ = d.Dispatch(t.Context(), bergamotdale.Completion{
			RequestID: fmt.Sprintf("waiting-%d", i), Workspace: "a", PriorityClass: "only", Endpoint: "engine-1",
			PromptTokens: 1, MaxTokens: 10,
		})
	}
	assert.Equal(t, d.Report()[0].Load, 1)
	_, highest := e.count()
	assert.Equal(t, highest, limit)
}

// Guards against a repeat that gets the failure of the attempt before instead of
// running: after a crash the entry router sends the rest of a request to another
// engine, which the same router may own. Each such repeat cost an attempt, a
// second and a token of the retry budget (TestPoisonRequestIsQuarantined, the
// refusal of a neighbour 7 s after the crash).
func TestRepeatAfterAFailureRunsAgain(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	e := &fakeEngine{running: map[string]*blockedStream{}}
	d := newDispatcher(t, e)
	assert.NilError(t, fleettester.Await(ctx, func() bool {
		assign(d, 1)
		return len(d.Report()) == 1
	}))
	running := func(n int) func() bool {
		return func() bool {
			running, _ := e.count()
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
