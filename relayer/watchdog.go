package relayer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// stallProbe is the silence after which a router asks whether the endpoint
	// still accepts connections. Events of a running stream are a tenth of it
	// apart; TCP alone takes two seconds to notice a peer that lost power.
	stallProbe = 600 * time.Millisecond
	// minPatience and patienceFactor bound how long a request that may be
	// executed again waits for its first byte: that many times its objective.
	minPatience    = time.Second
	patienceFactor = 4

	// errGone ends an attempt whose endpoint accepts no connections any more.
	errGone = errors.ConstError("the endpoint accepts no connections")
	// errNoAnswer ends an attempt that may be made elsewhere instead.
	errNoAnswer = errors.ConstError("no answer in time")
)

// watchdog ends an attempt whose endpoint is gone although its connection is
// not reset.
type watchdog struct {
	// probe returns an error if the endpoint is gone.
	probe func() error
	// trusted reports whether a failed probe is the endpoint's fault.
	trusted func() bool
	// patience is the longest time to the first byte; zero for none.
	patience time.Duration
	cancel   context.CancelCauseFunc
	clock    bergamotdale.Clock

	begun time.Time
	// progress is the time of the last byte, as a duration since begun: the
	// time of day may jump.
	progress atomic.Int64
	started  atomic.Bool
	timer    *time.Timer
}

// watch starts the watchdog of an attempt. The returned context ends with it.
func (j *job) watch(ctx context.Context, probe func() error) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{
		probe: probe, trusted: j.relayer.Health.Sound, cancel: cancel, clock: j.relayer.Clock, begun: j.relayer.Clock.Now(),
	}
	route := j.verdict.Route
	if route.Idempotent() && j.sends < route.MaxAttempts && route.Objective > 0 {
		w.patience = max(minPatience, patienceFactor*route.Objective)
	}
	// The timer is in place before it can fire.
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.timer.Reset(stallProbe)
	return ctx, w
}

// note records that the endpoint has sent something.
func (w *watchdog) note() {
	w.started.Store(true)
	w.progress.Store(int64(w.clock.Now().Sub(w.begun)))
}

// stop ends the watchdog and frees its context.
func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

// check runs each time the endpoint may have been silent for too long.
func (w *watchdog) check() {
	age := w.clock.Now().Sub(w.begun)
	silence := age - time.Duration(w.progress.Load())
	if silence < stallProbe {
		w.timer.Reset(stallProbe - silence)
		return
	}
	if err := w.probe(); err != nil && w.trusted() {
		w.cancel(errors.WithType(err, errGone))
		return
	}
	if w.patience > 0 && !w.started.Load() && age >= w.patience {
		w.cancel(errNoAnswer)
		return
	}
	w.timer.Reset(stallProbe)
}
