package committer_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/committer"
	"github.com/bergamotdale/bergamotdale/storetester"
)

// TestMain runs more cases and longer ones than rapid does by default: in trials
// with 30 steps, an owner that lost sealed segments was never found.
func TestMain(m *testing.M) {
	flag.Set("rapid.checks", "500")
	flag.Set("rapid.steps", "100")
	os.Exit(m.Run())
}

// fixture is a store with one owner at a time.
type fixture struct {
	t        *testing.T
	store    *storetester.Store
	clock    bergamotdale.SystemClock
	settings committer.Settings
	shard    *committer.Shard
	cancel   context.CancelFunc
	calls    int
}

// inBubble runs a test in virtual time with an open shard.
func inBubble(t *testing.T, f func(x *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		x := &fixture{t: t}
		x.store = storetester.New(x.clock)
		x.settings = committer.Settings{Store: x.store, Clock: x.clock, Lifetime: time.Hour}
		x.reopen()
		f(x)
		x.cancel()
	})
}

// reopen lets a new owner take over.
func (x *fixture) reopen() {
	if x.cancel != nil {
		x.cancel()
	}
	x.settings.Epoch++
	x.settings.Owner = fmt.Sprintf("router-%d", x.settings.Epoch)
	shard, err := committer.Open(context.Background(), x.settings)
	assert.NilError(x.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	x.shard, x.cancel = shard, cancel
	go shard.Run(ctx)
}

func (x *fixture) wait(d time.Duration) {
	<-x.clock.After(d)
	synctest.Wait()
}

// result is what a client got, and when.
type result struct {
	committer.Response
	err  error
	took time.Duration
}

func (r result) refusal() *bergamotdale.Refusal {
	var refusal *bergamotdale.Refusal
	errors.As(r.err, &refusal)
	return refusal
}

// String returns the body of the response, or the code and outcome of the refusal.
func (r result) String() string {
	if r.err != nil {
		return fmt.Sprintf("%s %s", r.refusal().Code, r.refusal().Outcome)
	}
	return string(r.Body)
}

// send executes a request whose call lasts for the given time.
func (x *fixture) send(key, body string, patience, lasts time.Duration, callErr error) <-chan result {
	results := make(chan result, 1)
	go func() {
		start := x.clock.Now()
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		r := committer.Request{Workspace: "linen", Service: "pickup", Key: key, Body: []byte(body)}
		response, err := x.shard.Execute(ctx, r, func(context.Context) (bergamotdale.ServiceResponse, error) {
			x.calls++
			n := x.calls
			if lasts > 0 {
				<-x.clock.After(lasts)
			}
			return bergamotdale.ServiceResponse{Status: 200, Body: json.RawMessage(fmt.Sprintf(`"%s %d"`, key, n))}, callErr
		})
		results <- result{response, err, x.clock.Now().Sub(start)}
	}()
	return results
}

func (x *fixture) do(key string, callErr error) result {
	return <-x.send(key, "{}", time.Minute, 0, callErr)
}

var (
	errLost  = errors.New("connection lost")
	busy     = bergamotdale.Refuse(bergamotdale.CodeEndpointRefused, "busy")
	executed = bergamotdale.Refuse(bergamotdale.CodeEndpointRefused, "done, no body").WithOutcome(bergamotdale.OutcomeRun)
)

// Guards against a wrong outcome for the client or for a repeat, with the same
// owner and with the next one.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		callErr       error
		first, repeat string
	}{
		"response":          {nil, `"k 1"`, `"k 1"`},
		"lost answer":       {errLost, "endpoint-failed unknown", "outcome-unknown unknown"},
		"explicit refusal":  {busy, "endpoint-refused not-run", `"k 2"`},
		"executed, no body": {executed, "endpoint-refused run", "answer-not-kept run"},
		"outcome missing":   {&bergamotdale.Refusal{Code: bergamotdale.CodePeer}, "peer-unreachable unknown", "outcome-unknown unknown"},
	}
	for name, test := range tests {
		for _, takeover := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, takeover %v", name, takeover), func(t *testing.T) {
				inBubble(t, func(x *fixture) {
					assert.Equal(t, x.do("k", test.callErr).String(), test.first)
					if takeover {
						x.reopen()
					}
					assert.Equal(t, x.do("k", nil).String(), test.repeat)
				})
			})
		}
	}
}

// Guards against a client that leaves too early: before the call it is not-run
// and frees the key; during the call the response is still recorded.
func TestClientLeaves(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.do("first", nil)
		early := <-x.send("k", "{}", 50*time.Millisecond, 0, nil)
		assert.Equal(t, early.String(), "deadline-exceeded not-run")
		during := <-x.send("k", "{}", time.Second, 5*time.Second, nil)
		assert.Equal(t, during.String(), "in-progress unknown")
		assert.Assert(t, during.refusal().RetryAfter > 0)
		assert.Equal(t, x.do("k", nil).String(), "in-progress unknown")
		x.wait(5 * time.Second)
		repeat := x.do("k", nil)
		assert.Equal(t, repeat.String(), `"k 2"`)
		assert.Assert(t, repeat.Repeated && repeat.Recorded)
	})
}

