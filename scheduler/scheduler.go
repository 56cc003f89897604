// Package scheduler holds the queue of one endpoint and decides what runs
// next.
//
// Classes are served by strict priority, except that a class below its minimum
// share of the slots goes first. Within a class, workspaces share by weighted
// fair queueing over tokens: a started item is charged its input and expected
// output, and the charge is corrected as output is generated. A waiting item of
// a class that may preempt takes the slot of the youngest running item of the
// lowest class that stays above its minimum share without it.
//
// The package is pure: every call takes the time, and the caller starts,
// cancels and refuses what the results tell it to. A Queue is not safe for
// concurrent use; each endpoint guards its own.
package scheduler

import (
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/sharer"
)

// Class configures one priority class. Classes are ordered from the most to
// the least urgent.
type Class struct {
	Name string
	// MinShare is the fraction of the slots that the class gets whenever it
	// has work; all classes together at most 1.
	MinShare float64
	// MaxWait is the longest time that an item waits for its first start.
	MaxWait time.Duration
	// MaxQueued bounds the waiting items of the class.
	MaxQueued int
	// Preempts allows items of the class to take running slots of lower ones.
	Preempts bool
}

// Config configures a Queue.
type Config struct {
	Classes []Class
	// InputWeight is the cost of an input token relative to an output token;
	// zero means DefaultInputWeight.
	InputWeight float64
	// TokenTime is the slot time per charged token that is assumed until the
	// first items are done; zero means DefaultTokenTime.
	TokenTime time.Duration
	// Headroom is the fraction of the slots that classes which are not below
	// their minimum share leave to preempting classes, so that urgent items
	// rarely have to wait for a preemption.
	Headroom float64
}

const (
	// DefaultInputWeight reflects that prefill handles many tokens at once.
	DefaultInputWeight = 0.1
	// DefaultTokenTime is the inter-token latency of a busy engine.
	DefaultTokenTime = 30 * time.Millisecond
)

// Item is a request at an endpoint.
type Item struct {
	ID        string
	Workspace string
	// Weight is the share of the workspace relative to others of its class;
	// zero counts as 1.
	Weight float64
	// Class is the index of the priority class.
	Class        int
	InputTokens  int
	OutputTokens int
	// Deadline is the latest first start; zero leaves only Class.MaxWait.
	Deadline time.Time
	// Offset is the number of output tokens generated before a preemption.
	Offset int
}

// Refused is an item that leaves the queue without having run to its end.
type Refused struct {
	Item Item
	Code bergamotdale.Code
	// RetryAfter is when a retry is expected to be admitted.
	RetryAfter time.Duration
}

// Refusal returns the final response to the refused request. The outcome of one
// that has run before a preemption is unknown.
func (r Refused) Refusal() *bergamotdale.Refusal {
	refusal := bergamotdale.Refuse(r.Code, "no capacity within the time limit").After(r.RetryAfter)
	if r.Item.Offset > 0 {
		return refusal.WithOutcome(bergamotdale.OutcomeUnknown)
	}
	return refusal
}

// Decision is what to do now.
type Decision struct {
	// Start lists items to start; they hold a slot from now on.
	Start []Item
	// Preempt lists running items to cancel. They keep their slots until
	// Preempted, Done or Cancel is called for them.
	Preempt []Item
}

// state is where an item is in its life.
type state int

const (
	waiting state = iota
	running
	leaving
)

// entry is an item in the queue or in a slot.
type entry struct {
	item  Item
	state state
	// sequence orders items by arrival.
	sequence uint64
	pushed   time.Time
	// firstStart is zero until the item starts; a preemption keeps it.
	firstStart time.Time
	started    time.Time
	// charged is the cost charged to the workspace since the last start.
	charged float64
	// generated is the output since the first start.
	generated int
	ticket    *sharer.Ticket[*entry]
}

// class is the state of one priority class.
type class struct {
	config  Class
	fair    *sharer.FairQueue[*entry]
	running []*entry
	leaving int
	// deficit is how many slot seconds the class is behind its minimum share.
	deficit float64
}

// Queue is the queue and the running set of one endpoint.
type Queue struct {
	config  Config
	limit   int
	classes []*class
	// margin is the factor by which the minimum shares are exceeded.
	margin   float64
	entries  map[string]*entry
	ledger   *sharer.Ledger
	running  int
	leaving  int
	sequence uint64
	advanced time.Time
	// tokenTime is the moving average of the slot seconds per charged token.
	tokenTime float64
	// slotTime is the moving average of the slot seconds per item.
	slotTime float64
}

// New returns an empty queue with a limit of zero.
func New(config Config) *Queue {
	if config.InputWeight <= 0 {
		config.InputWeight = DefaultInputWeight
	}
	if config.TokenTime <= 0 {
		config.TokenTime = DefaultTokenTime
	}
	q := &Queue{config: config, entries: map[string]*entry{}, ledger: sharer.NewLedger(len(config.Classes)), tokenTime: config.TokenTime.Seconds()}
	sum := 0.0
	for _, c := range config.Classes {
		q.classes = append(q.classes, &class{config: c, fair: sharer.NewFairQueue[*entry]()})
		sum += c.MinShare
	}
	q.margin = shareMargin
	if sum > 0 {
		q.margin = min(q.margin, 1/sum)
	}
	return q
}

// SetLimit sets the number of slots. Running items above a lowered limit
// finish.
func (q *Queue) SetLimit(now time.Time, limit int) {
	q.advance(now)
	q.limit = max(limit, 0)
}

