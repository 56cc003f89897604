package scheduler

import (
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// learnRate is the weight of a new sample in the moving averages.
	learnRate = 0.05
	// minRetryAfter is the resolution of the Retry-After header.
	minRetryAfter = time.Second
	// maxRetryAfter keeps clients from staying away after a short overload.
	maxRetryAfter = time.Minute
)

// ExpectedWait estimates how long an item of a workspace without other waiting
// items would wait in the class.
func (q *Queue) ExpectedWait(now time.Time, class int) time.Duration {
	q.advance(now)
	return q.classWait(class)
}

// Expire removes and returns the waiting items whose time limit has passed.
// Items that have started before stay: they keep their place until they finish.
func (q *Queue) Expire(now time.Time) []Refused {
	q.advance(now)
	var late []*entry
	for _, c := range q.classes {
		c.fair.Each(func(e *entry) {
			if e.firstStart.IsZero() && q.maxWait(e.pushed, e.item) <= now.Sub(e.pushed) {
				late = append(late, e)
			}
		})
	}
	refused := make([]Refused, 0, len(late))
	for _, e := range late {
		q.drop(e)
		refused = append(refused, q.refuse(e.item, bergamotdale.CodeWaitTooLong, q.itemWait(e.item)))
	}
	return refused
}

// NextExpiry returns when Expire next has something to do, or the zero time.
func (q *Queue) NextExpiry() time.Time {
	var next time.Time
	for _, c := range q.classes {
		c.fair.Each(func(e *entry) {
			at := e.pushed.Add(q.maxWait(e.pushed, e.item))
			if e.firstStart.IsZero() && (next.IsZero() || at.Before(next)) {
				next = at
			}
		})
	}
	return next
}

// maxWait is how long an item pushed at the time may wait.
func (q *Queue) maxWait(pushed time.Time, i Item) time.Duration {
	limit := q.classes[i.Class].config.MaxWait
	if !i.Deadline.IsZero() {
		limit = min(limit, i.Deadline.Sub(pushed))
	}
	return limit
}

// classWait is the expected wait of an item of a new workspace.
func (q *Queue) classWait(class int) time.Duration {
	return q.itemWait(Item{Class: class, Weight: 1})
}

// itemWait estimates the wait of an item that is pushed now.
func (q *Queue) itemWait(item Item) time.Duration {
	c := q.classes[item.Class]
	higher, held := 0.0, 0
	for _, o := range q.classes[:item.Class] {
		higher += o.fair.WaitingCost()
		held += len(o.running)
	}
	free := q.limit - q.running
	if free > 0 && c.fair.Waiting() == 0 && higher == 0 {
		return 0
	}
	ahead := c.fair.CostAhead(item.Workspace, item.Weight, q.cost(item))
	guaranteed := max(q.guaranteed(c), minSlots)
	shared := max(float64(q.limit-held), guaranteed)
	byPriority := (higher + ahead) / shared
	byShare := ahead / guaranteed
	residual := q.slotTime / max(float64(q.limit), 1)
	if c.config.Preempts {
		residual = 0
	}
	seconds := min(byPriority, byShare)*q.tokenTime + residual
	return time.Duration(seconds * float64(time.Second))
}

// minSlots keeps estimates finite for a class without a minimum share.
const minSlots = 0.1

// learn updates the averages with a finished item.
func (q *Queue) learn(now time.Time, e *entry) {
	seconds := now.Sub(e.started).Seconds()
	used := q.used(e)
	if seconds <= 0 {
		return
	}
	if q.slotTime == 0 {
		q.slotTime = seconds
	}
	q.slotTime += learnRate * (seconds - q.slotTime)
	q.tokenTime += learnRate * (seconds/used - q.tokenTime)
}

// refuse describes a refusal. The time to retry is spread by the item's ID, so
// that items refused together do not return together.
func (q *Queue) refuse(i Item, code bergamotdale.Code, wait time.Duration) Refused {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	spread := time.Duration(hasher.Hash(i.ID) % uint64(wait/2+1))
	return Refused{Item: i, Code: code, RetryAfter: wait + spread}
}

// Items returns the IDs of all items in arrival order, for a handover.
func (q *Queue) Items() []string {
	all := make([]*entry, 0, len(q.entries))
	for _, e := range q.entries {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *entry) int { return int(a.sequence) - int(b.sequence) })
	ids := make([]string, len(all))
	for i, e := range all {
		ids[i] = e.item.ID
	}
	return ids
}
