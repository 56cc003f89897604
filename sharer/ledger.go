package sharer

import (
	"math"
	"time"
)

const (
	// usageTimeConstant is the time in which usage decays to 1/e. It has to span
	// several requests of a small workspace at one endpoint.
	usageTimeConstant = 60 * time.Second
	// fairShareFactor is the multiple of its fair share of the recent usage that
	// a workspace may have before it loses its precedence over lower classes.
	fairShareFactor = 1.5
	// sweepInterval is the interval between removals of idle accounts.
	sweepInterval = 10 * time.Second
	// minUsage is the usage in tokens below which an account is removed as idle.
	minUsage = 1.0
)

// account holds the recent usage of a workspace at the endpoint.
type account struct {
	name   string
	weight float64
	// usage is the charged cost by class, decayed to Ledger.lastDecay.
	usage []float64
}

// Ledger tracks the recent usage of an endpoint by workspace and priority class.
// Usage decays exponentially; all values refer to the time of the last decay. It
// is not safe for concurrent use.
type Ledger struct {
	classes     int
	byWorkspace map[string]*account
	accounts    []*account
	totalUsage  float64
	totalWeight float64
	lastDecay   time.Time
	lastSweep   time.Time
}

// NewLedger returns a ledger for the given number of priority classes.
func NewLedger(classes int) *Ledger {
	return &Ledger{classes: classes, byWorkspace: map[string]*account{}}
}

// DecayTo decays all usage to the given time. Decaying thousands of accounts on
// every call would be slow, so a call within 1/100 of usageTimeConstant after the
// last decay does nothing.
func (l *Ledger) DecayTo(now time.Time) {
	elapsed := now.Sub(l.lastDecay)
	if l.lastDecay.IsZero() {
		l.lastDecay, l.lastSweep = now, now
		return
	}
	if elapsed < usageTimeConstant/100 {
		return
	}
	l.lastDecay = now
	factor := math.Exp(-elapsed.Seconds() / usageTimeConstant.Seconds())
	l.totalUsage *= factor
	for _, a := range l.accounts {
		for class := range a.usage {
			a.usage[class] *= factor
		}
	}
	if now.Sub(l.lastSweep) >= sweepInterval {
		l.lastSweep = now
		l.sweep()
	}
}

// sweep removes the accounts whose usage is below minUsage.
func (l *Ledger) sweep() {
	kept := l.accounts[:0]
	for _, a := range l.accounts {
		if a.usageUpTo(l.classes-1) >= minUsage {
			kept = append(kept, a)
			continue
		}
		delete(l.byWorkspace, a.name)
		l.totalWeight -= a.weight
	}
	clear(l.accounts[len(kept):])
	l.accounts = kept
}

// Charge charges cost to a workspace in a class; a negative cost is a refund.
func (l *Ledger) Charge(name string, weight float64, class int, cost float64) {
	a, ok := l.byWorkspace[name]
	if !ok {
		a = &account{name: name, usage: make([]float64, l.classes)}
		l.byWorkspace[name] = a
		l.accounts = append(l.accounts, a)
	}
	l.totalWeight += weight - a.weight
	a.weight = weight
	a.usage[class] += cost
	l.totalUsage += cost
}

// ExceedsShare reports whether the workspace has used more than its fair share of
// the endpoint with items of the class and of more urgent classes. Usage in less
// urgent classes does not count, so that a flood of such items takes no
// precedence away from urgent items of the same workspace.
func (l *Ledger) ExceedsShare(name string, class int) bool {
	a, ok := l.byWorkspace[name]
	return ok && a.usageUpTo(class) > fairShareFactor*l.totalUsage*a.weight/l.totalWeight
}

// usageUpTo returns the usage in the class and in more urgent classes.
func (a *account) usageUpTo(class int) float64 {
	sum := 0.0
	for _, u := range a.usage[:class+1] {
		sum += u
	}
	return sum
}
