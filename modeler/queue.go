package modeler

import (
	"maps"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/scheduler"
)

// Queue holds the waiting and running requests of an engine and decides which of
// them run. It is the part of scheduler.Queue that the simulation uses, and is
// documented there.
type Queue interface {
	SetLimit(now time.Time, limit int)
	Push(now time.Time, item scheduler.Item) []scheduler.Refused
	Next(now time.Time) scheduler.Decision
	Progress(id string, tokens int)
	Done(now time.Time, id string) bool
	Preempted(now time.Time, id string, offset int) bool
	Expire(now time.Time) []scheduler.Refused
	Load() int
	Items() []string
}

var (
	_ Queue = (*scheduler.Queue)(nil)
	_ Queue = (*FIFO)(nil)
)

// FIFO is the baseline for comparisons with the scheduler: one bounded queue in
// arrival order, without priority classes, fairness between workspaces or
// preemption. The limits on the waiting time are those of the scheduler.
type FIFO struct {
	classes []scheduler.Class
	// slots is the number of slots, and maxWaiting the maximum length of waiting.
	slots      int
	maxWaiting int
	waiting    []queuedItem
	// running holds the IDs of the items in slots.
	running map[string]bool
}

type queuedItem struct {
	item     scheduler.Item
	queuedAt time.Time
}

// NewFIFO returns an empty queue that holds as many waiting items as a scheduler
// with the classes holds in all of them.
func NewFIFO(classes []scheduler.Class) *FIFO {
	f := &FIFO{classes: classes, running: map[string]bool{}}
	for _, c := range classes {
		f.maxWaiting += c.MaxQueued
	}
	return f
}

// SetLimit sets the number of slots.
func (f *FIFO) SetLimit(_ time.Time, limit int) { f.slots = limit }

// Push adds an item, or refuses it if the queue is full.
func (f *FIFO) Push(now time.Time, item scheduler.Item) []scheduler.Refused {
	if len(f.waiting) >= f.maxWaiting {
		return []scheduler.Refused{{Item: item, Code: bergamotdale.CodeOverloaded, RetryAfter: fifoRetryAfter}}
	}
	f.waiting = append(f.waiting, queuedItem{item, now})
	return nil
}

// fifoRetryAfter is the RetryAfter of all items that FIFO refuses. Unlike the scheduler,
// FIFO does not estimate the waiting time.
const fifoRetryAfter = 5 * time.Second

// Next moves items in arrival order to the free slots and returns them.
func (f *FIFO) Next(time.Time) scheduler.Decision {
	var d scheduler.Decision
	for len(f.running) < f.slots && len(f.waiting) > 0 {
		item := f.waiting[0].item
		f.waiting = f.waiting[1:]
		f.running[item.ID] = true
		d.Start = append(d.Start, item)
	}
	return d
}

// Progress does nothing, because FIFO does not use the progress of items.
func (f *FIFO) Progress(string, int) {}

// Done frees the slot of an item.
func (f *FIFO) Done(_ time.Time, id string) bool {
	delete(f.running, id)
	return true
}

// Preempted does nothing, because FIFO does not preempt.
func (f *FIFO) Preempted(time.Time, string, int) bool { return false }

// Expire removes and returns the items that have waited as long as their class allows.
func (f *FIFO) Expire(now time.Time) []scheduler.Refused {
	var refused []scheduler.Refused
	kept := f.waiting[:0:0]
	for _, w := range f.waiting {
		if now.Sub(w.queuedAt) >= f.classes[w.item.Class].MaxWait {
			refused = append(refused, scheduler.Refused{Item: w.item, Code: bergamotdale.CodeWaitTooLong, RetryAfter: fifoRetryAfter})
			continue
		}
		kept = append(kept, w)
	}
	f.waiting = kept
	return refused
}

// Load returns the number of items that run or wait.
func (f *FIFO) Load() int { return len(f.waiting) + len(f.running) }

// Items returns the IDs of all items.
func (f *FIFO) Items() []string {
	ids := slices.Sorted(maps.Keys(f.running))
	for _, w := range f.waiting {
		ids = append(ids, w.item.ID)
	}
	return ids
}
