// Package dispatcher is the owner side of the request path. A router owns some
// engines; for each of them the dispatcher keeps one admission: the queue, the
// running set, the learned concurrency limit and the placement overrides. It
// decides when a request starts, runs it at the engine, and keeps its frames
// in a replay buffer, so that an entry router that lost its connection reads
// on where it stopped.
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

// Dispatcher runs requests on the engines that this router owns. Exported
// fields are set before Run.
type Dispatcher struct {
	// Environment is set before Run, but for Context and Jobs.
	admitter.Environment

	mu         sync.Mutex
	admissions map[string]*admitter.Admission
	jobs       sync.WaitGroup
	// readers counts the open streams of each running request.
	readers map[string]*audience
	// atEngine counts the requests that this router runs at each engine.
	atEngine map[string]*atomic.Int64
	// received holds handovers of engines that are not assigned yet.
	received map[string]admitter.Handover
}

// Run keeps the admissions working until the context is done.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.mu.Lock()
	d.Context = ctx
	d.Jobs = &d.jobs
	d.admissions = map[string]*admitter.Admission{}
	d.readers = map[string]*audience{}
	d.received = map[string]admitter.Handover{}
	d.atEngine = map[string]*atomic.Int64{}
	d.mu.Unlock()
	for bergamotdale.Wait(ctx, d.Clock, replayer.Retention/4) == nil {
		d.Replayer.Sweep()
	}
	return nil
}

// Apply makes the assignments the owned engines. An engine that is no longer
// listed is released: its waiting requests are sent to the new owner, its
// running ones finish here.
func (d *Dispatcher) Apply(policy *admitter.Policy, assignments []admitter.Assignment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Context == nil || d.Context.Err() != nil {
		return
	}
	kept := lo.SliceToMap(assignments, func(a admitter.Assignment) (string, admitter.Assignment) { return a.Name, a })
	for name, a := range d.admissions {
		// A queue cannot change its priority classes, so a new one takes over.
		if _, ok := kept[name]; !ok || a.ClassesChanged(policy) {
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
		a = admitter.New(&d.Environment, policy, assignment, d.counter(assignment.Name))
		if h, ok := d.received[assignment.Name]; ok {
			a.ApplyHandover(h)
			delete(d.received, assignment.Name)
		}
		d.admissions[assignment.Name] = a
	}
}

// counter returns the counter of an engine. The caller holds mu.
func (d *Dispatcher) counter(endpoint string) *atomic.Int64 {
	c := d.atEngine[endpoint]
	if c == nil {
		c = &atomic.Int64{}
		d.atEngine[endpoint] = c
	}
	return c
}

// Dispatch queues the completion at its endpoint and returns its stream. A
// request that is already running or has just ended here is attached to, not
// run again.
func (d *Dispatcher) Dispatch(ctx context.Context, c bergamotdale.Completion) (bergamotdale.FrameStream, error) {
	if stream, err := d.Replayer.Resume(ctx, c.StreamID(), c.ResumeFrom); err == nil {
		return d.attach(stream, c), nil
	}
	d.mu.Lock()
	a := d.admissions[c.Endpoint]
	d.mu.Unlock()
	if a == nil {
		return nil, bergamotdale.Refuse(bergamotdale.CodeNotOwner, "this router does not own %s", c.Endpoint)
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
		return nil, bergamotdale.Refuse(bergamotdale.CodeInternal, "no replay buffer").
			WithOutcome(bergamotdale.OutcomeUnknown).WithCause(err)
	}
	return d.attach(stream, c), nil
}

// admit queues the completion. A refusal because of the load bound is checked
// once more with the present mean, which lags behind the loads.
func (d *Dispatcher) admit(a *admitter.Admission, c bergamotdale.Completion) error {
	err := a.Admit(c)
	if refusal := (*bergamotdale.Refusal)(nil); errors.As(err, &refusal) &&
		refusal.Code == bergamotdale.CodeOverloaded && d.Loads.Refresh(c.Model) {
		return a.Admit(c)
	}
	return err
}

// Report returns the loads of the owned engines, by name.
func (d *Dispatcher) Report() []admitter.Load {
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

// Handover returns the state of an owned engine for its next owner.
func (d *Dispatcher) Handover(endpoint string) (admitter.Handover, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.admissions[endpoint]
	if a == nil {
		return admitter.Handover{}, false
	}
	return a.Handover(), true
}

// Receive keeps the state that the previous owner of an engine has handed over.
// It is used when the engine is assigned.
func (d *Dispatcher) Receive(endpoint string, h admitter.Handover) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.admissions[endpoint]; a != nil {
		a.ApplyHandover(h)
		return
	}
	d.received[endpoint] = h
}

// Remaining returns the requests that this router still runs at engines that it
// no longer owns, by engine.
func (d *Dispatcher) Remaining() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	remaining := map[string]int{}
	for endpoint, count := range d.atEngine {
		if n := int(count.Load()); n > 0 && d.admissions[endpoint] == nil {
			remaining[endpoint] = n
		}
	}
	return remaining
}

// SetRemaining records how many requests the previous owner of an engine still
// runs there.
func (d *Dispatcher) SetRemaining(endpoint string, n int) {
	d.mu.Lock()
	a := d.admissions[endpoint]
	d.mu.Unlock()
	if a != nil {
		a.SetRemaining(n)
	}
}

// Drain blocks until every request has ended or the context is done.
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