// Guards against a repeat that runs beside the first request or misses its
// response, and against a key reused for another request.
func TestRepeatsWhileInProgress(t *testing.T) {
	inBubble(t, func(x *fixture) {
		first := x.send("k", "{}", time.Minute, time.Second, nil)
		x.wait(time.Millisecond)
		repeat := x.send("k", "{}", time.Minute, 0, nil)
		other := <-x.send("k", `{"other": 1}`, time.Minute, 0, nil)
		assert.Equal(t, other.String(), "idempotency-key-reused not-run")
		assert.Equal(t, (<-first).String(), `"k 1"`)
		assert.Equal(t, (<-repeat).String(), `"k 1"`)
		assert.Equal(t, x.calls, 1)
		assert.Equal(t, (<-x.send("k", `{"other": 1}`, time.Minute, 0, nil)).String(), "idempotency-key-reused not-run")
	})
}

// Guards against a refusal that is held back during an outage, against a
// response that is held back or lost because it cannot be recorded, and
// against a shard that does not recover.
func TestStoreOutage(t *testing.T) {
	inBubble(t, func(x *fixture) {
		running := x.send("k", "{}", time.Minute, time.Second, nil)
		x.wait(500 * time.Millisecond)
		x.store.SetOutage(true)
		r := x.do("new", nil)
		assert.Equal(t, r.String(), "store-unavailable not-run")
		assert.Equal(t, r.took, time.Duration(0))
		assert.Assert(t, r.refusal().RetryAfter > 0)
		unrecorded := <-running
		assert.Equal(t, unrecorded.String(), `"k 1"`)
		assert.Equal(t, unrecorded.took, time.Second)
		assert.Assert(t, !unrecorded.Recorded)
		assert.Equal(t, x.do("k", nil).String(), `"k 1"`)
		x.store.SetOutage(false)
		x.wait(committer.DefaultProbeInterval)
		assert.Equal(t, x.do("new", nil).String(), `"new 2"`)
		x.reopen()
		assert.Equal(t, x.do("k", nil).String(), `"k 1"`)
	})
}

// Guards against a fenced shard that still runs calls or claims not-run.
func TestFencedShardStops(t *testing.T) {
	inBubble(t, func(x *fixture) {
		old := x.shard
		x.cancel = func() {}
		x.reopen()
		x.shard, old = old, x.shard
		assert.Equal(t, x.do("k", nil).String(), "not-owner unknown")
		<-x.shard.Done()
		assert.Assert(t, x.shard.Fenced())
		assert.Equal(t, x.calls, 0)
		x.settings.Epoch--
		x.settings.Owner = "late"
		_, err := committer.Open(context.Background(), x.settings)
		assert.ErrorIs(t, err, committer.ErrFenced)
		assert.Assert(t, !old.Fenced())
		x.settings.Epoch++
		_, err = committer.Open(context.Background(), x.settings)
		assert.ErrorIs(t, err, committer.ErrFenced)
	})
}

// Guards against lost records when segments are sealed, against segments that
// are never deleted, and against more writes than the interval allows.
func TestSealingAndExpiry(t *testing.T) {
	inBubble(t, func(x *fixture) {
		x.settings.SegmentBytes = 2000
		x.reopen()
		start := x.clock.Now()
		for i := range 100 {
			assert.Assert(t, x.do(fmt.Sprintf("k%d", i), nil).Recorded)
		}
		stats := x.shard.Stats()
		assert.Assert(t, stats.Segments > 5, "%+v", stats)
		allowed := int64(x.clock.Now().Sub(start)/committer.MinInterval) + 1
		assert.Assert(t, stats.HeadWrites+stats.SegmentWrites <= allowed+1, "%+v, allowed %d", stats, allowed)
		for range 2 {
			for i := range 100 {
				key := fmt.Sprintf("k%d", i)
				assert.Equal(t, x.do(key, nil).String(), fmt.Sprintf(`"%s %d"`, key, i+1))
			}
			x.reopen()
		}
		x.wait(2 * time.Hour)
		x.do("last", nil)
		x.wait(time.Minute)
		kept, err := x.store.List(context.Background(), "shard/0/segment/")
		assert.NilError(t, err)
		assert.Equal(t, len(kept), 0)
		assert.Equal(t, x.shard.Stats().Records, 1)
		assert.Equal(t, x.do("k7", nil).String(), `"k7 102"`)
	})
}

// Guards against a key that the journal cannot keep: one that JSON alters would
// be unknown to the next owner and run again.
func TestInvalidRequests(t *testing.T) {
	inBubble(t, func(x *fixture) {
		assert.Equal(t, x.do("", nil).String(), "missing-idempotency-key not-run")
		assert.Equal(t, x.do("k\xff", nil).String(), "invalid-request not-run")
		assert.Equal(t, x.do(strings.Repeat("k", committer.MaxKeyBytes+1), nil).String(), "invalid-request not-run")
		assert.Equal(t, x.calls, 0)
	})
}

// Guards against a handover that loses a call in progress or takes new ones.
func TestDrain(t *testing.T) {
	inBubble(t, func(x *fixture) {
		running := x.send("k", "{}", time.Minute, time.Second, nil)
		x.wait(time.Millisecond)
		drained := make(chan error, 1)
		go func() { drained <- x.shard.Drain(context.Background()) }()
		x.wait(time.Millisecond)
		assert.Equal(t, x.do("new", nil).String(), "stopping not-run")
		assert.NilError(t, <-drained)
		assert.Assert(t, (<-running).Recorded)
		x.reopen()
		assert.Equal(t, x.do("k", nil).String(), `"k 1"`)
	})
}
