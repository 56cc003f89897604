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

// TestMain makes the property-testing library rapid run more cases, with more
// steps each, than by default. With 30 steps per case, rapid never detected an
// owner that loses sealed segments.
func TestMain(m *testing.M) {
	flag.Set("rapid.checks", "500")
	flag.Set("rapid.steps", "100")
	os.Exit(m.Run())
}

// fixture holds a store and the present owner of its shard.
type fixture struct {
	t        *testing.T
	store    *storetester.Store
	clock    bergamotdale.SystemClock
	settings committer.Settings
	shard    *committer.Shard
	cancel   context.CancelFunc
	calls    int
}

// runWithShard runs a test in virtual time with an open shard.
func runWithShard(t *testing.T, f func(x *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		x := &fixture{t: t}
		x.store = storetester.New(x.clock)
		x.settings = committer.Settings{Store: x.store, Clock: x.clock, RecordLifetime: time.Hour}
		x.reopen()
		f(x)
		x.cancel()
	})
}

// reopen stops the present owner and opens the shard with a new one under the
// next epoch.
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

// wait advances the virtual time and lets every goroutine settle.
func (x *fixture) wait(d time.Duration) {
	<-x.clock.After(d)
	synctest.Wait()
}

// result is what a client received and how long it waited.
type result struct {
	committer.Response
	err     error
	elapsed time.Duration
}

// refusal returns the refusal of the request, or nil.
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

// send executes a request in the background. The client gives up after
// clientTimeout, and the call takes callDuration.
func (x *fixture) send(key, body string, clientTimeout, callDuration time.Duration, callErr error) <-chan result {
	results := make(chan result, 1)
	go func() {
		start := x.clock.Now()
		ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
		defer cancel()
		r := committer.Request{Workspace: "linen", Service: "pickup", Key: key, Body: []byte(body)}
		response, err := x.shard.Execute(ctx, r, func(context.Context) (bergamotdale.ServiceResponse, error) {
			x.calls++
			n := x.calls
			if callDuration > 0 {
				<-x.clock.After(callDuration)
			}
			return bergamotdale.ServiceResponse{Status: 200, Body: json.RawMessage(fmt.Sprintf(`"%s %d"`, key, n))}, callErr
		})
		results <- result{response, err, x.clock.Now().Sub(start)}
	}()
	return results
}

// execute executes a request whose call returns at once.
func (x *fixture) execute(key string, callErr error) result {
	return <-x.send(key, "{}", time.Minute, 0, callErr)
}

var (
	errConnectionLost = errors.New("connection lost")
	refusedNotRun     = bergamotdale.Refuse(bergamotdale.CodeEndpointRefused, "busy")
	refusedAfterRun   = bergamotdale.Refuse(bergamotdale.CodeEndpointRefused, "done, no body").WithOutcome(bergamotdale.OutcomeRun)
)

// Guards against a wrong outcome for the first request or its repeat, with the
// same owner and after a takeover.
func TestOutcomes(t *testing.T) {
	tests := map[string]struct {
		callErr       error
		first, repeat string
	}{
		"response":          {nil, `"k 1"`, `"k 1"`},
		"lost response":     {errConnectionLost, "endpoint-failed unknown", "outcome-unknown unknown"},
		"explicit refusal":  {refusedNotRun, "endpoint-refused not-run", `"k 2"`},
		"executed, no body": {refusedAfterRun, "endpoint-refused run", "answer-not-kept run"},
		"outcome missing":   {&bergamotdale.Refusal{Code: bergamotdale.CodePeer}, "peer-unreachable unknown", "outcome-unknown unknown"},
	}
	for name, test := range tests {
		for _, takeover := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, takeover %v", name, takeover), func(t *testing.T) {
				runWithShard(t, func(x *fixture) {
					assert.Equal(t, x.execute("k", test.callErr).String(), test.first)
					if takeover {
						x.reopen()
					}
					assert.Equal(t, x.execute("k", nil).String(), test.repeat)
				})
			})
		}
	}
}

// Guards against wrong results when a client disconnects. Before the call starts
// the outcome is not-run and the key can be used again; during the call the
// response is still recorded.
func TestClientLeaves(t *testing.T) {
	runWithShard(t, func(x *fixture) {
		x.execute("first", nil)
		early := <-x.send("k", "{}", 50*time.Millisecond, 0, nil)
		assert.Equal(t, early.String(), "deadline-exceeded not-run")
		during := <-x.send("k", "{}", time.Second, 5*time.Second, nil)
		assert.Equal(t, during.String(), "in-progress unknown")
		assert.Assert(t, during.refusal().RetryAfter > 0)
		assert.Equal(t, x.execute("k", nil).String(), "in-progress unknown")
		x.wait(5 * time.Second)
		repeat := x.execute("k", nil)
		assert.Equal(t, repeat.String(), `"k 2"`)
		assert.Assert(t, repeat.Repeated && repeat.Recorded)
	})
}

