// Package sharer divides the service of an endpoint among workspaces in
// proportion to their weights. FairQueue orders the waiting items of one priority
// class by weighted fair queueing. Ledger tracks what each workspace has used
// recently in all classes.
package sharer

import "slices"

// FairQueue is a weighted fair queue of items that have a cost. It also counts
// the running items, whose charge may be corrected while they run. It is not
// safe for concurrent use.
type FairQueue[T any] struct {
	// workspaces holds all workspaces with waiting or running items, and idle
	// ones whose virtualFinish is still ahead of virtualTime.
	workspaces map[string]*workspaceQueue[T]
	// backlog lists the workspaces with waiting items.
	backlog []*workspaceQueue[T]
	waiting int
	// waitingCost is the total cost of the waiting items.
	waitingCost float64
	running     int
	// virtualTime is the virtual start time of the last started item.
	virtualTime float64
	sequence    uint64
}

// workspaceQueue is the queue of one workspace.
type workspaceQueue[T any] struct {
	name   string
	weight float64
	// virtualFinish is the virtual time at which the charged service ends. Among
	// the backlogged workspaces, the one with the lowest value is served first.
	virtualFinish float64
	queue         []*Ticket[T]
	// waitingCost is the total cost of the items in queue.
	waitingCost float64
	running     int
}

// Ticket is the handle of an item that waits in the queue or runs.
type Ticket[T any] struct {
	Value     T
	cost      float64
	sequence  uint64
	workspace *workspaceQueue[T]
}

// Workspace returns the name and the weight of the item's workspace.
func (t *Ticket[T]) Workspace() (string, float64) {
	return t.workspace.name, t.workspace.weight
}

// NewFairQueue returns an empty queue.
func NewFairQueue[T any]() *FairQueue[T] {
	return &FairQueue[T]{workspaces: map[string]*workspaceQueue[T]{}}
}

// Waiting returns the number of waiting items.
func (f *FairQueue[T]) Waiting() int { return f.waiting }

// WaitingCost returns the total cost of the waiting items.
func (f *FairQueue[T]) WaitingCost() float64 { return f.waitingCost }

// Running returns the number of running items.
func (f *FairQueue[T]) Running() int { return f.running }

// Push adds an item at the end of its workspace's queue.
func (f *FairQueue[T]) Push(name string, weight, cost float64, value T) *Ticket[T] {
	w, ok := f.workspaces[name]
	if !ok {
		w = &workspaceQueue[T]{name: name, virtualFinish: f.virtualTime}
		f.workspaces[name] = w
	}
	w.weight = weight
	f.sequence++
	t := &Ticket[T]{Value: value, cost: cost, sequence: f.sequence, workspace: w}
	f.insert(t, len(w.queue))
	return t
}

// insert adds a ticket to the queue of its workspace at the given index.
func (f *FairQueue[T]) insert(t *Ticket[T], at int) {
	w := t.workspace
	if len(w.queue) == 0 {
		// A workspace earns no credit while it is idle.
		w.virtualFinish = max(w.virtualFinish, f.virtualTime)
		f.backlog = append(f.backlog, w)
	}
	w.queue = slices.Insert(w.queue, at, t)
	w.waitingCost += t.cost
	f.waiting++
	f.waitingCost += t.cost
}

// Head returns the item to start next and whether its workspace exceeds its fair
// share, or nil if no item waits. Workspaces that do not exceed their share go
// first; among equals, the one that has received the least service relative to
// its weight.
func (f *FairQueue[T]) Head(exceedsShare func(name string) bool) (*Ticket[T], bool) {
	var head *workspaceQueue[T]
	headExceeds := false
	for _, w := range f.backlog {
		exceeds := exceedsShare(w.name)
		if head == nil || (headExceeds && !exceeds) || (headExceeds == exceeds && w.precedes(head)) {
			head, headExceeds = w, exceeds
		}
	}
	if head == nil {
		return nil, false
	}
	return head.queue[0], headExceeds
}

// WaitingWithinShare returns the number of waiting items of the workspaces that
// do not exceed their fair share.
func (f *FairQueue[T]) WaitingWithinShare(exceedsShare func(name string) bool) int {
	n := 0
	for _, w := range f.backlog {
		if !exceedsShare(w.name) {
			n += len(w.queue)
		}
	}
	return n
}

