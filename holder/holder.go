// Package holder keeps what a router holds: the names that it owns, how much
// each of them may admit, and when to look at each name again. It publishes an
// immutable view for the request path. The elector decides; Holder does no
// I/O.
package holder

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
	// verifyInterval is the mean time after which an owner reads its record
	// again, in case the notice of a claim was lost.
	verifyInterval = 30 * time.Second
	// handoverPause is the time before a name that was just gained is offered
	// to another router. Views of the membership differ for a while, and a
	// name must not be passed back and forth meanwhile.
	handoverPause = 2 * time.Second
	// handoverRetryMin and handoverRetryMax bound the time between two offers
	// of a name, each of which stops admission for a moment.
	handoverRetryMin = time.Second
	handoverRetryMax = 10 * time.Second
	// RetryMin is the shortest time between two looks at a record that cannot
	// be claimed.
	RetryMin = time.Second
	// RetryMax is the longest time between two looks.
	RetryMax = 30 * time.Second
)

// Holding is a name that this router owns.
type Holding struct {
	bergamotdale.Ownership
	// Limit is the mode that the name itself allows: none while it is handed
	// over, reduced until foreign load is ruled out.
	Limit leaser.Mode
	// Full is true once foreign load is ruled out.
	Full bool
}

// item is a Holding with the state of its control.
type item struct {
	bergamotdale.Ownership
	full bool
	// stopped is true while this router admits nothing: from the offer to a
	// successor to its result, and after a claim that took too long.
	stopped bool
	// unsettled is true while this router may have lost the name without
	// knowing: after a handover with an unclear result or a lost lease.
	unsettled bool
	// verify is the time of the next look at the record.
	verify time.Time
	// retryHandover is the earliest time of the next offer.
	retryHandover time.Time
	handoverDelay time.Duration
}

func (i *item) holding() Holding {
	h := Holding{Ownership: i.Ownership, Limit: leaser.ModeReduced, Full: i.full}
	switch {
	case i.stopped:
		h.Limit = leaser.ModeNone
	case i.full && !i.unsettled:
		h.Limit = leaser.ModeFull
	}
	return h
}

// retry is the time of the next look at a name that is not held.
type retry struct {
	at    time.Time
	delay time.Duration
}

// Holder is safe for concurrent use.
type Holder struct {
	clock bergamotdale.Clock

	mu sync.Mutex
	// All below are guarded by mu.
	random  *rand.Rand
	held    map[string]*item
	retries map[string]*retry
	// busy holds the names that somebody works on.
	busy        map[string]bool
	subscribers []chan struct{}

	// view is the immutable copy of held.
	view atomic.Pointer[map[string]Holding]
}

// New returns a holder that holds nothing.
func New(clock bergamotdale.Clock, random *rand.Rand) *Holder {
	h := &Holder{
		clock: clock, random: random,
		held:    map[string]*item{},
		retries: map[string]*retry{},
		busy:    map[string]bool{},
	}
	h.view.Store(&map[string]Holding{})
	return h
}

// View returns what is held. The map is shared and must not be changed.
func (h *Holder) View() map[string]Holding {
	return *h.view.Load()
}

// Subscribe returns a channel that receives after changes of the view. Several
// changes may be reported once.
func (h *Holder) Subscribe() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := make(chan struct{}, 1)
	h.subscribers = append(h.subscribers, c)
	return c
}

// publish replaces the view. The caller holds mu.
func (h *Holder) publish() {
	view := make(map[string]Holding, len(h.held))
	for name, i := range h.held {
		view[name] = i.holding()
	}
	h.view.Store(&view)
	for _, s := range h.subscribers {
		select {
		case s <- struct{}{}:
		default:
		}
	}
}

// Gain starts to hold a name. A stale one admits nothing until it is settled:
// the router was paused or lost its lease during the claim, so others may have
// claimed the name since and found no load of this router.
func (h *Holder) Gain(o bergamotdale.Ownership, full, stale bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.held[o.Name]
	assert(before == nil || before.Epoch < o.Epoch, "%s is gained twice with epoch %d", o.Name, o.Epoch)
	now := h.clock.Now()
	h.held[o.Name] = &item{
		Ownership:     o,
		full:          full,
		stopped:       stale,
		unsettled:     stale,
		verify:        now.Add(verifyInterval),
		retryHandover: now.Add(handoverPause),
	}
	delete(h.retries, o.Name)
	h.publish()
}

