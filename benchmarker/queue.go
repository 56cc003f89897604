package benchmarker

import (
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/scheduler"
)

// queue is the part of a scheduler that the simulation uses.
type queue interface {
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
	_ queue = (*scheduler.Queue)(nil)
	_ queue = (*fifo)(nil)
)

// fifo is the baseline: one bounded queue in arrival order, without classes,
// workspaces and preemption. Its time limits are those of the scheduler.
type fifo struct {
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

func newFIFO(classes []scheduler.Class) *fifo {
	f := &fifo{classes: classes, running: map[string]bool{}}
	for _, c := range classes {
		f.bound += c.MaxQueued
	}
	return f
}

func (f *fifo) SetLimit(_ time.Time, limit int) { f.limit = limit }

func (f *fifo) Push(now time.Time, item scheduler.Item) []scheduler.Refused {
	if len(f.waiting) >= f.bound {
		return []scheduler.Refused{{Item: item, Code: bergamotdale.CodeOverloaded, RetryAfter: fifoRetry}}
	}
	f.waiting = append(f.waiting, queued{item, now})
	return nil
}

// fifoRetry is the fixed time to retry of the baseline.
const fifoRetry = 5 * time.Second

func (f *fifo) Next(time.Time) scheduler.Decision {
	var d scheduler.Decision
	for len(f.running) < f.limit && len(f.waiting) > 0 {
		item := f.waiting[0].item
		f.waiting = f.waiting[1:]
		f.running[item.ID] = true
		d.Start = append(d.Start, item)
	}
	return d
}

func (f *fifo) Progress(string, int) {}

func (f *fifo) Done(_ time.Time, id string) bool {
	delete(f.running, id)
	return true
}

func (f *fifo) Preempted(time.Time, string, int) bool { return false }

func (f *fifo) Expire(now time.Time) []scheduler.Refused {
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

func (f *fifo) Load() int { return len(f.waiting) + len(f.running) }

func (f *fifo) Items() []string {
	var ids []string
	for id := range f.running {
		ids = append(ids, id)
	}
	for _, w := range f.waiting {
		ids = append(ids, w.item.ID)
	}
	return ids
}
