package admitter

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/inspector"
	"github.com/bergamotdale/bergamotdale/limiter"
	"github.com/bergamotdale/bergamotdale/placer"
	"github.com/bergamotdale/bergamotdale/replayer"
	"github.com/bergamotdale/bergamotdale/scheduler"
	"github.com/bergamotdale/bergamotdale/streamer"
)

const (
	// overrideBytes bounds the placement overrides of one engine; it holds
	// 16,384 chats. At the target size an engine has about 2,700 chats in all.
	overrideBytes = 1 << 20
	// overloadRetry is when a client may retry while every engine of the group
	// is at its bound.
	overloadRetry = time.Second
	// remainingTTL is how long a count of the previous owner holds without
	// another one. A router that is gone for so long has lost its connections.
	remainingTTL = 5 * time.Second
	// idleTick is how often an admission looks at its queue without an event.
	idleTick = 250 * time.Millisecond
)

// Admission is the queue and the running set of one owned engine. Its methods
// may be called concurrently.
type Admission struct {
	env  *Environment
	name string
	// classes are those that the queue was made for.
	classes []scheduler.Class
	stop    context.CancelFunc
	wake    chan struct{}

	mu         sync.Mutex
	assignment Assignment
	policy     *Policy
	queue      *scheduler.Queue
	limit      *limiter.Concurrency
	ownership  *limiter.Ownership
	overrides  *placer.Overrides
	// jobs holds every queued and running request by its item, and current the
	// latest one of each stream ID.
	jobs     map[string]*job
	current  map[string]*job
	sequence int
	// atEngine counts the requests that this router runs at the engine, those
	// of earlier admissions included.
	atEngine *atomic.Int64
	released bool
	// refusedUntil is when the engine, which has refused a request, may be asked
	// again. Without it every request would cost a retry.
	refusedUntil time.Time
	// remainingUntil is when the count of the previous owner expires.
	remainingUntil time.Time
	inspector      inspector.Inspector
}

// New starts the admission of an engine that this router now owns. atEngine
// counts the requests that the router runs there, from earlier admissions too.
func New(env *Environment, policy *Policy, assignment Assignment, atEngine *atomic.Int64) *Admission {
	ctx, cancel := context.WithCancel(env.Context)
	a := &Admission{
		env:     env,
		name:    assignment.Name,
		classes: policy.Classes,
		stop:    cancel,
		wake:    make(chan struct{}, 1),
		queue:   scheduler.New(scheduler.Config{Classes: policy.Classes}),
		limit: limiter.NewConcurrency(limiter.ConcurrencyConfig{
			Max:             assignment.MaxConcurrency,
			Initial:         assignment.MaxConcurrency,
			TargetTokenTime: policy.TargetTokenTime,
		}),
		ownership: limiter.NewOwnership(env.Clock.Now()),
		overrides: placer.NewOverrides(overrideBytes),
		jobs:      map[string]*job{},
		current:   map[string]*job{},
		atEngine:  atEngine,
	}
	a.Update(policy, assignment)
	go a.run(ctx)
	go a.poll(ctx)
	return a
}

// Update applies a new configuration or a new standing of the ownership.
func (a *Admission) Update(policy *Policy, assignment Assignment) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy = policy
	a.assignment = assignment
	if assignment.Confirmed && a.ownership.State() == limiter.OwnershipClaimed {
		a.ownership.Confirm(0)
	}
	a.signal()
}

// Outdated reports whether the queue was made for other priority classes.
func (a *Admission) Outdated(policy *Policy) bool {
	return !slices.Equal(a.classes, policy.Classes)
}

// signal makes run look at the queue.
func (a *Admission) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// run starts, preempts and expires requests whenever something has changed.
func (a *Admission) run(ctx context.Context) {
	for {
		a.step()
		select {
		case <-a.wake:
		case <-a.env.Clock.After(idleTick):
		case <-ctx.Done():
			return
		}
	}
}

// step applies one decision of the queue.
func (a *Admission) step() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.env.Clock.Now()
	if now.After(a.remainingUntil) {
		a.ownership.SetRemaining(0)
	}
	for _, refused := range a.queue.Expire(now) {
		a.refuse(refused)
	}
	a.ownership.SetExpired(a.env.Ownership.Expired())
	a.queue.SetLimit(now, a.slots())
	decision := a.queue.Next(now)
	for _, item := range decision.Preempt {
		a.preempt(item)
	}
	for _, item := range decision.Start {
		a.start(now, item)
	}
	a.ownership.RecordOwnRequests(now, a.queue.Running()+a.earlier())
}

// slots returns how many requests may run now. While the engine is handed over
// none is started: the next owner was told how many run.
func (a *Admission) slots() int {
	if a.released || !a.env.Ownership.Admits(a.assignment.Name) {
		return 0
	}
	return max(0, a.ownership.Limit(a.limit.Limit())-a.earlier())
}

