package admitter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/replayer"
	"github.com/bergamotdale/bergamotdale/scheduler"
	"github.com/bergamotdale/bergamotdale/streamer"
)

const (
	// engineAttempts is how many streams to the same engine a request may use.
	// A second one distinguishes a broken connection from a broken engine.
	engineAttempts = 2
	// progressLimit is the longest time without a token at an engine. It has to
	// cover the prefill of a long prompt behind other prefills.
	progressLimit = 60 * time.Second
	// cancelTimeout bounds the call that cancels a request at its engine. An
	// unconfirmed cancellation is repeated every cancelRetry, cancelAttempts
	// times: a minute, after which load reports show what the engine runs.
	cancelTimeout  = time.Second
	cancelRetry    = 500 * time.Millisecond
	cancelAttempts = 40
)

// job is one queued or running request. The admission's lock guards it.
type job struct {
	// id is the stream ID. item names the job in the scheduler: the slot of an
	// earlier job of the same stream may not be free yet.
	id         string
	item       string
	completion bergamotdale.Completion
	buffer     *replayer.Buffer
	running    bool
	preempted  bool
	// closed is true once the final frame was written.
	closed bool
	// abandoned is true once nobody waits for the response.
	abandoned bool
	// started is when the job last got a slot.
	started time.Time
	// stop ends the stream to the engine; nil while the job waits.
	stop context.CancelFunc
}

// start runs a request at the engine. A suspect of a crash waits while another
// suspect runs there.
func (a *Admission) start(now time.Time, item scheduler.Item) {
	j := a.jobs[item.ID]
	if j == nil {
		a.queue.Done(now, item.ID)
		return
	}
	if !a.env.Quarantine.MayRun(j.completion.Fingerprint, a.runningFingerprints()) {
		a.queue.Preempted(now, j.item, j.buffer.Position().Offset)
		return
	}
	ctx, cancel := context.WithCancel(a.env.Context)
	j.stop = cancel
	j.running = true
	j.started = now
	a.atEngine.Add(1)
	a.record(j, "request-started", fmt.Sprintf("at offset %d", j.buffer.Position().Offset))
	go a.execute(ctx, j, item.Class, a.assignment.Address)
}

// runningFingerprints returns the fingerprints of the requests that run at the
// engine now.
func (a *Admission) runningFingerprints() []string {
	running := make([]string, 0, len(a.jobs))
	for _, j := range a.jobs {
		if j.running {
			running = append(running, j.completion.Fingerprint)
		}
	}
	return running
}

// preempt cancels a running request so that an urgent one gets its slot. It
// continues later from its offset.
func (a *Admission) preempt(item scheduler.Item) {
	j := a.jobs[item.ID]
	if j == nil || j.preempted || !j.running {
		return
	}
	j.preempted = true
	j.stop()
	a.record(j, "request-preempted", fmt.Sprintf("at offset %d", j.buffer.Position().Offset))
}

// execute copies the frames of the engine into the replay buffer.
func (a *Admission) execute(ctx context.Context, j *job, class int, address string) {
	resumer := streamer.NewResumer(ctx, streamer.Resume{
		RequestID: j.id,
		Start:     j.buffer.Position(),
		Attempts:  engineAttempts,
		Clock:     a.env.Clock,
		Unsealed:  true,
		Limits:    streamer.Limits{Silence: streamer.SilenceLimit, Progress: progressLimit},
		Open: func(ctx context.Context, p streamer.Position, attempt int) (bergamotdale.FrameStream, error) {
			if attempt > 0 {
				// The engine may not have noticed that the connection is gone.
				_ = a.cancelAtEngine(j.id, address)
			}
			return a.env.Engine.Complete(ctx, address, bergamotdale.EngineRequest{
				RequestID:  j.id,
				Body:       j.completion.Body,
				Priority:   class,
				ResumeFrom: p.Offset,
			})
		},
	})
	defer func() { _ = resumer.Close() }()
	last := a.copyFrames(j, resumer)
	a.end(ctx, j, address, last)
}

// copyFrames appends frames to the buffer until a final one, which it returns.
func (a *Admission) copyFrames(j *job, s bergamotdale.FrameStream) bergamotdale.Frame {
	lastToken := a.env.Clock.Now()
	for {
		frame, err := s.Next()
		if err != nil {
			return streamer.RefusalFrame(j.id, j.buffer.Position().Offset, streamLost(err))
		}
		switch frame.Kind {
		case bergamotdale.FrameData:
			if err := j.buffer.Append(frame); err != nil {
				return streamer.RefusalFrame(j.id, j.buffer.Position().Offset, streamLost(err))
			}
			now := a.env.Clock.Now()
			a.progress(j, now, frame, now.Sub(lastToken))
			lastToken = now
		case bergamotdale.FrameEnd, bergamotdale.FrameRefusal:
			return frame
		}
	}
}

