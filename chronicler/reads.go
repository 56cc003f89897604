package chronicler

import (
	"context"
	"sync"

	"github.com/juju/errors"
)

// reads merges concurrent reads of the records. Each caller gets the result of a read
// that began after its call.
type reads struct {
	mu sync.Mutex
	// running is in progress, and next begins when it has ended; nil for none.
	running, next *pendingRead
}

// pendingRead is a read and its result, which is valid once done is closed.
type pendingRead struct {
	done   chan struct{}
	result *snapshot
	err    error
}

// do returns the result of a read that begins now or later.
func (r *reads) do(ctx context.Context, read func(context.Context) (*snapshot, error)) (*snapshot, error) {
	r.mu.Lock()
	if r.next == nil {
		r.next = &pendingRead{done: make(chan struct{})}
		if r.running == nil {
			go r.runAll(read)
		}
	}
	p := r.next
	r.mu.Unlock()
	select {
	case <-p.done:
		return p.result, p.err
	case <-ctx.Done():
		return nil, errors.Trace(ctx.Err())
	}
}

// runAll runs the reads that are waited for.
func (r *reads) runAll(read func(context.Context) (*snapshot, error)) {
	for {
		r.mu.Lock()
		r.running, r.next = r.next, nil
		p := r.running
		r.mu.Unlock()
		if p == nil {
			return
		}
		p.result, p.err = read(context.Background())
		close(p.done)
	}
}
