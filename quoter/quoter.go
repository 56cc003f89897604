// Package quoter enforces the quota of each workspace, in tokens per second,
// across all routers.
//
// The first live router in the rendezvous-hash order of "quota/<workspace>" is
// the holder of the workspace's quota: it runs the token bucket (Allocator). An
// entry router, which receives requests from clients, spends from grants
// (Accounts). A grant is a number of tokens that expires after GrantTTL. Entry
// routers request grants from the holder in the background while a workspace is
// busy, and immediately when a request is waiting. A router batches its grant
// requests to the same holder into one message. A workspace without requests
// causes no messages and is removed from memory after IdleTimeout.
//
// A request waits at most MaxWait for a grant. A router that has no state for a
// workspace starts it with an initial allowance. Summed over the routers that
// have the same view of the membership, the allowance is rate × AllowanceTime.
//
// If the holder cannot be reached, entry routers use the next router in the
// order, but none after that. In any time L a holder grants at most
// rate × L + Burst(rate), and a grant is spent within GrantTTL. Routers with the
// same view of the membership therefore admit at most
//
//	holders × (rate × (L + GrantTTL) + Burst(rate)) + rate × AllowanceTime
//
// tokens, where holders is 1, or 2 while only some of the routers reach the
// first holder. Each side of a network partition has its own view and its own
// bound. A router that has removed an idle workspace from memory gives it the
// initial allowance again. Tokens that a request uses beyond Burst(rate) or
// beyond its estimated output become debt, which is paid from later grants
// before the next request is admitted.
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
	// call to a holder that times out plus a response from the next holder.
	MaxWait = 450 * time.Millisecond
	// callTimeout bounds one call to a holder.
	callTimeout = 200 * time.Millisecond
	// maxHolders is how many routers of the rendezvous order may be used as the
	// holder of a workspace.
	maxHolders = 2
	// holderBackoff is how long a holder is not called after a failed call.
	holderBackoff = 5 * time.Second
	// defaultRetryAfter is the retry time where no holder has given one.
	defaultRetryAfter = time.Second
	// sendInterval is the time between two batches of background grant requests.
	sendInterval = 100 * time.Millisecond
	// sweepInterval is the time between two removals of idle workspaces.
	sweepInterval = 10 * time.Second
)

// Membership is the part of the gossiper that a Quoter uses.
type Membership interface {
	// Owners returns the sorted IDs of the live members that are not draining.
	Owners() []string
	// Member returns the member with the ID.
	Member(id string) (bergamotdale.Member, bool)
}

// Quoter admits requests within the quotas of their workspaces. It contains the
// holder side and the entry side of one router. Set the exported fields before
// Run.
type Quoter struct {
	Self       string
	Peer       bergamotdale.Peer
	Membership Membership
	Clock      bergamotdale.Clock
	Logger     *zap.Logger
	// Rate returns the quota of a workspace in tokens per second, or false if
	// the workspace is not configured.
	Rate func(workspace string) (float64, bool)

	sendTrigger chan struct{}
	// calls counts the running calls.
	calls sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu.
	allocator *Allocator
	accounts  *Accounts
	// unavailableUntil holds the end of the backoff of each holder that failed.
	unavailableUntil map[string]time.Time
	lastSweep        time.Time
	// changed is closed and replaced after each response, to wake the requests
	// that wait for a grant.
	changed chan struct{}
}

// New returns a quoter without workspaces.
func New(self string, peer bergamotdale.Peer, m Membership, clock bergamotdale.Clock) *Quoter {
	return &Quoter{
		Self:             self,
		Peer:             peer,
		Membership:       m,
		Clock:            clock,
		Logger:           zap.NewNop(),
		Rate:             func(string) (float64, bool) { return 0, false },
		sendTrigger:      make(chan struct{}, 1),
		allocator:        NewAllocator(clock.Now(), self),
		accounts:         NewAccounts(),
		unavailableUntil: map[string]time.Time{},
		lastSweep:        clock.Now(),
		changed:          make(chan struct{}),
	}
}

