// Package watchdog ends an attempt whose endpoint is gone although its
// connection is not reset, or that gives no answer while another endpoint could.
//
// It answers endpoints that lose power or run requests and stay mute: TCP alone
// takes two seconds to notice the first and never notices the second.
package watchdog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// StallProbe is the silence after which a router asks whether the endpoint
	// still accepts connections. Events of a running stream are a tenth of it
	// apart.
	StallProbe = 600 * time.Millisecond
	// MinPatience and patienceFactor bound how long a request that may be
	// executed again waits for its first byte: that many times its objective.
	MinPatience    = time.Second
	patienceFactor = 4

	// ErrGone ends an attempt whose endpoint accepts no connections any more.
	ErrGone = errors.ConstError("the endpoint accepts no connections")
	// ErrNoAnswer ends an attempt that may be made elsewhere instead.
	ErrNoAnswer = errors.ConstError("no answer in time")
)

// Patience returns how long a request that may be executed again waits for its
// first byte.
func Patience(objective time.Duration) time.Duration {
	return max(MinPatience, patienceFactor*objective)
}

// Watchdog watches one attempt. Exported fields are set before Watch.
type Watchdog struct {
	// Probe returns an error if the endpoint is gone.
	Probe func() error
	// Trusted reports whether a failed probe is the endpoint's fault.
	Trusted func() bool
	// Patience is the longest time to the first byte; zero for none.
	Patience time.Duration
	Clock    bergamotdale.Clock

	cancel context.CancelCauseFunc
	begun  time.Time
	// progress is the time of the last byte, as a duration since begun: the
	// time of day may jump.
	progress atomic.Int64
	started  atomic.Bool
	timer    *time.Timer
}

// Watch starts the watchdog. The returned context ends with the attempt, and its
// cause is ErrGone or ErrNoAnswer if the watchdog ended it.
func (w *Watchdog) Watch(ctx context.Context) context.Context {
	ctx, w.cancel = context.WithCancelCause(ctx)
	w.begun = w.Clock.Now()
	// The timer is in place before it can fire.
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.timer.Reset(StallProbe)
	return ctx
}

// Note records that the endpoint has sent something.
func (w *Watchdog) Note() {
	w.started.Store(true)
	w.progress.Store(int64(w.Clock.Now().Sub(w.begun)))
}

// Stop ends the watchdog and frees its context.
func (w *Watchdog) Stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// check runs each time the endpoint may have been silent for too long.
func (w *Watchdog) check() {
	age := w.Clock.Now().Sub(w.begun)
	silence := age - time.Duration(w.progress.Load())
	if silence < StallProbe {
		w.timer.Reset(StallProbe - silence)
		return
	}
	if err := w.Probe(); err != nil && w.Trusted() {
		w.cancel(errors.WithType(err, ErrGone))
		return
	}
	if w.Patience > 0 && !w.started.Load() && age >= w.Patience {
		w.cancel(ErrNoAnswer)
		return
	}
	w.timer.Reset(StallProbe)
}
