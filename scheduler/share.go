package scheduler

import "time"

// maxDeficit bounds how far a class can be behind or ahead of its minimum share,
// in slot seconds per slot of that share. Without a bound, an hour in which a
// class used otherwise idle slots would count against it in the next burst.
const maxDeficit = 60.0

// shareMargin is the factor by which the guaranteed slots exceed the configured
// minimum shares. It makes up for the time in which a class below its minimum
// share waits for a free slot; without it the measured share is just below the
// configured one.
const shareMargin = 1.03

// advance updates the ledger and the deficits of all classes to the current time.
func (q *Queue) advance(now time.Time) {
	elapsed := now.Sub(q.lastAdvance).Seconds()
	first := q.lastAdvance.IsZero()
	if elapsed <= 0 && !first {
		return
	}
	q.ledger.DecayTo(now)
	q.lastAdvance = now
	if first {
		return
	}
	for _, c := range q.classes {
		if c.fair.Waiting() == 0 {
			c.deficit = 0
			continue
		}
		guaranteedSlots := q.guaranteedSlots(c)
		bound := maxDeficit * max(guaranteedSlots, 1)
		c.deficit += (guaranteedSlots - float64(len(c.running))) * elapsed
		c.deficit = min(max(c.deficit, -bound), bound)
	}
}

// guaranteedSlots returns the number of slots of the class's minimum share, which
// may be fractional.
func (q *Queue) guaranteedSlots(c *classQueue) float64 {
	return c.config.MinShare * q.shareFactor * float64(q.limit)
}

// belowMinShare reports whether the class has to be served before more urgent
// ones. A fractional slot means a whole slot for that fraction of the time, which
// the deficit keeps track of. A class that is not ahead of its share, such as one
// that has just become backlogged, starts at once; otherwise a slot that was
// freed for it by a preemption would go to another class.
func (q *Queue) belowMinShare(c *classQueue) bool {
	guaranteedSlots := q.guaranteedSlots(c)
	held := float64(len(c.running))
	return held+1 <= guaranteedSlots || (held < guaranteedSlots && c.deficit >= 0)
}

// selectNext returns the entry to start next, or nil if none may start. Classes
// below their minimum share come first. The other classes follow by priority:
// first those in which the next workspace has not exceeded its fair share of the
// endpoint, then the rest.
func (q *Queue) selectNext() *entry {
	var fair, rest *entry
	free := q.limit - q.running
	headroom := int(q.config.Headroom * float64(q.limit))
	for i, c := range q.classes {
		e, exceeds := q.head(i)
		if e == nil {
			continue
		}
		if q.belowMinShare(c) {
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

// head returns the next entry of a class, or nil if none waits, and whether its
// workspace has exceeded its fair share of the endpoint.
func (q *Queue) head(class int) (*entry, bool) {
	t, exceedsFairShare := q.classes[class].fair.Head(q.exceedsFairShare(class))
	if t == nil {
		return nil, false
	}
	return t.Value, exceedsFairShare
}

// exceedsFairShare returns a function that reports whether a workspace has
// exceeded its fair share of the endpoint in the class.
func (q *Queue) exceedsFairShare(class int) func(name string) bool {
	return func(name string) bool { return q.ledger.ExceedsShare(name, class) }
}

// preempt marks and returns the running items that make room for waiting items of
// preempting classes. Items of a workspace that has exceeded its fair share of
// the endpoint preempt nothing.
func (q *Queue) preempt() []Item {
	var marked []Item
	spare := q.limit - q.running + q.preempting
	if spare < 0 {
		// The limit was lowered below the number of running items, so a freed
		// slot could not be used.
		return nil
	}
	for i, c := range q.classes {
		if !c.config.Preempts {
			continue
		}
		urgent := c.fair.WaitingWithinShare(q.exceedsFairShare(i))
		for wanted := urgent - spare; wanted > 0; wanted-- {
			e := q.selectVictim(i)
			if e == nil {
				return marked
			}
			e.state = preempting
			q.preempting++
			q.classes[e.item.Class].preempting++
			marked = append(marked, e.item)
		}
		spare = max(spare-urgent, 0)
	}
	return marked
}

// selectVictim returns the running item to preempt for the given class, or nil if
// there is none: the youngest item of the least urgent class that keeps its
// minimum share without it. Age counts from the first start, so that the same
// item is not preempted again and again.
func (q *Queue) selectVictim(above int) *entry {
	for i := len(q.classes) - 1; i > above; i-- {
		c := q.classes[i]
		if float64(len(c.running)-c.preempting-1) < q.guaranteedSlots(c) {
			continue
		}
		var youngest *entry
		for _, e := range c.running {
			if e.state == running && (youngest == nil || e.startedAfter(youngest)) {
				youngest = e
			}
		}
		if youngest != nil {
			return youngest
		}
	}
	return nil
}

// startedAfter orders entries by their first start, then by arrival.
func (e *entry) startedAfter(o *entry) bool {
	if !e.firstStart.Equal(o.firstStart) {
		return e.firstStart.After(o.firstStart)
	}
	return e.sequence > o.sequence
}
