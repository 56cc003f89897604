package quoter

import (
	"time"

	"github.com/bergamotdale/bergamotdale/limiter"
)

const (
	// AllowanceTime is the part of a workspace's rate that all routers together
	// give to it while they do not know its grants. A router's share is
	// rate × AllowanceTime / routers, once per ForgetAfter: under 1% of the rate.
	AllowanceTime = 500 * time.Millisecond
	// lookAhead is the demand that a router keeps in advance, and askInterval
	// the time between two asks in the background. At the target size a router
	// has about ten busy workspaces: 20 asks/s before batching.
	lookAhead   = time.Second
	askInterval = 500 * time.Millisecond
	// askMargin is added to what a request lacks, in tokens.
	askMargin = 0.01
	// minDemand is the rate below which nothing is asked in advance.
	minDemand = 1
	// firstOutput is the expected output of a workspace's first request, and
	// outputWeight the weight of a new output in the average.
	firstOutput  = 256
	outputWeight = 0.2
)

// Entry is the entry side: the grants of the workspaces that are in use at this
// router. It is not safe for concurrent use.
type Entry struct {
	accounts map[string]*account
}

// account is one workspace at this router.
type account struct {
	spender *limiter.GrantPool
	// debt is what was used beyond the grants. It is paid before a request is
	// admitted.
	debt float64
	rate float64
	// waiting holds what the waiting requests cost.
	waiting map[*Charge]struct{}
	// refusedUntil is when the holder will have the tokens that it was asked for,
	// and refusedNeed how many those were.
	refusedUntil time.Time
	refusedNeed  float64
	// asked is the time of the last ask; pending is set until its reply.
	asked   time.Time
	pending bool
	used    time.Time
	// running counts the charges that are not settled yet.
	running int
	// demand is the rate wanted in the last interval, which ended at measured.
	demand   float64
	measured time.Time
	// output is the average output of a request.
	output float64
}

// Charge is what a request has paid.
type Charge struct {
	workspace string
	prompt    float64
	output    float64
	settled   bool
}

// cost is the number of tokens of the charge.
func (c *Charge) cost() float64 { return c.prompt + c.output }

// NewEntry returns an entry side without workspaces.
func NewEntry() *Entry {
	return &Entry{accounts: map[string]*account{}}
}

// Begin counts the demand of a request and returns what it will be charged:
// its input and the output that is expected of its workspace.
func (e *Entry) Begin(now time.Time, workspace string, rate float64, routers, prompt, maxOutput int) *Charge {
	a := e.accounts[workspace]
	if a == nil {
		a = &account{spender: limiter.NewGrantPool(now), waiting: map[*Charge]struct{}{}, output: firstOutput, measured: now}
		a.spender.Add(now, limiter.Grant{
			Tokens:  rate * AllowanceTime.Seconds() / float64(max(routers, 1)),
			Expires: now.Add(GrantTTL),
		})
		e.accounts[workspace] = a
	}
	a.rate = rate
	a.used = now
	c := &Charge{workspace: workspace, prompt: float64(prompt), output: min(float64(maxOutput), a.output)}
	a.spender.AddDemand(c.cost())
	return c
}

