package follower_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/follower"
	"github.com/bergamotdale/bergamotdale/reviser"
	"github.com/bergamotdale/bergamotdale/storetester"
	"github.com/bergamotdale/bergamotdale/validator"
)

// fleet is a set of followers that share a store and are peers of each other.
type fleet struct {
	t     *testing.T
	clock *storetester.Clock
	store *storetester.Store
	// step is how far the clock advances every 2 ms while a test waits. Tests
	// that check a time limit need a small step: the clock must not pass the
	// limit before the goroutines have run.
	step time.Duration

	// hook runs before each call to the store.
	hook atomic.Pointer[func(op storetester.Op) error]

	mu      sync.Mutex
	routers map[string]*follower.Follower
	stops   []func()
}

func newFleet(t *testing.T) *fleet {
	c := storetester.NewClock(time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC))
	fl := &fleet{t: t, clock: c, store: storetester.New(c), step: 10 * time.Millisecond, routers: map[string]*follower.Follower{}}
	fl.store.BeforeCall = func(op storetester.Op, _ string) error {
		if hook := fl.hook.Load(); hook != nil {
			return (*hook)(op)
		}
		return nil
	}
	t.Cleanup(fl.stop)
	return fl
}

// stop ends all followers and waits for them. It may be called twice.
func (fl *fleet) stop() {
	for _, stop := range fl.stops {
		stop()
	}
	fl.stops = nil
}

var zapNop = zap.NewNop()

type discard struct{}

func (discard) Record(bergamotdale.Event) {}

// start runs a follower until the test ends.
func (fl *fleet) start(name string) *follower.Follower {
	return fl.startOn(name, fl.store)
}

func (fl *fleet) startOn(name string, store bergamotdale.Store) *follower.Follower {
	f := &follower.Follower{
		Router: name, Store: store, Peer: fl, Clock: fl.clock,
		Recorder: discard{}, Logger: zapNop,
		Peers: func() []string { return fl.others(name) },
	}
	fl.mu.Lock()
	fl.routers[name] = f
	fl.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- f.Run(ctx) }()
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.stops = append(fl.stops, func() {
		cancel()
		assert.NilError(fl.t, <-done)
	})
	return f
}

func (fl *fleet) others(name string) []string {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var all []string
	for n := range fl.routers {
		if n != name {
			all = append(all, n)
		}
	}
	return all
}

// Call implements bergamotdale.Peer. It encodes the response as JSON, as the
// network does.
func (fl *fleet) Call(ctx context.Context, address, path string, request, response any) error {
	fl.mu.Lock()
	f := fl.routers[address]
	fl.mu.Unlock()
	if f == nil || path != "config" {
		return bergamotdale.Refuse(bergamotdale.CodePeer, "no router %s", address)
	}
	answer, err := f.HandleConfig(ctx, request.(follower.ConfigRequest))
	if err != nil {
		return err
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, response)
}

// Stream implements bergamotdale.Peer.
func (fl *fleet) Stream(context.Context, string, string, any) (bergamotdale.FrameStream, error) {
	panic("not used")
}

// eventually advances the clock until the condition holds. The format and its
// arguments say what is missing if it never does.
func (fl *fleet) eventually(format string, args []any, holds func() bool) {
	fl.t.Helper()
	poll.WaitOn(fl.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		fl.clock.Advance(fl.step)
		return poll.Continue("%s", fmt.Sprintf(format, args...))
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(20*time.Second))
}

// waitForRevision advances the clock until all given followers have the revision
// in force.
func (fl *fleet) waitForRevision(revision int64, all ...*follower.Follower) {
	fl.t.Helper()
	for _, f := range all {
		fl.eventually("%s has not reached revision %d", []any{f.Router, revision}, func() bool {
			return f.Status().Revision == revision
		})
	}
}

func document(t *testing.T) *validator.Document {
	data, err := os.ReadFile("testdata/first.yaml")
	assert.NilError(t, err)
	d, err := validator.Parse("first.yaml", data)
	assert.NilError(t, err)
	return d
}

// documentWithWeight returns the document with the given weight of the first workspace.
func documentWithWeight(t *testing.T, weight float64) *validator.Document {
	d := document(t)
	d.Workspaces[0].Weight = weight
	return d
}

func apply(f *follower.Follower, base int64, d *validator.Document) (reviser.Result, error) {
	return f.Apply(context.Background(), reviser.Request{
		BaseRevision: base, Document: d, Author: "jiwoo", Comment: fmt.Sprintf("after %d", base),
	})
}

// Guards against a revision that does not reach every router, and against a
// change of one section that writes more than that section and the head.
func TestApplyReachesEveryRouter(t *testing.T) {
	fl := newFleet(t)
	a, b := fl.start("a"), fl.start("b")
	<-a.Started()
	result, err := apply(a, 0, document(t))
	assert.NilError(t, err)
	assert.Equal(t, result.Revision, int64(1))
	fl.waitForRevision(1, a, b)

	before := fl.store.Count(storetester.OpCompareAndSwap)
	result, err = apply(b, 1, documentWithWeight(t, 7))
	assert.NilError(t, err)
	assert.Equal(t, len(result.Sections), 1)
	assert.Equal(t, fl.store.Count(storetester.OpCompareAndSwap)-before, 2)
	fl.waitForRevision(2, a, b)
	w, ok := a.Current().Workspace("inn")
	assert.Assert(t, ok)
	assert.Equal(t, w.Weight(), 7.0)
}
