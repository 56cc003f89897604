package streamer

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// HeartbeatInterval is the longest time without a frame on a healthy connection.
	HeartbeatInterval = time.Second
	// SilenceTimeout is the time without any frame after which a receiver closes its
	// stream.
	SilenceTimeout = 3 * time.Second
)

const (
	// ErrSilenceTimeout is returned if no frame arrived within Limits.Silence.
	ErrSilenceTimeout = errors.ConstError("no frame within the silence timeout")
	// ErrNoProgress is returned if no data or final frame arrived within
	// Limits.Progress.
	ErrNoProgress = errors.ConstError("no tokens within the progress timeout")
	// ErrClosed is returned by Next if the stream was closed.
	ErrClosed = errors.ConstError("stream closed")
)

// Limits sets the longest times between the frames of a stream. A zero value
// disables a limit.
type Limits struct {
	// Silence is the longest time without any frame.
	Silence time.Duration
	// Progress is the longest time without a data or final frame.
	Progress time.Duration
	// Heartbeat is the time without a frame after which the Watchdog inserts a
	// heartbeat frame.
	Heartbeat time.Duration
}

// Watchdog is a FrameStream that applies Limits to another one. When a limit is
// exceeded it closes the source stream and returns an error.
type Watchdog struct {
	source    bergamotdale.FrameStream
	clock     bergamotdale.Clock
	limits    Limits
	requestID string

	frames    chan readResult
	closed    chan struct{}
	closeOnce sync.Once
	// failure is the error that ended the stream: that of the source or of the
	// exceeded limit.
	failure error

	// offset is the offset after the last data frame.
	offset int
	// lastFrame is the time of the last frame from the source, lastProgress that
	// of the last one that was no heartbeat, and lastSent that of the last frame
	// that Next returned.
	lastFrame    time.Time
	lastProgress time.Time
	lastSent     time.Time
}

// readResult is what one call of Next on the source returned.
type readResult struct {
	frame bergamotdale.Frame
	err   error
}

// NewWatchdog returns a Watchdog and starts a goroutine that reads s. The caller
// must call Close, as with every FrameStream.
func NewWatchdog(s bergamotdale.FrameStream, c bergamotdale.Clock, requestID string, l Limits) *Watchdog {
	now := c.Now()
	w := &Watchdog{
		source:       s,
		clock:        c,
		limits:       l,
		requestID:    requestID,
		frames:       make(chan readResult),
		closed:       make(chan struct{}),
		lastFrame:    now,
		lastProgress: now,
		lastSent:     now,
	}
	go w.read()
	return w
}

// read sends the frames of the source to w.frames until the source ends or the
// Watchdog is closed.
func (w *Watchdog) read() {
	for {
		f, err := w.source.Next()
		select {
		case w.frames <- readResult{f, err}:
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
	if w.failure != nil {
		return bergamotdale.Frame{}, w.failure
	}
	for {
		// A frame that is already available is returned before the limits are
		// checked, so a slow reader does not fail a healthy stream.
		select {
		case r := <-w.frames:
			return w.deliver(r)
		default:
		}
		now := w.clock.Now()
		if err := w.exceededLimit(now); err != nil {
			return bergamotdale.Frame{}, w.fail(err)
		}
		if w.heartbeatDue(now) {
			w.lastSent = now
			return heartbeatFrame(w.requestID, w.offset), nil
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

// deliver updates the times of the last frames and returns the frame or error.
func (w *Watchdog) deliver(r readResult) (bergamotdale.Frame, error) {
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

// exceededLimit returns the error of the limit that is exceeded, or nil.
func (w *Watchdog) exceededLimit(now time.Time) error {
	if w.limits.Silence > 0 && now.Sub(w.lastFrame) >= w.limits.Silence {
		return ErrSilenceTimeout
	}
	if w.limits.Progress > 0 && now.Sub(w.lastProgress) >= w.limits.Progress {
		return ErrNoProgress
	}
	return nil
}

func (w *Watchdog) heartbeatDue(now time.Time) bool {
	return w.limits.Heartbeat > 0 && now.Sub(w.lastSent) >= w.limits.Heartbeat
}

// untilNextLimit returns the time until the earliest limit or heartbeat is due.
func (w *Watchdog) untilNextLimit(now time.Time) time.Duration {
	// A stream without limits is checked once an hour.
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

// fail closes the Watchdog and makes later calls of Next return the error.
func (w *Watchdog) fail(err error) error {
	w.failure = err
	w.Close()
	return err
}

// Close implements bergamotdale.FrameStream. It may be called while Next
// is blocked.
func (w *Watchdog) Close() error {
	var err error
	w.closeOnce.Do(func() {
		close(w.closed)
		err = w.source.Close()
	})
	return err
}