// Lose stops holding a name whose epoch is below the given one, and reports
// whether it was held.
func (h *Holder) Lose(name string, below int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := h.held[name]
	if i == nil || i.Epoch >= below {
		return false
	}
	delete(h.held, name)
	h.publish()
	return true
}

// change applies f to a held name and publishes.
func (h *Holder) change(name string, f func(i *item)) (Holding, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := h.held[name]
	if i == nil {
		return Holding{}, false
	}
	f(i)
	h.publish()
	return i.holding(), true
}

// Confirm lifts the reduced limit of a new owner.
func (h *Holder) Confirm(name string, epoch int64) {
	if known := h.View()[name]; known.Full || known.Epoch != epoch {
		return
	}
	h.change(name, func(i *item) { i.full = i.full || i.Epoch == epoch })
}

// Stop ends the admission of work to a name.
func (h *Holder) Stop(name string) (Holding, bool) {
	return h.change(name, func(i *item) { i.stopped = true })
}

// Resume continues the admission of work after an offer that the successor
// rejected. The next offer follows after a longer time.
func (h *Holder) Resume(name string) {
	h.change(name, func(i *item) {
		i.stopped = false
		i.handoverDelay = min(handoverRetryMax, max(handoverRetryMin, 2*i.handoverDelay))
		i.retryHandover = h.clock.Now().Add(i.handoverDelay)
	})
}

// Doubt marks a name that this router may have lost without knowing.
func (h *Holder) Doubt(name string) {
	h.change(name, func(i *item) { i.unsettled = true })
}

// DoubtAll marks all names after the lease was lost.
func (h *Holder) DoubtAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, i := range h.held {
		i.unsettled = true
	}
	h.publish()
}

// Verified sets the next look at the record after it was read.
func (h *Holder) Verified(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := h.held[name]; i != nil {
		i.verify = h.clock.Now().Add(h.around(verifyInterval))
	}
}

// Unsettled returns the names in doubt, in order.
func (h *Holder) Unsettled() []string {
	return h.filter(func(i *item, _ time.Time) bool { return i.unsettled })
}

// Unverified returns the names whose record is to be read again, in order.
func (h *Holder) Unverified() []string {
	return h.filter(func(i *item, now time.Time) bool {
		return !i.stopped && !i.unsettled && !now.Before(i.verify)
	})
}

// Transferable returns the names that may be offered or released, in order.
func (h *Holder) Transferable() []string {
	return h.filter(func(i *item, now time.Time) bool {
		return !i.unsettled && !now.Before(i.retryHandover)
	})
}

func (h *Holder) filter(f func(i *item, now time.Time) bool) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	var names []string
	for name, i := range h.held {
		if f(i, now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Begin reserves a name for one claim or handover at a time; End releases it.
func (h *Holder) Begin(name string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.busy[name] {
		return false
	}
	h.busy[name] = true
	return true
}

// End releases a name.
func (h *Holder) End(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.busy, name)
}

// Schedule forgets all postponements and gives each name a random time within
// the spread for the first look.
func (h *Holder) Schedule(names []string, spread time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.retries)
	now := h.clock.Now()
	for _, name := range names {
		if h.held[name] == nil {
			h.retries[name] = &retry{at: now.Add(time.Duration(h.random.Int64N(int64(spread))))}
		}
	}
}

// Postpone sets the next look at a name, after twice as long each time up to
// the limit.
func (h *Holder) Postpone(name string, limit time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.retries[name]
	if r == nil {
		r = &retry{}
		h.retries[name] = r
	}
	r.delay = min(limit, max(RetryMin, 2*r.delay))
	r.at = h.clock.Now().Add(h.around(r.delay))
}

// Claimable returns those of the names that are not held and whose time has
// come, in order and once each.
func (h *Holder) Claimable(names []string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	var due []string
	for _, name := range names {
		if r := h.retries[name]; h.held[name] == nil && (r == nil || !now.Before(r.at)) {
			due = append(due, name)
		}
	}
	slices.Sort(due)
	return slices.Compact(due)
}

// around returns a random time with the mean d. The caller holds mu.
func (h *Holder) around(d time.Duration) time.Duration {
	return d/2 + time.Duration(h.random.Int64N(int64(d)))
}

// assert stops the process at a state that must not occur.
func assert(ok bool, format string, args ...any) {
	if !ok {
		panic("holder: " + fmt.Sprintf(format, args...))
	}
}
