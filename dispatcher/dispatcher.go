// Package dispatcher runs requests on the engines that a router owns. Each engine
// is owned by one router, which schedules all requests to it. For each owned
// engine the dispatcher keeps one admission: the queue, the running requests, the
// adaptive concurrency limit and the placement overrides, which redirect chats to
// other engines. The dispatcher decides when a request starts, runs it at the
// engine, and keeps its frames in a replay buffer, so that an entry router that
// lost its connection can resume reading where it stopped.
package dispatcher

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/samber/lo"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/admitter"
	"github.com/bergamotdale/bergamotdale/replayer"
)

// Dispatcher runs requests on the engines that this router owns.
type Dispatcher struct {
	// Environment is set before Run, except Context and Jobs, which Run sets.
	admitter.Environment

	mu         sync.Mutex
	admissions map[string]*admitter.Admission
	jobs       sync.WaitGroup
	// readers counts the open streams of each request, by stream ID.
	readers map[string]*requestReaders
	// runningCounts holds the number of requests that this router runs at each
	// engine. A count outlives the admission, since running requests finish here
	// after the engine is released.
	runningCounts map[string]*atomic.Int64
	// receivedHandovers holds the handovers of engines that are not assigned to
	// this router yet.
	receivedHandovers map[string]admitter.Handover
}

// Run sets up the dispatcher and removes expired replay buffers until the context
// is done.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.mu.Lock()
	d.Context = ctx
	d.Jobs = &d.jobs
	d.admissions = map[string]*admitter.Admission{}
	d.readers = map[string]*requestReaders{}
	d.receivedHandovers = map[string]admitter.Handover{}
	d.runningCounts = map[string]*atomic.Int64{}
	d.mu.Unlock()
	for bergamotdale.Wait(ctx, d.Clock, replayer.Retention/4) == nil {
		d.Replayer.Sweep()
	}
	return nil
}

// ApplyAssignments sets the engines that this router owns. An engine that is no
// longer listed is released: its waiting requests are redirected to the new
// owner, and its running requests finish here.
func (d *Dispatcher) ApplyAssignments(policy *admitter.Policy, assignments []admitter.Assignment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Context == nil || d.Context.Err() != nil {
		return
	}
	assigned := lo.SliceToMap(assignments, func(a admitter.Assignment) (string, admitter.Assignment) { return a.Name, a })
	for name, a := range d.admissions {
		// The priority classes of a queue are fixed, so that changed classes
		// need a new admission.
		if _, ok := assigned[name]; !ok || a.ClassesChanged(policy) {
			delete(d.admissions, name)
			a.Release()
		}
	}
	for _, assignment := range assignments {
		a, ok := d.admissions[assignment.Name]
		if ok {
			a.Update(policy, assignment)
			continue
		}
		a = admitter.New(&d.Environment, policy, assignment, d.runningCount(assignment.Name))
		if h, ok := d.receivedHandovers[assignment.Name]; ok {
			a.ApplyHandover(h)
			delete(d.receivedHandovers, assignment.Name)
		}
		d.admissions[assignment.Name] = a
	}
}

// runningCount returns the counter of the requests that this router runs at the
// engine. The caller holds mu.
func (d *Dispatcher) runningCount(endpoint string) *atomic.Int64 {
	c := d.runningCounts[endpoint]
	if c == nil {
		c = &atomic.Int64{}
		d.runningCounts[endpoint] = c
	}
	return c
}

// Dispatch queues the completion at its endpoint and returns its response stream.
// If the request is running or has recently ended here, the stream is read from
// its replay buffer and the request does not run again.
func (d *Dispatcher) Dispatch(ctx context.Context, c bergamotdale.Completion) (bergamotdale.FrameStream, error) {
	if stream, err := d.Replayer.ReadUnlessFailed(ctx, c.StreamID(), c.ResumeFrom); err == nil {
		return d.attach(stream, c), nil
	}
	d.mu.Lock()
	a := d.admissions[c.Endpoint]
	d.mu.Unlock()
	if a == nil {
		return nil, bergamotdale.Refuse(bergamotdale.CodeNotOwner, "this router does not own endpoint %s", c.Endpoint)
	}
	if refusal := d.Quarantine.Refusal(c.Fingerprint); refusal != nil {
		return nil, refusal
	}
	if err := d.admit(a, c); err != nil {
		return nil, err
	}
	stream, err := d.Replayer.Read(ctx, c.StreamID(), c.ResumeFrom)
	if err != nil {
		a.Cancel(c.StreamID())
		return nil, bergamotdale.Refuse(bergamotdale.CodeInternal, "the admitted request has no replay buffer").
			WithOutcome(bergamotdale.OutcomeUnknown).WithCause(err)
	}
	return d.attach(stream, c), nil
}

// admit queues the completion. The mean load that the load bound is relative to
// lags behind the loads, so a refusal because of the load bound is checked once
// more after the mean was updated.
func (d *Dispatcher) admit(a *admitter.Admission, c bergamotdale.Completion) error {
	err := a.Admit(c)
	if refusal := (*bergamotdale.Refusal)(nil); errors.As(err, &refusal) &&
		refusal.Code == bergamotdale.CodeOverloaded && d.Loads.Refresh(c.Model) {
		return a.Admit(c)
	}
	return err
}

// ReportLoads returns the loads of the owned engines, sorted by name.
func (d *Dispatcher) ReportLoads() []admitter.Load {
	d.mu.Lock()
	admissions := lo.Values(d.admissions)
	d.mu.Unlock()
	loads := lo.Map(admissions, func(a *admitter.Admission, _ int) admitter.Load { return a.Report() })
	slices.SortFunc(loads, func(a, b admitter.Load) int {
		if a.Endpoint < b.Endpoint {
			return -1
		}
		return 1
	})
	return loads
}

// Handover returns the state of an owned engine for its next owner, and false if
// this router does not own the engine.
func (d *Dispatcher) Handover(endpoint string) (admitter.Handover, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.admissions[endpoint]
	if a == nil {
		return admitter.Handover{}, false
	}
	return a.Handover(), true
}

// ReceiveHandover applies the state that the previous owner of an engine has
// sent. If the engine is not assigned to this router yet, the state is kept until
// it is.
func (d *Dispatcher) ReceiveHandover(endpoint string, h admitter.Handover) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.admissions[endpoint]; a != nil {
		a.ApplyHandover(h)
		return
	}
	d.receivedHandovers[endpoint] = h
}

// RemainingRequests returns, by engine, the number of requests that this router
// still runs at engines that it no longer owns.
func (d *Dispatcher) RemainingRequests() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	remaining := map[string]int{}
	for endpoint, count := range d.runningCounts {
		if n := int(count.Load()); n > 0 && d.admissions[endpoint] == nil {
			remaining[endpoint] = n
		}
	}
	return remaining
}

// SetRemainingRequests records how many requests the previous owner of an engine
// still runs there.
func (d *Dispatcher) SetRemainingRequests(endpoint string, n int) {
	d.mu.Lock()
	a := d.admissions[endpoint]
	d.mu.Unlock()
	if a != nil {
		a.SetRemaining(n)
	}
}

// Drain waits until every request has ended, and returns the context's error if
// the context is done before that.
func (d *Dispatcher) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		d.jobs.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
