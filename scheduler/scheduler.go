// Package scheduler queues the requests of one endpoint and decides which of
// them run next.
//
// An endpoint runs a limited number of requests at a time; each of them holds a
// slot. Requests belong to priority classes, which are served by strict
// priority, except that a class below its minimum share of the slots goes first.
// Within a class, workspaces share the slots by weighted fair queueing over
// tokens: when an item starts, its workspace is charged for the input and the
// expected output, and the charge is corrected as output is generated. A waiting
// item of a class that may preempt takes the slot of a running item: the
// youngest item of the lowest class that keeps its minimum share without it.
//
// The package does no I/O and reads no clock: each call takes the current time,
// and the caller starts, cancels and refuses requests as the results say. A
// Queue is not safe for concurrent use.
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
	// MinShare is the fraction of the slots that the class is guaranteed while it
	// has waiting items. The sum over all classes is at most 1.
	MinShare float64
	// MaxWait is the longest time that an item may wait for its first start.
	MaxWait time.Duration
	// MaxQueued is the largest number of waiting items of the class.
	MaxQueued int
	// Preempts allows items of the class to take slots of running items of less
	// urgent classes.
	Preempts bool
}

// Config configures a Queue.
type Config struct {
	Classes []Class
	// InputWeight is the cost of an input token relative to an output token;
	// zero means DefaultInputWeight.
	InputWeight float64
	// TokenTime is the initial estimate of how long a slot is taken per charged
	// token, before any item has finished; zero means DefaultTokenTime.
	TokenTime time.Duration
	// Headroom is the fraction of the slots that is kept free for preempting
	// classes, so that urgent items rarely have to wait for a preemption. Other
	// classes use it only while they are below their minimum share.
	Headroom float64
}

const (
	// DefaultInputWeight is the default cost of an input token relative to an
	// output token. It is low because prefill processes many tokens at once.
	DefaultInputWeight = 0.1
	// DefaultTokenTime is the default of Config.TokenTime, the inter-token latency
	// of a busy engine.
	DefaultTokenTime = 30 * time.Millisecond
)

// Item is a request as the scheduler sees it.
type Item struct {
	ID        string
	Workspace string
	// Weight is the weight of the workspace in fair queueing, relative to the other
	// workspaces of the class; zero counts as 1.
	Weight float64
	// Class is the index of the priority class in Config.Classes.
	Class       int
	InputTokens int
	// OutputTokens is the expected number of output tokens.
	OutputTokens int
	// Deadline is the latest time of the first start. Class.MaxWait applies as
	// well; zero means that only it applies.
	Deadline time.Time
	// Offset is the number of output tokens generated before the item was queued,
	// by a run that was preempted or by an earlier attempt.
	Offset int
}

// Refused is an item that the queue gives up before it has run to completion.
type Refused struct {
	Item Item
	Code bergamotdale.Code
	// RetryAfter is the time after which a retry is expected to be admitted.
	RetryAfter time.Duration
}

// Refusal returns the final response to the refused request. The outcome of a
// request that ran before it was preempted is unknown.
func (r Refused) Refusal() *bergamotdale.Refusal {
	refusal := bergamotdale.Refuse(r.Code, "the endpoint has no capacity for the request within the time limit").After(r.RetryAfter)
	if r.Item.Offset > 0 {
		return refusal.WithOutcome(bergamotdale.OutcomeUnknown)
	}
	return refusal
}

// Decision tells the caller which items to start and which to preempt.
type Decision struct {
	// Start lists the items to start. They already hold a slot.
	Start []Item
	// Preempt lists the running items to cancel. Each keeps its slot until
	// Preempted, Done or Cancel is called for it.
	Preempt []Item
}

// state is the scheduling state of an item.
type state int

const (
	waiting state = iota
	running
	// preempting is the state of an item that the caller was told to cancel and
	// that still holds its slot.
	preempting
)