// Push adds an item. It returns the items that are refused because of it:
// the item itself where its wait would be too long, or an item of the
// workspace with the longest queue where the class is full. A class outside
// the configuration counts as the last one. An ID that is already present is
// ignored.
func (q *Queue) Push(now time.Time, item Item) []Refused {
	if _, ok := q.entries[item.ID]; ok {
		return nil
	}
	q.advance(now)
	if item.Class < 0 || item.Class >= len(q.classes) {
		item.Class = len(q.classes) - 1
	}
	if item.Weight <= 0 {
		item.Weight = 1
	}
	c := q.classes[item.Class]
	limit := q.maxWait(now, item)
	if wait := q.itemWait(item); wait > limit {
		return []Refused{q.refuse(item, bergamotdale.CodeWaitTooLong, wait-limit)}
	}
	q.sequence++
	e := &entry{item: item, sequence: q.sequence, pushed: now, generated: item.Offset}
	q.entries[item.ID] = e
	e.ticket = c.fair.Push(item.Workspace, item.Weight, q.cost(item), e)
	if c.fair.Waiting() <= c.config.MaxQueued {
		return nil
	}
	// Items that have started before keep their place. The new item is always
	// a candidate, because it is the last of its workspace.
	victim := c.fair.DropCandidate(func(e *entry) bool { return e.firstStart.IsZero() }).Value
	q.drop(victim)
	return []Refused{q.refuse(victim.item, bergamotdale.CodeOverloaded, q.classWait(item.Class))}
}

// Next returns the items to start within the limit, and the running items to
// preempt for urgent ones.
func (q *Queue) Next(now time.Time) Decision {
	q.advance(now)
	var d Decision
	for q.running < q.limit {
		e := q.next()
		if e == nil {
			break
		}
		q.start(now, e)
		d.Start = append(d.Start, e.item)
	}
	d.Preempt = q.preempt()
	return d
}

// Progress corrects the charge of a running item that has generated the given
// number of output tokens since its first start.
func (q *Queue) Progress(id string, tokens int) {
	e, ok := q.entries[id]
	if !ok || e.state == waiting || tokens <= e.generated {
		return
	}
	e.generated = tokens
	if owed := q.used(e); owed > e.charged {
		q.charge(e, owed-e.charged)
	}
}

// Done frees the slot of an item that has ended, in whatever way. It reports
// whether the item was running.
func (q *Queue) Done(now time.Time, id string) bool {
	e, ok := q.entries[id]
	if !ok || e.state == waiting {
		return false
	}
	q.advance(now)
	q.release(e)
	q.learn(now, e)
	q.classOf(e).fair.Finish(e.ticket)
	delete(q.entries, id)
	return true
}

// Preempted frees the slot of an item that was cancelled for an urgent one.
// The item returns to the front of its workspace with the number of output
// tokens generated so far as its offset.
func (q *Queue) Preempted(now time.Time, id string, offset int) bool {
	e, ok := q.entries[id]
	if !ok || e.state == waiting {
		return false
	}
	q.advance(now)
	q.Progress(id, offset)
	q.release(e)
	e.item.Offset = e.generated
	e.state = waiting
	q.classOf(e).fair.Requeue(e.ticket, q.cost(e.item))
	return true
}

// Cancel removes an item whose client has gone. It reports whether the item
// held a slot, so that the caller cancels it at the endpoint.
func (q *Queue) Cancel(now time.Time, id string) bool {
	e, ok := q.entries[id]
	if !ok {
		return false
	}
	q.advance(now)
	if e.state == waiting {
		q.drop(e)
		return false
	}
	q.release(e)
	q.classOf(e).fair.Finish(e.ticket)
	delete(q.entries, id)
	return true
}

// Load returns the number of items that run or wait.
func (q *Queue) Load() int {
	return len(q.entries)
}

// Running returns the number of items that hold a slot.
func (q *Queue) Running() int {
	return q.running
}

// Waiting returns the number of waiting items of a class.
func (q *Queue) Waiting(class int) int {
	return q.classes[class].fair.Waiting()
}

func (q *Queue) classOf(e *entry) *class {
	return q.classes[e.item.Class]
}

// start moves a waiting entry into a slot.
func (q *Queue) start(now time.Time, e *entry) {
	c := q.classOf(e)
	e.state = running
	e.started = now
	if e.firstStart.IsZero() {
		e.firstStart = now
	}
	c.fair.Start(e.ticket)
	e.charged = 0
	q.charge(e, q.cost(e.item))
	c.running = append(c.running, e)
	q.running++
}

// release takes an entry out of its slot and settles its charge.
func (q *Queue) release(e *entry) {
	c := q.classOf(e)
	if e.state == leaving {
		q.leaving--
		c.leaving--
	}
	q.running--
	c.running = slices.DeleteFunc(c.running, func(o *entry) bool { return o == e })
	q.charge(e, q.used(e)-e.charged)
}

// charge corrects what a running entry has been charged; a negative cost is a
// refund.
func (q *Queue) charge(e *entry, cost float64) {
	e.charged += cost
	q.classOf(e).fair.Charge(e.ticket, cost)
	name, weight := e.ticket.Workspace()
	q.ledger.Charge(name, weight, e.item.Class, cost)
}

// drop removes a waiting entry.
func (q *Queue) drop(e *entry) {
	q.classOf(e).fair.Remove(e.ticket)
	delete(q.entries, e.item.ID)
}

// cost is what an item is charged when it starts.
func (q *Queue) cost(i Item) float64 {
	output := max(i.OutputTokens-i.Offset, 1)
	return q.config.InputWeight*float64(i.InputTokens) + float64(output)
}

// used is what an item has consumed since its last start.
func (q *Queue) used(e *entry) float64 {
	output := max(e.generated-e.item.Offset, 1)
	return q.config.InputWeight*float64(e.item.InputTokens) + float64(output)
}
