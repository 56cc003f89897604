package regulator_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/collector"
	"github.com/bergamotdale/bergamotdale/gatekeeper"
	"github.com/bergamotdale/bergamotdale/regulator"
	"github.com/bergamotdale/bergamotdale/subscriber"
	"github.com/bergamotdale/bergamotdale/tracker"
)

// directory is a fixed state with two endpoints of two slots.
type directory struct{}

func (directory) State() *subscriber.State {
	var endpoints []subscriber.Endpoint
	for i := range 2 {
		endpoints = append(endpoints, subscriber.Endpoint{EndpointRecord: bergamotdale.EndpointRecord{ID: fmt.Sprint("e", i), Service: "s", Slots: 2}})
	}
	return subscriber.NewState(nil, endpoints)
}

// newRegulator returns a running regulator that knows that the endpoints of its service
// do not report their load.
func newRegulator(t *testing.T) (*regulator.Regulator, *tracker.Tracker) {
	clock := bergamotdale.SystemClock{}
	r := regulator.New(clock)
	r.Self, r.Directory, r.Tracker, r.Gatekeeper, r.Logger = "r", directory{}, tracker.New(), gatekeeper.New(clock), zap.NewNop()
	r.Routers = func() int { return 1 }
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = r.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	release, refusal := r.Acquire(ctx, request("first", time.Minute))
	assert.Assert(t, refusal == nil)
	release(bergamotdale.AdmissionResult{Endpoint: "e0"})
	return r, r.Tracker
}

func request(id string, timeLeft time.Duration) bergamotdale.AdmissionRequest {
	now := time.Now()
	return bergamotdale.AdmissionRequest{
		Service: "s", RequestID: id, Workspace: "w", Arrival: now, Deadline: now.Add(timeLeft), Objective: 10 * time.Second,
	}
}

// fill lets requests go until others would have to wait, and returns what releases them.
func fill(t *testing.T, r *regulator.Regulator, loads *tracker.Tracker) []func(bergamotdale.AdmissionResult) {
	var releases []func(bergamotdale.AdmissionResult)
	for i := 0; ; i++ {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		release, refusal := r.Acquire(ctx, request(fmt.Sprint("filler-", i), time.Hour))
		if refusal != nil {
			return releases
		}
		assert.Assert(t, i < 100, "no request has to wait")
		loads.BeginRequest("e0", "s")
		releases = append(releases, release)
	}
}

// Guards against a request that waits although another one has ended, and against the
// use of an endpoint that has no room.
func TestWaitingRequestGoesWhenAnotherEnds(t *testing.T) {
	r, loads := newRegulator(t)
	releases := fill(t, r, loads)
	granted, chosen := make(chan struct{}), ""
	go func() {
		defer close(granted)
		next := request("next", time.Hour)
		next.Choose = func(endpoint string) { chosen = endpoint }
		release, refusal := r.Acquire(context.Background(), next)
		if refusal == nil {
			release(bergamotdale.AdmissionResult{Endpoint: chosen})
		}
	}()
	for _, release := range releases {
		loads.EndRequest("e0", "s", tracker.Result{})
		release(bergamotdale.AdmissionResult{Endpoint: "e0"})
	}
	<-granted
	assert.Assert(t, chosen == "e0" || chosen == "e1", chosen)
	assert.Equal(t, r.WaitingCount(), int64(0))
}

// Guards against a request that stays in the queue after its client has left, or that is
// held until its deadline although it cannot be served before.
func TestRequestsThatLeaveOrCannotBeServed(t *testing.T) {
	r, loads := newRegulator(t)
	fill(t, r, loads)
	assert.Equal(t, r.WaitingCount(), int64(0))
	startTime := time.Now()
	_, refusal := r.Acquire(context.Background(), request("late", 50*time.Millisecond))
	assert.Assert(t, refusal != nil && refusal.Outcome == bergamotdale.OutcomeNotRun && refusal.RetryAfter > 0, "%v", refusal)
	assert.Equal(t, refusal.Code, bergamotdale.CodeWaitTooLong)
	assert.Assert(t, time.Since(startTime) < 50*time.Millisecond)
	r.SetMaxWaiting(0)
	_, refusal = r.Acquire(context.Background(), request("excess", time.Hour))
	assert.Assert(t, refusal != nil && refusal.Code == bergamotdale.CodeOverloaded && refusal.RetryAfter > 0, "%v", refusal)
	assert.Equal(t, r.RefusedCount(), int64(2))
}

