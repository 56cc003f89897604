// Package queuer orders the requests of one service that wait in a router until its
// share of the capacity lets them go, and refuses at once what cannot be served in its
// time.
//
// The load pattern: for some seconds 1.1 to 2.4 times as many requests arrive as the
// endpoints can serve, and one workspace sends 7.5 times its usual load. In order of
// arrival all requests would soon wait for as long as their clients do and be answered
// late. So requests that can still meet their latency objective go first; among these
// the more urgent ones, and then those of the workspace that has been served least.
// Each class, of a priority and of late requests or not, keeps a minimum share.
//
// Package apportioner decides when the next request goes.
package queuer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minShare is the part of the served requests that each class with waiting
	// requests keeps.
	minShare = 0.05
	// usagePeriod is the time constant with which the usage of a workspace decays. It
	// has to span several requests of a small workspace at one router.
	usagePeriod = 10 * time.Second
	// minUsage is the usage, in requests, below which a workspace is forgotten.
	minUsage = 0.01
	// forever is the predicted wait of a request that is never served.
	forever = time.Duration(math.MaxInt64)
)

// Request is what the order depends on.
type Request struct {
	Workspace string
	// Priority is 0 for the most urgent requests.
	Priority int
	// Objective is the time by which the response meets the latency objective; zero
	// for none. Deadline is the time at which the client or the router gives up.
	Objective, Deadline time.Time
}

// Pace describes how fast the queue is served.
type Pace struct {
	// Rate is the number of requests a second that go, and Arrivals the number that
	// arrive.
	Rate, Arrivals float64
	// Duration is the time that a request takes once it has gone, with some reserve.
	Duration time.Duration
}

// Ticket is a waiting request. Value belongs to the caller.
type Ticket[T any] struct {
	Request
	Value    T
	sequence uint64
	class    class
	// wasOnTime is set while the request has not been found late.
	wasOnTime bool
}

// class is a part of the queue with a minimum share.
type class struct {
	late     bool
	priority int
}

// compare orders the classes: on time first, then by priority.
func (c class) compare(other class) int {
	if c.late != other.late {
		if c.late {
			return 1
		}
		return -1
	}
	return cmp.Compare(c.priority, other.priority)
}

// Queue holds the waiting requests of a service. The zero value is not ready; see New.
// It is not safe for concurrent use.
type Queue[T any] struct {
	tickets []*Ticket[T]
	// usage holds the requests served lately by workspace, decayed to usageAt.
	usage   map[string]float64
	usageAt time.Time
	// due holds the requests that each class with waiting requests is owed.
	due      map[class]float64
	sequence uint64
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{usage: map[string]float64{}, due: map[class]float64{}}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.tickets) }

// OnTime returns the number of waiting requests that may still meet their objective.
func (q *Queue[T]) OnTime(now time.Time, pace Pace) int {
	n := 0
	for _, t := range q.tickets {
		if !classOf(now, t.Request, pace).late {
			n++
		}
	}
	return n
}

// Charge records that a request of the workspace has gone.
func (q *Queue[T]) Charge(now time.Time, workspace string) {
	q.decay(now)
	q.usage[workspace]++
}

// decay decays the usage to the time. Calls within a hundredth of the period change it
// too little to be worth the work.
func (q *Queue[T]) decay(now time.Time) {
	elapsed := now.Sub(q.usageAt)
	if elapsed < usagePeriod/100 {
		return
	}
	q.usageAt = now
	kept := math.Exp(-elapsed.Seconds() / usagePeriod.Seconds())
	for name, n := range q.usage {
		if n *= kept; n < minUsage {
			delete(q.usage, name)
			continue
		}
		q.usage[name] = n
	}
}

// Push adds a request and returns its predicted wait. The ticket is nil if the request
// would not be served in its time and is not added.
func (q *Queue[T]) Push(now time.Time, r Request, value T, pace Pace) (ticket *Ticket[T], wait time.Duration) {
	q.decay(now)
	wait = q.Wait(now, r, pace)
	if !servable(now, r, wait, pace) {
		return nil, wait
	}
	q.sequence++
	ticket = &Ticket[T]{Request: r, Value: value, sequence: q.sequence, class: classOf(now, r, pace)}
	ticket.wasOnTime = !ticket.class.late
	q.tickets = append(q.tickets, ticket)
	return ticket, wait
}

// servable reports whether the response to a request that waits arrives before its
// deadline.
func servable(now time.Time, r Request, wait time.Duration, pace Pace) bool {
	return r.Deadline.IsZero() || wait < forever && !now.Add(wait+pace.Duration).After(r.Deadline)
}

// classOf returns the class of a request at the time.
func classOf(now time.Time, r Request, pace Pace) class {
	return class{late: !r.Objective.IsZero() && now.Add(pace.Duration).After(r.Objective), priority: r.Priority}
}

// Remove removes a request, whether it has gone or its client has.
func (q *Queue[T]) Remove(t *Ticket[T]) {
	q.tickets = slices.DeleteFunc(q.tickets, func(other *Ticket[T]) bool { return other == t })
}

