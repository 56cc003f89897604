package chronicler

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// reads merges concurrent reads of the store. Each caller gets the result of a read that
// began after its call.
type reads[T any] struct {
	mu sync.Mutex
	// running is in progress, and next begins when it has ended; nil for none.
	running, next *pendingRead[T]
}

// pendingRead is a read and its result, which is valid once done is closed.
type pendingRead[T any] struct {
	done   chan struct{}
	result T
	err    error
}

// do returns the result of a read that begins now or later. The read goes on if the
// context is done.
func (r *reads[T]) do(ctx context.Context, read func(context.Context) (T, error)) (T, error) {
	r.mu.Lock()
	if r.next == nil {
		r.next = &pendingRead[T]{done: make(chan struct{})}
		if r.running == nil {
			go r.runAll(context.WithoutCancel(ctx), read)
		}
	}
	p := r.next
	r.mu.Unlock()
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		var none T
		return none, errors.Trace(ctx.Err())
	}
}

// runAll runs the reads that are waited for.
func (r *reads[T]) runAll(ctx context.Context, read func(context.Context) (T, error)) {
	for {
		r.mu.Lock()
		r.running, r.next = r.next, nil
		p := r.running
		r.mu.Unlock()
		if p == nil {
			return
		}
		p.result, p.err = read(ctx)
		close(p.done)
	}
}