// entry is an item that waits or holds a slot, with its accounting.
type entry struct {
	item  Item
	state state
	// sequence is the position of the item in the order of arrival.
	sequence   uint64
	enqueuedAt time.Time
	// firstStart is zero until the item starts for the first time. A preemption
	// does not reset it.
	firstStart time.Time
	// lastStart is when the item most recently got a slot.
	lastStart time.Time
	// charged is what the workspace was charged for the item since lastStart.
	charged float64
	// generated is the number of output tokens of the item, including Item.Offset.
	generated int
	ticket    *sharer.Ticket[*entry]
}

// classQueue holds the waiting and running items of one priority class.
type classQueue struct {
	config     Class
	fair       *sharer.FairQueue[*entry]
	running    []*entry
	preempting int
	// deficit is how far the class is behind its minimum share, in slot seconds
	// (slots times seconds); negative if it is ahead.
	deficit float64
}

// Queue holds the waiting and running items of one endpoint.
type Queue struct {
	config Config
	// limit is the number of slots.
	limit   int
	classes []*classQueue
	// shareFactor multiplies the minimum shares; see shareMargin.
	shareFactor float64
	// entries holds all waiting and running items by ID.
	entries map[string]*entry
	// ledger records what each workspace has used recently over all classes.
	ledger *sharer.Ledger
	// running counts the items that hold a slot, including the preempting ones.
	running    int
	preempting int
	sequence   uint64
	// lastAdvance is the time up to which the deficits are computed.
	lastAdvance time.Time
	// tokenTime is the moving average of the seconds that an item holds its slot
	// per charged token.
	tokenTime float64
	// slotTime is the moving average of the seconds that an item holds its slot.
	slotTime float64
}

// New returns an empty queue without slots; SetLimit sets their number.
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
		q.classes = append(q.classes, &classQueue{config: c, fair: sharer.NewFairQueue[*entry]()})
		sum += c.MinShare
	}
	q.shareFactor = shareMargin
	if sum > 0 {
		q.shareFactor = min(q.shareFactor, 1/sum)
	}
	return q
}

// SetLimit sets the number of slots. Running items above a lowered limit keep
// their slots until they finish.
func (q *Queue) SetLimit(now time.Time, limit int) {
	q.advance(now)
	q.limit = max(limit, 0)
}

// Push adds an item and returns the items that are refused because of it. The
// item itself is refused if its expected wait is too long. If the class has too
// many waiting items, the last item of the workspace with the longest queue is
// refused. A class outside the configuration counts as the last one. An item
// whose ID is already present is ignored.
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
	if wait := q.expectedItemWait(item); wait > limit {
		return []Refused{q.newRefused(item, bergamotdale.CodeWaitTooLong, wait-limit)}
	}
	q.sequence++
	e := &entry{item: item, sequence: q.sequence, enqueuedAt: now, generated: item.Offset}
	q.entries[item.ID] = e
	e.ticket = c.fair.Push(item.Workspace, item.Weight, q.expectedCost(item), e)
	if c.fair.Waiting() <= c.config.MaxQueued {
		return nil
	}
	// Items that were preempted keep their place in the queue. The new item is
	// always a candidate, because it is the last one of its workspace.
	victim := c.fair.DropCandidate(func(e *entry) bool { return e.firstStart.IsZero() }).Value
	q.removeWaiting(victim)
	return []Refused{q.newRefused(victim.item, bergamotdale.CodeOverloaded, q.expectedClassWait(item.Class))}
}

// Next returns the waiting items to start in free slots and the running items to
// preempt for more urgent ones.
func (q *Queue) Next(now time.Time) Decision {
	q.advance(now)
	var d Decision
	for q.running < q.limit {
		e := q.selectNext()
		if e == nil {
			break
		}
		q.start(now, e)
		d.Start = append(d.Start, e.item)
	}
	d.Preempt = q.preempt()
	return d
}

