package logger

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// DefaultQueueBytes bounds the lines that wait for a slow reader of the log. A
// line takes about 500 bytes, so this is a second of a busy router.
const DefaultQueueBytes = 1 << 20

// Queue is a writer that never blocks. Lines that find the queue full are
// dropped and counted. Close writes what is left.
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

// NewQueue returns a queue of at most limit bytes before out.
func NewQueue(out io.Writer, limit int) *Queue {
	q := &Queue{out: out, limit: limit, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return 0, errors.New("log queue closed")
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

// Dropped returns the number of lines that were dropped.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close writes what is left and ends the queue.
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
			// There is no other place to report a log that cannot be written.
			q.dropped.Add(1)
		}
	}
}
