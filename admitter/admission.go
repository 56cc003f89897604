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
	// maxOverrideBytes bounds the memory for the placement overrides of one
	// engine. It is enough for 16,384 chats; at the target size of a fleet an
	// engine has about 2,700 chats in all.
	maxOverrideBytes = 1 << 20
	// overloadRetryAfter is the Retry-After of a refusal at the load bound. Clients
	// wait for it if every engine of the model group is at its bound.
	overloadRetryAfter = time.Second
	// remainingCountTTL is how long a count of the requests that still run for the
	// previous owner stays valid without an update. A router that has been silent
	// for this long has lost its connections to the engine.
	remainingCountTTL = 5 * time.Second
	// idleCheckInterval is how often the queue is checked if no event wakes the
	// scheduling loop.
	idleCheckInterval = 250 * time.Millisecond
)

// Admission holds the queue and the running requests of one engine that this
// router owns. Its methods may be called concurrently.
type Admission struct {
	env  *Environment
	name string
	// classes are the priority classes that the queue was created with.
	classes []scheduler.Class
	stop    context.CancelFunc
	// wake wakes the scheduling loop; a buffered value is a pending wake-up.
	wake chan struct{}

	mu         sync.Mutex
	assignment Assignment
	policy     *Policy
	queue      *scheduler.Queue
	limit      *limiter.Concurrency
	ownership  *limiter.Ownership
	overrides  *placer.Overrides
	// jobs maps item IDs to all queued and running requests. latestByStream maps
	// each stream ID to its most recent job.
	jobs           map[string]*job
	latestByStream map[string]*job
	sequence       int
	// inFlight counts the requests that this router runs at the engine, including
	// those of earlier admissions.
	inFlight *atomic.Int64
	// released is true once another router owns the engine.
	released bool
	// refusedUntil is the earliest time at which an engine that refused a request
	// is used again. Without it every request would cost a failed attempt.
	refusedUntil time.Time
	// remainingUntil is when the count of requests that still run for the
	// previous owner expires.
	remainingUntil time.Time
	inspector      inspector.Inspector
}

// New starts the admission of an engine that this router now owns. inFlight
// counts the requests that this router runs at the engine, including those of
// earlier admissions.
func New(env *Environment, policy *Policy, assignment Assignment, inFlight *atomic.Int64) *Admission {
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
		ownership:      limiter.NewOwnership(env.Clock.Now()),
		overrides:      placer.NewOverrides(maxOverrideBytes),
		jobs:           map[string]*job{},
		latestByStream: map[string]*job{},
		inFlight:       inFlight,
	}
	a.Update(policy, assignment)
	go a.scheduleLoop(ctx)
	go a.pollLoad(ctx)
	return a
}

// Update applies a new policy and assignment. An assignment that is confirmed
// ends the reduced concurrency limit of a new owner.
func (a *Admission) Update(policy *Policy, assignment Assignment) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.policy = policy
	a.assignment = assignment
	if assignment.Confirmed && a.ownership.State() == limiter.OwnershipClaimed {
		a.ownership.Confirm(0)
	}
	a.wakeScheduler()
}

// ClassesChanged reports whether the policy has other priority classes than the
// queue was created with. The queue cannot change its classes, so the admission
// then has to be replaced.
func (a *Admission) ClassesChanged(policy *Policy) bool {
	return !slices.Equal(a.classes, policy.Classes)
}

// wakeScheduler makes scheduleLoop check the queue without waiting for its
// timer.
func (a *Admission) wakeScheduler() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// scheduleLoop calls schedule after each wake-up and at least once per
// idleCheckInterval.
func (a *Admission) scheduleLoop(ctx context.Context) {
	for {
		a.schedule()
		select {
		case <-a.wake:
		case <-a.env.Clock.After(idleCheckInterval):
		case <-ctx.Done():
			return
		}
	}
}

// schedule refuses expired requests, then starts and preempts requests as the
// queue decides.
func (a *Admission) schedule() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.env.Clock.Now()
	if now.After(a.remainingUntil) {
		a.ownership.SetRemaining(0)
	}
	for _, refused := range a.queue.Expire(now) {
		a.refuseQueued(refused)
	}
	a.ownership.SetExpired(a.env.Ownership.Expired())
	a.queue.SetLimit(now, a.availableSlots())
	decision := a.queue.Next(now)
	for _, item := range decision.Preempt {
		a.preempt(item)
	}
	for _, item := range decision.Start {
		a.start(now, item)
	}
	a.ownership.RecordOwnRequests(now, a.queue.Running()+a.earlierInFlight())
}

// availableSlots returns how many requests of this admission may run now. It is
// zero during a handover, because the next owner has already been told how many
// requests still run here.
func (a *Admission) availableSlots() int {
	if a.released || !a.env.Ownership.Admits(a.assignment.Name) {
		return 0
	}
	return max(0, a.ownership.Limit(a.limit.Limit())-a.earlierInFlight())
}

// earlierInFlight returns the number of requests that this router still runs at
// the engine from earlier admissions.
func (a *Admission) earlierInFlight() int {
	return int(a.inFlight.Load()) - a.queue.Running()
}

