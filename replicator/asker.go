package replicator

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// lostPeriod is how long a router that has lost the store is asked after the others.
const lostPeriod = time.Second

// asker decides when a router asks the store itself, whom it leaves out, and what its
// content is worth. It makes no calls and reads no clock; only isDoubtful may be called
// concurrently with the other methods.
type asker struct {
	bounds Bounds
	// random returns a random duration below its argument; nil for rand.N.
	random func(time.Duration) time.Duration
	// confirmedAt is the latest time at which the content is known to have been
	// current. It is zero before the first content.
	confirmedAt time.Time
	// observerDelay and followerDelay are the parts of askSpread that this router
	// waits. They change with each confirmation.
	observerDelay, followerDelay time.Duration
	// failedAt is the start of the last failed call to the store, and retryAt the time
	// of the next one; zero if the store has responded since.
	failedAt, retryAt time.Time
	// lastFailedAt is failedAt, but not reset when the store responds.
	lastFailedAt time.Time
	// avoidedUntil and lostUntil hold, by ID, the times before which a router that did
	// not respond, or had lost the store, is not asked.
	avoidedUntil, lostUntil map[string]time.Time
	// doubtFrom is the time from which the endpoints are in doubt; nil for never, as
	// at a router that watches the store itself.
	doubtFrom atomic.Pointer[time.Time]
}

// below returns a random duration below d, and zero if d is.
func (a *asker) below(d time.Duration) time.Duration {
	switch {
	case d <= 0:
		return 0
	case a.random != nil:
		return a.random(d)
	}
	return rand.N(d)
}

// begin makes the time count from which a router without content waits for others.
func (a *asker) begin(now time.Time) {
	if a.confirmedAt.IsZero() {
		a.confirm(now.Add(-storeLag))
	}
}

// confirm records that the content was current at the time.
func (a *asker) confirm(at time.Time) {
	if !at.After(a.confirmedAt) {
		return
	}
	a.confirmedAt = at
	a.observerDelay, a.followerDelay = a.below(a.bounds.askSpread(true)), a.below(a.bounds.askSpread(false))
}

// responded records that the store responded to this router.
func (a *asker) responded() { a.failedAt, a.retryAt = time.Time{}, time.Time{} }

// failed records that a call to the store that began at the time has failed.
func (a *asker) failed(at time.Time) {
	a.failedAt, a.lastFailedAt = at, at
	a.retryAt = at.Add(a.bounds.firstRetry() + a.below(a.bounds.retrySpread()))
}

// askAt returns the time at which the router asks the store if it has no more recent
// content by then.
func (a *asker) askAt(isObserver bool) time.Time {
	delay := a.followerDelay
	if isObserver {
		delay = a.observerDelay
	}
	at := a.confirmedAt.Add(a.bounds.firstAsk(isObserver) + delay)
	if at.Before(a.retryAt) {
		return a.retryAt
	}
	return at
}

// switchAt returns the time at which the router turns to the next one that it may
// follow.
func (a *asker) switchAt(isObserver bool) time.Time {
	return a.confirmedAt.Add(a.bounds.switchAge(isObserver))
}

// avoid leaves out a router that did not respond.
func (a *asker) avoid(now time.Time, id string) {
	a.avoidedUntil = with(a.avoidedUntil, id, now.Add(avoidPeriod))
}

// markLost asks a router that has lost the store after the others.
func (a *asker) markLost(now time.Time, id string) {
	a.lostUntil = with(a.lostUntil, id, now.Add(lostPeriod))
}

func with(m map[string]time.Time, id string, t time.Time) map[string]time.Time {
	if m == nil {
		m = map[string]time.Time{}
	}
	m[id] = t
	return m
}

// candidates returns at most maxPeersTried of the routers, in their order, that are not
// left out. Of those that have lost the store, lost is the one that was asked the longest
// time ago.
func (a *asker) candidates(now time.Time, order []string) (asked []string, lost string) {
	for _, id := range order {
		switch {
		case now.Before(a.avoidedUntil[id]):
		case now.Before(a.lostUntil[id]):
			if lost == "" || a.lostUntil[id].Before(a.lostUntil[lost]) {
				lost = id
			}
		case len(asked) < maxPeersTried:
			asked = append(asked, id)
		}
	}
	return asked, lost
}

// isLost reports whether all of the routers are left out and some have lost the store.
func (a *asker) isLost(now time.Time, order []string) bool {
	asked, lost := a.candidates(now, order)
	return len(asked) == 0 && lost != ""
}

// lapseLimit returns how long a record that is gone may be taken for lapsed. It is zero
// unless a call of this router to the store has failed so recently that the promises do
// not hold for it yet.
func (a *asker) lapseLimit(now time.Time) time.Duration {
	if a.lastFailedAt.IsZero() {
		return 0
	}
	return max(0, min(a.lastFailedAt.Add(a.bounds.excused()).Sub(now), a.bounds.lapseTime()))
}

// updateDoubt sets the time from which the endpoints are in doubt.
func (a *asker) updateDoubt(follows bool) {
	if !follows || a.confirmedAt.IsZero() {
		a.doubtFrom.Store(nil)
		return
	}
	from := a.confirmedAt.Add(a.bounds.doubtAge())
	if excused := a.lastFailedAt.Add(a.bounds.excused()); excused.After(from) {
		from = excused
	}
	a.doubtFrom.Store(&from)
}

// isDoubtful reports whether an endpoint may have left so long ago that it must not
// get new work.
func (a *asker) isDoubtful(now time.Time) bool {
	from := a.doubtFrom.Load()
	return from != nil && now.After(*from)
}
