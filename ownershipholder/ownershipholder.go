// Package ownershipholder keeps the names that a router owns: with which epoch, how
// much work each may admit, and when its record has to be verified, its handover
// offered again or its claim retried. It publishes an immutable view of them, which
// the request path reads without a lock.
//
// Package ownershipholder does no I/O. The elector decides what to own and tells
// Holder.
package ownershipholder

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/leaser"
)

const (
	// verifyInterval is the mean time after which an owner verifies its record in
	// the store, in case the notice of a claim by another router was lost.
	verifyInterval = 30 * time.Second
	// minHoldTime is the time for which a newly gained name is not offered to
	// another router. The views of the membership may differ for a while, and the
	// name must not pass back and forth between routers in the meantime.
	minHoldTime = 2 * time.Second
	// handoverRetryMin and handoverRetryMax bound the delay between two handover
	// offers of a name. Each offer interrupts the admission to the name.
	handoverRetryMin = time.Second
	handoverRetryMax = 10 * time.Second
	// MinClaimRetry is the shortest mean delay before a failed or refused claim
	// is retried.
	MinClaimRetry = time.Second
	// MaxClaimRetry is the longest such delay.
	MaxClaimRetry = 30 * time.Second
)

// Holding is the published state of a name that this router owns.
type Holding struct {
	bergamotdale.Ownership
	// Limit is how much work the name allows: none while admission is stopped,
	// reduced while the ownership is uncertain or load from other routers is
	// not ruled out, and full otherwise.
	Limit leaser.Mode
	// Full is true once load from other routers has been ruled out.
	Full bool
}

// heldName is the internal state of an owned name.
type heldName struct {
	bergamotdale.Ownership
	full bool
	// admissionStopped is true while this router must not admit work: from a
	// handover offer until its result is known, and after a claim during which
	// the lease may have ended.
	admissionStopped bool
	// uncertain is true while this router may have lost the name without
	// knowing: after a handover with an unknown result or after a lost lease.
	uncertain bool
	// verifyAt is the time of the next verification of the record.
	verifyAt time.Time
	// nextHandover is the earliest time of the next handover offer, and
	// handoverDelay the current delay after a rejected offer.
	nextHandover  time.Time
	handoverDelay time.Duration
}

// holding returns the state to publish.
func (n *heldName) holding() Holding {
	h := Holding{Ownership: n.Ownership, Limit: leaser.ModeReduced, Full: n.full}
	switch {
	case n.admissionStopped:
		h.Limit = leaser.ModeNone
	case n.full && !n.uncertain:
		h.Limit = leaser.ModeFull
	}
	return h
}

// claimRetry is the time of the next attempt to claim a name that is not held, and
// the current delay between attempts.
type claimRetry struct {
	at    time.Time
	delay time.Duration
}

// Holder keeps the owned names of one router. It is safe for concurrent use.
type Holder struct {
	clock bergamotdale.Clock

	// mu guards the fields up to subscribers.
	mu           sync.Mutex
	random       *rand.Rand
	held         map[string]*heldName
	claimRetries map[string]*claimRetry
	// reserved holds the names on which an operation is in progress.
	reserved    map[string]bool
	subscribers []chan struct{}

	// view is the published immutable copy of held.
	view atomic.Pointer[map[string]Holding]
}

// New returns a holder without names.
func New(clock bergamotdale.Clock, random *rand.Rand) *Holder {
	h := &Holder{
		clock: clock, random: random,
		held:         map[string]*heldName{},
		claimRetries: map[string]*claimRetry{},
		reserved:     map[string]bool{},
	}
	h.view.Store(&map[string]Holding{})
	return h
}

// View returns the owned names. The map is shared; callers must not modify it.
func (h *Holder) View() map[string]Holding {
	return *h.view.Load()
}

// Subscribe returns a channel that receives a value after the view has changed.
// Several changes may be merged into one value.
func (h *Holder) Subscribe() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := make(chan struct{}, 1)
	h.subscribers = append(h.subscribers, c)
	return c
}

// publish replaces the view and notifies the subscribers. The caller holds mu.
func (h *Holder) publish() {
	view := make(map[string]Holding, len(h.held))
	for name, n := range h.held {
		view[name] = n.holding()
	}
	h.view.Store(&view)
	for _, s := range h.subscribers {
		select {
		case s <- struct{}{}:
		default:
		}
	}
}

// Hold starts to hold a name. With startUncertain, the name admits nothing until its
// ownership is certain: the router was paused or lost its lease during the claim,
// so other routers may have claimed the name since and found no load of this
// router.
func (h *Holder) Hold(o bergamotdale.Ownership, full, startUncertain bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.held[o.Name]
	assert(before == nil || before.Epoch < o.Epoch, "%s is already held with epoch %d or a higher one", o.Name, o.Epoch)
	now := h.clock.Now()
	h.held[o.Name] = &heldName{
		Ownership:        o,
		full:             full,
		admissionStopped: startUncertain,
		uncertain:        startUncertain,
		verifyAt:         now.Add(verifyInterval),
		nextHandover:     now.Add(minHoldTime),
	}
	delete(h.claimRetries, o.Name)
	h.publish()
}