// Admit queues a completion, or returns the refusal if it must not be queued
// here. The response is written to the replay buffer of the request.
func (a *Admission) Admit(c bergamotdale.Completion) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkAdmissible(c); err != nil {
		return err
	}
	position, err := streamer.ResumePosition(c)
	if err != nil {
		return err
	}
	buffer, err := a.env.Replayer.Open(c.StreamID(), position)
	if err != nil {
		return bergamotdale.Refuse(bergamotdale.CodeInProgress, "another attempt of this request is still running").
			WithOutcome(bergamotdale.OutcomeUnknown).WithCause(err)
	}
	j := a.newJob(c, buffer)
	now := a.env.Clock.Now()
	for _, refused := range a.queue.Push(now, a.schedulerItem(j)) {
		a.refuseQueued(refused)
		if refused.Item.ID == j.itemID {
			return refused.Refusal()
		}
	}
	a.recordEvent(j, "request-queued", "")
	a.env.Loads.NotifyLoadChange()
	a.wakeScheduler()
	return nil
}

// newJob creates and registers the job of a completion. The caller holds mu.
func (a *Admission) newJob(c bergamotdale.Completion, buffer *replayer.Buffer) *job {
	a.sequence++
	j := &job{completion: c, buffer: buffer, streamID: c.StreamID(), itemID: fmt.Sprintf("%s#%d", c.StreamID(), a.sequence)}
	a.jobs[j.itemID] = j
	a.latestByStream[j.streamID] = j
	a.env.Jobs.Add(1)
	return j
}

// checkAdmissible returns a refusal if the completion must not be queued here.
// The caller holds mu.
func (a *Admission) checkAdmissible(c bergamotdale.Completion) error {
	switch {
	case a.released, !a.env.Ownership.Admits(c.Endpoint):
		return bergamotdale.Refuse(bergamotdale.CodeNotOwner, "this router no longer owns endpoint %s", c.Endpoint)
	case a.assignment.Draining:
		return bergamotdale.Refuse(bergamotdale.CodeNoEndpoint, "endpoint %s is draining", c.Endpoint).
			WithRedirect(bergamotdale.Redirect{Endpoint: a.env.Loads.LeastLoaded(c.Model, c.Endpoint)})
	}
	if c.Attempt == 0 {
		if other, ok := a.overrides.Get(c.Chat); ok && other != c.Endpoint {
			return bergamotdale.Refuse(bergamotdale.CodePlacedElsewhere, "the chat was placed at endpoint %s", other).
				WithRedirect(bergamotdale.Redirect{Endpoint: other})
		}
	}
	if wait := a.refusedUntil.Sub(a.env.Clock.Now()); wait > 0 {
		return bergamotdale.Refuse(bergamotdale.CodeOverloaded, "endpoint %s refused a request a moment ago", c.Endpoint).After(wait).
			WithRedirect(bergamotdale.Redirect{Endpoint: a.env.Loads.LeastLoaded(c.Model, c.Endpoint)})
	}
	mean, known := a.env.Loads.Mean(c.Model)
	if known && !a.policy.Bound.Admits(mean, a.queue.Load()) {
		return a.refuseOverloaded(c, mean)
	}
	return nil
}

// refuseOverloaded returns the refusal of a completion that would exceed the load
// bound. It stores the engine that the chat is redirected to as a placement
// override, so that the next request of the chat goes where its prefix is cached.
func (a *Admission) refuseOverloaded(c bergamotdale.Completion, mean placer.GroupLoad) error {
	refusal := bergamotdale.Refuse(bergamotdale.CodeOverloaded,
		"endpoint %s is at its load bound: it has %d requests, its model group had %d on %d engines %s ago",
		c.Endpoint, a.queue.Load(), mean.Requests, mean.Engines, mean.Age).After(overloadRetryAfter)
	other := a.env.Loads.LeastLoaded(c.Model, c.Endpoint)
	if other == "" {
		return refusal
	}
	a.overrides.Put(c.Chat, other)
	return refusal.WithRedirect(bergamotdale.Redirect{Endpoint: other})
}

// schedulerItem returns the scheduler's view of a job. An unknown priority class
// counts as the last one.
func (a *Admission) schedulerItem(j *job) scheduler.Item {
	c := j.completion
	class, ok := a.policy.ClassIndex[c.PriorityClass]
	if !ok {
		class = len(a.policy.Classes) - 1
	}
	return scheduler.Item{
		ID:           j.itemID,
		Workspace:    c.Workspace,
		Weight:       a.policy.Weight(c.Workspace),
		Class:        class,
		InputTokens:  c.PromptTokens,
		OutputTokens: c.MaxTokens,
		Offset:       c.ResumeFrom,
	}
}

// refuseQueued ends a request that the queue has refused.
func (a *Admission) refuseQueued(refused scheduler.Refused) {
	j := a.jobs[refused.Item.ID]
	if j == nil {
		return
	}
	r := refused.Refusal()
	a.recordEvent(j, "request-refused", r.Message)
	a.finishWithoutSlot(j, streamer.RefusalFrame(j.streamID, j.buffer.Position().Offset, r))
}

