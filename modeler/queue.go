package modeler

import (
	"maps"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/scheduler"
)

// Queue is the part of a scheduler that the simulation uses.
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

// FIFO is the baseline: one bounded queue in arrival order, without classes,
// workspaces and preemption. Its time limits are those of the scheduler.
type FIFO struct {
	classes []scheduler.Class
	limit   int
	bound   int
	waiting []queued
	running map[string]bool
}

type queued struct {
	item   scheduler.Item
	pushed time.Time
}

// NewFIFO returns an empty queue.
func NewFIFO(classes []scheduler.Class) *FIFO {
	f := &FIFO{classes: classes, running: map[string]bool{}}
	for _, c := range classes {
		f.bound += c.MaxQueued
	}
	return f
}

// SetLimit sets the number of slots.
func (f *FIFO) SetLimit(_ time.Time, limit int) { f.limit = limit }

// Push adds an item, or refuses it if the queue is full.
func (f *FIFO) Push(now time.Time, item scheduler.Item) []scheduler.Refused {
	if len(f.waiting) >= f.bound {
		return []scheduler.Refused{{Item: item, Code: bergamotdale.CodeOverloaded, RetryAfter: fifoRetry}}
	}
	f.waiting = append(f.waiting, queued{item, now})
	return nil
}

// fifoRetry is the fixed time to retry of the baseline.
const fifoRetry = 5 * time.Second

// Next returns the items to start.
func (f *FIFO) Next(time.Time) scheduler.Decision {
	var d scheduler.Decision
	for len(f.running) < f.limit && len(f.waiting) > 0 {
		item := f.waiting[0].item
		f.waiting = f.waiting[1:]
		f.running[item.ID] = true
		d.Start = append(d.Start, item)
	}
	return d
}

// Progress does nothing.
func (f *FIFO) Progress(string, int) {}

// Done frees a slot.
func (f *FIFO) Done(_ time.Time, id string) bool {
	delete(f.running, id)
	return true
}

// Preempted does nothing; the baseline does not preempt.
func (f *FIFO) Preempted(time.Time, string, int) bool { return false }

// Expire returns the items whose time limit has passed.
func (f *FIFO) Expire(now time.Time) []scheduler.Refused {
	var refused []scheduler.Refused
	kept := f.waiting[:0:0]
	for _, w := range f.waiting {
		if now.Sub(w.pushed) >= f.classes[w.item.Class].MaxWait {
			refused = append(refused, scheduler.Refused{Item: w.item, Code: bergamotdale.CodeWaitTooLong, RetryAfter: fifoRetry})
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