// Guards against a repeat that runs the call concurrently with the first request
// or misses its response, and against a key reused for a different request.
func TestRepeatsWhileInProgress(t *testing.T) {
	runWithShard(t, func(x *fixture) {
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

// Guards against three failures in a store outage: a refusal that is delayed, a
// response that is delayed or lost because it cannot be recorded, and a shard
// that does not recover.
func TestShardRefusesDuringStoreOutage(t *testing.T) {
	runWithShard(t, func(x *fixture) {
		running := x.send("k", "{}", time.Minute, time.Second, nil)
		x.wait(500 * time.Millisecond)
		x.store.SetOutage(true)
		r := x.execute("new", nil)
		assert.Equal(t, r.String(), "store-unavailable not-run")
		assert.Equal(t, r.elapsed, time.Duration(0))
		assert.Assert(t, r.refusal().RetryAfter > 0)
		unrecorded := <-running
		assert.Equal(t, unrecorded.String(), `"k 1"`)
		assert.Equal(t, unrecorded.elapsed, time.Second)
		assert.Assert(t, !unrecorded.Recorded)
		assert.Equal(t, x.execute("k", nil).String(), `"k 1"`)
		x.store.SetOutage(false)
		x.wait(committer.DefaultProbeInterval)
		assert.Equal(t, x.execute("new", nil).String(), `"new 2"`)
		x.reopen()
		assert.Equal(t, x.execute("k", nil).String(), `"k 1"`)
	})
}

// Guards against a fenced shard that still runs calls or reports not-run, and
// against an owner that opens the shard with an old epoch or with the epoch of
// another owner.
func TestFencedShardStops(t *testing.T) {
	runWithShard(t, func(x *fixture) {
		old := x.shard
		x.cancel = func() {}
		x.reopen()
		x.shard, old = old, x.shard
		assert.Equal(t, x.execute("k", nil).String(), "not-owner unknown")
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

// Guards against records lost when segments are sealed, expired segments that
// are never deleted, and more writes than the write interval allows.
func TestSealingAndExpiry(t *testing.T) {
	runWithShard(t, func(x *fixture) {
		x.settings.SegmentBytes = 2000
		x.reopen()
		start := x.clock.Now()
		for i := range 100 {
			assert.Assert(t, x.execute(fmt.Sprintf("k%d", i), nil).Recorded)
		}
		stats := x.shard.Stats()
		assert.Assert(t, stats.Segments > 5, "%+v", stats)
		allowed := int64(x.clock.Now().Sub(start)/committer.DefaultWriteInterval) + 1
		assert.Assert(t, stats.HeadWrites+stats.SegmentWrites <= allowed+1, "%+v, allowed %d", stats, allowed)
		for range 2 {
			for i := range 100 {
				key := fmt.Sprintf("k%d", i)
				assert.Equal(t, x.execute(key, nil).String(), fmt.Sprintf(`"%s %d"`, key, i+1))
			}
			x.reopen()
		}
		x.wait(2 * time.Hour)
		x.execute("last", nil)
		x.wait(time.Minute)
		kept, err := x.store.List(context.Background(), "shard/0/segment/")
		assert.NilError(t, err)
		assert.Equal(t, len(kept), 0)
		assert.Equal(t, x.shard.Stats().Records, 1)
		assert.Equal(t, x.execute("k7", nil).String(), `"k7 102"`)
	})
}

// Guards against accepting a key that the journal cannot store. If JSON altered
// the key, the next owner would not recognize it and execute the call again.
func TestInvalidRequests(t *testing.T) {
	runWithShard(t, func(x *fixture) {
		assert.Equal(t, x.execute("", nil).String(), "missing-idempotency-key not-run")
		assert.Equal(t, x.execute("k\xff", nil).String(), "invalid-request not-run")
		assert.Equal(t, x.execute(strings.Repeat("k", committer.MaxKeyBytes+1), nil).String(), "invalid-request not-run")
		assert.Equal(t, x.calls, 0)
	})
}

// Guards against a handover that loses the record of a call in progress or
// accepts new calls.
func TestDrain(t *testing.T) {
	runWithShard(t, func(x *fixture) {
		running := x.send("k", "{}", time.Minute, time.Second, nil)
		x.wait(time.Millisecond)
		drained := make(chan error, 1)
		go func() { drained <- x.shard.Drain(context.Background()) }()
		x.wait(time.Millisecond)
		assert.Equal(t, x.execute("new", nil).String(), "stopping not-run")
		assert.NilError(t, <-drained)
		assert.Assert(t, (<-running).Recorded)
		x.reopen()
		assert.Equal(t, x.execute("k", nil).String(), `"k 1"`)
	})
}
