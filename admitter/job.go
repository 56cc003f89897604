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
	// maxEngineStreams is how many streams to the same engine one run of a request
	// may open. The second one distinguishes a broken connection from a broken
	// engine.
	maxEngineStreams = 2
	// progressTimeout is the longest time that an engine may take to generate the
	// next token. It has to cover the prefill of a long prompt that waits for other
	// prefills.
	progressTimeout = 60 * time.Second
	// cancelTimeout bounds one call that cancels a request at its engine. A call
	// that fails is repeated after cancelRetry, up to cancelAttempts calls in all.
	// That covers a minute; afterwards the load reports show what the engine runs.
	cancelTimeout  = time.Second
	cancelRetry    = 500 * time.Millisecond
	cancelAttempts = 40
)

// job is a queued or running request. The admission's mutex guards it.
type job struct {
	// streamID identifies the response stream of the request, itemID the job in
	// the scheduler. The item ID is unique per job, because an earlier job of the
	// same stream may still hold its slot.
	streamID   string
	itemID     string
	completion bergamotdale.Completion
	buffer     *replayer.Buffer
	running    bool
	preempted  bool
	// bufferClosed is true once the replay buffer got its final frame or was cut.
	bufferClosed bool
	// clientGone is true once no client waits for the response.
	clientGone bool
	// startedAt is when the job most recently got a slot.
	startedAt time.Time
	// stop cancels the stream to the engine; nil while the job waits.
	stop context.CancelFunc
}

// start runs a request at the engine. A request suspected of having crashed an
// engine goes back to the queue while another suspect runs there, so that the
// next crash shows which of them causes it.
func (a *Admission) start(now time.Time, item scheduler.Item) {
	j := a.jobs[item.ID]
	if j == nil {
		a.queue.Done(now, item.ID)
		return
	}
	if !a.env.Quarantine.MayRun(j.completion.Fingerprint, a.runningFingerprints()) {
		a.queue.Preempted(now, j.itemID, j.buffer.Position().Offset)
		return
	}
	ctx, cancel := context.WithCancel(a.env.Context)
	j.stop = cancel
	j.running = true
	j.startedAt = now
	a.inFlight.Add(1)
	a.recordEvent(j, "request-started", fmt.Sprintf("at offset %d", j.buffer.Position().Offset))
	go a.runAtEngine(ctx, j, item.Class, a.assignment.Address)
}

// runningFingerprints returns the fingerprints of the jobs that run at the engine
// now.
func (a *Admission) runningFingerprints() []string {
	running := make([]string, 0, len(a.jobs))
	for _, j := range a.jobs {
		if j.running {
			running = append(running, j.completion.Fingerprint)
		}
	}
	return running
}

// preempt cancels a running request to give its slot to a more urgent one. The
// preempted request continues later from the output generated so far.
func (a *Admission) preempt(item scheduler.Item) {
	j := a.jobs[item.ID]
	if j == nil || j.preempted || !j.running {
		return
	}
	j.preempted = true
	j.stop()
	a.recordEvent(j, "request-preempted", fmt.Sprintf("at offset %d", j.buffer.Position().Offset))
}

// runAtEngine runs a job at its engine and copies the frames of the response into
// the replay buffer. It returns when the job's slot is free.
func (a *Admission) runAtEngine(ctx context.Context, j *job, class int, address string) {
	resumer := streamer.NewResumer(ctx, streamer.ResumerConfig{
		RequestID:            j.streamID,
		Start:                j.buffer.Position(),
		Attempts:             maxEngineStreams,
		Clock:                a.env.Clock,
		AllowMissingChecksum: true,
		Limits:               streamer.Limits{Silence: streamer.SilenceTimeout, Progress: progressTimeout},
		Open: func(ctx context.Context, p streamer.Position, attempt int) (bergamotdale.FrameStream, error) {
			if attempt > 0 {
				// The engine may still run the previous attempt, because it has not
				// noticed that the connection was lost.
				_ = a.cancelAtEngine(j.streamID, address)
			}
			return a.env.Engine.Complete(ctx, address, bergamotdale.EngineRequest{
				RequestID:  j.streamID,
				Body:       j.completion.Body,
				Priority:   class,
				ResumeFrom: p.Offset,
			})
		},
	})
	defer func() { _ = resumer.Close() }()
	last := a.copyFrames(j, resumer)
	a.finishStream(ctx, j, address, last)
}

// copyFrames appends data frames to the replay buffer until the final frame,
// which it returns. An error of the stream or the buffer becomes a refusal frame.
func (a *Admission) copyFrames(j *job, s bergamotdale.FrameStream) bergamotdale.Frame {
	lastToken := a.env.Clock.Now()
	for {
		frame, err := s.Next()
		if err != nil {
			return streamer.RefusalFrame(j.streamID, j.buffer.Position().Offset, streamLostRefusal(err))
		}
		switch frame.Kind {
		case bergamotdale.FrameData:
			if err := j.buffer.Append(frame); err != nil {
				return streamer.RefusalFrame(j.streamID, j.buffer.Position().Offset, streamLostRefusal(err))
			}
			now := a.env.Clock.Now()
			a.recordProgress(j, now, frame, now.Sub(lastToken))
			lastToken = now
		case bergamotdale.FrameEnd, bergamotdale.FrameRefusal:
			return frame
		}
	}
}

// streamLostRefusal returns the refusal of a request whose response stream from
// the engine broke off.
func streamLostRefusal(err error) *bergamotdale.Refusal {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return bergamotdale.Refuse(bergamotdale.CodeStreamLost, "the response stream from the engine broke off").
		WithOutcome(bergamotdale.OutcomeUnknown).WithCause(err)
}