// Run sends grant requests until the context is done.
func (q *Quoter) Run(ctx context.Context) error {
	defer q.calls.Wait()
	for {
		q.sendGrantRequests(ctx)
		select {
		case <-q.sendTrigger:
		case <-q.Clock.After(sendInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// Handle processes a batch of grant requests from a router.
func (q *Quoter) Handle(r Request) Response {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	q.allocator.SetRouters(now, q.Membership.Owners())
	response := Response{GrantResponses: make([]GrantResponse, 0, len(r.GrantRequests))}
	for _, g := range r.GrantRequests {
		rate, ok := q.Rate(g.Workspace)
		if !ok {
			// This router may not have received the newest configuration yet.
			response.GrantResponses = append(response.GrantResponses, GrantResponse{Workspace: g.Workspace, RetryMS: defaultRetryAfter.Milliseconds()})
			continue
		}
		response.GrantResponses = append(response.GrantResponses, q.allocator.Grant(now, r.Router, g, rate))
	}
	return response
}

// sendGrantRequests sends the grant requests that are due, in one message per
// holder.
func (q *Quoter) sendGrantRequests(ctx context.Context) {
	q.mu.Lock()
	now := q.Clock.Now()
	routers := q.Membership.Owners()
	q.allocator.SetRouters(now, routers)
	q.sweep(now)
	batches := map[string][]GrantRequest{}
	for _, g := range q.accounts.GrantRequests(now) {
		holder := q.holder(now, g.Workspace, routers)
		if holder == "" {
			q.accounts.FailRequest(g.Workspace, now.Add(defaultRetryAfter))
			q.notifyWaiters()
			continue
		}
		batches[holder] = append(batches[holder], g)
	}
	q.mu.Unlock()
	for holder, requests := range batches {
		if holder == q.Self {
			q.applyResponse(now, q.Handle(Request{Router: q.Self, GrantRequests: requests}))
			continue
		}
		q.calls.Go(func() { q.callHolder(ctx, holder, requests) })
	}
}

// holder returns the router to request grants of a workspace from, or ""
// if all candidates are in backoff. The caller holds mu.
func (q *Quoter) holder(now time.Time, workspace string, routers []string) string {
	order := hasher.Order(keyPrefix+workspace, routers)
	order = order[:min(len(order), maxHolders)]
	for _, id := range order {
		if !now.Before(q.unavailableUntil[id]) {
			return id
		}
	}
	for _, id := range order {
		// End the backoff, so that retried requests reach the holders again.
		delete(q.unavailableUntil, id)
	}
	return ""
}

// callHolder sends grant requests to a holder and applies its response.
func (q *Quoter) callHolder(ctx context.Context, holder string, requests []GrantRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := q.Clock.Now()
	member, known := q.Membership.Member(holder)
	var response Response
	var err error
	if known {
		err = q.Peer.Call(ctx, member.Address, Path, Request{Router: q.Self, GrantRequests: requests}, &response)
	}
	if known && err == nil && len(response.GrantResponses) == len(requests) {
		q.applyResponse(sent, response)
		return
	}
	q.Logger.Debug("grant requests to quota holder failed", zap.String("holder", holder), zap.Error(err))
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.Clock.Now()
	q.unavailableUntil[holder] = now.Add(holderBackoff)
	for _, g := range requests {
		q.accounts.FailRequest(g.Workspace, now)
	}
	q.triggerSend()
}

// applyResponse adds the grants of a holder's response to the accounts.
func (q *Quoter) applyResponse(sent time.Time, r Response) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, response := range r.GrantResponses {
		q.accounts.ApplyResponse(sent, response)
	}
	q.notifyWaiters()
}

// notifyWaiters wakes the waiting requests. The caller holds mu.
func (q *Quoter) notifyWaiters() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// triggerSend makes Run send grant requests without waiting for the interval.
func (q *Quoter) triggerSend() {
	select {
	case q.sendTrigger <- struct{}{}:
	default:
	}
}

// sweep removes idle workspaces and expired backoffs from memory. The caller
// holds mu.
func (q *Quoter) sweep(now time.Time) {
	if now.Sub(q.lastSweep) < sweepInterval {
		return
	}
	q.lastSweep = now
	q.allocator.Sweep(now)
	q.accounts.Sweep(now)
	for id, until := range q.unavailableUntil {
		if !now.Before(until) {
			delete(q.unavailableUntil, id)
		}
	}
}

// Workspaces returns the number of workspaces in memory. A workspace that this
// router both holds and uses counts twice.
func (q *Quoter) Workspaces() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.allocator.Len() + q.accounts.Len()
}
