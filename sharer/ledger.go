package sharer

import (
	"math"
	"time"
)

const (
	// usageMemory is the time after which usage counts 1/e. It has to span
	// several requests of a small workspace at one endpoint.
	usageMemory = 60 * time.Second
	// fairFactor is how much more than an equal part of the recent usage a
	// workspace may have before it loses its precedence over lower classes.
	fairFactor = 1.5
	// sweepInterval is how often idle accounts are removed.
	sweepInterval = 10 * time.Second
	// forgottenUsage is the usage in tokens below which an account is removed.
	forgottenUsage = 1.0
)

// account is the recent usage of a workspace at the endpoint, over all classes.
type account struct {
	name   string
	weight float64
	// usage is the charged cost by class, decayed to the ledger's time.
	usage []float64
}

// Ledger holds the accounts of the workspaces that used the endpoint recently.
// Usage decays exponentially; all values refer to the time of the last decay.
type Ledger struct {
	classes  int
	index    map[string]*account
	accounts []*account
	total    float64
	weights  float64
	decayed  time.Time
	swept    time.Time
}

// NewLedger returns a ledger for the given number of priority classes.
func NewLedger(classes int) *Ledger {
	return &Ledger{classes: classes, index: map[string]*account{}}
}

// Advance decays all usage to the time. To decay thousands of accounts on every
// call would be slow, so it runs in steps.
func (l *Ledger) Advance(now time.Time) {
	elapsed := now.Sub(l.decayed)
	if l.decayed.IsZero() {
		l.decayed, l.swept = now, now
		return
	}
	if elapsed < usageMemory/100 {
		return
	}
	l.decayed = now
	factor := math.Exp(-elapsed.Seconds() / usageMemory.Seconds())
	l.total *= factor
	for _, a := range l.accounts {
		for class := range a.usage {
			a.usage[class] *= factor
		}
	}
	if now.Sub(l.swept) >= sweepInterval {
		l.swept = now
		l.sweep()
	}
}

// sweep removes the accounts without usage.
func (l *Ledger) sweep() {
	kept := l.accounts[:0]
	for _, a := range l.accounts {
		if a.upTo(l.classes-1) >= forgottenUsage {
			kept = append(kept, a)
			continue
		}
		delete(l.index, a.name)
		l.weights -= a.weight
	}
	clear(l.accounts[len(kept):])
	l.accounts = kept
}

// Charge adds usage of a workspace; a negative cost is a refund.
func (l *Ledger) Charge(name string, weight float64, class int, cost float64) {
	a, ok := l.index[name]
	if !ok {
		a = &account{name: name, usage: make([]float64, l.classes)}
		l.index[name] = a
		l.accounts = append(l.accounts, a)
	}
	l.weights += weight - a.weight
	a.weight = weight
	a.usage[class] += cost
	l.total += cost
}

// Exceeds reports whether the workspace has used more than its fair part of
// the endpoint by items of the class and more urgent ones. Usage of less urgent
// classes does not count: a flood of these takes no precedence away from the
// urgent items of the same workspace.
func (l *Ledger) Exceeds(name string, class int) bool {
	a, ok := l.index[name]
	return ok && a.upTo(class) > fairFactor*l.total*a.weight/l.weights
}

func (a *account) upTo(class int) float64 {
	sum := 0.0
	for _, u := range a.usage[:class+1] {
		sum += u
	}
	return sum
}
