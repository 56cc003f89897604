// Package quoter enforces the quota of a workspace, in tokens per second,
// across all routers.
//
// The first live router in the rendezvous order of "quota/<workspace>" holds
// the quota (Table). Entry routers (Entry) ask it for time-limited grants: in
// the background where a workspace is busy, and at once where a request waits.
// The asks of a router to one holder travel in one message; a workspace without
// requests costs no message and is forgotten after ForgetAfter.
//
// A request waits at most MaxWait for a grant. A router that does not know the
// grants of a workspace gives it an allowance; the sum over routers with the
// same view of the membership is rate × AllowanceTime.
//
// Where a holder cannot be reached, its entry routers ask the next one, and no
// further one. In any time L a holder grants at most rate × L + Burst(rate),
// and a grant is spent within GrantTTL. So routers with one view of the
// membership admit at most
//
//	holders × (rate × (L + GrantTTL) + Burst(rate)) + rate × AllowanceTime
//
// tokens, where holders is 1, or 2 while some routers reach the first holder
// and some do not. Each side of a partition has its own view and bound. The
// allowance is given again to a router that has forgotten the workspace. What
// a request uses beyond Burst(rate) or beyond its expected output is owed and
// paid from later grants, before the next request is admitted.
package quoter

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// MaxWait is the longest time that a request waits for a grant. It covers a
	// holder that does not respond and a response of the next one.
	MaxWait = 450 * time.Millisecond
	// callTimeout bounds one call of a holder.
	callTimeout = 200 * time.Millisecond
	// maxHolders is how many routers in order are asked.
	maxHolders = 2
	// avoidFor is how long a holder that failed is not asked.
	avoidFor = 5 * time.Second
	// retryTime is when a client may come back if no holder was reached.
	retryTime = time.Second
	// flushInterval is the resolution of the asks in the background.
	flushInterval = 100 * time.Millisecond
	// sweepInterval is the time between two looks for idle workspaces.
	sweepInterval = 10 * time.Second
)

// Membership is what the quoter needs of the gossiper.
type Membership interface {
	// Owners returns the IDs of live members that are not draining, by name.
	Owners() []string
	// Member returns the member with the ID.
	Member(id string) (bergamotdale.Member, bool)
}

// Quoter is the holder and the entry side of one router. Exported fields are
// set before Run.
type Quoter struct {
	Self       string
	Peer       bergamotdale.Peer
	Membership Membership
	Clock      bergamotdale.Clock
	Logger     *zap.Logger
	// Rate returns the tokens per second of a workspace; false if it has none.
	Rate func(workspace string) (float64, bool)

	wake chan struct{}
	// calls counts the running calls.
	calls sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu.
	table *Table
	entry *Entry
	avoid map[string]time.Time
	swept time.Time
	// changed is closed and replaced after each reply.
	changed chan struct{}
}

// New returns a quoter without workspaces.
func New(self string, peer bergamotdale.Peer, m Membership, clock bergamotdale.Clock) *Quoter {
	return &Quoter{
		Self:       self,
		Peer:       peer,
		Membership: m,
		Clock:      clock,
		Logger:     zap.NewNop(),
		Rate:       func(string) (float64, bool) { return 0, false },
		wake:       make(chan struct{}, 1),
		table:      NewTable(clock.Now(), self),
		entry:      NewEntry(),
		avoid:      map[string]time.Time{},
		swept:      clock.Now(),
		changed:    make(chan struct{}),
	}
}

// Run asks for grants until the context is done.
func (q *Quoter) Run(ctx context.Context) error {
	defer q.calls.Wait()
	for {
		q.flush(ctx)
		select {
		case <-q.wake:
		case <-q.Clock.After(flushInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// Handle responds to the asks of a router.
func (q *Quoter) Handle(r Request) Response {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	q.table.SetRouters(now, q.Membership.Owners())
	response := Response{Replies: make([]Reply, 0, len(r.Asks))}
	for _, a := range r.Asks {
		rate, ok := q.Rate(a.Workspace)
		if !ok {
			// This router may not have the newest configuration yet.
			response.Replies = append(response.Replies, Reply{Workspace: a.Workspace, RetryMS: retryTime.Milliseconds()})
			continue
		}
		response.Replies = append(response.Replies, q.table.Grant(now, r.Router, a, rate))
	}
	return response
}

// flush sends what the entry side asks for, one message per holder.
func (q *Quoter) flush(ctx context.Context) {
	q.mu.Lock()
	now := q.Clock.Now()
	routers := q.Membership.Owners()
	q.table.SetRouters(now, routers)
	q.sweep(now)
	batches := map[string][]Ask{}
	for _, a := range q.entry.Asks(now) {
		holder := q.holder(now, a.Workspace, routers)
		if holder == "" {
			q.entry.Fail(a.Workspace, now.Add(retryTime))
			q.notify()
			continue
		}
		batches[holder] = append(batches[holder], a)
	}
	q.mu.Unlock()
	for holder, asks := range batches {
		if holder == q.Self {
			q.apply(now, q.Handle(Request{Router: q.Self, Asks: asks}))
			continue
		}
		q.calls.Go(func() { q.call(ctx, holder, asks) })
	}
}

// holder returns the router to ask for a workspace, or "" if none of those that
// may be asked has responded. The caller holds mu.
func (q *Quoter) holder(now time.Time, workspace string, routers []string) string {
	order := hasher.Order(keyPrefix+workspace, routers)
	order = order[:min(len(order), maxHolders)]
	for _, id := range order {
		if !now.Before(q.avoid[id]) {
			return id
		}
	}
	for _, id := range order {
		// They are asked again when the requests come back.
		delete(q.avoid, id)
	}
	return ""
}

// call asks a holder.
func (q *Quoter) call(ctx context.Context, holder string, asks []Ask) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := q.Clock.Now()
	member, known := q.Membership.Member(holder)
	var response Response
	var err error
	if known {
		err = q.Peer.Call(ctx, member.Address, Path, Request{Router: q.Self, Asks: asks}, &response)
	}
	if known && err == nil && len(response.Replies) == len(asks) {
		q.apply(sent, response)
		return
	}
	q.Logger.Debug("quota holder failed", zap.String("holder", holder), zap.Error(err))
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	q.avoid[holder] = now.Add(avoidFor)
	for _, a := range asks {
		q.entry.Fail(a.Workspace, now)
	}
	q.awaken()
}

// apply takes in the replies of a holder.
func (q *Quoter) apply(sent time.Time, r Response) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, reply := range r.Replies {
		q.entry.Apply(sent, reply)
	}
	q.notify()
}

// notify lets waiting requests try again. The caller holds mu.
func (q *Quoter) notify() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// awaken starts a flush without waiting for the interval.
func (q *Quoter) awaken() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// sweep forgets idle workspaces. The caller holds mu.
func (q *Quoter) sweep(now time.Time) {
	if now.Sub(q.swept) < sweepInterval {
		return
	}
	q.swept = now
	q.table.Sweep(now)
	q.entry.Sweep(now)
	for id, until := range q.avoid {
		if !now.Before(until) {
			delete(q.avoid, id)
		}
	}
}

// Workspaces returns how many workspaces are in memory, those that this router
// uses and those that it holds counted apart.
func (q *Quoter) Workspaces() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Len() + q.entry.Len()
}
