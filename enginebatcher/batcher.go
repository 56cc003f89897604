// Package enginebatcher admits the requests of a fake engine to its slots by
// priority, as an engine with continuous batching does.
package enginebatcher

import (
	"container/heap"
	"context"
	"sync"

	"github.com/juju/errors"
)

const (
	// ErrCancelled ends a run that was cancelled by its id.
	ErrCancelled = errors.ConstError("cancelled")
	// ErrSuperseded ends a run whose request arrives again under the same id.
	ErrSuperseded = errors.ConstError("superseded by a later request with the same id")
	// ErrQueueFull refuses a run.
	ErrQueueFull = errors.ConstError("queue full")
)

// Run is one request from its arrival to its end.
type Run struct {
	ID       string
	priority int
	arrival  int64
	// Context is done when the run is cancelled or its client is gone.
	Context context.Context
	cancel  context.CancelCauseFunc
	// Admitted is closed when the run gets a slot.
	Admitted chan struct{}
	running  bool
	left     bool
	index    int
	// Tokens is the length of the stream generated so far, from the start of
	// the response.
	Tokens int
}

// Batcher admits runs to the slots by priority, then by arrival.
type Batcher struct {
	slots, maxQueue int

	mu          sync.Mutex
	arrivals    int64
	running     int
	queue       runQueue
	active      map[string]*Run
	maxRunning  int
	maxInFlight int
	kept        kept
}

// New returns a batcher; maxQueue zero is unlimited.
func New(slots, maxQueue int) *Batcher {
	return &Batcher{slots: slots, maxQueue: maxQueue, active: map[string]*Run{}}
}

// Enter queues a run. A run with the same id is ended, because its client has
// lost it: a resumed stream replaces the one on the old connection.
func (b *Batcher) Enter(ctx context.Context, id string, priority int) (*Run, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.maxQueue > 0 && b.running >= b.slots && b.queue.Len() >= b.maxQueue {
		return nil, ErrQueueFull
	}
	if old, ok := b.active[id]; ok && id != "" {
		b.release(old, ErrSuperseded)
	}
	b.arrivals++
	r := &Run{ID: id, priority: priority, arrival: b.arrivals, Admitted: make(chan struct{})}
	r.Context, r.cancel = context.WithCancelCause(ctx)
	b.active[id] = r
	heap.Push(&b.queue, r)
	b.admit()
	b.maxInFlight = max(b.maxInFlight, b.running+b.queue.Len())
	return r, nil
}

// Leave ends a run and gives its slot to the next one. It is called before the
// client learns of the end, so that the counts agree with what clients know.
func (b *Batcher) Leave(r *Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kept.add(r.ID, r.Tokens)
	b.release(r, nil)
}

// release ends a run once. The caller holds mu.
func (b *Batcher) release(r *Run, cause error) {
	r.cancel(cause)
	if r.left {
		return
	}
	r.left = true
	if r.running {
		b.running--
	} else {
		heap.Remove(&b.queue, r.index)
	}
	if b.active[r.ID] == r {
		delete(b.active, r.ID)
	}
	b.admit()
}

// Kept returns the number of tokens kept of the ended run with the id.
func (b *Batcher) Kept(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kept.lengths[id]
}

func (b *Batcher) admit() {
	for b.running < b.slots && b.queue.Len() > 0 {
		r := heap.Pop(&b.queue).(*Run)
		r.running = true
		b.running++
		close(r.Admitted)
	}
	b.maxRunning = max(b.maxRunning, b.running)
}

// Cancel ends the run with the id. Its slot is free when Cancel returns.
func (b *Batcher) Cancel(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.active[id]
	if ok {
		b.release(r, ErrCancelled)
	}
	return ok
}

// Size returns the current numbers of runs.
func (b *Batcher) Size() (running, queued int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, b.queue.Len()
}

// Peak returns the highest numbers of runs in slots, and of runs in slots and
// in the queue together.
func (b *Batcher) Peak() (running, inFlight int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxRunning, b.maxInFlight
}

// runQueue implements heap.Interface.
type runQueue []*Run

func (q runQueue) Len() int { return len(q) }

func (q runQueue) Less(a, b int) bool {
	if q[a].priority != q[b].priority {
		return q[a].priority < q[b].priority
	}
	return q[a].arrival < q[b].arrival
}

func (q runQueue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].index, q[b].index = a, b
}

// Push implements heap.Interface.
func (q *runQueue) Push(x any) {
	r := x.(*Run)
	r.index = len(*q)
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *runQueue) Pop() any {
	old := *q
	r := old[len(old)-1]
	*q = old[:len(old)-1]
	return r
}