// endpointCrashedRefusal returns the refusal of a request whose engine crashed
// while it ran.
func endpointCrashedRefusal() *bergamotdale.Refusal {
	return bergamotdale.Refuse(bergamotdale.CodeEndpointFailed, "the engine crashed").
		WithOutcome(bergamotdale.OutcomeUnknown)
}

// recordProgress passes the tokens of a frame to the queue, for the charge of the
// workspace, and the time per token to the concurrency limit.
func (a *Admission) recordProgress(j *job, now time.Time, f bergamotdale.Frame, elapsed time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Progress(j.itemID, f.Offset+len(f.Tokens))
	// The time to the first frame of a stream includes prefill, so it does not
	// measure the inter-token latency.
	if len(f.Tokens) > 0 && f.Offset > j.completion.ResumeFrom {
		a.limit.ObserveTokenTime(now, elapsed/time.Duration(len(f.Tokens)))
	}
}

// finishStream handles the final frame of a stream. The request is completed, put
// back into the queue after a preemption, or refused. After a failure that leaves
// open whether the engine still runs the request, the slot stays taken until the
// engine has confirmed the cancellation.
func (a *Admission) finishStream(ctx context.Context, j *job, address string, last bergamotdale.Frame) {
	crashed := false
	if last.Kind == bergamotdale.FrameRefusal && ctx.Err() == nil && last.Refusal.Code != bergamotdale.CodeEndpointRefused {
		if crashed = a.detectCrash(j, address); crashed {
			last = streamer.RefusalFrame(j.streamID, j.buffer.Position().Offset, endpointCrashedRefusal())
		}
	}
	if last.Kind == bergamotdale.FrameEnd || crashed || last.Refusal.Code == bergamotdale.CodeEndpointRefused {
		a.releaseSlot(j, last)
		return
	}
	if !a.isPreempted(j) {
		// The client gets its response at once. The slot is freed only when the
		// engine no longer runs the request.
		a.writeFinalFrame(j, last)
	}
	a.cancelUntilConfirmed(j.streamID, address)
	a.releaseSlot(j, last)
}

// isPreempted reports whether the job was preempted and its client still waits.
func (a *Admission) isPreempted(j *job) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return j.preempted && !j.clientGone
}

// writeFinalFrame records the end of a job and writes its final frame while the
// job still holds its slot.
func (a *Admission) writeFinalFrame(j *job, last bergamotdale.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordEnd(j, last)
	a.closeBuffer(j, last)
}

// releaseSlot frees the slot of a job. A preempted job goes back to the queue; any
// other is removed, after its final frame if that has not been written yet.
func (a *Admission) releaseSlot(j *job, last bergamotdale.Frame) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.env.Clock.Now()
	a.inFlight.Add(-1)
	if j.preempted && !j.clientGone && last.Kind != bergamotdale.FrameEnd {
		a.requeue(now, j)
		return
	}
	a.queue.Done(now, j.itemID)
	if last.Kind == bergamotdale.FrameRefusal && last.Refusal.Code == bergamotdale.CodeEndpointRefused {
		// A refusal without RetryAfter concerns only this request, so the engine
		// stays in use.
		a.refusedUntil = now.Add(last.Refusal.Refusal().RetryAfter)
	}
	if !j.bufferClosed {
		a.recordEnd(j, last)
		a.closeBuffer(j, last)
	}
	a.removeJob(j)
}

// recordEnd adds the completion or failure of a request to the event timeline. A
// completed request is also reported to the quarantine.
func (a *Admission) recordEnd(j *job, last bergamotdale.Frame) {
	kind := "request-failed"
	if last.Kind == bergamotdale.FrameEnd {
		kind = "request-completed"
		a.env.Quarantine.RecordCompletion(j.completion.Fingerprint)
	}
	a.recordEvent(j, kind, fmt.Sprintf("at offset %d", j.buffer.Position().Offset))
}

// requeue puts a preempted request back into the queue. If the engine has another
// owner by now, the request is refused so that it goes there.
func (a *Admission) requeue(now time.Time, j *job) {
	j.preempted, j.running, j.stop = false, false, nil
	if a.released {
		a.queue.Done(now, j.itemID)
		a.refuseNotOwner(j)
		return
	}
	a.queue.Preempted(now, j.itemID, j.buffer.Position().Offset)
	a.wakeScheduler()
}

// cancelUntilConfirmed cancels a request at the engine and repeats the call until
// the engine confirms it, refuses connections, or all attempts have failed. The
// slot stays taken meanwhile, because an engine that does not respond may still
// run the request when it responds again.
func (a *Admission) cancelUntilConfirmed(streamID, address string) {
	for range cancelAttempts {
		err := a.cancelAtEngine(streamID, address)
		if err == nil || connectionRefused(err) {
			return
		}
		a.env.Logger.Debug("failed to cancel the request at the engine", zap.String("stream-id", streamID), zap.Error(err))
		if bergamotdale.Wait(a.env.Context, a.env.Clock, cancelRetry) != nil {
			return
		}
	}
}

// cancelAtEngine sends one cancellation of a request to the engine.
func (a *Admission) cancelAtEngine(streamID, address string) error {
	ctx, cancel := context.WithTimeout(a.env.Context, cancelTimeout)
	defer cancel()
	return a.env.Engine.Cancel(ctx, address, streamID)
}
