package replicator

import (
	"time"

	"github.com/juju/errors"
)

const (
	// storeLag is how far the result of a watch may be behind the store. It is part
	// of the age of all content.
	storeLag = time.Second
	// sendTime is how long a request may take from the choice of its endpoint until
	// it arrives there.
	sendTime = 100 * time.Millisecond
	// askTime is how long a call to a store that responds may take, with the time
	// until its result is in force.
	askTime = 250 * time.Millisecond
	// turnTime is the time between two calls for changes at most: the subscriber's
	// pause after a change and the ways from the store to the last router.
	turnTime = 250 * time.Millisecond
	// maxWatchWait is the longest duration of a primary's watch.
	maxWatchWait = 300 * time.Millisecond
	// returnTime is the time after an outage of the store within which the records that
	// lapsed are back if their endpoints live.
	returnTime = 2 * time.Second
	// minWatchWait keeps the calls of the primaries few.
	minWatchWait = 50 * time.Millisecond
	// DefaultWithdrawal is the time of withdrawal of a site that states none.
	DefaultWithdrawal = 3 * time.Second
	// DefaultContact is the contact time of a site that states none.
	DefaultContact = 4 * time.Second
)

// Bounds holds the ages of content at which a router turns to another source. All of
// them follow from the promises of a site, so that an endpoint that leaves gets no new
// work once the time of withdrawal has passed, whoever fails on the way:
//
//	normalAge            the age that content reaches at the last hop when nothing is wrong
//	observerSwitch, -Ask an observer turns to the next primary, and asks the store
//	followerSwitch, -Ask the same for a follower, later, so that observers get it first
//	askAge               at this age every router has asked the store
//	doubtAge             the endpoints are in doubt
//
// The age includes the lag of the store and the time on each hop, so the number of hops
// does not add to it.
type Bounds struct {
	// withdrawal is the time within which an endpoint that leaves or is evacuated gets no
	// new work, and contact that after which a router that was cut off keeps the promises again.
	withdrawal, contact time.Duration
	// watchWait is the duration of a primary's watch.
	watchWait time.Duration
	normalAge time.Duration
	askAge    time.Duration
}

// NewBounds returns the bounds for the promises. The smaller one of withdrawal and
// evacuation limits the age of the content; zero for evacuation means that there is none. It
// returns an error if no router that follows others could keep them.
func NewBounds(withdrawal, evacuation, contact time.Duration) (Bounds, error) {
	promise := "withdrawal"
	if evacuation > 0 && evacuation < withdrawal {
		promise, withdrawal = "evacuation", evacuation
	}
	b := Bounds{withdrawal: withdrawal, contact: contact, askAge: withdrawal - sendTime - askTime}
	// A watch confirms its beginning, so content grows as old as two watches.
	b.watchWait = min(maxWatchWait, (b.askAge-storeLag-turnTime)/4)
	b.normalAge = storeLag + 2*b.watchWait + turnTime
	if b.watchWait < minWatchWait {
		least := sendTime + askTime + storeLag + turnTime + 4*minWatchWait
		return Bounds{}, errors.Errorf("%s %s is too short: the way through observers takes up to %s", promise, withdrawal, least)
	}
	if least := 2 * (storeLag + askTime + sendTime); contact < least {
		return Bounds{}, errors.Errorf("contact %s is too short: a router asks the store again after up to %s", contact, least)
	}
	return b, nil
}

// defaultBounds returns the bounds for the default promises.
func defaultBounds() Bounds {
	b, err := NewBounds(DefaultWithdrawal, 0, DefaultContact)
	if err != nil {
		panic("default promises: " + err.Error())
	}
	return b
}

// slack is the time between the normal age and the one at which every router has
// asked the store.
func (b Bounds) slack() time.Duration { return b.askAge - b.normalAge }

// switchAge is the age at which a router turns to the next one that it may follow.
func (b Bounds) switchAge(isObserver bool) time.Duration {
	if isObserver {
		return b.normalAge + b.slack()/10
	}
	return b.normalAge + b.slack()/5
}

// firstAsk is the age from which a router asks the store, and askSpread the time over
// which the routers spread their calls. Observers ask first: those who follow them
// need not ask then.
func (b Bounds) firstAsk(isObserver bool) time.Duration {
	if isObserver {
		return b.normalAge + b.slack()/4
	}
	return b.normalAge + b.slack()/2
}

func (b Bounds) askSpread(isObserver bool) time.Duration {
	if isObserver {
		return b.slack() / 10
	}
	return b.slack() / 2
}

// servedAge is the age above which a router does not serve others.
func (b Bounds) servedAge() time.Duration { return b.askAge }

// doubtAge is the age from which an endpoint may have left and the promise be over.
func (b Bounds) doubtAge() time.Duration { return b.withdrawal - sendTime }

// firstRetry is the time from the start of a failed call to the store until the next
// one, and retrySpread the time over which the routers spread their calls. A router
// that the store responds to again knows its content within half of the contact time.
func (b Bounds) firstRetry() time.Duration { return b.contact * 3 / 8 }

func (b Bounds) retrySpread() time.Duration { return b.contact / 8 }

// lapseTime is how long a lapsed record is kept at most: until it is back and the router
// has heard of it.
func (b Bounds) lapseTime() time.Duration { return returnTime + b.askAge - storeLag }

// rereadTime is the time that a router waits for each of the others that it asks because
// the store does not respond.
func (b Bounds) rereadTime() time.Duration { return b.contact / 8 }

// excused is the time after the start of a failed call to the store within which the
// promises do not hold for the router: its path or the store had failed.
func (b Bounds) excused() time.Duration { return b.contact - sendTime }
