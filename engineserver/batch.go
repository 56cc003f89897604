package engineserver

import (
	"container/heap"
	"context"
	"sync"

	"github.com/juju/errors"
)

const (
	errCancelled = errors.ConstError("cancelled")
	// errSuperseded ends a run whose request arrives again under the same id.
	errSuperseded = errors.ConstError("superseded by a later request with the same id")
	errQueueFull  = errors.ConstError("queue full")
)

// run is one request from its arrival to its end.
type run struct {
	id       string
	priority int
	arrival  int64
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// admitted is closed when the run gets a slot.
	admitted chan struct{}
	running  bool
	index    int
	// tokens is the length of the stream generated so far, from the start of
	// the response.
	tokens int
}

// batch admits runs to the slots by priority, then by arrival.
type batch struct {
	slots, maxQueue int

	mu          sync.Mutex
	arrivals    int64
	running     int
	queue       runQueue
	active      map[string]*run
	maxRunning  int
	maxInFlight int
}

func newBatch(slots, maxQueue int) *batch {
	return &batch{slots: slots, maxQueue: maxQueue, active: map[string]*run{}}
}

// enter queues a run. A run with the same id is ended, because its client has
// lost it: a resumed stream replaces the one on the old connection.
func (b *batch) enter(ctx context.Context, id string, priority int) (*run, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.maxQueue > 0 && b.running >= b.slots && b.queue.Len() >= b.maxQueue {
		return nil, errQueueFull
	}
	if old, ok := b.active[id]; ok && id != "" {
		old.cancel(errSuperseded)
	}
	b.arrivals++
	r := &run{id: id, priority: priority, arrival: b.arrivals, admitted: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	b.active[id] = r
	heap.Push(&b.queue, r)
	b.admit()
	b.maxInFlight = max(b.maxInFlight, b.running+b.queue.Len())
	return r, nil
}

// leave ends a run and gives its slot to the next one.
func (b *batch) leave(r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.cancel(nil)
	if r.running {
		b.running--
		r.running = false
	} else {
		heap.Remove(&b.queue, r.index)
	}
	if b.active[r.id] == r {
		delete(b.active, r.id)
	}
	b.admit()
}

func (b *batch) admit() {
	for b.running < b.slots && b.queue.Len() > 0 {
		r := heap.Pop(&b.queue).(*run)
		r.running = true
		b.running++
		close(r.admitted)
	}
	b.maxRunning = max(b.maxRunning, b.running)
}

// stop cancels the run with the id.
func (b *batch) stop(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.active[id]
	if ok {
		r.cancel(errCancelled)
	}
	return ok
}

func (b *batch) size() (running, queued int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, b.queue.Len()
}

func (b *batch) peak() (running, inFlight int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxRunning, b.maxInFlight
}

// runQueue implements heap.Interface.
type runQueue []*run

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
	r := x.(*run)
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