// RemoveBelow stops holding a name if its epoch is below the given one, and reports
// whether it did.
func (h *Holder) RemoveBelow(name string, epoch int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.held[name]
	if n == nil || n.Epoch >= epoch {
		return false
	}
	delete(h.held, name)
	h.publish()
	return true
}

// update applies f to a held name and publishes the result. It reports whether the
// name is held.
func (h *Holder) update(name string, f func(n *heldName)) (Holding, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.held[name]
	if n == nil {
		return Holding{}, false
	}
	f(n)
	h.publish()
	return n.holding(), true
}

// AllowFull lifts the reduced limit of a new owner, if the name is still held
// with the given epoch.
func (h *Holder) AllowFull(name string, epoch int64) {
	if known := h.View()[name]; known.Full || known.Epoch != epoch {
		return
	}
	h.update(name, func(n *heldName) { n.full = n.full || n.Epoch == epoch })
}

// StopAdmission stops the admission of work to a name. It reports whether the name
// is held.
func (h *Holder) StopAdmission(name string) (Holding, bool) {
	return h.update(name, func(n *heldName) { n.admissionStopped = true })
}

// ResumeAdmission resumes the admission of work to a name after the successor has
// rejected a handover offer. The delay until the next offer doubles each time.
func (h *Holder) ResumeAdmission(name string) {
	h.update(name, func(n *heldName) {
		n.admissionStopped = false
		n.handoverDelay = min(handoverRetryMax, max(handoverRetryMin, 2*n.handoverDelay))
		n.nextHandover = h.clock.Now().Add(n.handoverDelay)
	})
}

// MarkUncertain marks a name that this router may have lost without knowing.
func (h *Holder) MarkUncertain(name string) {
	h.update(name, func(n *heldName) { n.uncertain = true })
}

// MarkAllUncertain marks all held names as uncertain, after the lease was lost.
func (h *Holder) MarkAllUncertain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.held {
		n.uncertain = true
	}
	h.publish()
}

// ScheduleVerification sets the time of the next verification of the record, after
// the record was read.
func (h *Holder) ScheduleVerification(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := h.held[name]; n != nil {
		n.verifyAt = h.clock.Now().Add(h.jitter(verifyInterval))
	}
}

// Uncertain returns the sorted names that are marked as uncertain.
func (h *Holder) Uncertain() []string {
	return h.namesWhere(func(n *heldName, _ time.Time) bool { return n.uncertain })
}

// DueForVerification returns the sorted names whose record has to be verified now.
func (h *Holder) DueForVerification() []string {
	return h.namesWhere(func(n *heldName, now time.Time) bool {
		return !n.admissionStopped && !n.uncertain && !now.Before(n.verifyAt)
	})
}

// Transferable returns the sorted names that may be handed over or released now.
func (h *Holder) Transferable() []string {
	return h.namesWhere(func(n *heldName, now time.Time) bool {
		return !n.uncertain && !now.Before(n.nextHandover)
	})
}

// namesWhere returns the sorted held names for which the condition is true.
func (h *Holder) namesWhere(condition func(n *heldName, now time.Time) bool) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	var names []string
	for name, n := range h.held {
		if condition(n, now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Reserve reserves a name for one operation, such as a claim or a handover, and
// reports whether it was free. Unreserve ends the reservation.
func (h *Holder) Reserve(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reserved[name] {
		return false
	}
	h.reserved[name] = true
	return true
}

// Unreserve ends the reservation of a name.
func (h *Holder) Unreserve(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.reserved, name)
}

// ScheduleClaims discards all postponements and sets the first attempt to claim
// each name to a random time within the spread.
func (h *Holder) ScheduleClaims(names []string, spread time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.claimRetries)
	now := h.clock.Now()
	for _, name := range names {
		if h.held[name] == nil {
			h.claimRetries[name] = &claimRetry{at: now.Add(time.Duration(h.random.Int64N(int64(spread))))}
		}
	}
}

// PostponeClaim sets the time of the next attempt to claim a name. The mean delay
// doubles each time up to the limit.
func (h *Holder) PostponeClaim(name string, limit time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.claimRetries[name]
	if r == nil {
		r = &claimRetry{}
		h.claimRetries[name] = r
	}
	r.delay = min(limit, max(MinClaimRetry, 2*r.delay))
	r.at = h.clock.Now().Add(h.jitter(r.delay))
}

// DueForClaim returns those of the names that are not held and whose next attempt is
// due, sorted and without duplicates.
func (h *Holder) DueForClaim(names []string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	var due []string
	for _, name := range names {
		if r := h.claimRetries[name]; h.held[name] == nil && (r == nil || !now.Before(r.at)) {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return slices.Compact(due)
}

// jitter returns a random duration between half of d and one and a half times d,
// with the mean d. The caller holds mu.
func (h *Holder) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(h.random.Int64N(int64(d)))
}

// assert panics if an invariant is broken.
func assert(ok bool, format string, args ...any) {
	if !ok {
		panic("holder: " + fmt.Sprintf(format, args...))
	}
}