// earlier returns the requests that this router still runs at the engine from
// the time of an earlier ownership.
func (a *Admission) earlier() int {
	return int(a.atEngine.Load()) - a.queue.Running()
}

// Admit queues a completion, or refuses it at once.
func (a *Admission) Admit(c bergamotdale.Completion) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.check(c); err != nil {
		return err
	}
	position, err := streamer.ResumePosition(c)
	if err != nil {
		return err
	}
	buffer, err := a.env.Replayer.Open(c.StreamID(), position)
	if err != nil {
		return bergamotdale.Refuse(bergamotdale.CodeInProgress, "the request is running").
			WithOutcome(bergamotdale.OutcomeUnknown).WithCause(err)
	}
	j := a.newJob(c, buffer)
	now := a.env.Clock.Now()
	for _, refused := range a.queue.Push(now, a.item(j)) {
		a.refuse(refused)
		if refused.Item.ID == j.item {
			return refused.Refusal()
		}
	}
	a.record(j, "request-queued", "")
	a.env.Loads.Changed()
	a.signal()
	return nil
}

// newJob registers a job. The caller holds mu.
func (a *Admission) newJob(c bergamotdale.Completion, buffer *replayer.Buffer) *job {
	a.sequence++
	j := &job{completion: c, buffer: buffer, id: c.StreamID(), item: fmt.Sprintf("%s#%d", c.StreamID(), a.sequence)}
	a.jobs[j.item] = j
	a.current[j.id] = j
	a.env.Jobs.Add(1)
	return j
}

// check refuses a completion that must not be queued here.
func (a *Admission) check(c bergamotdale.Completion) error {
	switch {
	case a.released, !a.env.Ownership.Admits(c.Endpoint):
		return bergamotdale.Refuse(bergamotdale.CodeNotOwner, "this router no longer owns %s", c.Endpoint)
	case a.assignment.Draining:
		return bergamotdale.Refuse(bergamotdale.CodeNoEndpoint, "%s is draining", c.Endpoint).
			To(bergamotdale.Redirect{Endpoint: a.env.Loads.LeastLoaded(c.Model, c.Endpoint)})
	}
	if c.Attempt == 0 {
		if other, ok := a.overrides.Get(c.Chat); ok && other != c.Endpoint {
			return bergamotdale.Refuse(bergamotdale.CodePlacedElsewhere, "the chat was placed at %s", other).
				To(bergamotdale.Redirect{Endpoint: other})
		}
	}
	if wait := a.refusedUntil.Sub(a.env.Clock.Now()); wait > 0 {
		return bergamotdale.Refuse(bergamotdale.CodeOverloaded, "%s refuses work", c.Endpoint).After(wait).
			To(bergamotdale.Redirect{Endpoint: a.env.Loads.LeastLoaded(c.Model, c.Endpoint)})
	}
	mean, known := a.env.Loads.Mean(c.Model)
	if known && !a.policy.Bound.Admits(mean, a.queue.Load()) {
		return a.overloaded(c, mean)
	}
	return nil
}

// overloaded refuses a completion because of the load bound. It remembers
// where it sent the chat, so that the chat finds its cache when it returns.
func (a *Admission) overloaded(c bergamotdale.Completion, mean placer.GroupLoad) error {
	refusal := bergamotdale.Refuse(bergamotdale.CodeOverloaded,
		"%s is at its load bound: it has %d requests, its group %d on %d engines %s ago",
		c.Endpoint, a.queue.Load(), mean.Requests, mean.Engines, mean.Age).After(overloadRetry)
	other := a.env.Loads.LeastLoaded(c.Model, c.Endpoint)
	if other == "" {
		return refusal
	}
	a.overrides.Put(c.Chat, other)
	return refusal.To(bergamotdale.Redirect{Endpoint: other})
}

// item returns what the scheduler needs to know of a completion.
func (a *Admission) item(j *job) scheduler.Item {
	c := j.completion
	class, ok := a.policy.ClassIndex[c.PriorityClass]
	if !ok {
		class = len(a.policy.Classes) - 1
	}
	return scheduler.Item{
		ID:           j.item,
		Workspace:    c.Workspace,
		Weight:       a.policy.Weight(c.Workspace),
		Class:        class,
		InputTokens:  c.PromptTokens,
		OutputTokens: c.MaxTokens,
		Offset:       c.ResumeFrom,
	}
}

// refuse ends a request that the queue has given up on, at once.
func (a *Admission) refuse(refused scheduler.Refused) {
	j := a.jobs[refused.Item.ID]
	if j == nil {
		return
	}
	r := refused.Refusal()
	a.record(j, "request-refused", r.Message)
	a.finish(j, streamer.RefusalFrame(j.id, j.buffer.Position().Offset, r))
}

