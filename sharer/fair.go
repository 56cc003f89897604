// Package sharer shares service among workspaces: Fair queues the items of one
// priority class by weighted fair queueing, and Ledger remembers what each
// workspace has used recently over all classes.
package sharer

import "slices"

// Fair is a weighted fair queue of items with a cost. It also counts running
// items, whose charge may be corrected. It is not safe for concurrent use.
type Fair[T any] struct {
	// workspaces holds all workspaces with waiting or running items, and idle
	// ones that still owe service.
	workspaces map[string]*workspace[T]
	// backlog lists the workspaces with waiting items.
	backlog []*workspace[T]
	waiting int
	// cost is the summed cost of the waiting items.
	cost    float64
	running int
	// virtual is the virtual start time of the last started item.
	virtual  float64
	sequence uint64
}

// workspace is the state of one workspace in the queue.
type workspace[T any] struct {
	name   string
	weight float64
	// finish is the virtual time at which its charged service ends. Among the
	// backlogged workspaces the lowest goes first.
	finish  float64
	queue   []*Ticket[T]
	cost    float64
	running int
}

// Ticket is the place of an item in the queue or in service.
type Ticket[T any] struct {
	Value     T
	cost      float64
	sequence  uint64
	workspace *workspace[T]
}

// Workspace returns the name and the weight of the item's workspace.
func (t *Ticket[T]) Workspace() (string, float64) {
	return t.workspace.name, t.workspace.weight
}

// NewFair returns an empty queue.
func NewFair[T any]() *Fair[T] {
	return &Fair[T]{workspaces: map[string]*workspace[T]{}}
}

// Waiting returns the number of waiting items and Cost their summed cost.
func (f *Fair[T]) Waiting() int { return f.waiting }

// Cost returns the summed cost of the waiting items.
func (f *Fair[T]) Cost() float64 { return f.cost }

// Running returns the number of items in service.
func (f *Fair[T]) Running() int { return f.running }

// Push adds an item at the end of its workspace's queue.
func (f *Fair[T]) Push(name string, weight, cost float64, value T) *Ticket[T] {
	w, ok := f.workspaces[name]
	if !ok {
		w = &workspace[T]{name: name, finish: f.virtual}
		f.workspaces[name] = w
	}
	w.weight = weight
	f.sequence++
	t := &Ticket[T]{Value: value, cost: cost, sequence: f.sequence, workspace: w}
	f.enter(t, len(w.queue))
	return t
}

// enter places a ticket in the queue of its workspace.
func (f *Fair[T]) enter(t *Ticket[T], at int) {
	w := t.workspace
	if len(w.queue) == 0 {
		// A workspace that was idle gains no credit for it.
		w.finish = max(w.finish, f.virtual)
		f.backlog = append(f.backlog, w)
	}
	w.queue = slices.Insert(w.queue, at, t)
	w.cost += t.cost
	f.waiting++
	f.cost += t.cost
}

// Head returns the item whose turn it is and whether its workspace exceeds, or
// nil if none waits. It is the first item of the workspace that has received
// the least service, among those that do not exceed if there are any.
func (f *Fair[T]) Head(exceeds func(name string) bool) (*Ticket[T], bool) {
	var head *workspace[T]
	over := false
	for _, w := range f.backlog {
		above := exceeds(w.name)
		if head == nil || (over && !above) || (over == above && w.before(head)) {
			head, over = w, above
		}
	}
	if head == nil {
		return nil, false
	}
	return head.queue[0], over
}

// WaitingWithin returns the number of waiting items of the workspaces that do
// not exceed.
func (f *Fair[T]) WaitingWithin(exceeds func(name string) bool) int {
	n := 0
	for _, w := range f.backlog {
		if !exceeds(w.name) {
			n += len(w.queue)
		}
	}
	return n
}

// before orders workspaces by service received, then by arrival.
func (w *workspace[T]) before(o *workspace[T]) bool {
	if w.finish != o.finish {
		return w.finish < o.finish
	}
	return w.queue[0].sequence < o.queue[0].sequence
}

// Start takes a waiting item into service without charging it.
func (f *Fair[T]) Start(t *Ticket[T]) {
	f.virtual = max(f.virtual, t.workspace.finish)
	f.leave(t)
	t.workspace.running++
	f.running++
}

// Charge adds service of an item to its workspace; a negative cost is a refund.
func (f *Fair[T]) Charge(t *Ticket[T], cost float64) {
	t.workspace.finish += cost / t.workspace.weight
}

// End takes an item out of service.
func (f *Fair[T]) End(t *Ticket[T]) {
	t.workspace.running--
	f.running--
	f.collect()
}

// Return takes an item out of service and puts it first in its workspace.
func (f *Fair[T]) Return(t *Ticket[T], cost float64) {
	t.workspace.running--
	f.running--
	t.cost = cost
	f.enter(t, 0)
}

// Remove takes a waiting item out of the queue.
func (f *Fair[T]) Remove(t *Ticket[T]) {
	f.leave(t)
	f.collect()
}

// leave takes a ticket out of the queue of its workspace.
func (f *Fair[T]) leave(t *Ticket[T]) {
	w := t.workspace
	at := slices.Index(w.queue, t)
	w.queue = slices.Delete(w.queue, at, at+1)
	w.cost -= t.cost
	f.waiting--
	f.cost -= t.cost
	if len(w.queue) == 0 {
		w.cost = 0
		f.backlog = slices.DeleteFunc(f.backlog, func(o *workspace[T]) bool { return o == w })
	}
	if f.waiting == 0 {
		f.cost = 0
	}
}

// collect forgets idle workspaces whose charged service lies in the past.
func (f *Fair[T]) collect() {
	if f.waiting == 0 && f.running == 0 {
		clear(f.workspaces)
		f.virtual = 0
		return
	}
	// The sweep is linear, so it runs only once the map has grown well beyond
	// the workspaces that are in use.
	if len(f.workspaces) <= 2*(len(f.backlog)+f.running)+32 {
		return
	}
	for name, w := range f.workspaces {
		if len(w.queue) == 0 && w.running == 0 && w.finish <= f.virtual {
			delete(f.workspaces, name)
		}
	}
}

// Longest returns the last item of the workspace with the longest queue
// relative to its weight, so that a workspace that floods the queue displaces
// only its own items. Workspaces whose last item is not accepted are skipped.
func (f *Fair[T]) Longest(accept func(T) bool) *Ticket[T] {
	var victim *Ticket[T]
	longest := 0.0
	for _, w := range f.backlog {
		last := w.queue[len(w.queue)-1]
		if length := w.cost / w.weight; accept(last.Value) && (victim == nil || length > longest) {
			victim, longest = last, length
		}
	}
	return victim
}

// Ahead estimates the cost that is served before an item that is pushed now.
// Each other workspace is served before it at most as much as its own
// workspace, relative to the weights.
func (f *Fair[T]) Ahead(name string, weight, cost float64) float64 {
	ahead := 0.0
	if w, ok := f.workspaces[name]; ok {
		ahead = w.cost
	}
	own := ahead + cost
	for _, w := range f.backlog {
		if w.name != name {
			ahead += min(w.cost, own*w.weight/weight)
		}
	}
	return ahead
}

// Each calls fn for each waiting item, in order within a workspace.
func (f *Fair[T]) Each(fn func(T)) {
	for _, w := range f.backlog {
		for _, t := range w.queue {
			fn(t.Value)
		}
	}
}
