// Package replayer keeps the frames of responses in memory, so that a client
// that reconnects, or a second reader, gets the rest of a response from any
// offset.
package replayer

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/streamer"
)

const (
	// Retention is the time for which a complete response can be replayed.
	Retention = 60 * time.Second
	// DefaultBytes bounds the replay buffers of a process. It is a quarter
	// of the 128 MB that the control plane may use per node.
	DefaultBytes = 32 << 20
)

const (
	// frameOverhead and tokenOverhead are the bytes that a kept frame and a
	// kept token use beside the text: the Frame struct; the string header and
	// the rounding up of the text to a size of the allocator.
	frameOverhead = 192
	tokenOverhead = 24
	// maxFrameTokens bounds the tokens of a kept frame. The frame then adds
	// 3 bytes to each token.
	maxFrameTokens = 64
	// bufferOverhead is the size of an empty buffer with its index entries.
	bufferOverhead = 512
)

const (
	// ErrNoReplay is returned where no buffer of the request is kept.
	ErrNoReplay = errors.ConstError("no replay buffer")
	// ErrOffsetGone is returned where the buffer does not hold the tokens from
	// the offset on. The reader can only resume at the source.
	ErrOffsetGone = errors.ConstError("offset not in the replay buffer")
	// ErrExists is returned where the response of the request is being written.
	ErrExists = errors.ConstError("request has a replay buffer")
)

// Replayer keeps the frames of responses so that any number of readers can
// read them from any offset, while they are written and for a time after their
// end. Its methods may be called concurrently.
type Replayer struct {
	clock     bergamotdale.Clock
	retention time.Duration
	maxBytes  int64

	lock    sync.Mutex
	buffers map[string]*Buffer
	// finished holds the ended buffers, the earliest end first.
	finished *list.List
	bytes    int64
}

// New returns a replayer that keeps complete responses for the
// retention and at most maxBytes in all.
func New(c bergamotdale.Clock, retention time.Duration, maxBytes int64) *Replayer {
	return &Replayer{
		clock:     c,
		retention: retention,
		maxBytes:  maxBytes,
		buffers:   map[string]*Buffer{},
		finished:  list.New(),
	}
}

// Open starts the buffer of a response at the position. It replaces a buffer
// that was cut, and one that ended with a refusal. It returns ErrExists while
// a response is written or after it has ended completely.
func (r *Replayer) Open(requestID string, p streamer.Position) (*Buffer, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.expire()
	if old := r.buffers[requestID]; old != nil {
		if !old.replaceable() {
			return nil, errors.Annotatef(ErrExists, "%s", requestID)
		}
		r.remove(old)
	}
	b := &Buffer{
		replayer: r,
		verifier: streamer.NewVerifier(requestID, p),
		id:       requestID,
		first:    p.Offset,
		bytes:    bufferOverhead,
	}
	r.buffers[requestID] = b
	r.bytes += b.bytes
	r.makeRoom(b)
	return b, nil
}

// Read returns a stream of the response of the request from the offset on. It
// returns ErrNoReplay or ErrOffsetGone where the buffer cannot provide it. The
// stream ends when the context does.
func (r *Replayer) Read(ctx context.Context, requestID string, offset int) (bergamotdale.FrameStream, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.expire()
	b := r.buffers[requestID]
	if b == nil {
		return nil, errors.Annotatef(ErrNoReplay, "%s", requestID)
	}
	if offset < b.first || offset > b.verifier.Position().Offset {
		return nil, errors.Annotatef(ErrOffsetGone, "%s at %d", requestID, offset)
	}
	b.readers++
	return &reader{ctx: ctx, buffer: b, offset: offset, done: make(chan struct{})}, nil
}

// Resume is Read for a request that may run again: it also returns ErrNoReplay
// where the response has failed and there is nothing before its failure that
// the reader lacks.
func (r *Replayer) Resume(ctx context.Context, requestID string, offset int) (bergamotdale.FrameStream, error) {
	r.lock.Lock()
	b := r.buffers[requestID]
	failed := b != nil && b.replaceable() && offset >= b.verifier.Position().Offset
	r.lock.Unlock()
	if failed {
		return nil, errors.Annotatef(ErrNoReplay, "%s has failed", requestID)
	}
	return r.Read(ctx, requestID, offset)
}

// Sweep removes the buffers whose retention has passed.
func (r *Replayer) Sweep() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.expire()
}

// Bytes returns the memory that the buffers use.
func (r *Replayer) Bytes() int64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.bytes
}

func (r *Replayer) expire() {
	now := r.clock.Now()
	for e := r.finished.Front(); e != nil; e = r.finished.Front() {
		b := e.Value.(*Buffer)
		if now.Sub(b.endedAt) < r.retention {
			return
		}
		r.remove(b)
	}
}

// makeRoom frees memory for the growing buffer: the finished buffers in the
// order of their end, those without readers first, then the oldest frames of
// the growing buffer itself.
func (r *Replayer) makeRoom(growing *Buffer) {
	for _, withReaders := range []bool{false, true} {
		for e := r.finished.Front(); e != nil && r.bytes > r.maxBytes; {
			next := e.Next()
			if b := e.Value.(*Buffer); b != growing && (withReaders || b.readers == 0) {
				r.remove(b)
			}
			e = next
		}
	}
	for r.bytes > r.maxBytes && len(growing.frames) > 0 {
		growing.dropFirst()
	}
}

func (r *Replayer) remove(b *Buffer) {
	if b.element != nil {
		r.finished.Remove(b.element)
		b.element = nil
	}
	if r.buffers[b.id] == b {
		delete(r.buffers, b.id)
	}
	r.bytes -= b.bytes
	b.bytes = 0
	b.frames = nil
	b.removed = true
	b.wake()
}
