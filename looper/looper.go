// Package looper is the event loop of a discrete-event simulation: it runs
// scheduled functions one after the other in the order of their simulated times.
// The simulated time jumps from one event to the next. Events at the same time
// run in the order in which they were scheduled, so a simulation gives the same
// result each time.
package looper

import (
	"container/heap"
	"time"
)

// event is a function to call at a simulated time.
type event struct {
	// at is the simulated time since the start.
	at time.Duration
	// sequence is the position in the order of scheduling.
	sequence uint64
	run      func()
}

// eventHeap is a min-heap of events by time, then sequence. It implements
// heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	// The zero value lets the garbage collector free the function.
	(*h)[len(*h)-1] = event{}
	*h = (*h)[:len(*h)-1]
	return last
}

// Loop holds the simulated time and the scheduled events. Its zero value is
// ready at time zero. It is not safe for concurrent use.
type Loop struct {
	// Now is the simulated time since the start.
	Now time.Duration
	// sequence is that of the latest scheduled event.
	sequence uint64
	pending  eventHeap
}

// Epoch is the wall-clock time at the start of each simulation.
var Epoch = time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)

// Clock returns the simulated time as a wall-clock time, for code that takes a
// time.Time.
func (l *Loop) Clock() time.Time {
	return Epoch.Add(l.Now)
}

// After schedules run to be called once d has passed. A negative d counts as
// zero.
func (l *Loop) After(d time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.pending, event{at: l.Now + max(d, 0), sequence: l.sequence, run: run})
}

// Run runs the events up to and including the time end, with those that they
// schedule in turn, and then sets Now to end.
func (l *Loop) Run(end time.Duration) {
	for len(l.pending) > 0 && l.pending[0].at <= end {
		e := heap.Pop(&l.pending).(event)
		l.Now = e.at
		e.run()
	}
	l.Now = end
}