// Wait predicts how long the request waits if it is added now, from the requests that
// go before it.
func (q *Queue[T]) Wait(now time.Time, r Request, pace Pace) time.Duration {
	if pace.Rate <= 0 {
		return forever
	}
	own := classOf(now, r, pace)
	before, same, others := 0, 0, map[class]bool{}
	for _, t := range q.tickets {
		c := classOf(now, t.Request, pace)
		switch order := c.compare(own); {
		case order < 0:
			before++
		case order == 0:
			same++
		}
		if c != own {
			others[c] = true
		}
	}
	left := max(minShare, 1-minShare*float64(len(others)))
	ahead := float64(before + min(same, q.fairlyAhead(now, r, own, pace)) + 1)
	if wait := seconds(ahead / (pace.Rate * left)); !own.late && (r.Objective.IsZero() || !now.Add(wait+pace.Duration).After(r.Objective)) {
		return wait
	}
	// It will be late. Then all that arrive and are on time go before it, and what
	// is late and waits already.
	spare := max(pace.Rate*minShare, pace.Rate*left-pace.Arrivals)
	onTime, late := 0, 0
	for _, t := range q.tickets {
		switch c := classOf(now, t.Request, pace); {
		case !c.late:
			onTime++
		case c.priority <= r.Priority:
			late++
		}
	}
	return seconds(float64(onTime)/pace.Rate + float64(late+1)/spare)
}

// fairlyAhead returns how many requests of the same class go before a new one of the
// workspace: its own, and those of each other workspace until that has been served as
// much.
func (q *Queue[T]) fairlyAhead(now time.Time, r Request, own class, pace Pace) int {
	waiting := map[string]int{}
	for _, t := range q.tickets {
		if classOf(now, t.Request, pace) == own {
			waiting[t.Workspace]++
		}
	}
	ahead := waiting[r.Workspace]
	usage := q.usage[r.Workspace] + float64(ahead)
	for name, n := range waiting {
		if name != r.Workspace {
			ahead += min(n, max(0, int(math.Ceil(usage-q.usage[name]))+1))
		}
	}
	return ahead
}

// Next returns the request that goes next, or nil if none waits.
func (q *Queue[T]) Next(now time.Time, pace Pace) *Ticket[T] {
	if len(q.tickets) == 0 {
		return nil
	}
	q.decay(now)
	present := map[class]bool{}
	for _, t := range q.tickets {
		t.class = classOf(now, t.Request, pace)
		present[t.class] = true
	}
	var first class
	chosen, owed := false, 0.0
	for c := range q.due {
		if !present[c] {
			delete(q.due, c)
		}
	}
	for c := range present {
		better := !chosen || c.compare(first) < 0
		if d := q.due[c]; d >= 1 || owed >= 1 {
			better = d > owed || d == owed && better
		}
		if better {
			first, chosen, owed = c, true, q.due[c]
		}
	}
	var best *Ticket[T]
	for _, t := range q.tickets {
		if t.class == first && (best == nil || q.before(t, best)) {
			best = t
		}
	}
	return best
}

// before orders two requests of a class: by what their workspaces have been served,
// then by remaining time.
func (q *Queue[T]) before(a, b *Ticket[T]) bool {
	if a.Workspace != b.Workspace {
		if c := cmp.Compare(q.usage[a.Workspace], q.usage[b.Workspace]); c != 0 {
			return c < 0
		}
	}
	if c := end(a.Request).Compare(end(b.Request)); c != 0 {
		return c < 0
	}
	return a.sequence < b.sequence
}

// end returns the time to which the remaining time of a request counts.
func end(r Request) time.Time {
	if r.Objective.IsZero() {
		return r.Deadline
	}
	return r.Objective
}

// Take removes the request that Next has returned since it goes now.
func (q *Queue[T]) Take(now time.Time, t *Ticket[T]) {
	q.Remove(t)
	q.Charge(now, t.Workspace)
	others := map[class]bool{}
	for _, other := range q.tickets {
		if other.class != t.class {
			others[other.class] = true
		}
	}
	for c := range others {
		q.due[c] += minShare
	}
	q.due[t.class] = max(0, q.due[t.class]-1)
}

// Expire removes and returns the requests that will not be served in their time, such
// as those that have become late since they were added.
func (q *Queue[T]) Expire(now time.Time, pace Pace) []*Ticket[T] {
	var expired []*Ticket[T]
	for _, t := range slices.Clone(q.tickets) {
		wait := time.Duration(0)
		if t.wasOnTime && classOf(now, t.Request, pace).late {
			t.wasOnTime = false
			q.Remove(t)
			wait = q.Wait(now, t.Request, pace)
			q.tickets = append(q.tickets, t)
		}
		if !servable(now, t.Request, wait, pace) {
			q.Remove(t)
			expired = append(expired, t)
		}
	}
	return expired
}

// seconds converts a number of seconds, up to the longest duration.
func seconds(s float64) time.Duration {
	if s >= float64(forever)/float64(2*time.Second) {
		return forever
	}
	return time.Duration(s * float64(time.Second))
}