// Progress records how many output tokens a running item has generated in all.
// Once they cost more than its workspace was charged, the charge is raised.
func (q *Queue) Progress(id string, tokens int) {
	e, ok := q.entries[id]
	if !ok || e.state == waiting || tokens <= e.generated {
		return
	}
	e.generated = tokens
	if consumed := q.consumedCost(e); consumed > e.charged {
		q.charge(e, consumed-e.charged)
	}
}

// Done removes a running item that has ended, for whatever reason, and frees its
// slot. It reports whether the item held a slot.
func (q *Queue) Done(now time.Time, id string) bool {
	e, ok := q.entries[id]
	if !ok || e.state == waiting {
		return false
	}
	q.advance(now)
	q.releaseSlot(e)
	q.updateAverages(now, e)
	q.classOf(e).fair.Finish(e.ticket)
	delete(q.entries, id)
	return true
}

// Preempted frees the slot of an item that was cancelled for a more urgent one.
// The item returns to the front of its workspace's queue, with the number of
// output tokens generated so far as its offset. Preempted reports whether the
// item held a slot.
func (q *Queue) Preempted(now time.Time, id string, offset int) bool {
	e, ok := q.entries[id]
	if !ok || e.state == waiting {
		return false
	}
	q.advance(now)
	q.Progress(id, offset)
	q.releaseSlot(e)
	e.item.Offset = e.generated
	e.state = waiting
	q.classOf(e).fair.Requeue(e.ticket, q.expectedCost(e.item))
	return true
}

// Cancel removes an item whose client has disconnected. It reports whether the
// item held a slot; if so the caller has to cancel it at the endpoint.
func (q *Queue) Cancel(now time.Time, id string) bool {
	e, ok := q.entries[id]
	if !ok {
		return false
	}
	q.advance(now)
	if e.state == waiting {
		q.removeWaiting(e)
		return false
	}
	q.releaseSlot(e)
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

// classOf returns the class of an entry.
func (q *Queue) classOf(e *entry) *classQueue {
	return q.classes[e.item.Class]
}

// start moves a waiting entry into a slot.
func (q *Queue) start(now time.Time, e *entry) {
	c := q.classOf(e)
	e.state = running
	e.lastStart = now
	if e.firstStart.IsZero() {
		e.firstStart = now
	}
	c.fair.Start(e.ticket)
	e.charged = 0
	q.charge(e, q.expectedCost(e.item))
	c.running = append(c.running, e)
	q.running++
}

// releaseSlot frees the slot of an entry and corrects its charge to what it has
// consumed.
func (q *Queue) releaseSlot(e *entry) {
	c := q.classOf(e)
	if e.state == preempting {
		q.preempting--
		c.preempting--
	}
	q.running--
	c.running = slices.DeleteFunc(c.running, func(o *entry) bool { return o == e })
	q.charge(e, q.consumedCost(e)-e.charged)
}

// charge adds a cost to what the workspace of a running entry was charged; a
// negative cost is a refund.
func (q *Queue) charge(e *entry, cost float64) {
	e.charged += cost
	q.classOf(e).fair.Charge(e.ticket, cost)
	name, weight := e.ticket.Workspace()
	q.ledger.Charge(name, weight, e.item.Class, cost)
}

// removeWaiting removes a waiting entry from the queue.
func (q *Queue) removeWaiting(e *entry) {
	q.classOf(e).fair.Remove(e.ticket)
	delete(q.entries, e.item.ID)
}

// expectedCost returns what an item is charged when it starts: the cost of its
// input and of the output that is still to be generated.
func (q *Queue) expectedCost(i Item) float64 {
	output := max(i.OutputTokens-i.Offset, 1)
	return q.config.InputWeight*float64(i.InputTokens) + float64(output)
}

// consumedCost returns the cost of the input and of the output that an item has
// generated since its last start.
func (q *Queue) consumedCost(e *entry) float64 {
	output := max(e.generated-e.item.Offset, 1)
	return q.config.InputWeight*float64(e.item.InputTokens) + float64(output)
}
