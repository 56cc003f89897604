package streamer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// OpenFunc opens a stream of the rest of a response. The first call has the
// position at which the response starts. attempt counts from zero.
type OpenFunc func(ctx context.Context, p Position, attempt int) (bergamotdale.FrameStream, error)

// Resume describes a response that may need several streams.
type Resume struct {
	RequestID string
	// Start is the position that the receiver has already.
	Start Position
	Open  OpenFunc
	// Attempts is the number of streams that may be opened, the first included.
	Attempts int
	// Limits applies to each stream. Its zero value applies none.
	Limits Limits
	Clock  bergamotdale.Clock
	// Backoff returns the wait before an attempt; nil means none.
	Backoff func(attempt int) time.Duration
	// Again reports whether another stream may be opened after a refusal. Nil
	// means that a refusal is final.
	Again func(r *bergamotdale.Refusal) bool
	// Unsealed is true where the streams come from engines, whose end frames
	// have no checksum.
	Unsealed bool
}

// Resumer is a FrameStream that replaces a cut, silent or faulty stream by a
// new one from its position. When the attempts are used up it ends with a
// refusal frame.
type Resumer struct {
	settings Resume
	ctx      context.Context
	cancel   context.CancelFunc
	verifier *Verifier
	attempt  int
	ended    bool

	// lock guards current against a Close during Next.
	lock    sync.Mutex
	current bergamotdale.FrameStream
	closed  bool
}

// NewResumer returns a resumer. It opens the first stream in the first Next.
func NewResumer(ctx context.Context, r Resume) *Resumer {
	ctx, cancel := context.WithCancel(ctx)
	v := NewVerifier(r.RequestID, r.Start)
	v.unsealed = r.Unsealed
	return &Resumer{settings: r, ctx: ctx, cancel: cancel, verifier: v}
}

// Position returns the position of the receiver.
func (r *Resumer) Position() Position {
	return r.verifier.Position()
}

// Attempts returns the number of streams opened so far.
func (r *Resumer) Attempts() int {
	return r.attempt
}

// Next implements bergamotdale.FrameStream.
func (r *Resumer) Next() (bergamotdale.Frame, error) {
	if r.ended {
		return bergamotdale.Frame{}, io.EOF
	}
	for {
		f, err := r.step()
		if err == nil && f.Kind == bergamotdale.FrameRefusal {
			err = f.Refusal.Refusal()
		}
		if err == nil {
			r.ended = f.Kind == bergamotdale.FrameEnd
			return f, nil
		}
		r.drop()
		if r.ctx.Err() != nil {
			return bergamotdale.Frame{}, r.ctx.Err()
		}
		if final := r.final(err); final != nil {
			r.ended = true
			return RefusalFrame(r.settings.RequestID, r.Position().Offset, final), nil
		}
	}
}

// step returns the next frame of the current stream and opens one if there is
// none.
func (r *Resumer) step() (bergamotdale.Frame, error) {
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

func (r *Resumer) open() (bergamotdale.FrameStream, error) {
	if r.attempt > 0 && r.settings.Backoff != nil {
		if err := bergamotdale.Wait(r.ctx, r.settings.Clock, r.settings.Backoff(r.attempt)); err != nil {
			return nil, err
		}
	}
	attempt := r.attempt
	r.attempt++
	s, err := r.settings.Open(r.ctx, r.Position(), attempt)
	if err != nil {
		return nil, err
	}
	if r.settings.Limits != (Limits{}) {
		s = NewWatchdog(s, r.settings.Clock, r.settings.RequestID, r.settings.Limits)
	}
	// A refusal ends only its own stream: the next one continues.
	r.verifier.ended = false
	return r.keep(Verify(s, r.verifier))
}

// keep makes the stream the current one unless the resumer was closed.
func (r *Resumer) keep(s bergamotdale.FrameStream) (bergamotdale.FrameStream, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.closed {
		s.Close()
		return nil, ErrClosed
	}
	r.current = s
	return s, nil
}

// drop closes the current stream.
func (r *Resumer) drop() {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.current != nil {
		r.current.Close()
		r.current = nil
	}
}

// final returns the refusal that ends the response after the error, or nil if
// another stream may be opened.
func (r *Resumer) final(err error) *bergamotdale.Refusal {
	var refusal *bergamotdale.Refusal
	if errors.As(err, &refusal) && (r.settings.Again == nil || !r.settings.Again(refusal)) {
		return refusal
	}
	if r.attempt < r.settings.Attempts {
		return nil
	}
	if refusal != nil {
		return refusal
	}
	return bergamotdale.Refuse(bergamotdale.CodeStreamLost, "stream lost after %d attempts", r.attempt).
		WithOutcome(bergamotdale.OutcomeUnknown).
		WithCause(err)
}

// Close implements bergamotdale.FrameStream. It may be called while Next
// waits.
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
