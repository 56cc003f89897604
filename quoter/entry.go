package quoter

import (
	"time"

	"github.com/bergamotdale/bergamotdale/limiter"
)

const (
	// AllowanceTime determines the initial allowance that all routers together
	// give to a workspace before they have received grants for it. The share of
	// one router is rate × AllowanceTime / routers, at most once per IdleTimeout.
	// In total that is less than 1% of the rate.
	AllowanceTime = 500 * time.Millisecond
	// prefetchTime is the time for which a router requests tokens in advance.
	prefetchTime = time.Second
	// requestInterval is the time between two background grant requests of a
	// workspace. At the target fleet size a router has about ten busy workspaces,
	// which makes 20 grant requests/s before batching.
	requestInterval = 500 * time.Millisecond
	// needMargin is the number of tokens added to what waiting requests lack.
	needMargin = 0.01
	// minPrefetchDemand is the demand in tokens per second below which no tokens
	// are requested in advance.
	minPrefetchDemand = 1
	// initialOutput is the estimated output, in tokens, of the first request of a
	// workspace.
	initialOutput = 256
	// outputWeight is the weight of a new value in the moving average of the
	// output.
	outputWeight = 0.2
)

// Accounts is the entry side: it contains the grants and debts of the workspaces
// that are in use at this router. It is not safe for concurrent use.
type Accounts struct {
	accounts map[string]*account
}

// account holds the grants and the debt of one workspace at this router.
type account struct {
	spender *limiter.GrantPool
	// debt is the number of tokens used beyond the grants. It is paid before
	// another request is admitted.
	debt float64
	rate float64
	// waiting is the set of charges whose requests wait for a grant.
	waiting map[*Charge]struct{}
	// refusedUntil is when the holder will have the tokens requested from it.
	// refusedNeed is the number of those tokens.
	refusedUntil time.Time
	refusedNeed  float64
	// lastRequest is the time of the last grant request. requestPending is true
	// until the response.
	lastRequest    time.Time
	requestPending bool
	lastUsed       time.Time
	// running is the number of paid charges that are not settled yet.
	running int
	// demand is the average demand in tokens per second. It was computed at
	// demandUpdated.
	demand        float64
	demandUpdated time.Time
	// outputEstimate is the moving average of the output of a request in tokens.
	outputEstimate float64
}

// Charge is the number of tokens that a request is charged.
type Charge struct {
	workspace      string
	prompt         float64
	outputEstimate float64
	settled        bool
}

// cost returns the total number of tokens of the charge.
func (c *Charge) cost() float64 { return c.prompt + c.outputEstimate }

// NewAccounts returns an Accounts without workspaces.
func NewAccounts() *Accounts {
	return &Accounts{accounts: map[string]*account{}}
}

// NewCharge returns the charge of a request and adds it to the measured demand.
// The charge is the prompt plus the estimated output, which is the workspace's
// average but at most maxOutput.
func (s *Accounts) NewCharge(now time.Time, workspace string, rate float64, routers, prompt, maxOutput int) *Charge {
	a := s.accounts[workspace]
	if a == nil {
		a = &account{spender: limiter.NewGrantPool(now), waiting: map[*Charge]struct{}{}, outputEstimate: initialOutput, demandUpdated: now}
		a.spender.Add(now, limiter.Grant{
			Tokens:  rate * AllowanceTime.Seconds() / float64(max(routers, 1)),
			Expires: now.Add(GrantTTL),
		})
		s.accounts[workspace] = a
	}
	a.rate = rate
	a.lastUsed = now
	c := &Charge{workspace: workspace, prompt: float64(prompt), outputEstimate: min(float64(maxOutput), a.outputEstimate)}
	a.spender.AddDemand(c.cost())
	return c
}

// Pay pays the charge from the grants and reports whether they cover it. If not,
// the duration is the time to wait before the next attempt, or zero if a grant
// has to be requested from the holder first.
func (s *Accounts) Pay(now time.Time, c *Charge) (bool, time.Duration) {
	a := s.accounts[c.workspace]
	// The grants never cover a cost above the burst, so the excess becomes debt.
	part := min(c.cost(), Burst(a.rate))
	if a.payDebt(now) && a.spender.Spend(now, part) {
		a.debt += c.cost() - part
		a.running++
		delete(a.waiting, c)
		return true, 0
	}
	if wait := a.refusedUntil.Sub(now); wait > 0 {
		delete(a.waiting, c)
		more := max(part-a.refusedNeed, 0) / a.rate
		return false, wait + time.Duration(more*float64(time.Second))
	}
	a.waiting[c] = struct{}{}
	return false, 0
}

// ChargeResumed charges a request that was admitted before and continues. It
// adds the charge to the debt without waiting for a grant, and reports false
// only if the debt already reaches the burst.
func (s *Accounts) ChargeResumed(now time.Time, c *Charge) bool {
	a := s.accounts[c.workspace]
	a.payDebt(now)
	if a.debt >= Burst(a.rate) {
		return false
	}
	a.debt += c.cost()
	a.running++
	return true
}

