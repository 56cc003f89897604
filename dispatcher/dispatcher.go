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
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/placer"
	"github.com/bergamotdale/bergamotdale/replayer"
	"github.com/bergamotdale/bergamotdale/scheduler"
)

// Policy is the part of the configuration that admission needs. It is
// immutable.
type Policy struct {
	Classes []scheduler.Class
	// ClassIndex maps the name of a priority class to its index in Classes.
	ClassIndex map[string]int
	// Bound is the load bound of every model group (I1).
	Bound placer.Bound
	// Weight returns the share of a workspace.
	Weight func(workspace string) float64
	// TargetTokenTime is the inter-token latency that engines should keep.
	TargetTokenTime time.Duration
}

// Assignment is an engine that this router owns.
type Assignment struct {
	Name           string
	Address        string
	MaxConcurrency int
	Epoch          int64
	Draining       bool
	// Confirmed is true where no previous owner can admit work any more.
	Confirmed bool
}

// Ownership tells how sure this router is that it alone owns an engine.
type Ownership interface {
	// Admits reports whether this router may admit work to the engine now.
	Admits(endpoint string) bool
	// Expired reports whether the lease is not known to be valid while another
	// router may have claimed the engine.
	Expired() bool
	// Confirmed records that a load report has shown no foreign load.
	Confirmed(endpoint string, epoch int64)
}

// Loads gives the shared load of a model group.
type Loads interface {
	// Mean returns the mean load of the group; false if it was never known.
	Mean(group string) (placer.Mean, bool)
	// Refresh brings the mean of the group up to date and reports whether it
	// may have changed.
	Refresh(group string) bool
	// Changed tells that the load of an owned engine has changed.
	Changed()
	// LeastLoaded returns an engine of the group with room, other than the
	// one given, or "".
	LeastLoaded(group, except string) string
}

// Quarantine knows the requests that were running when engines crashed.
type Quarantine interface {
	// Refusal returns the refusal of a quarantined fingerprint, or nil.
	Refusal(fingerprint string) *bergamotdale.Refusal
	// MayRun reports whether the fingerprint may start beside the running ones.
	MayRun(fingerprint string, running []string) bool
	// Crashed records the fingerprints that were running at a crash.
	Crashed(endpoint string, fingerprints []string)
	// Completed records that the fingerprint ran to its end.
	Completed(fingerprint string)
}

// Dispatcher runs requests on the engines that this router owns. Exported
// fields are set before Run.
type Dispatcher struct {
	Engine     bergamotdale.Engine
	Clock      bergamotdale.Clock
	Recorder   bergamotdale.Recorder
	Logger     *zap.Logger
	Ownership  Ownership
	Loads      Loads
	Quarantine Quarantine
	Replayer   *replayer.Replayer
	// Draining is called when an owned engine reports that it is draining.
	Draining func(endpoint string)
	// PollInterval is the time between two load reports of an engine.
	PollInterval time.Duration

	mu         sync.Mutex
	admissions map[string]*admission
	policy     *Policy
	stopping   bool
	// jobs counts queued and running requests of all admissions, including
	// those whose engine has been handed over.
	jobs sync.WaitGroup
	// readers counts the open streams of each running request.
	readers map[string]*audience
	// atEngine counts the requests that this router runs at each engine.
	atEngine map[string]*atomic.Int64
	// received holds handovers of engines that are not assigned yet.
	received map[string]Handover
	ctx      context.Context
}

// Run keeps the admissions working until the context is done.
func (d *Dispatcher) Run(ctx context.Context) error {
	d.mu.Lock()
	d.ctx = ctx
	d.admissions = map[string]*admission{}
	d.readers = map[string]*audience{}
	d.received = map[string]Handover{}
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
func (d *Dispatcher) Apply(policy *Policy, assignments []Assignment) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx == nil || d.ctx.Err() != nil {
		return
	}
	d.policy = policy
	kept := lo.SliceToMap(assignments, func(a Assignment) (string, Assignment) { return a.Name, a })
	for name, a := range d.admissions {
		if _, ok := kept[name]; !ok {
			delete(d.admissions, name)
			a.release()
		}
	}
	for _, assignment := range assignments {
		a, ok := d.admissions[assignment.Name]
		if ok {
			a.update(policy, assignment)
			continue
		}
		a = newAdmission(d, policy, assignment)
		if h, ok := d.received[assignment.Name]; ok {
			a.receive(h)
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
	if stream, err := d.Replayer.Read(ctx, c.StreamID(), c.ResumeFrom); err == nil {
		return d.attach(stream, c), nil
	}
	d.mu.Lock()
	a, stopping := d.admissions[c.Endpoint], d.stopping
	d.mu.Unlock()
	if a == nil {
		return nil, bergamotdale.Refuse(bergamotdale.CodeNotOwner, "this router does not own %s", c.Endpoint)
	}
	if stopping {
		return nil, bergamotdale.Refuse(bergamotdale.CodeStopping, "this router is stopping")
	}
	if refusal := d.Quarantine.Refusal(c.Fingerprint); refusal != nil {
		return nil, refusal
	}
	if err := d.admit(a, c); err != nil {
		return nil, err
	}
	stream, err := d.Replayer.Read(ctx, c.StreamID(), c.ResumeFrom)
	if err != nil {
		a.cancel(c.StreamID())
		return nil, bergamotdale.Refuse(bergamotdale.CodeInternal, "no replay buffer").
			WithOutcome(bergamotdale.OutcomeUnknown).WithCause(err)
	}
	return d.attach(stream, c), nil
}

// admit queues the completion. A refusal because of the load bound is checked
// once more with the present mean, which lags behind the loads.
func (d *Dispatcher) admit(a *admission, c bergamotdale.Completion) error {
	err := a.admit(c)
	if refusal := (*bergamotdale.Refusal)(nil); errors.As(err, &refusal) &&
		refusal.Code == bergamotdale.CodeOverloaded && d.Loads.Refresh(c.Model) {
		return a.admit(c)
	}
	return err
}

// Load is the load of an owned engine, for the aggregator of its group.
type Load struct {
	Endpoint string
	// Load is the number of requests that run or wait.
	Load    int
	Running int
	Limit   int
	Epoch   int64
}

// Report returns the loads of the owned engines, by name.
func (d *Dispatcher) Report() []Load {
	d.mu.Lock()
	admissions := lo.Values(d.admissions)
	d.mu.Unlock()
	loads := lo.Map(admissions, func(a *admission, _ int) Load { return a.report() })
	slices.SortFunc(loads, func(a, b Load) int {
		if a.Endpoint < b.Endpoint {
			return -1
		}
		return 1
	})
	return loads
}

// Handover is what the next owner of an engine needs to know.
type Handover struct {
	// Overrides maps hashes of chats to the endpoints that they were placed at.
	Overrides map[uint64]string `json:"overrides,omitempty"`
	// Running is the number of requests that finish at the previous owner.
	Running int `json:"running"`
}

// Handover returns the state of an owned engine for its next owner.
func (d *Dispatcher) Handover(endpoint string) (Handover, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.admissions[endpoint]
	if a == nil {
		return Handover{}, false
	}
	return a.handover(), true
}

// Receive keeps the state that the previous owner of an engine has handed over.
// It is used when the engine is assigned.
func (d *Dispatcher) Receive(endpoint string, h Handover) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a := d.admissions[endpoint]; a != nil {
		a.receive(h)
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
		a.setRemaining(n)
	}
}

// Stop refuses new requests from now on. Running and queued ones finish.
func (d *Dispatcher) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
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