// finish writes the last frame of a request without a slot and forgets it.
func (a *Admission) finish(j *job, last bergamotdale.Frame) {
	a.closeBuffer(j, last)
	a.forget(j)
}

// closeBuffer writes the last frame of a request.
func (a *Admission) closeBuffer(j *job, last bergamotdale.Frame) {
	j.closed = true
	if err := j.buffer.Append(last); err != nil {
		j.buffer.Cut(err)
	}
}

// forget removes a request whose buffer has ended and which has no slot.
func (a *Admission) forget(j *job) {
	delete(a.jobs, j.item)
	if a.current[j.id] == j {
		delete(a.current, j.id)
	}
	a.env.Jobs.Done()
	a.env.Loads.Changed()
	a.signal()
}

// Cancel ends a request whose client has gone.
func (a *Admission) Cancel(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.current[id]
	if j == nil || j.closed {
		return
	}
	if j.running {
		j.abandoned = true
		j.stop()
		return
	}
	a.queue.Cancel(a.env.Clock.Now(), j.item)
	j.closed = true
	j.buffer.Cut(context.Canceled)
	a.forget(j)
}

// Release ends the admission after the engine got another owner. Waiting
// requests are sent there; running ones finish here.
func (a *Admission) Release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.released = true
	now := a.env.Clock.Now()
	for item, j := range a.jobs {
		if j.running {
			continue
		}
		a.queue.Cancel(now, item)
		a.sendToNewOwner(j)
	}
	a.stop()
}

// sendToNewOwner ends a request here; its entry router follows the engine.
func (a *Admission) sendToNewOwner(j *job) {
	refusal := bergamotdale.Refuse(bergamotdale.CodeNotOwner, "the engine has another owner")
	a.finish(j, streamer.RefusalFrame(j.id, j.buffer.Position().Offset, refusal))
}

// poll reads load reports of the engine.
func (a *Admission) poll(ctx context.Context) {
	a.readLoad(ctx)
	for bergamotdale.Wait(ctx, a.env.Clock, a.env.PollInterval) == nil {
		a.readLoad(ctx)
	}
}

// readLoad applies one load report.
func (a *Admission) readLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.env.PollInterval)
	defer cancel()
	a.mu.Lock()
	address := a.assignment.Address
	a.mu.Unlock()
	load, err := a.env.Engine.Load(ctx, address)
	if err == nil && load.Draining {
		a.env.Draining(a.name)
	}
	now := a.env.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.env.Logger.Debug("no load report", zap.String("endpoint", a.assignment.Name), zap.Error(err))
		return
	}
	report := limiter.LoadReport{
		Taken:   now.Add(-time.Duration(load.AgeMS) * time.Millisecond),
		Running: load.Running,
		Queued:  load.Queued,
		Slots:   load.Slots,
	}
	a.limit.ApplyReport(now, report, int(a.atEngine.Load()))
	claimed := a.ownership.State() == limiter.OwnershipClaimed
	a.ownership.ApplyReport(report)
	if claimed && a.ownership.State() == limiter.OwnershipConfirmed {
		a.env.Ownership.Confirmed(a.assignment.Name, a.assignment.Epoch)
	}
	a.reportCrash(a.inspector.Responded(now, load.Incarnation))
	a.signal()
}

// Report returns the load of the engine.
func (a *Admission) Report() Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Load{
		Endpoint: a.assignment.Name,
		Load:     a.queue.Load(),
		Running:  a.queue.Running(),
		Limit:    a.ownership.Limit(a.limit.Limit()),
		Epoch:    a.assignment.Epoch,
	}
}

// Handover returns the state for the next owner.
func (a *Admission) Handover() Handover {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := Handover{Overrides: make(map[uint64]string, a.overrides.Len()), Running: int(a.atEngine.Load())}
	a.overrides.Each(func(key uint64, endpoint string) bool {
		h.Overrides[key] = endpoint
		return true
	})
	return h
}

// Receive applies the state of the previous owner.
func (a *Admission) Receive(h Handover) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ownership.Confirm(h.Running)
	a.remainingUntil = a.env.Clock.Now().Add(remainingTTL)
	for key, endpoint := range h.Overrides {
		a.overrides.PutKey(key, endpoint)
	}
	a.signal()
}

// SetRemaining applies a count of the previous owner.
func (a *Admission) SetRemaining(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ownership.SetRemaining(n)
	a.remainingUntil = a.env.Clock.Now().Add(remainingTTL)
	a.signal()
}

// record adds an event of a request to the timeline.
func (a *Admission) record(j *job, kind, detail string) {
	event := j.completion.Event(a.env.Clock.Now(), kind, detail)
	event.Endpoint, event.Epoch = a.name, a.assignment.Epoch
	a.env.Recorder.Record(event)
}