// payDebt pays as much of the debt as the grants cover and reports whether the
// debt is zero.
func (a *account) payDebt(now time.Time) bool {
	if part := min(a.debt, a.spender.Available(now)); part > 0 && a.spender.Spend(now, part) {
		a.debt -= part
	}
	return a.debt <= tolerance
}

// CancelWait removes the charge from those that wait for a grant.
func (s *Accounts) CancelWait(c *Charge) {
	if a := s.accounts[c.workspace]; a != nil {
		delete(a.waiting, c)
	}
}

// Settle corrects the charge of a request by its actual output. A request that
// did not run gets the whole charge back.
func (s *Accounts) Settle(now time.Time, c *Charge, output int, ran bool) {
	a := s.accounts[c.workspace]
	if a == nil || c.settled {
		return
	}
	c.settled = true
	a.running--
	a.lastUsed = now
	used := 0.0
	if ran {
		used = c.prompt + float64(output)
		a.outputEstimate += outputWeight * (float64(output) - a.outputEstimate)
	}
	if used > c.cost() {
		a.debt += used - c.cost()
		return
	}
	refund := c.cost() - used
	paid := min(refund, a.debt)
	a.debt -= paid
	a.spender.Add(now, limiter.Grant{Tokens: refund - paid, Expires: now.Add(GrantTTL)})
}

// GrantRequests returns the grant requests that are due: immediately for waiting
// requests, and in advance for busy workspaces. Each has to be completed by
// ApplyReply or FailRequest.
func (s *Accounts) GrantRequests(now time.Time) []GrantRequest {
	var requests []GrantRequest
	for name, a := range s.accounts {
		if !a.requestDue(now) {
			continue
		}
		a.lastRequest = now
		if grantRequest, ok := a.grantRequest(now); ok {
			grantRequest.Workspace = name
			a.requestPending = true
			requests = append(requests, grantRequest)
		}
	}
	return requests
}

// grantRequest returns a request for the tokens that the account lacks, or false
// if it has enough.
func (a *account) grantRequest(now time.Time) (GrantRequest, bool) {
	if now.Sub(a.demandUpdated) >= requestInterval {
		// Measured over a shorter time, a single request would look like a high rate.
		a.demand = a.spender.Demand(now)
		a.demandUpdated = now
	}
	a.payDebt(now)
	grantRequest := GrantRequest{Rate: a.demand}
	for c := range a.waiting {
		cost := min(c.cost(), Burst(a.rate))
		if grantRequest.MinNeed == 0 || cost < grantRequest.MinNeed {
			grantRequest.MinNeed = cost
		}
		grantRequest.Need += cost
	}
	available := a.spender.Available(now)
	grantRequest.Need = max(grantRequest.Need+a.debt-available, 0)
	grantRequest.MinNeed = min(max(grantRequest.MinNeed+a.debt-available, 0), Burst(a.rate))
	a.refusedNeed = grantRequest.MinNeed
	if grantRequest.Need > 0 {
		// Without a margin, rounding can leave a sum of grants below the cost, and
		// the grant request would be repeated until the wait ends.
		grantRequest.Need += needMargin
		grantRequest.MinNeed += needMargin
		return grantRequest, true
	}
	return grantRequest, a.demand >= minPrefetchDemand && available < a.demand*prefetchTime.Seconds()
}

// requestDue reports whether the account may request a grant now.
func (a *account) requestDue(now time.Time) bool {
	if a.requestPending || now.Before(a.refusedUntil) {
		return false
	}
	return len(a.waiting) > 0 || now.Sub(a.lastRequest) >= requestInterval
}

// ApplyResponse adds the grant of a response to the account. The time sent is when the
// grant request was sent: the TTL counts from then, so that the grant expires
// here before it expires at the holder.
func (s *Accounts) ApplyResponse(sent time.Time, r GrantResponse) {
	a := s.accounts[r.Workspace]
	if a == nil {
		return
	}
	a.requestPending = false
	if r.RetryMS > 0 {
		a.refusedUntil = sent.Add(time.Duration(r.RetryMS) * time.Millisecond)
	}
	a.spender.Add(sent, limiter.Grant{Tokens: r.Tokens, Expires: sent.Add(time.Duration(r.TTLMS) * time.Millisecond)})
}

// FailRequest completes a grant request that got no response. No further grant is
// requested for the workspace until the given time.
func (s *Accounts) FailRequest(workspace string, until time.Time) {
	if a := s.accounts[workspace]; a != nil {
		a.requestPending = false
		a.refusedUntil = until
	}
}

// Sweep removes the workspaces without requests during IdleTimeout. The debt
// that is lost is at most what the workspace would have been granted in that
// time.
func (s *Accounts) Sweep(now time.Time) {
	for name, a := range s.accounts {
		if now.Sub(a.lastUsed) > IdleTimeout && a.running == 0 && len(a.waiting) == 0 && !a.requestPending {
			delete(s.accounts, name)
		}
	}
}

// Len returns the number of workspaces in memory.
func (s *Accounts) Len() int { return len(s.accounts) }
