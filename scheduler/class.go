package scheduler

import (
	"slices"
)

// class is the state of one priority class.
type class struct {
	config Class
	// workspaces holds all workspaces with waiting or running items, and idle
	// ones that still owe service.
	workspaces map[string]*workspace
	// backlog lists the workspaces with waiting items.
	backlog []*workspace
	waiting int
	// waitingCost is the summed cost of the waiting items.
	waitingCost float64
	running     []*entry
	leaving     int
	// virtual is the virtual start time of the last started item.
	virtual float64
	// deficit is how many slot seconds the class is behind its minimum share.
	deficit float64
}

// workspace is the state of one workspace within a class.
type workspace struct {
	name   string
	weight float64
	// finish is the virtual time at which its charged service ends. Among the
	// backlogged workspaces the lowest goes first.
	finish  float64
	queue   []*entry
	cost    float64
	running int
}

func newClass(config Class) *class {
	return &class{config: config, workspaces: map[string]*workspace{}}
}

// charge adds service to the workspace; a negative cost is a refund.
func (w *workspace) charge(cost float64) {
	w.finish += cost / w.weight
}

// workspaceOf returns the state of the item's workspace.
func (c *class) workspaceOf(i Item) *workspace {
	w, ok := c.workspaces[i.Workspace]
	if !ok {
		w = &workspace{name: i.Workspace, finish: c.virtual}
		c.workspaces[i.Workspace] = w
	}
	w.weight = i.Weight
	return w
}

func (c *class) push(e *entry, cost float64) {
	c.enter(e, cost)
	e.workspace.queue = append(e.workspace.queue, e)
}

func (c *class) pushFront(e *entry, cost float64) {
	c.enter(e, cost)
	e.workspace.queue = slices.Insert(e.workspace.queue, 0, e)
}

// enter accounts for an entry that is about to wait.
func (c *class) enter(e *entry, cost float64) {
	w := c.workspaceOf(e.item)
	e.workspace = w
	if len(w.queue) == 0 {
		// A workspace that was idle gains no credit for it.
		w.finish = max(w.finish, c.virtual)
		c.backlog = append(c.backlog, w)
	}
	w.cost += cost
	c.waiting++
	c.waitingCost += cost
}

// head returns the backlogged workspace whose turn it is: the one that has
// received the least service in the class, among those within their fair part
// of the endpoint if there are any.
func (c *class) head(exceeds func(name string) bool) (w *workspace, over bool) {
	for _, o := range c.backlog {
		above := exceeds(o.name)
		if w == nil || (over && !above) || (over == above && o.before(w)) {
			w, over = o, above
		}
	}
	return w, over
}

// before orders workspaces by service received, then by arrival.
func (w *workspace) before(o *workspace) bool {
	if w.finish != o.finish {
		return w.finish < o.finish
	}
	return w.queue[0].sequence < o.queue[0].sequence
}

// pop takes the first item of the workspace.
func (c *class) pop(w *workspace, cost func(*entry) float64) *entry {
	e := w.queue[0]
	c.virtual = max(c.virtual, w.finish)
	c.remove(e, cost(e))
	return e
}

// remove takes a waiting entry out of its workspace.
func (c *class) remove(e *entry, cost float64) {
	w := e.workspace
	w.queue = slices.Delete(w.queue, slices.Index(w.queue, e), slices.Index(w.queue, e)+1)
	w.cost -= cost
	c.waiting--
	c.waitingCost -= cost
	if len(w.queue) == 0 {
		w.cost = 0
		c.backlog = slices.DeleteFunc(c.backlog, func(o *workspace) bool { return o == w })
	}
	if c.waiting == 0 {
		c.waitingCost = 0
	}
}

// release takes an entry out of the running set.
func (c *class) release(e *entry) {
	c.running = slices.DeleteFunc(c.running, func(o *entry) bool { return o == e })
}

// collect forgets idle workspaces whose charged service lies in the past.
func (c *class) collect() {
	if c.waiting == 0 && len(c.running) == 0 {
		clear(c.workspaces)
		c.virtual = 0
		return
	}
	// The sweep is linear, so it runs only once the map has grown well beyond
	// the workspaces that are in use.
	if len(c.workspaces) <= 2*(len(c.backlog)+len(c.running))+32 {
		return
	}
	for name, w := range c.workspaces {
		if len(w.queue) == 0 && w.running == 0 && w.finish <= c.virtual {
			delete(c.workspaces, name)
		}
	}
}

// longestTail returns the last item of the workspace with the longest queue
// relative to its weight, so that a workspace that floods the class displaces
// only its own items. Preempted items are kept.
func (c *class) longestTail() *entry {
	var victim *entry
	longest := 0.0
	for _, w := range c.backlog {
		last := w.queue[len(w.queue)-1]
		if length := w.cost / w.weight; last.firstStart.IsZero() && (victim == nil || length > longest) {
			victim, longest = last, length
		}
	}
	return victim
}