// finishWithoutSlot writes the final frame of a request that holds no slot and
// removes its job.
func (a *Admission) finishWithoutSlot(j *job, last bergamotdale.Frame) {
	a.closeBuffer(j, last)
	a.removeJob(j)
}

// closeBuffer appends the final frame of a request to its replay buffer. If the
// buffer does not accept the frame, its readers get the error.
func (a *Admission) closeBuffer(j *job, last bergamotdale.Frame) {
	j.bufferClosed = true
	if err := j.buffer.Append(last); err != nil {
		j.buffer.Abort(err)
	}
}

// removeJob removes a job that holds no slot and whose replay buffer is closed.
func (a *Admission) removeJob(j *job) {
	delete(a.jobs, j.itemID)
	if a.latestByStream[j.streamID] == j {
		delete(a.latestByStream, j.streamID)
	}
	a.env.Jobs.Done()
	a.env.Loads.NotifyLoadChange()
	a.wakeScheduler()
}

// Cancel ends a request whose client has disconnected.
func (a *Admission) Cancel(streamID string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.latestByStream[streamID]
	if j == nil || j.bufferClosed {
		return
	}
	if j.running {
		j.clientGone = true
		j.stop()
		return
	}
	a.queue.Cancel(a.env.Clock.Now(), j.itemID)
	j.bufferClosed = true
	j.buffer.Abort(context.Canceled)
	a.removeJob(j)
}

// Release ends the admission once another router owns the engine. Waiting
// requests are refused, so that their entry routers send them to the new owner;
// running requests finish here.
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
		a.refuseNotOwner(j)
	}
	a.stop()
}

// refuseNotOwner refuses a request, so that its entry router sends it to the new
// owner of the engine.
func (a *Admission) refuseNotOwner(j *job) {
	refusal := bergamotdale.Refuse(bergamotdale.CodeNotOwner, "another router now owns the engine")
	a.finishWithoutSlot(j, streamer.RefusalFrame(j.streamID, j.buffer.Position().Offset, refusal))
}

// pollLoad reads a load report of the engine once per PollInterval.
func (a *Admission) pollLoad(ctx context.Context) {
	a.readLoad(ctx)
	for bergamotdale.Wait(ctx, a.env.Clock, a.env.PollInterval) == nil {
		a.readLoad(ctx)
	}
}

// readLoad reads one load report and passes it to the concurrency limit, the
// ownership and the crash detection.
func (a *Admission) readLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.env.PollInterval)
	defer cancel()
	a.mu.Lock()
	address := a.assignment.Address
	a.mu.Unlock()
	load, err := a.env.Engine.Load(ctx, address)
	if err == nil && load.Draining {
		a.env.OnDraining(a.name)
	}
	now := a.env.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.env.Logger.Debug("failed to read the load report of the engine", zap.String("endpoint", a.assignment.Name), zap.Error(err))
		return
	}
	report := limiter.LoadReport{
		Taken:   now.Add(-time.Duration(load.AgeMS) * time.Millisecond),
		Running: load.Running,
		Queued:  load.Queued,
		Slots:   load.Slots,
	}
	a.limit.ApplyReport(now, report, int(a.inFlight.Load()))
	claimed := a.ownership.State() == limiter.OwnershipClaimed
	a.ownership.ApplyReport(report)
	if claimed && a.ownership.State() == limiter.OwnershipConfirmed {
		a.env.Ownership.ConfirmFull(a.assignment.Name, a.assignment.Epoch)
	}
	a.reportCrash(a.inspector.RecordLoadReport(now, load.Incarnation))
	a.wakeScheduler()
}

// Report returns the current load and limit of the engine.
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

// Handover returns the state that the next owner of the engine needs.
func (a *Admission) Handover() Handover {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := Handover{Overrides: make(map[uint64]string, a.overrides.Len()), Running: int(a.inFlight.Load())}
	a.overrides.Each(func(key uint64, endpoint string) bool {
		h.Overrides[key] = endpoint
		return true
	})
	return h
}

// ApplyHandover applies the state that the previous owner has handed over.
func (a *Admission) ApplyHandover(h Handover) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ownership.Confirm(h.Running)
	a.remainingUntil = a.env.Clock.Now().Add(remainingCountTTL)
	for key, endpoint := range h.Overrides {
		a.overrides.PutKey(key, endpoint)
	}
	a.wakeScheduler()
}

// SetRemaining sets how many requests still run at the engine for its previous
// owner.
func (a *Admission) SetRemaining(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ownership.SetRemaining(n)
	a.remainingUntil = a.env.Clock.Now().Add(remainingCountTTL)
	a.wakeScheduler()
}

// recordEvent adds an event of a request to the event timeline.
func (a *Admission) recordEvent(j *job, kind, detail string) {
	event := j.completion.Event(a.env.Clock.Now(), kind, detail)
	event.Endpoint, event.Epoch = a.name, a.assignment.Epoch
	a.env.Recorder.Record(event)
}
