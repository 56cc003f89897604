package benchmarker

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

// loop is the simulated time and the events ahead.
type loop struct {
	now      time.Duration
	sequence uint64
	pending  events
}

// epoch is the simulated time zero.
var epoch = time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)

// clock returns the simulated time as the decision packages see it.
func (l *loop) clock() time.Time {
	return epoch.Add(l.now)
}

// after schedules an event.
func (l *loop) after(d time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.pending, event{at: l.now + max(d, 0), sequence: l.sequence, run: run})
}

// run handles all events up to the end.
func (l *loop) run(end time.Duration) {
	for len(l.pending) > 0 && l.pending[0].at <= end {
		e := heap.Pop(&l.pending).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}