// streamLost is the refusal of a request whose engine stream has broken.
func streamLost(err error) *bergamotdale.Refusal {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return bergamotdale.Refuse(bergamotdale.CodeStreamLost, "the stream of the engine broke").
		WithOutcome(bergamotdale.OutcomeUnknown).WithCause(err)
}

// endpointCrashed is the refusal of a request whose engine has crashed.
func endpointCrashed() *bergamotdale.Refusal {
	return bergamotdale.Refuse(bergamotdale.CodeEndpointFailed, "the engine crashed").
		WithOutcome(bergamotdale.OutcomeUnknown)
}

// progress tells the scheduler and the limiter about generated tokens.
func (a *Admission) progress(j *job, now time.Time, f bergamotdale.Frame, elapsed time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Progress(j.item, f.Offset+len(f.Tokens))
	// The first frame of a stream includes prefill and says nothing about the
	// time between tokens.
	if len(f.Tokens) > 0 && f.Offset > j.completion.ResumeFrom {
		a.limit.ObserveTokenTime(now, elapsed/time.Duration(len(f.Tokens)))
	}
}

// end applies the final frame of a stream: the request is complete, goes back
// to the queue after a preemption, or is refused.
func (a *Admission) end(ctx context.Context, j *job, address string, last bergamotdale.Frame) {
	crashed := false
	if last.Kind == bergamotdale.FrameRefusal && ctx.Err() == nil && last.Refusal.Code != bergamotdale.CodeEndpointRefused {
		if crashed = a.inspectFailure(j, address); crashed {
			last = streamer.RefusalFrame(j.id, j.buffer.Position().Offset, endpointCrashed())
		}
	}
	if last.Kind == bergamotdale.FrameEnd || crashed || last.Refusal.Code == bergamotdale.CodeEndpointRefused {
		a.finishRun(j, last)
		return
	}
	if !a.isPreempted(j) {
		// The client gets its response at once; the slot is freed when the
		// engine is known not to run the request any more.
		a.respond(j, last)
	}
	a.awaitCancelled(j.id, address)
	a.finishRun(j, last)
}

func (a *Admission) isPreempted(j *job) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return j.preempted && !j.abandoned
}

// respond writes the final frame of a job that still holds its slot.
func (a *Admission) respond(j *job, last bergamotdale.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordEnd(j, last)
	a.closeBuffer(j, last)
}

// finishRun frees the slot of a job. A preempted one goes back to the queue.
func (a *Admission) finishRun(j *job, last bergamotdale.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.env.Clock.Now()
	a.atEngine.Add(-1)
	if j.preempted && !j.abandoned && last.Kind != bergamotdale.FrameEnd {
		a.requeue(now, j)
		return
	}
	a.queue.Done(now, j.item)
	if last.Kind == bergamotdale.FrameRefusal && last.Refusal.Code == bergamotdale.CodeEndpointRefused {
		// Without a time the refusal is about the request, not the engine.
		a.refusedUntil = now.Add(last.Refusal.Refusal().RetryAfter)
	}
	if !j.closed {
		a.recordEnd(j, last)
		a.closeBuffer(j, last)
	}
	a.forget(j)
}

// recordEnd adds the end of a run to the timeline.
func (a *Admission) recordEnd(j *job, last bergamotdale.Frame) {
	kind := "request-failed"
	if last.Kind == bergamotdale.FrameEnd {
		kind = "request-completed"
		a.env.Quarantine.Completed(j.completion.Fingerprint)
	}
	a.record(j, kind, fmt.Sprintf("at offset %d", j.buffer.Position().Offset))
}

// requeue returns a preempted request to the queue. After a release it is sent
// to the new owner instead.
func (a *Admission) requeue(now time.Time, j *job) {
	j.preempted, j.running, j.stop = false, false, nil
	if a.released {
		a.queue.Done(now, j.item)
		a.sendToNewOwner(j)
		return
	}
	a.queue.Preempted(now, j.item, j.buffer.Position().Offset)
	a.signal()
}

// awaitCancelled cancels the request at the engine until the engine has
// confirmed it or has crashed. An engine that does not respond keeps the slot:
// it may still run the request when it responds again.
func (a *Admission) awaitCancelled(id, address string) {
	for range cancelAttempts {
		err := a.cancelAtEngine(id, address)
		if err == nil || connectionRefused(err) {
			return
		}
		a.env.Logger.Debug("cancel failed", zap.String("stream-id", id), zap.Error(err))
		if bergamotdale.Wait(a.env.Context, a.env.Clock, cancelRetry) != nil {
			return
		}
	}
}

// cancelAtEngine sends one cancellation.
func (a *Admission) cancelAtEngine(id, address string) error {
	ctx, cancel := context.WithTimeout(a.env.Context, cancelTimeout)
	defer cancel()
	return a.env.Engine.Cancel(ctx, address, id)
}
