package streamer

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// HeartbeatInterval is the longest time without a frame on a healthy hop.
	HeartbeatInterval = time.Second
	// SilenceLimit is the time without any frame after which a receiver gives
	// the connection up.
	SilenceLimit = 3 * time.Second
)

const (
	// ErrSilent is returned where no frame arrived in time.
	ErrSilent = errors.ConstError("no frame in time")
	// ErrNoProgress is returned where only heartbeats arrived for too long.
	ErrNoProgress = errors.ConstError("no tokens in time")
	// ErrClosed is returned by Next after Close.
	ErrClosed = errors.ConstError("stream closed")
)

// Limits bounds the time between the frames of a stream. A zero limit does not
// apply.
type Limits struct {
	// Silence is the longest time without any frame.
	Silence time.Duration
	// Progress is the longest time without a data or final frame.
	Progress time.Duration
	// Heartbeat is the time without a frame after which a heartbeat is added.
	Heartbeat time.Duration
}

// Watchdog is a FrameStream that applies limits to another one. After a limit
// has passed it closes the stream below and returns an error.
type Watchdog struct {
	source    bergamotdale.FrameStream
	clock     bergamotdale.Clock
	limits    Limits
	requestID string

	frames chan result
	closed chan struct{}
	close  sync.Once
	// failed is the error of the limit that has passed.
	failed error

	offset       int
	lastFrame    time.Time
	lastProgress time.Time
	lastSent     time.Time
}

type result struct {
	frame bergamotdale.Frame
	err   error
}

// NewWatchdog starts reading the stream of the request. The caller must call
// Close, as with every FrameStream.
func NewWatchdog(s bergamotdale.FrameStream, c bergamotdale.Clock, requestID string, l Limits) *Watchdog {
	now := c.Now()
	w := &Watchdog{
		source:       s,
		clock:        c,
		limits:       l,
		requestID:    requestID,
		frames:       make(chan result),
		closed:       make(chan struct{}),
		lastFrame:    now,
		lastProgress: now,
		lastSent:     now,
	}
	go w.read()
	return w
}

// read moves frames from the source until it ends or the watchdog is closed.
func (w *Watchdog) read() {
	for {
		f, err := w.source.Next()
		select {
		case w.frames <- result{f, err}:
		case <-w.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// Next implements bergamotdale.FrameStream.
func (w *Watchdog) Next() (bergamotdale.Frame, error) {
	if w.failed != nil {
		return bergamotdale.Frame{}, w.failed
	}
	for {
		// A frame that waits already is taken before the limits are looked at,
		// so a slow reader does not fail a healthy stream.
		select {
		case r := <-w.frames:
			return w.deliver(r)
		default:
		}
		now := w.clock.Now()
		if err := w.exceeded(now); err != nil {
			return bergamotdale.Frame{}, w.fail(err)
		}
		if w.heartbeatDue(now) {
			w.lastSent = now
			return heartbeat(w.requestID, w.offset), nil
		}
		select {
		case r := <-w.frames:
			return w.deliver(r)
		case <-w.closed:
			return bergamotdale.Frame{}, ErrClosed
		case <-w.clock.After(w.untilNextLimit(now)):
		}
	}
}

func (w *Watchdog) deliver(r result) (bergamotdale.Frame, error) {
	if r.err != nil {
		return r.frame, w.fail(r.err)
	}
	now := w.clock.Now()
	w.lastFrame, w.lastSent = now, now
	if r.frame.Kind != bergamotdale.FrameHeartbeat {
		w.lastProgress = now
	}
	if r.frame.Kind == bergamotdale.FrameData {
		w.offset = r.frame.Offset + len(r.frame.Tokens)
	}
	return r.frame, nil
}

func (w *Watchdog) exceeded(now time.Time) error {
	if w.limits.Silence > 0 && now.Sub(w.lastFrame) >= w.limits.Silence {
		return ErrSilent
	}
	if w.limits.Progress > 0 && now.Sub(w.lastProgress) >= w.limits.Progress {
		return ErrNoProgress
	}
	return nil
}

func (w *Watchdog) heartbeatDue(now time.Time) bool {
	return w.limits.Heartbeat > 0 && now.Sub(w.lastSent) >= w.limits.Heartbeat
}

// untilNextLimit returns the time until the earliest limit passes.
func (w *Watchdog) untilNextLimit(now time.Time) time.Duration {
	// A stream without limits is still looked at from time to time.
	wait := time.Hour
	consider := func(limit time.Duration, since time.Time) {
		if limit > 0 {
			wait = min(wait, limit-now.Sub(since))
		}
	}
	consider(w.limits.Silence, w.lastFrame)
	consider(w.limits.Progress, w.lastProgress)
	consider(w.limits.Heartbeat, w.lastSent)
	return max(wait, 0)
}

func (w *Watchdog) fail(err error) error {
	w.failed = err
	w.Close()
	return err
}

// Close implements bergamotdale.FrameStream. It may be called while Next
// waits.
func (w *Watchdog) Close() error {
	var err error
	w.close.Do(func() {
		close(w.closed)
		err = w.source.Close()
	})
	return err
}