// Take pays the charge. If the grants do not cover it, the duration is the time
// to come back; zero means that the holder has to be asked.
func (e *Entry) Take(now time.Time, c *Charge) (bool, time.Duration) {
	a := e.accounts[c.workspace]
	// A request above the burst never fits; what exceeds it is paid later.
	part := min(c.cost(), Burst(a.rate))
	if a.pay(now) && a.spender.Spend(now, part) {
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

// Resume charges a request that was admitted before and continues. It is not
// refused for want of tokens unless the workspace owes a whole burst.
func (e *Entry) Resume(now time.Time, c *Charge) bool {
	a := e.accounts[c.workspace]
	a.pay(now)
	if a.debt >= Burst(a.rate) {
		return false
	}
	a.debt += c.cost()
	a.running++
	return true
}

// pay pays the debt as far as possible and reports whether none is left.
func (a *account) pay(now time.Time) bool {
	if part := min(a.debt, a.spender.Available(now)); part > 0 && a.spender.Spend(now, part) {
		a.debt -= part
	}
	return a.debt <= tolerance
}

// Abandon ends the wait of a request.
func (e *Entry) Abandon(c *Charge) {
	if a := e.accounts[c.workspace]; a != nil {
		delete(a.waiting, c)
	}
}

// Settle corrects the charge of a request by its real output. A request that
// did not run gets everything back.
func (e *Entry) Settle(now time.Time, c *Charge, output int, ran bool) {
	a := e.accounts[c.workspace]
	if a == nil || c.settled {
		return
	}
	c.settled = true
	a.running--
	a.used = now
	used := 0.0
	if ran {
		used = c.prompt + float64(output)
		a.output += outputWeight * (float64(output) - a.output)
	}
	if used > c.cost() {
		a.debt += used - c.cost()
		return
	}
	back := c.cost() - used
	paid := min(back, a.debt)
	a.debt -= paid
	a.spender.Add(now, limiter.Grant{Tokens: back - paid, Expires: now.Add(GrantTTL)})
}

// Asks returns what to ask for now: for waiting requests at once, and for the
// demand of busy workspaces ahead of need. Every ask is answered by Apply or
// Fail.
func (e *Entry) Asks(now time.Time) []Ask {
	var asks []Ask
	for name, a := range e.accounts {
		if !a.due(now) {
			continue
		}
		a.asked = now
		if ask, ok := a.ask(now); ok {
			ask.Workspace = name
			a.pending = true
			asks = append(asks, ask)
		}
	}
	return asks
}

// ask returns what the account lacks; false if it has enough.
func (a *account) ask(now time.Time) (Ask, bool) {
	if now.Sub(a.measured) >= askInterval {
		// Over a shorter time a single request would seem to be a high rate.
		a.demand = a.spender.Demand(now)
		a.measured = now
	}
	a.pay(now)
	ask := Ask{Rate: a.demand}
	for c := range a.waiting {
		cost := min(c.cost(), Burst(a.rate))
		if ask.Least == 0 || cost < ask.Least {
			ask.Least = cost
		}
		ask.Need += cost
	}
	available := a.spender.Available(now)
	ask.Need = max(ask.Need+a.debt-available, 0)
	ask.Least = min(max(ask.Least+a.debt-available, 0), Burst(a.rate))
	a.refusedNeed = ask.Least
	if ask.Need > 0 {
		// Without a margin a sum of grants can stay below the cost by rounding,
		// and the request would ask again and again until its wait ends.
		ask.Need += askMargin
		ask.Least += askMargin
		return ask, true
	}
	return ask, a.demand >= minDemand && available < a.demand*lookAhead.Seconds()
}

// due reports whether the account may ask now.
func (a *account) due(now time.Time) bool {
	if a.pending || now.Before(a.refusedUntil) {
		return false
	}
	return len(a.waiting) > 0 || now.Sub(a.asked) >= askInterval
}

// Apply takes in the reply to an ask that was sent at the given time. The grant
// counts from then, so that it expires here before it does at the holder.
func (e *Entry) Apply(sent time.Time, r Reply) {
	a := e.accounts[r.Workspace]
	if a == nil {
		return
	}
	a.pending = false
	if r.RetryMS > 0 {
		a.refusedUntil = sent.Add(time.Duration(r.RetryMS) * time.Millisecond)
	}
	a.spender.Add(sent, limiter.Grant{Tokens: r.Tokens, Expires: sent.Add(time.Duration(r.TTLMS) * time.Millisecond)})
}

// Fail ends an ask without a reply. Until the given time nothing is asked.
func (e *Entry) Fail(workspace string, until time.Time) {
	if a := e.accounts[workspace]; a != nil {
		a.pending = false
		a.refusedUntil = until
	}
}

// Sweep forgets the workspaces without requests. What a forgotten workspace
// owes is at most what it would have been granted in the meantime.
func (e *Entry) Sweep(now time.Time) {
	for name, a := range e.accounts {
		if now.Sub(a.used) > ForgetAfter && a.running == 0 && len(a.waiting) == 0 && !a.pending {
			delete(e.accounts, name)
		}
	}
}

// Len returns the number of workspaces in memory.
func (e *Entry) Len() int { return len(e.accounts) }
