package replayer

import (
	"container/list"
	"context"
	"io"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/streamer"
)

// Buffer holds the frames of one response in a Replayer. One goroutine writes
// it.
type Buffer struct {
	replayer *Replayer
	id       string

	// The fields below are guarded by the lock of the replayer.

	verifier *streamer.Verifier
	// frames holds the data frames from the offset first on, and the final
	// frame once there is one. Their offsets are contiguous.
	frames []bergamotdale.Frame
	first  int
	bytes  int64
	// cut is the error with which the source ended early.
	cut     error
	removed bool
	readers int
	endedAt time.Time
	element *list.Element
	// changed is closed at the next change; nil while nobody waits.
	changed chan struct{}
}

// Position returns the position after the last frame.
func (b *Buffer) Position() streamer.Position {
	b.replayer.lock.Lock()
	defer b.replayer.lock.Unlock()
	return b.verifier.Position()
}

// Append adds a frame. Duplicates and heartbeats are not kept. It returns the
// error of the verifier for a frame that does not continue the response.
func (b *Buffer) Append(f bergamotdale.Frame) error {
	r := b.replayer
	r.lock.Lock()
	defer r.lock.Unlock()
	if b.removed {
		return errors.Annotatef(ErrNoReplay, "%s", b.id)
	}
	if b.cut != nil {
		return b.cut
	}
	f, fresh, err := b.verifier.Accept(f)
	if err != nil {
		return err
	}
	if !fresh || f.Kind == bergamotdale.FrameHeartbeat {
		return nil
	}
	b.add(f)
	if b.verifier.Ended() {
		b.finish()
	}
	r.makeRoom(b)
	b.wake()
	return nil
}

// add keeps the frame. Data joins the last frame until that is full: engines
// send a token a frame, and a Frame is several times larger than a token.
// Readers may hold the tokens of the last frame, so they are only appended to.
func (b *Buffer) add(f bergamotdale.Frame) {
	if f.Kind != bergamotdale.FrameData {
		b.frames = append(b.frames, f)
		b.grow(frameBytes(f))
		return
	}
	if n := len(b.frames); n > 0 {
		last := &b.frames[n-1]
		if last.Kind == bergamotdale.FrameData && len(last.Tokens)+len(f.Tokens) <= maxFrameTokens {
			last.Tokens = append(last.Tokens, f.Tokens...)
			b.grow(tokenBytes(f.Tokens...))
			return
		}
	}
	// The tokens belong to the sender of the frame; later ones are appended to
	// a copy.
	f.Tokens = slices.Clone(f.Tokens)
	b.frames = append(b.frames, f)
	b.grow(frameBytes(f))
}

// Cut ends the buffer where its source failed before the final frame. Readers
// get the error after the frames so far. Open may then replace the buffer.
func (b *Buffer) Cut(err error) {
	r := b.replayer
	r.lock.Lock()
	defer r.lock.Unlock()
	if b.removed || b.cut != nil || b.verifier.Ended() {
		return
	}
	b.cut = err
	b.finish()
	b.wake()
}

func (b *Buffer) finish() {
	b.endedAt = b.replayer.clock.Now()
	b.element = b.replayer.finished.PushBack(b)
}

// replaceable reports whether the buffer ended without a complete response.
func (b *Buffer) replaceable() bool {
	if b.cut != nil {
		return true
	}
	n := len(b.frames)
	return b.verifier.Ended() && n > 0 && b.frames[n-1].Kind == bergamotdale.FrameRefusal
}

func (b *Buffer) grow(n int64) {
	b.bytes += n
	b.replayer.bytes += n
}

// dropFirst removes the oldest token, and with the last token of a frame the
// frame. A reader of a running stream is most likely at the newest ones.
func (b *Buffer) dropFirst() {
	f := b.frames[0]
	if len(f.Tokens) > 1 {
		b.grow(-tokenBytes(f.Tokens[0]))
		b.frames[0].Tokens = f.Tokens[1:]
		b.frames[0].Offset++
		b.first = b.frames[0].Offset
		return
	}
	b.frames[0] = bergamotdale.Frame{}
	b.frames = b.frames[1:]
	b.first = f.Offset + len(f.Tokens)
	b.grow(-frameBytes(f))
}

func (b *Buffer) wake() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// from returns the frame that holds the token at the offset, or the final
// frame where the offset is the end.
func (b *Buffer) from(offset int) (bergamotdale.Frame, bool) {
	i := sort.Search(len(b.frames), func(i int) bool {
		f := b.frames[i]
		return f.Kind != bergamotdale.FrameData || f.Offset+len(f.Tokens) > offset
	})
	if i == len(b.frames) {
		return bergamotdale.Frame{}, false
	}
	f := b.frames[i]
	if f.Kind == bergamotdale.FrameData {
		f, _ = streamer.Trim(f, offset)
		f.Tokens = slices.Clip(f.Tokens)
	}
	return f, true
}

func frameBytes(f bergamotdale.Frame) int64 {
	return frameOverhead + tokenBytes(f.Tokens...)
}

func tokenBytes(tokens ...string) int64 {
	n := int64(0)
	for _, t := range tokens {
		n += tokenOverhead + int64(len(t))
	}
	return n
}

// reader is a FrameStream over a buffer.
type reader struct {
	ctx    context.Context
	buffer *Buffer
	offset int
	ended  bool
	close  sync.Once
	done   chan struct{}
}

// Next implements bergamotdale.FrameStream.
func (r *reader) Next() (bergamotdale.Frame, error) {
	if r.ended {
		return bergamotdale.Frame{}, io.EOF
	}
	for {
		f, changed, err := r.poll()
		if err != nil || changed == nil {
			return f, err
		}
		select {
		case <-changed:
		case <-r.done:
			return bergamotdale.Frame{}, streamer.ErrClosed
		case <-r.ctx.Done():
			return bergamotdale.Frame{}, r.ctx.Err()
		}
	}
}

// poll returns the next frame, or a channel that is closed when there may be
// one.
func (r *reader) poll() (bergamotdale.Frame, <-chan struct{}, error) {
	b := r.buffer
	b.replayer.lock.Lock()
	defer b.replayer.lock.Unlock()
	if b.removed || r.offset < b.first {
		return bergamotdale.Frame{}, nil, errors.Annotatef(ErrOffsetGone, "%s at %d", b.id, r.offset)
	}
	if f, ok := b.from(r.offset); ok {
		r.offset = f.Offset + len(f.Tokens)
		r.ended = f.Kind != bergamotdale.FrameData
		return f, nil, nil
	}
	if b.cut != nil {
		return bergamotdale.Frame{}, nil, b.cut
	}
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return bergamotdale.Frame{}, b.changed, nil
}

// Close implements bergamotdale.FrameStream. It may be called while Next
// waits.
func (r *reader) Close() error {
	r.close.Do(func() {
		close(r.done)
		r.buffer.replayer.lock.Lock()
		defer r.buffer.replayer.lock.Unlock()
		r.buffer.readers--
	})
	return nil
}
