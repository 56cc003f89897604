package streamer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// OpenFunc opens a stream of the part of a response after the position. The first
// call receives ResumerConfig.Start. attempt counts from zero.
type OpenFunc func(ctx context.Context, p Position, attempt int) (bergamotdale.FrameStream, error)

// ResumerConfig configures a Resumer.
type ResumerConfig struct {
	RequestID string
	// Start is the position up to which the receiver already has the response.
	Start Position
	Open  OpenFunc
	// Attempts is the number of streams that may be opened, the first included.
	Attempts int
	// Limits applies to each stream. The zero value sets no limits.
	Limits Limits
	Clock  bergamotdale.Clock
	// Backoff returns the delay before an attempt after the first. Nil means no
	// delay.
	Backoff func(attempt int) time.Duration
	// ShouldRetry reports whether another stream may be opened after the refusal.
	// Nil means that every refusal is final.
	ShouldRetry func(r *bergamotdale.Refusal) bool
	// AllowMissingChecksum accepts end frames without a checksum. It is set for
	// streams from engines, which send none.
	AllowMissingChecksum bool
}

// Resumer is a FrameStream that verifies its frames. It replaces a stream that
// broke, exceeded its limits or failed verification by a new one that continues at
// the current position. When the attempts are used up it ends with a refusal frame.
type Resumer struct {
	config   ResumerConfig
	ctx      context.Context
	cancel   context.CancelFunc
	verifier *Verifier
	attempts int
	ended    bool
	// mayHaveRun is set once a stream has failed without it being known that its
	// request was not executed.
	mayHaveRun bool

	// lock guards current and closed, because Close may be called during Next.
	lock    sync.Mutex
	current bergamotdale.FrameStream
	closed  bool
}

// NewResumer returns a Resumer that opens its first stream in the first call of
// Next.
func NewResumer(ctx context.Context, r ResumerConfig) *Resumer {
	ctx, cancel := context.WithCancel(ctx)
	v := NewVerifier(r.RequestID, r.Start)
	v.allowMissingChecksum = r.AllowMissingChecksum
	return &Resumer{config: r, ctx: ctx, cancel: cancel, verifier: v}
}

// Position returns the position after the last frame that Next returned.
func (r *Resumer) Position() Position {
	return r.verifier.Position()
}

// Attempts returns the number of streams opened so far.
func (r *Resumer) Attempts() int {
	return r.attempts
}

// Next implements bergamotdale.FrameStream.
func (r *Resumer) Next() (bergamotdale.Frame, error) {
	if r.ended {
		return bergamotdale.Frame{}, io.EOF
	}
	for {
		f, err := r.nextFrame()
		if err == nil && f.Kind == bergamotdale.FrameRefusal {
			err = f.Refusal.Refusal()
		}
		if err == nil {
			r.ended = f.Kind == bergamotdale.FrameEnd
			return f, nil
		}
		r.closeCurrent()
		if r.ctx.Err() != nil {
			return bergamotdale.Frame{}, r.ctx.Err()
		}
		if refusal := r.finalRefusal(err); refusal != nil {
			r.ended = true
			return RefusalFrame(r.config.RequestID, r.Position().Offset, refusal), nil
		}
	}
}

// nextFrame returns the next frame of the current stream. It opens a stream if
// there is none.
func (r *Resumer) nextFrame() (bergamotdale.Frame, error) {
	r.lock.Lock()
	s := r.current
	r.lock.Unlock()
	if s == nil {
		opened, err := r.open()
		if err != nil {
			return bergamotdale.Frame{}, err
		}
		s = opened
	}
	return s.Next()
}

// open opens the next stream at the current position, after the backoff.
func (r *Resumer) open() (bergamotdale.FrameStream, error) {
	if r.attempts > 0 && r.config.Backoff != nil {
		if err := bergamotdale.Wait(r.ctx, r.config.Clock, r.config.Backoff(r.attempts)); err != nil {
			return nil, err
		}
	}
	attempt := r.attempts
	r.attempts++
	s, err := r.config.Open(r.ctx, r.Position(), attempt)
	if err != nil {
		return nil, err
	}
	if r.config.Limits != (Limits{}) {
		s = NewWatchdog(s, r.config.Clock, r.config.RequestID, r.config.Limits)
	}
	// A refusal ended only the previous stream; the next one continues the
	// response.
	r.verifier.ended = false
	return r.setCurrent(Verify(s, r.verifier))
}

// setCurrent makes s the current stream. If the Resumer was closed in the
// meantime, it closes s and returns ErrClosed.
func (r *Resumer) setCurrent(s bergamotdale.FrameStream) (bergamotdale.FrameStream, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.closed {
		s.Close()
		return nil, ErrClosed
	}
	r.current = s
	return s, nil
}

// closeCurrent closes and clears the current stream, if there is one.
func (r *Resumer) closeCurrent() {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.current != nil {
		r.current.Close()
		r.current = nil
	}
}

// finalRefusal returns the refusal that ends the response after the error, or nil
// if another stream may be opened. The refusal of one stream does not tell whether an
// earlier one was executed.
func (r *Resumer) finalRefusal(err error) *bergamotdale.Refusal {
	var refusal *bergamotdale.Refusal
	isRefusal := errors.As(err, &refusal)
	if !isRefusal || refusal.Outcome != bergamotdale.OutcomeNotRun {
		r.mayHaveRun = true
	}
	mayRetry := !isRefusal || r.config.ShouldRetry != nil && r.config.ShouldRetry(refusal)
	switch {
	case mayRetry && r.attempts < r.config.Attempts:
		return nil
	case !isRefusal:
		return bergamotdale.Refuse(bergamotdale.CodeStreamLost, "stream lost after %d attempts", r.attempts).
			WithOutcome(bergamotdale.OutcomeUnknown).
			WithCause(err)
	case r.mayHaveRun && refusal.Outcome == bergamotdale.OutcomeNotRun:
		return refusal.WithOutcome(bergamotdale.OutcomeUnknown)
	default:
		return refusal
	}
}

// Close implements bergamotdale.FrameStream. It may be called while Next
// is blocked.
func (r *Resumer) Close() error {
	r.cancel()
	r.lock.Lock()
	defer r.lock.Unlock()
	r.closed = true
	if r.current == nil {
		return nil
	}
	return r.current.Close()
}
