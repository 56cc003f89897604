// Package watchdog watches an attempt whose endpoint is silent, and cancels it if
// another endpoint takes the request over.
//
// Endpoints may lose power, or accept requests and never respond. TCP alone takes
// seconds to detect the first case and never detects the second. A sound endpoint may
// be silent for a moment as well, so an attempt that nothing replaces goes on: its
// endpoint may still respond, and canceling it would serve nobody. It ends if the
// port refuses connections for long, or if an event stays incomplete.
package watchdog

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// ProbeInterval is the time without data from the endpoint after which the
	// router probes whether it still accepts connections. The events of a running
	// stream are a tenth of it apart.
	ProbeInterval = 600 * time.Millisecond
	// SilenceTolerance is the time for which an endpoint may neither send data nor
	// accept a connection and still count as sound. Clients give up on a stream after
	// two seconds at the earliest.
	SilenceTolerance = 1500 * time.Millisecond
	// minProbePause is the shortest time between two probes.
	minProbePause = 100 * time.Millisecond
	// StreamRefusalTimeout is the time without data after which a stream ends whose
	// endpoint refuses connections, although nothing takes it over. Its client gives up
	// at about that time. Other requests wait: an endpoint that stops may refuse
	// connections while it completes its requests.
	StreamRefusalTimeout = 2500 * time.Millisecond
	// MinFirstByteTimeout and objectiveFactor determine how long a request that may
	// be executed again waits for its first byte: objectiveFactor times its latency
	// objective, but at least MinFirstByteTimeout.
	MinFirstByteTimeout = time.Second
	objectiveFactor     = 4
	// StallTimeout is the longest time for which an event may be incomplete while
	// its bytes arrive. Endpoints, also slow ones, send an event as a whole, so the
	// time between two events is not limited.
	StallTimeout = 2 * time.Second

	// ErrUnreachable is the cause of an attempt that was canceled because its
	// endpoint is silent and no longer accepts connections.
	ErrUnreachable = errors.ConstError("the endpoint no longer accepts connections")
	// ErrNoResponse is the cause of an attempt that was canceled because no first
	// byte arrived in time. The request may be sent to another endpoint.
	ErrNoResponse = errors.ConstError("the endpoint sent no response before the first-byte timeout")
	// ErrStalled is the cause of an attempt that was canceled because an event was
	// incomplete for StallTimeout. The stream may be resumed at another endpoint.
	ErrStalled = errors.ConstError("the endpoint sent bytes without completing an event")
)

// FirstByteTimeout returns how long a request with the latency objective that may
// be executed again waits for its first byte.
func FirstByteTimeout(objective time.Duration) time.Duration {
	return max(MinFirstByteTimeout, objectiveFactor*objective)
}

// Takeover is an attempt at another endpoint that is ready to begin.
type Takeover interface {
	// Reserve reports whether the attempt may begin, and charges it if so.
	Reserve() bool
	// Discard releases the attempt without beginning it.
	Discard()
}

// Watchdog watches one attempt. Exported fields are set before Watch.
type Watchdog struct {
	// Probe returns an error if the endpoint accepts no connections.
	Probe func() error
	// ProbeReliable reports whether a failed probe is the fault of the endpoint
	// rather than of this router.
	ProbeReliable func() bool
	// Prepare returns an attempt at another endpoint, or nil if there is none. It may
	// block, and return after Disarm.
	Prepare func() Takeover
	// OnUnreachable is called after each failed probe that is reliable.
	OnUnreachable func(err error)
	// OnKept is called once if the attempt goes on because nothing takes it over.
	OnKept func(silence time.Duration)
	// FirstByteTimeout limits the time to the first byte if another endpoint takes the
	// request over; zero means no limit.
	FirstByteTimeout time.Duration
	// RefusalTimeout limits the time without data if the endpoint refuses connections;
	// zero means no limit.
	RefusalTimeout time.Duration
	Clock          bergamotdale.Clock

	cancel context.CancelCauseFunc
	begun  time.Time
	// mu guards disarmed and is held while the attempt is canceled.
	mu sync.Mutex
	// disarmed is set by Disarm. Afterwards the attempt is neither canceled nor
	// probed again.
	disarmed bool
	// kept is set once OnKept has been called. Only check uses it.
	kept bool
	// unreachable is the error of the latest probe if that failed, and unreachableAt
	// the value of lastData at that time. Only check uses them.
	unreachable   error
	unreachableAt int64
	// probeTime is how long the latest probe took. Only check uses it.
	probeTime time.Duration
	// lastOpen is when a probe last succeeded, as nanoseconds since begun. Only check
	// uses it.
	lastOpen int64
	// lastData is when data last arrived, as nanoseconds since begun. An absolute
	// time is not used because the time of day may jump.
	lastData atomic.Int64
	// responded is set once the endpoint has sent data.
	responded atomic.Bool
	// incompleteSince is when the first bytes of the incomplete event arrived, as
	// nanoseconds since begun; zero if there is none.
	incompleteSince atomic.Int64
	timer           *time.Timer
}

