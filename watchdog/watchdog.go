// Package watchdog cancels an attempt whose endpoint is down although its
// connection was not reset, whose endpoint sends no response while another
// endpoint could, or whose endpoint sends bytes without completing an event.
//
// Endpoints may lose power, or accept requests and never respond. TCP alone takes
// two seconds to detect the first case and never detects the second.
package watchdog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// ProbeInterval is the time without data from the endpoint after which the
	// router probes whether it still accepts connections. The events of a running
	// stream are a tenth of it apart.
	ProbeInterval = 600 * time.Millisecond
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
	// endpoint no longer accepts connections.
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

// Watchdog watches one attempt. Exported fields are set before Watch.
type Watchdog struct {
	// Probe returns an error if the endpoint accepts no connections.
	Probe func() error
	// ProbeReliable reports whether a failed probe is the fault of the endpoint
	// rather than of this router.
	ProbeReliable func() bool
	// FirstByteTimeout limits the time to the first byte; zero means no limit.
	FirstByteTimeout time.Duration
	Clock            bergamotdale.Clock

	cancel context.CancelCauseFunc
	begun  time.Time
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

// RecordPending records whether the data so far ends with an incomplete event.
func (w *Watchdog) RecordPending(incomplete bool) {
	switch {
	case !incomplete:
		w.incompleteSince.Store(0)
	case w.incompleteSince.Load() == 0:
		w.incompleteSince.Store(max(1, int64(w.Clock.Now().Sub(w.begun))))
	}
}

// Stop stops the watchdog and releases its context.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// check runs at least once per ProbeInterval. It cancels the attempt or schedules
// the next check.
func (w *Watchdog) check() {
	age := w.Clock.Now().Sub(w.begun)
	if since := w.incompleteSince.Load(); since > 0 && age-time.Duration(since) >= StallTimeout {
		w.cancel(ErrStalled)
		return
	}
	silence := age - time.Duration(w.lastData.Load())
	if silence < ProbeInterval {
		w.timer.Reset(ProbeInterval - silence)
		return
	}
	if err := w.Probe(); err != nil && w.ProbeReliable() {
		w.cancel(errors.WithType(err, ErrUnreachable))
		return
	}
	if w.FirstByteTimeout > 0 && !w.responded.Load() && age >= w.FirstByteTimeout {
		w.cancel(ErrNoResponse)
		return
	}
	w.timer.Reset(ProbeInterval)
}