// Guards against admission for services whose endpoints report their load.
func TestServiceThatReportsItsLoadPasses(t *testing.T) {
	r, loads := newRegulator(t)
	releases := fill(t, r, loads)
	releases[0](bergamotdale.AdmissionResult{Endpoint: "e0", ReportsLoad: true})
	for i := range 50 {
		release, refusal := r.Acquire(context.Background(), request(fmt.Sprint(i), time.Millisecond))
		assert.Assert(t, refusal == nil, "%v", refusal)
		release(bergamotdale.AdmissionResult{Endpoint: "e0", ReportsLoad: true})
	}
	assert.Equal(t, len(r.Demands().Services), 0)
}

// Guards against requests that are lost or counted twice when they are let go, refused
// and given up at the same time.
func TestConcurrentRequests(t *testing.T) {
	r, loads := newRegulator(t)
	r.SetMaxWaiting(1000)
	releases := fill(t, r, loads)
	var callers sync.WaitGroup
	var served, refused atomic.Int64
	for i := range 400 {
		callers.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%2 == 0 {
				ctx, cancel = context.WithTimeout(ctx, time.Duration(1+i%40)*time.Millisecond)
				defer cancel()
			}
			release, refusal := r.Acquire(ctx, request(fmt.Sprint(i), time.Hour))
			if refusal != nil {
				refused.Add(1)
				return
			}
			loads.BeginRequest("e1", "s")
			loads.EndRequest("e1", "s", tracker.Result{})
			release(bergamotdale.AdmissionResult{Endpoint: "e1"})
			served.Add(1)
		})
	}
	for _, release := range releases {
		loads.EndRequest("e0", "s", tracker.Result{})
		release(bergamotdale.AdmissionResult{Endpoint: "e0"})
	}
	callers.Wait()
	assert.Equal(t, served.Load()+refused.Load(), int64(400))
	assert.Equal(t, r.WaitingCount(), int64(0))
	assert.Assert(t, served.Load() >= 200, "%d", served.Load())
	others := collector.Demands{Covers: 1}
	others.Add("s", 100, 6)
	r.MergeDemands(time.Now(), "other", others)
	r.SetDemands(time.Now(), others)
	requests, work := r.Demands().Of("s")
	assert.Assert(t, requests > 0 && work > 0)
}

// Guards against requests that no longer wait and are told to the fleet as demand, which
// takes from the shares of all other routers.
func TestRequestsThatLeftAreNoDemand(t *testing.T) {
	r, loads := newRegulator(t)
	releases := fill(t, r, loads)
	ctx, leave := context.WithCancel(context.Background())
	var waiting sync.WaitGroup
	const waiters = 20
	for i := range waiters {
		waiting.Go(func() { _, _ = r.Acquire(ctx, request(fmt.Sprint("waiter-", i), time.Hour)) })
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.WaitingCount() == waiters {
			return poll.Success()
		}
		return poll.Continue("%d requests wait", r.WaitingCount())
	}, poll.WithDelay(time.Millisecond))
	with := r.Demands().Services["s"][0]
	leave()
	waiting.Wait()
	without := r.Demands().Services["s"][0]
	assert.Assert(t, without <= with-1000*waiters/2, "%d thousandths a second with %d waiting requests, %d without", with, waiters, without)
	for _, release := range releases {
		release(bergamotdale.AdmissionResult{Endpoint: "e0"})
	}
}