// Watch starts the watchdog and returns the context for the attempt. If the
// watchdog cancels the context, its cause is ErrUnreachable,
// ErrNoResponse or ErrStalled.
func (w *Watchdog) Watch(ctx context.Context) context.Context {
	ctx, w.cancel = context.WithCancelCause(ctx)
	w.begun = w.Clock.Now()
	// The field is set before the timer can fire, because check uses it.
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.timer.Reset(ProbeInterval)
	return ctx
}

// RecordData records that the endpoint has sent data.
func (w *Watchdog) RecordData() {
	w.responded.Store(true)
	w.lastData.Store(int64(w.Clock.Now().Sub(w.begun)))
}

// RecordPending records that completed events have arrived and whether an incomplete
// one follows them.
func (w *Watchdog) RecordPending(completed bool, incomplete bool) {
	switch {
	case !incomplete:
		w.incompleteSince.Store(0)
	case completed || w.incompleteSince.Load() == 0:
		w.incompleteSince.Store(max(1, int64(w.age())))
	}
}

// Stop stops the watchdog and releases its context.
func (w *Watchdog) Stop() {
	w.Disarm()
	w.cancel(nil)
}

// Disarm stops the watchdog without ending the context. The attempt is not canceled
// once Disarm has returned.
func (w *Watchdog) Disarm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disarmed = true
	w.timer.Stop()
}

// check runs at least once per ProbeInterval. It cancels the attempt or schedules
// the next check.
func (w *Watchdog) check() {
	if w.silence() >= ProbeInterval {
		w.probe()
	}
	if w.cause() != nil && w.replace() {
		return
	}
	wait := ProbeInterval
	if silence := w.silence(); silence < ProbeInterval {
		wait -= silence
	} else if left := SilenceTolerance - w.closedFor(); w.isUnreachable() && left > 0 {
		// The next probe fails when the tolerance ends.
		wait = max(left-w.probeTime, minProbePause)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.disarmed {
		w.timer.Reset(wait)
	}
}

// age returns the time since Watch, and silence the time since the latest data.
func (w *Watchdog) age() time.Duration { return w.Clock.Now().Sub(w.begun) }

func (w *Watchdog) silence() time.Duration { return w.age() - time.Duration(w.lastData.Load()) }

// closedFor returns the time since the endpoint last sent data or accepted a
// connection.
func (w *Watchdog) closedFor() time.Duration {
	return w.age() - time.Duration(max(w.lastOpen, w.lastData.Load()))
}

// isUnreachable reports whether a probe has failed and no data has arrived since.
func (w *Watchdog) isUnreachable() bool {
	return w.unreachable != nil && w.unreachableAt == w.lastData.Load()
}

// isRefusing reports whether the endpoint has refused a connection.
func (w *Watchdog) isRefusing() bool {
	return w.isUnreachable() && errors.Is(w.unreachable, syscall.ECONNREFUSED)
}

// probe records whether the endpoint accepts connections.
func (w *Watchdog) probe() {
	probedAt, lastData := int64(w.age()), w.lastData.Load()
	w.unreachable = nil
	err := w.Probe()
	w.probeTime = w.age() - time.Duration(probedAt)
	if err == nil {
		w.lastOpen = probedAt
		return
	}
	w.mu.Lock()
	current := !w.disarmed && w.lastData.Load() == lastData
	w.mu.Unlock()
	if current && w.ProbeReliable() {
		w.unreachable, w.unreachableAt = err, lastData
		w.OnUnreachable(err)
	}
}

// cause returns why another endpoint should take the attempt over now, or nil.
func (w *Watchdog) cause() error {
	since := w.incompleteSince.Load()
	switch {
	case since > 0 && w.age()-time.Duration(since) >= StallTimeout:
		return ErrStalled
	case w.isRefusing() || w.isUnreachable() && w.closedFor() >= SilenceTolerance:
		return errors.WithType(w.unreachable, ErrUnreachable)
	case w.FirstByteTimeout > 0 && !w.responded.Load() && w.age() >= w.FirstByteTimeout:
		return ErrNoResponse
	default:
		return nil
	}
}

// replace cancels the attempt if another one takes it over or if it has reached
// RefusalTimeout. It reports whether the watchdog has nothing more to do.
func (w *Watchdog) replace() bool {
	takeover := w.Prepare()
	w.mu.Lock()
	defer w.mu.Unlock()
	// The endpoint may have responded meanwhile.
	cause := w.cause()
	reserved := takeover != nil && !w.disarmed && cause != nil && takeover.Reserve()
	if takeover != nil && !reserved {
		takeover.Discard()
	}
	if w.disarmed {
		return true
	}
	if reserved || w.RefusalTimeout > 0 && w.isRefusing() && w.silence() >= w.RefusalTimeout {
		w.cancel(cause)
		return true
	}
	if cause != nil && !w.kept {
		w.kept = true
		w.OnKept(w.silence())
	}
	return false
}