// precedes reports whether w is served before o. Workspaces are ordered by the
// service received, then by the arrival of their first item.
func (w *workspaceQueue[T]) precedes(o *workspaceQueue[T]) bool {
	if w.virtualFinish != o.virtualFinish {
		return w.virtualFinish < o.virtualFinish
	}
	return w.queue[0].sequence < o.queue[0].sequence
}

// Start moves a waiting item to the running ones. It does not charge the item.
func (f *FairQueue[T]) Start(t *Ticket[T]) {
	f.virtualTime = max(f.virtualTime, t.workspace.virtualFinish)
	f.dequeue(t)
	t.workspace.running++
	f.running++
}

// Charge charges cost to the workspace of an item; a negative cost is a refund.
func (f *FairQueue[T]) Charge(t *Ticket[T], cost float64) {
	t.workspace.virtualFinish += cost / t.workspace.weight
}

// Finish removes a running item.
func (f *FairQueue[T]) Finish(t *Ticket[T]) {
	t.workspace.running--
	f.running--
	f.removeIdle()
}

// Requeue puts a running item back at the front of its workspace's queue, with a
// new cost.
func (f *FairQueue[T]) Requeue(t *Ticket[T], cost float64) {
	t.workspace.running--
	f.running--
	t.cost = cost
	f.insert(t, 0)
}

// Remove removes a waiting item.
func (f *FairQueue[T]) Remove(t *Ticket[T]) {
	f.dequeue(t)
	f.removeIdle()
}

// dequeue removes a ticket from the queue of its workspace.
func (f *FairQueue[T]) dequeue(t *Ticket[T]) {
	w := t.workspace
	at := slices.Index(w.queue, t)
	w.queue = slices.Delete(w.queue, at, at+1)
	w.waitingCost -= t.cost
	f.waiting--
	f.waitingCost -= t.cost
	if len(w.queue) == 0 {
		w.waitingCost = 0
		f.backlog = slices.DeleteFunc(f.backlog, func(o *workspaceQueue[T]) bool { return o == w })
	}
	if f.waiting == 0 {
		f.waitingCost = 0
	}
}

// removeIdle removes idle workspaces whose charged service ends before the
// current virtual time; they would start like new ones.
func (f *FairQueue[T]) removeIdle() {
	if f.waiting == 0 && f.running == 0 {
		clear(f.workspaces)
		f.virtualTime = 0
		return
	}
	// The loop visits all workspaces, so it runs only when the map has grown well
	// beyond the workspaces that are in use.
	if len(f.workspaces) <= 2*(len(f.backlog)+f.running)+32 {
		return
	}
	for name, w := range f.workspaces {
		if len(w.queue) == 0 && w.running == 0 && w.virtualFinish <= f.virtualTime {
			delete(f.workspaces, name)
		}
	}
}

// DropCandidate returns the item to drop when the queue is too long, or nil if
// there is none: the last item of the workspace whose waiting cost is the highest
// relative to its weight. A workspace that floods the queue therefore displaces
// only its own items. Workspaces whose last item is not accepted are skipped.
func (f *FairQueue[T]) DropCandidate(accept func(T) bool) *Ticket[T] {
	var candidate *Ticket[T]
	longest := 0.0
	for _, w := range f.backlog {
		last := w.queue[len(w.queue)-1]
		if length := w.waitingCost / w.weight; accept(last.Value) && (candidate == nil || length > longest) {
			candidate, longest = last, length
		}
	}
	return candidate
}

// CostAhead estimates the cost that is served before an item that is pushed now.
// Relative to the weights, each other workspace receives at most as much service
// before it as the item's own workspace.
func (f *FairQueue[T]) CostAhead(name string, weight, cost float64) float64 {
	ahead := 0.0
	if w, ok := f.workspaces[name]; ok {
		ahead = w.waitingCost
	}
	own := ahead + cost
	for _, w := range f.backlog {
		if w.name != name {
			ahead += min(w.waitingCost, own*w.weight/weight)
		}
	}
	return ahead
}

// Each calls fn for each waiting item. The items of one workspace come in queue
// order.
func (f *FairQueue[T]) Each(fn func(T)) {
	for _, w := range f.backlog {
		for _, t := range w.queue {
			fn(t.Value)
		}
	}
}
