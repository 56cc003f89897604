package logger

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// DefaultQueueBytes is the limit of a queue of the process log. A line takes
// about 500 bytes, so the queue holds the lines of one second of a busy router.
const DefaultQueueBytes = 1 << 20

// Queue is a writer that buffers lines and writes them to another writer in the
// background, so that Write never waits for a slow reader. Lines that do not fit
// into the queue are dropped and counted.
type Queue struct {
	out     io.Writer
	limit   int
	dropped atomic.Uint64

	mu      sync.Mutex
	pending []byte
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// NewQueue returns a queue that holds at most limit bytes and writes to out. The
// caller must close it.
func NewQueue(out io.Writer, limit int) *Queue {
	q := &Queue{out: out, limit: limit, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer. It takes one line, and returns no error for a line
// that is dropped.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return 0, errors.New("log queue is closed")
	}
	if len(q.pending)+len(line) > q.limit {
		q.dropped.Add(1)
		return len(line), nil
	}
	q.pending = append(q.pending, line...)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines that did not fit into the queue, plus one
// for each failed write to the underlying writer.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close writes the lines that are left and stops the queue. It waits for the
// underlying writer.
func (q *Queue) Close() {
	q.mu.Lock()
	closed := q.closed
	q.closed = true
	q.mu.Unlock()
	if !closed {
		close(q.wake)
	}
	<-q.done
}

// run writes the pending lines in batches until the queue is closed.
func (q *Queue) run() {
	defer close(q.done)
	var batch []byte
	for open := true; open; {
		_, open = <-q.wake
		q.mu.Lock()
		batch, q.pending = q.pending, batch[:0]
		q.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		if _, err := q.out.Write(batch); err != nil {
			// A failure of the log cannot be reported elsewhere, so it is only
			// counted.
			q.dropped.Add(1)
		}
	}
}
