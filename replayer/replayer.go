// Package replayer buffers the frames of responses in memory, so that a client
// that reconnects, or a second reader, can read a response from any token offset
// on.
//
// The component that receives a response opens a Buffer and appends each frame to
// it. Any number of readers follow the buffer while it is written. After the
// response has ended, the buffer stays readable for the retention time. The
// memory of all buffers together is bounded: when the limit is exceeded, buffers
// of ended responses are removed first.
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
	// Retention is how long a response can be read after its end.
	Retention = 60 * time.Second
	// DefaultMaxBytes limits the memory of the replay buffers of a process. It is
	// a quarter of the 128 MB that the control plane may use per node.
	DefaultMaxBytes = 32 << 20
)

const (
	// frameOverhead is the size in bytes of the Frame struct of a stored frame.
	// tokenOverhead is what a stored token uses besides its text: the string
	// header, and the rounding up of the text to a size class of the allocator.
	frameOverhead = 192
	tokenOverhead = 24
	// maxFrameTokens limits the tokens merged into one stored frame. A full frame
	// adds 3 bytes of overhead to each token.
	maxFrameTokens = 64
	// bufferOverhead is the size in bytes of an empty buffer, including its entries
	// in the map and the list of the Replayer.
	bufferOverhead = 512
)

const (
	// ErrNoBuffer is returned if the replayer has no buffer for the request.
	ErrNoBuffer = errors.ConstError("no replay buffer")
	// ErrOffsetUnavailable is returned if the buffer does not hold the tokens from
	// the offset on. The reader can then only resume at the source.
	ErrOffsetUnavailable = errors.ConstError("offset not in the replay buffer")
	// ErrBufferExists is returned by Open if the request has a buffer that may not
	// be replaced.
	ErrBufferExists = errors.ConstError("replay buffer already exists")
)

// Replayer holds one Buffer per response. Any number of readers can read a
// response from any offset, while it is written and for the retention time after
// its end. Its methods may be called concurrently.
type Replayer struct {
	clock     bergamotdale.Clock
	retention time.Duration
	maxBytes  int64

	lock    sync.Mutex
	buffers map[string]*Buffer
	// ended holds the buffers that have ended, in the order of their end.
	ended *list.List
	// bytes is the memory accounted to all buffers.
	bytes int64
}

// New returns a replayer that keeps ended responses for the retention time and
// uses at most maxBytes for all buffers.
func New(c bergamotdale.Clock, retention time.Duration, maxBytes int64) *Replayer {
	return &Replayer{
		clock:     c,
		retention: retention,
		maxBytes:  maxBytes,
		buffers:   map[string]*Buffer{},
		ended:     list.New(),
	}
}

// Open creates the buffer of a response that starts at the position. It replaces
// a buffer that was aborted or ended with a refusal. It returns ErrBufferExists if
// the response is being written or is complete.
func (r *Replayer) Open(requestID string, p streamer.Position) (*Buffer, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.removeExpired()
	if old := r.buffers[requestID]; old != nil {
		if !old.replaceable() {
			return nil, errors.Annotatef(ErrBufferExists, "%s", requestID)
		}
		r.remove(old)
	}
	b := &Buffer{
		replayer:    r,
		verifier:    streamer.NewVerifier(requestID, p),
		id:          requestID,
		firstOffset: p.Offset,
		bytes:       bufferOverhead,
	}
	r.buffers[requestID] = b
	r.bytes += b.bytes
	r.evict(b)
	return b, nil
}

// Read returns a stream of the response to the request from the offset on. It
// returns ErrNoBuffer if the request has no buffer, and ErrOffsetUnavailable if the
// offset is outside the buffer. A Next that waits for a frame returns the error of
// the context once the context is done.
func (r *Replayer) Read(ctx context.Context, requestID string, offset int) (bergamotdale.FrameStream, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.removeExpired()
	b := r.buffers[requestID]
	if b == nil {
		return nil, errors.Annotatef(ErrNoBuffer, "%s", requestID)
	}
	if offset < b.firstOffset || offset > b.verifier.Position().Offset {
		return nil, errors.Annotatef(ErrOffsetUnavailable, "request %s at offset %d", requestID, offset)
	}
	b.readers++
	return &reader{ctx: ctx, buffer: b, offset: offset, closed: make(chan struct{})}, nil
}

// ReadUnlessFailed is Read for a request that may be executed again. It also
// returns ErrNoBuffer if the response has failed and the buffer holds no tokens
// from the offset on.
func (r *Replayer) ReadUnlessFailed(ctx context.Context, requestID string, offset int) (bergamotdale.FrameStream, error) {
	r.lock.Lock()
	b := r.buffers[requestID]
	failed := b != nil && b.replaceable() && offset >= b.verifier.Position().Offset
	r.lock.Unlock()
	if failed {
		return nil, errors.Annotatef(ErrNoBuffer, "request %s has failed", requestID)
	}
	return r.Read(ctx, requestID, offset)
}

// Sweep removes the buffers whose retention time has passed.
func (r *Replayer) Sweep() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.removeExpired()
}

// Bytes returns the memory accounted to all buffers.
func (r *Replayer) Bytes() int64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.bytes
}

// removeExpired removes the buffers whose retention time has passed.
func (r *Replayer) removeExpired() {
	now := r.clock.Now()
	for e := r.ended.Front(); e != nil; e = r.ended.Front() {
		b := e.Value.(*Buffer)
		if now.Sub(b.endedAt) < r.retention {
			return
		}
		r.remove(b)
	}
}

// evict frees memory while the limit is exceeded. It removes ended buffers in the order
// of their end, those without readers before those with readers, and then the
// oldest tokens of the buffer being written.
func (r *Replayer) evict(writing *Buffer) {
	for _, withReaders := range []bool{false, true} {
		for e := r.ended.Front(); e != nil && r.bytes > r.maxBytes; {
			next := e.Next()
			if b := e.Value.(*Buffer); b != writing && (withReaders || b.readers == 0) {
				r.remove(b)
			}
			e = next
		}
	}
	for r.bytes > r.maxBytes && len(writing.frames) > 0 {
		writing.dropOldestToken()
	}
}

// remove deletes the buffer and releases its memory. Its readers receive
// ErrOffsetUnavailable.
func (r *Replayer) remove(b *Buffer) {
	if b.endedElement != nil {
		r.ended.Remove(b.endedElement)
		b.endedElement = nil
	}
	if r.buffers[b.id] == b {
		delete(r.buffers, b.id)
	}
	r.bytes -= b.bytes
	b.bytes = 0
	b.frames = nil
	b.removed = true
	b.notifyReaders()
}
