package elector

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

// observe takes in an ownership; version is that of the record if it was read
// from the store and zero if a peer reported it. The caller holds mu.
func (e *Elector) observe(o bergamotdale.Ownership, version int64) {
	if o.Name == "" || o.Epoch <= 0 {
		return
	}
	k, ok := e.known[o.Name]
	if ok && o.Epoch < k.Epoch {
		// An older version is a late read. A newer one would be a record
		// whose epoch fell.
		assert(version == 0 || k.version == 0 || version <= k.version,
			"epoch of %s falls from %d to %d", o.Name, k.Epoch, o.Epoch)
		return
	}
	if ok && o.Epoch == k.Epoch {
		e.observeAgain(o, version, k)
		return
	}
	e.known[o.Name] = seen{o, version}
	if h := e.held[o.Name]; h != nil {
		e.lose(h, "a higher epoch was seen")
	}
}

// observeAgain takes in an ownership whose epoch is known. The store decides
// between two reports of one epoch; two records of one epoch cannot be.
func (e *Elector) observeAgain(o bergamotdale.Ownership, version int64, k seen) {
	if version == 0 {
		return
	}
	same := o.Owner == k.Owner && o.Nonce == k.Nonce
	assert(same || k.version == 0, "epoch %d of %s has the owners %q and %q", o.Epoch, o.Name, k.Owner, o.Owner)
	e.known[o.Name] = seen{o, max(version, k.version)}
}

// gain starts to hold a name after its record was written or read back. The
// caller holds mu.
func (e *Elector) gain(o bergamotdale.Ownership, version int64, full bool) bool {
	e.observe(o, version)
	delete(e.pending, o.Name)
	if e.known[o.Name].Epoch != o.Epoch {
		// A later claim was seen before the response to this one.
		return false
	}
	assert(e.known[o.Name].Nonce == o.Nonce, "epoch %d of %s is held by %q", o.Epoch, o.Name, e.known[o.Name].Owner)
	h := e.held[o.Name]
	assert(h == nil || h.Epoch < o.Epoch, "%s is gained twice with epoch %d", o.Name, o.Epoch)
	e.held[o.Name] = &holding{
		Holding:  Holding{Ownership: o},
		full:     full,
		verified: true,
		verify:   e.Clock.Now().Add(verifyInterval),
	}
	delete(e.retries, o.Name)
	e.publish()
	e.Logger.Info("ownership-gained", zap.String("name", o.Name), zap.Int64("epoch", o.Epoch), zap.Bool("full", full))
	return true
}

// lose stops holding a name. The caller holds mu.
func (e *Elector) lose(h *holding, reason string) {
	delete(e.held, h.Name)
	e.publish()
	e.Logger.Info("ownership-lost", zap.String("name", h.Name), zap.Int64("epoch", h.Epoch), zap.String("reason", reason))
}

// publish makes the names held visible to the request path. The caller holds
// mu.
func (e *Elector) publish() {
	view := make(map[string]Holding, len(e.held))
	for name, h := range e.held {
		h.Limit = ModeReduced
		if h.handing {
			h.Limit = ModeNone
		} else if h.full && h.verified {
			h.Limit = ModeFull
		}
		view[name] = h.Holding
	}
	e.view.Store(&view)
	for _, s := range e.subscribers {
		select {
		case s <- struct{}{}:
		default:
		}
	}
}

// begin reserves a name for a claim or handover; end releases it.
func (e *Elector) begin(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy[name] {
		return false
	}
	e.busy[name] = true
	return true
}

func (e *Elector) end(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.busy, name)
}

// later postpones the next look at a name, for twice as long each time up to
// the limit.
func (e *Elector) later(name string, limit time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.retries[name]
	if r == nil {
		r = &retry{}
		e.retries[name] = r
	}
	r.delay = min(limit, max(retryMin, 2*r.delay))
	r.at = e.Clock.Now().Add(r.delay/2 + time.Duration(e.Random.Int64N(int64(r.delay))))
}

// spend takes n store calls from the budget.
func (e *Elector) spend(n int) bool {
	live := max(1, len(e.Membership.Live()))
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.budget.take(e.Clock.Now(), max(minStoreRate, float64(FleetStoreRate)/float64(live)), n)
}

// refund returns calls that were not made; a negative n takes calls that
// cannot wait.
func (e *Elector) refund(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.budget.tokens += float64(n)
}

// assert stops the process at a state that must not occur: two owners of one
// epoch would break the load bound and at-most-once execution.
func assert(ok bool, format string, args ...any) {
	if !ok {
		panic("elector: " + fmt.Sprintf(format, args...))
	}
}
