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

// Buffer holds the frames of one response in a Replayer. Only one goroutine may
// append to it.
type Buffer struct {
	replayer *Replayer
	id       string

	// The fields below are guarded by replayer.lock.

	verifier *streamer.Verifier
	// frames holds the data frames from firstOffset on, followed by the final
	// frame once it has arrived. Their offsets are contiguous.
	frames      []bergamotdale.Frame
	firstOffset int
	bytes       int64
	// abortErr is the error with which the source failed before the final frame.
	abortErr error
	removed  bool
	readers  int
	endedAt  time.Time
	// endedElement is the entry of this buffer in replayer.ended.
	endedElement *list.Element
	// changed is closed at the next change. It is nil while no reader waits.
	changed chan struct{}
}

// Position returns the position after the last frame.
func (b *Buffer) Position() streamer.Position {
	b.replayer.lock.Lock()
	defer b.replayer.lock.Unlock()
	return b.verifier.Position()
}

// Append adds a frame to the response. Duplicates and heartbeats are not stored.
// It returns the verifier's error for a frame that does not continue the
// response, the error of Abort after an Abort, and ErrNoBuffer once the replayer
// has removed the buffer.
func (b *Buffer) Append(f bergamotdale.Frame) error {
	r := b.replayer
	r.lock.Lock()
	defer r.lock.Unlock()
	if b.removed {
		return errors.Annotatef(ErrNoBuffer, "%s", b.id)
	}
	if b.abortErr != nil {
		return b.abortErr
	}
	f, isNew, err := b.verifier.Accept(f)
	if err != nil {
		return err
	}
	if !isNew || f.Kind == bergamotdale.FrameHeartbeat {
		return nil
	}
	b.appendFrame(f)
	if b.verifier.Ended() {
		b.markEnded()
	}
	r.evict(b)
	b.notifyReaders()
	return nil
}

// appendFrame stores the frame. Tokens are merged into the last data frame until
// it holds maxFrameTokens, because engines send one token per frame and a Frame
// is several times larger than a token. Readers may share the token slice of the
// last frame, so its existing elements are never modified.
func (b *Buffer) appendFrame(f bergamotdale.Frame) {
	if f.Kind != bergamotdale.FrameData {
		b.frames = append(b.frames, f)
		b.addBytes(frameBytes(f))
		return
	}
	if n := len(b.frames); n > 0 {
		last := &b.frames[n-1]
		if last.Kind == bergamotdale.FrameData && len(last.Tokens)+len(f.Tokens) <= maxFrameTokens {
			last.Tokens = append(last.Tokens, f.Tokens...)
			b.addBytes(tokenBytes(f.Tokens...))
			return
		}
	}
	// The caller owns the token slice, so later tokens are appended to a copy.
	f.Tokens = slices.Clone(f.Tokens)
	b.frames = append(b.frames, f)
	b.addBytes(frameBytes(f))
}

// Abort ends the buffer when its source fails before the final frame. Readers
// receive the stored frames and then the error. Open may then replace the buffer.
// Abort has no effect on a buffer that has ended or was removed.
func (b *Buffer) Abort(err error) {
	r := b.replayer
	r.lock.Lock()
	defer r.lock.Unlock()
	if b.removed || b.abortErr != nil || b.verifier.Ended() {
		return
	}
	b.abortErr = err
	b.markEnded()
	b.notifyReaders()
}

// markEnded starts the retention of the buffer.
func (b *Buffer) markEnded() {
	b.endedAt = b.replayer.clock.Now()
	b.endedElement = b.replayer.ended.PushBack(b)
}

// replaceable reports whether the buffer ended without a complete response.
func (b *Buffer) replaceable() bool {
	if b.abortErr != nil {
		return true
	}
	n := len(b.frames)
	return b.verifier.Ended() && n > 0 && b.frames[n-1].Kind == bergamotdale.FrameRefusal
}

