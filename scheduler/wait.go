package scheduler

import (
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// smoothingFactor is the weight of a new sample in the exponential moving
	// averages.
	smoothingFactor = 0.05
	// minRetryAfter is the resolution of the Retry-After header of HTTP.
	minRetryAfter = time.Second
	// maxRetryAfter bounds the time to retry, before it is spread. A longer time
	// would keep clients away after a short overload.
	maxRetryAfter = time.Minute
)

// ExpectedWait estimates how long a new item would wait in the class if its
// workspace had no other waiting items.
func (q *Queue) ExpectedWait(now time.Time, class int) time.Duration {
	q.advance(now)
	return q.expectedClassWait(class)
}

// Expire removes and returns the waiting items whose time limit has passed. Items
// that were preempted stay in the queue until they finish.
func (q *Queue) Expire(now time.Time) []Refused {
	q.advance(now)
	var late []*entry
	for _, c := range q.classes {
		c.fair.Each(func(e *entry) {
			if e.firstStart.IsZero() && q.maxWait(e.enqueuedAt, e.item) <= now.Sub(e.enqueuedAt) {
				late = append(late, e)
			}
		})
	}
	refused := make([]Refused, 0, len(late))
	for _, e := range late {
		q.removeWaiting(e)
		refused = append(refused, q.newRefused(e.item, bergamotdale.CodeWaitTooLong, q.expectedItemWait(e.item)))
	}
	return refused
}

// NextExpiry returns the earliest time at which Expire removes an item, or the
// zero time if none can expire.
func (q *Queue) NextExpiry() time.Time {
	var next time.Time
	for _, c := range q.classes {
		c.fair.Each(func(e *entry) {
			at := e.enqueuedAt.Add(q.maxWait(e.enqueuedAt, e.item))
			if e.firstStart.IsZero() && (next.IsZero() || at.Before(next)) {
				next = at
			}
		})
	}
	return next
}

// maxWait returns how long an item that was pushed at the given time may wait.
func (q *Queue) maxWait(pushed time.Time, i Item) time.Duration {
	limit := q.classes[i.Class].config.MaxWait
	if !i.Deadline.IsZero() {
		limit = min(limit, i.Deadline.Sub(pushed))
	}
	return limit
}

// expectedClassWait estimates the wait of an item of a workspace without other
// items.
func (q *Queue) expectedClassWait(class int) time.Duration {
	return q.expectedItemWait(Item{Class: class, Weight: 1})
}

// expectedItemWait estimates the wait of an item that is pushed now. It is the
// shorter of two estimates: that the class is served by priority after the more
// urgent classes, and that it gets only its minimum share.
func (q *Queue) expectedItemWait(item Item) time.Duration {
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
	ahead := c.fair.CostAhead(item.Workspace, item.Weight, q.expectedCost(item))
	guaranteedSlots := max(q.guaranteedSlots(c), minGuaranteedSlots)
	shared := max(float64(q.limit-held), guaranteedSlots)
	byPriority := (higher + ahead) / shared
	byShare := ahead / guaranteedSlots
	residual := q.slotTime / max(float64(q.limit), 1)
	if c.config.Preempts {
		residual = 0
	}
	seconds := min(byPriority, byShare)*q.tokenTime + residual
	return time.Duration(seconds * float64(time.Second))
}

// minGuaranteedSlots is the number of slots assumed for a class without a minimum
// share, so that its estimates stay finite.
const minGuaranteedSlots = 0.1

// updateAverages adds a finished item to the moving averages.
func (q *Queue) updateAverages(now time.Time, e *entry) {
	seconds := now.Sub(e.lastStart).Seconds()
	consumedCost := q.consumedCost(e)
	if seconds <= 0 {
		return
	}
	if q.slotTime == 0 {
		q.slotTime = seconds
	}
	q.slotTime += smoothingFactor * (seconds - q.slotTime)
	q.tokenTime += smoothingFactor * (seconds/consumedCost - q.tokenTime)
}

// newRefused returns the refusal of an item with the expected wait as the time to
// retry. That time is spread by a hash of the item's ID, so that items that are
// refused together do not return together.
func (q *Queue) newRefused(i Item, code bergamotdale.Code, wait time.Duration) Refused {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	spread := time.Duration(hasher.Hash(i.ID) % uint64(wait/2+1))
	return Refused{Item: i, Code: code, RetryAfter: wait + spread}
}

// Items returns the IDs of all items, waiting and running, in order of arrival.
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
