// Package looper runs functions at simulated times, in a fixed order.
package looper

import (
	"container/heap"
	"time"
)

// event is a function to call at a simulated time. Events of the same time run
// in the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// events is a heap of events by time.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

// Loop is the simulated time and the events ahead.
type Loop struct {
	// Now is the simulated time since the start.
	Now      time.Duration
	sequence uint64
	pending  events
}

// Epoch is the simulated time zero.
var Epoch = time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)

// Clock returns the simulated time as the decision packages see it.
func (l *Loop) Clock() time.Time {
	return Epoch.Add(l.Now)
}

// After schedules an event.
func (l *Loop) After(d time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.pending, event{at: l.Now + max(d, 0), sequence: l.sequence, run: run})
}

// Run handles all events up to the end.
func (l *Loop) Run(end time.Duration) {
	for len(l.pending) > 0 && l.pending[0].at <= end {
		e := heap.Pop(&l.pending).(event)
		l.Now = e.at
		e.run()
	}
	l.Now = end
}
