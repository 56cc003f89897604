// Package enginebatcher schedules the requests of a fake model engine. An engine
// with continuous batching generates tokens for a limited number of requests, the
// slots, at the same time, and admits the next waiting request as soon as one of
// them ends. Waiting requests are admitted by priority.
package enginebatcher

import (
	"container/heap"
	"context"
	"sync"

	"github.com/juju/errors"
)

const (
	// ErrCancelled is the cause of a run that was ended by Cancel.
	ErrCancelled = errors.ConstError("cancelled")
	// ErrSuperseded is the cause of a run that was ended because another request
	// with the same id was queued.
	ErrSuperseded = errors.ConstError("the request was superseded by a later one with the same id")
	// ErrQueueFull is returned by Enqueue if no more requests may wait.
	ErrQueueFull = errors.ConstError("the queue of the engine is full")
)

// Run is a request from the time it is queued until it ends.
type Run struct {
	ID string
	// priority is lower for requests that are admitted first.
	priority int
	// arrival is the sequence number of the run among all runs.
	arrival int64
	// Context is done when the run has ended or its client has disconnected.
	Context context.Context
	cancel  context.CancelCauseFunc
	// Admitted is closed when the run gets a slot.
	Admitted chan struct{}
	running  bool
	released bool
	// index is the position in the queue, as heap.Remove needs it.
	index int
	// GeneratedTokens is the number of tokens of the response that have been
	// generated so far, counted from the start of the response also if the stream
	// was resumed.
	GeneratedTokens int
}

// Batcher admits runs to the slots by priority, and runs of the same priority in
// the order of their arrival. Its methods may be called concurrently.
type Batcher struct {
	slots, maxQueue int

	mu          sync.Mutex
	arrivals    int64
	running     int
	queue       runQueue
	active      map[string]*Run // running and queued, by id
	maxRunning  int
	maxInFlight int
	retained    retainedStreams
}

// New returns a batcher with the given number of slots. maxQueue limits the number
// of queued runs; zero means no limit.
func New(slots, maxQueue int) *Batcher {
	return &Batcher{slots: slots, maxQueue: maxQueue, active: map[string]*Run{}}
}

// Enqueue adds a run to the queue, or admits it at once if a slot is free. If id
// is not empty, an active run with the same id ends with ErrSuperseded: its client
// has lost the connection and sends the request again to resume the stream.
func (b *Batcher) Enqueue(ctx context.Context, id string, priority int) (*Run, error) {
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

// Finish ends a run, gives its slot to the next one, and retains the length of its
// stream. It is called before the client receives the end of the response, so that
// the counts do not include requests which clients know to have ended.
func (b *Batcher) Finish(r *Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retained.add(r.ID, r.GeneratedTokens)
	b.release(r, nil)
}

// release cancels the context of a run with the cause, and frees its slot or queue
// position unless that has already been done. The caller holds mu.
func (b *Batcher) release(r *Run, cause error) {
	r.cancel(cause)
	if r.released {
		return
	}
	r.released = true
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

// RetainedTokens returns the number of generated tokens that are retained of ended
// runs with the id.
func (b *Batcher) RetainedTokens(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retained.lengths[id]
}

// admit gives free slots to queued runs. The caller holds mu.
func (b *Batcher) admit() {
	for b.running < b.slots && b.queue.Len() > 0 {
		r := heap.Pop(&b.queue).(*Run)
		r.running = true
		b.running++
		close(r.Admitted)
	}
	b.maxRunning = max(b.maxRunning, b.running)
}

// Cancel ends the active run with the id and reports whether there was one. Its
// slot is free when Cancel returns.
func (b *Batcher) Cancel(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.active[id]
	if ok {
		b.release(r, ErrCancelled)
	}
	return ok
}

// Counts returns the current numbers of running and queued runs.
func (b *Batcher) Counts() (running, queued int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, b.queue.Len()
}

// PeakCounts returns the highest number of running runs, and the highest number of
// running and queued runs together.
func (b *Batcher) PeakCounts() (running, inFlight int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxRunning, b.maxInFlight
}

// runQueue is a heap of queued runs, with the next one to admit at index 0.
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
