package scheduler

import "time"

// maxDeficit bounds how long a class can be behind or ahead of its minimum
// share, in slot seconds per slot of that share. Without a bound, an hour of
// idle slots used by a class would count against it in the next flood.
const maxDeficit = 60.0

// shareMargin makes up for the moments in which a class below its minimum share
// waits for a slot to become free; without it the measured share is just under
// the configured one.
const shareMargin = 1.03

// advance brings the deficits of all classes to the time.
func (q *Queue) advance(now time.Time) {
	elapsed := now.Sub(q.advanced).Seconds()
	first := q.advanced.IsZero()
	if elapsed <= 0 && !first {
		return
	}
	q.ledger.DecayTo(now)
	q.advanced = now
	if first {
		return
	}
	for _, c := range q.classes {
		if c.fair.Waiting() == 0 {
			c.deficit = 0
			continue
		}
		guaranteed := q.guaranteed(c)
		bound := maxDeficit * max(guaranteed, 1)
		c.deficit += (guaranteed - float64(len(c.running))) * elapsed
		c.deficit = min(max(c.deficit, -bound), bound)
	}
}

// guaranteed returns the slots of the class's minimum share; it need not be a
// whole number.
func (q *Queue) guaranteed(c *class) float64 {
	return c.config.MinShare * q.margin * float64(q.limit)
}

// owed reports whether the class has to be served before more urgent ones. A
// fraction of a slot is a whole slot for that fraction of the time. A class that
// has just become backlogged starts at once: a slot that was freed for it by a
// preemption would go to another class otherwise.
func (q *Queue) owed(c *class) bool {
	guaranteed := q.guaranteed(c)
	held := float64(len(c.running))
	return held+1 <= guaranteed || (held < guaranteed && c.deficit >= 0)
}

// next returns the entry to start, or nil if none may start. Classes below
// their minimum share come first, then classes by priority as far as the
// workspace whose turn it is has not used more than its fair part of the
// endpoint, then the others by priority.
func (q *Queue) next() *entry {
	var fair, rest *entry
	free := q.limit - q.running
	headroom := int(q.config.Headroom * float64(q.limit))
	for i, c := range q.classes {
		e, exceeds := q.head(i)
		if e == nil {
			continue
		}
		if q.owed(c) {
			return e
		}
		if (!c.config.Preempts || exceeds) && free <= headroom {
			continue
		}
		if fair == nil && !exceeds {
			fair = e
		}
		if rest == nil {
			rest = e
		}
	}
	if fair != nil {
		return fair
	}
	return rest
}

// head returns the entry whose turn it is in a class, and whether its workspace
// has used more than its fair part of the endpoint.
func (q *Queue) head(class int) (*entry, bool) {
	t, exceeds := q.classes[class].fair.Head(q.exceeds(class))
	if t == nil {
		return nil, false
	}
	return t.Value, exceeds
}

// exceeds returns the check of the ledger for a class.
func (q *Queue) exceeds(class int) func(name string) bool {
	return func(name string) bool { return q.ledger.ExceedsShare(name, class) }
}

// preempt marks running items that make room for waiting urgent ones. Items of a
// workspace beyond its fair part of the endpoint wait instead.
func (q *Queue) preempt() []Item {
	var marked []Item
	spare := q.limit - q.running + q.leaving
	if spare < 0 {
		// The limit was lowered; a freed slot could not be used.
		return nil
	}
	for i, c := range q.classes {
		if !c.config.Preempts {
			continue
		}
		urgent := c.fair.WaitingWithinShare(q.exceeds(i))
		for wanted := urgent - spare; wanted > 0; wanted-- {
			e := q.victim(i)
			if e == nil {
				return marked
			}
			e.state = leaving
			q.leaving++
			q.classes[e.item.Class].leaving++
			marked = append(marked, e.item)
		}
		spare = max(spare-urgent, 0)
	}
	return marked
}

// victim returns the youngest running item of the lowest class below the given
// one that keeps its minimum share without the item. Age counts from the first
// start, so that work which was preempted before is not chosen again and again.
func (q *Queue) victim(above int) *entry {
	for i := len(q.classes) - 1; i > above; i-- {
		c := q.classes[i]
		if float64(len(c.running)-c.leaving-1) < q.guaranteed(c) {
			continue
		}
		var youngest *entry
		for _, e := range c.running {
			if e.state == running && (youngest == nil || e.younger(youngest)) {
				youngest = e
			}
		}
		if youngest != nil {
			return youngest
		}
	}
	return nil
}

func (e *entry) younger(o *entry) bool {
	if !e.firstStart.Equal(o.firstStart) {
		return e.firstStart.After(o.firstStart)
	}
	return e.sequence > o.sequence
}