// addBytes adjusts the memory accounted to the buffer and to the replayer by n,
// which may be negative.
func (b *Buffer) addBytes(n int64) {
	b.bytes += n
	b.replayer.bytes += n
}

// dropOldestToken removes the oldest token, and also its frame if that was the
// last token in it. The oldest tokens are the least likely to be read: readers of
// a running response are usually at its newest tokens.
func (b *Buffer) dropOldestToken() {
	f := b.frames[0]
	if len(f.Tokens) > 1 {
		b.addBytes(-tokenBytes(f.Tokens[0]))
		b.frames[0].Tokens = f.Tokens[1:]
		b.frames[0].Offset++
		b.firstOffset = b.frames[0].Offset
		return
	}
	b.frames[0] = bergamotdale.Frame{}
	b.frames = b.frames[1:]
	b.firstOffset = f.Offset + len(f.Tokens)
	b.addBytes(-frameBytes(f))
}

// notifyReaders wakes the readers that wait for a change of the buffer.
func (b *Buffer) notifyReaders() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// frameAt returns the data frame that starts at the offset, without the tokens
// before it, or the final frame if the offset is the end of the response. It
// returns false if neither has arrived.
func (b *Buffer) frameAt(offset int) (bergamotdale.Frame, bool) {
	i := sort.Search(len(b.frames), func(i int) bool {
		f := b.frames[i]
		return f.Kind != bergamotdale.FrameData || f.Offset+len(f.Tokens) > offset
	})
	if i == len(b.frames) {
		return bergamotdale.Frame{}, false
	}
	f := b.frames[i]
	if f.Kind == bergamotdale.FrameData {
		f, _ = streamer.TrimBefore(f, offset)
		f.Tokens = slices.Clip(f.Tokens)
	}
	return f, true
}

// frameBytes returns the memory accounted for a stored frame.
func frameBytes(f bergamotdale.Frame) int64 {
	return frameOverhead + tokenBytes(f.Tokens...)
}

// tokenBytes returns the memory accounted for stored tokens.
func tokenBytes(tokens ...string) int64 {
	n := int64(0)
	for _, t := range tokens {
		n += tokenOverhead + int64(len(t))
	}
	return n
}

// reader is a FrameStream that reads a buffer from an offset on.
type reader struct {
	ctx    context.Context
	buffer *Buffer
	offset int
	// ended is true after the final frame was returned.
	ended     bool
	closeOnce sync.Once
	closed    chan struct{}
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
		case <-r.closed:
			return bergamotdale.Frame{}, streamer.ErrClosed
		case <-r.ctx.Done():
			return bergamotdale.Frame{}, r.ctx.Err()
		}
	}
}

// poll returns the next frame. If it has not arrived, poll returns a channel that
// is closed at the next change of the buffer.
func (r *reader) poll() (bergamotdale.Frame, <-chan struct{}, error) {
	b := r.buffer
	b.replayer.lock.Lock()
	defer b.replayer.lock.Unlock()
	if b.removed || r.offset < b.firstOffset {
		return bergamotdale.Frame{}, nil, errors.Annotatef(ErrOffsetUnavailable, "request %s at offset %d", b.id, r.offset)
	}
	if f, ok := b.frameAt(r.offset); ok {
		r.offset = f.Offset + len(f.Tokens)
		r.ended = f.Kind != bergamotdale.FrameData
		return f, nil, nil
	}
	if b.abortErr != nil {
		return bergamotdale.Frame{}, nil, b.abortErr
	}
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return bergamotdale.Frame{}, b.changed, nil
}

// Close implements bergamotdale.FrameStream. It may be called while Next is
// blocked.
func (r *reader) Close() error {
	r.closeOnce.Do(func() {
		close(r.closed)
		r.buffer.replayer.lock.Lock()
		defer r.buffer.replayer.lock.Unlock()
		r.buffer.readers--
	})
	return nil
}
