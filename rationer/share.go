package rationer

import (
	"math"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// partitions is the number of parts of a fleet that may each have holders of their
	// own, because they do not know of each other. Two is what a partition between the
	// regions makes, for as long as it lasts.
	partitions = 2
	// arrivalJitter is added to the pace: requests may arrive at an endpoint that much
	// closer together than they were let through. The ways to an endpoint differ by less
	// than 4 ms; the rest is for a router that is short of processor time.
	arrivalJitter = 20 * time.Millisecond
	// maxHolders bounds the number of holders of an endpoint.
	maxHolders = 64

	// leftRetention is how long a router that left keeps its place in the order, until all
	// others have heard of it.
	leftRetention = 10 * time.Second
	// lostRetention is the same for a router that no longer responds. It may only be cut
	// off, and then still sends its share: regions are partitioned from each other for
	// minutes. It is as long as gossip remembers such routers.
	lostRetention = 10 * time.Minute
	// startupDelay is how long a router that has started holds no share: its requests from
	// before the start may have been sent just now, and its list of members is incomplete.
	startupDelay = 2 * time.Second
	// settleTime is the time without a new member after which the list of a router that has
	// just started counts as complete, and settleLimit how long that is waited for: in a
	// fleet that changes all the time there is no such time.
	settleTime  = 2 * time.Second
	settleLimit = 10 * time.Second
)

// share is how a cold endpoint is divided among the routers.
type share struct {
	// holders is the number of routers that may send, the first ones in the rendezvous
	// order of the endpoint's ID. Zero closes the endpoint.
	holders int
	// pace is the least time between two requests of a holder.
	pace time.Duration
}

// shareOf returns the share for a rate and a bound on the requests in any second, in a fleet
// of the given number of routers. A holder sends at most n requests in a second if its pace
// is a little over 1/n s, so that holders times n is what one part of a partitioned fleet
// sends at most. Of the shares that keep the bound, it is one with the highest rate, and of
// these the one with the most holders: the requests of one that should not be a holder then
// count least.
func shareOf(rate, bound float64, members int) share {
	limit := math.Floor(bound / partitions)
	if limit < 1 {
		limit = min(1, math.Floor(bound))
	}
	var best share
	bestRate := 0.0
	for holders := 1; holders <= min(members, maxHolders) && float64(holders) <= limit; holders++ {
		perSecond := math.Floor(limit / float64(holders))
		pace := max(float64(holders)/rate, (time.Second+arrivalJitter).Seconds()/perSecond)
		// Equal rates may differ by rounding.
		if r := float64(holders) / pace; r >= bestRate*(1-1e-9) {
			best, bestRate = share{holders: holders, pace: time.Duration(math.Ceil(pace * float64(time.Second)))}, r
		}
	}
	return best
}

// seat is the place of a router in the rendezvous order.
type seat struct {
	hash uint64
	// listedAt is the last time at which the router was listed as live.
	listedAt time.Time
	left     bool
}

// expired reports whether the router no longer counts.
func (s seat) expired(now time.Time) bool {
	if s.left {
		return now.Sub(s.listedAt) >= leftRetention
	}
	return now.Sub(s.listedAt) >= lostRetention
}

// roster is the list of routers by which the holders are determined. It changes slowly, so
// that a partition, a crash or a start gives no router a second share.
type roster struct {
	self      uint64
	startedAt time.Time
	seats     map[string]seat
	// version rises with each change of the set of seats.
	version uint64
	// joined is set once the router has read the list of another one, and grownAt is the
	// last time at which a member was new.
	joined  bool
	grownAt time.Time
	// expected is the number of routers that the settings name, which is a lower bound of
	// that of the fleet.
	expected int
}

func newRoster(self string, now time.Time) *roster {
	r := &roster{self: hasher.Hash(self), startedAt: now, grownAt: now, seats: map[string]seat{}}
	r.seats[self] = seat{hash: r.self, listedAt: now}
	return r
}

// update applies the list of all known members, also of those that left or do not respond.
func (r *roster) update(now time.Time, self string, members []bergamotdale.Member) {
	r.seats[self] = seat{hash: r.self, listedAt: now}
	for _, m := range members {
		known, ok := r.seats[m.ID]
		switch {
		case m.ID == self:
			continue
		case m.State == bergamotdale.MemberLeft:
			if ok && !known.left {
				known.left = true
				r.seats[m.ID] = known
			}
			continue
		case m.State == bergamotdale.MemberDead && ok:
			continue
		}
		if !ok {
			known = seat{hash: hasher.Hash(m.ID)}
			r.grownAt = now
			r.version++
		}
		known.listedAt, known.left = now, false
		r.seats[m.ID] = known
	}
	for id, s := range r.seats {
		if s.expired(now) {
			delete(r.seats, id)
			r.version++
		}
	}
}

// settled reports whether the router may hold shares.
func (r *roster) settled(now time.Time) bool {
	age := now.Sub(r.startedAt)
	return r.joined && age >= startupDelay && (age >= settleLimit || now.Sub(r.grownAt) >= settleTime)
}

// size returns the number of routers that the shares are made for.
func (r *roster) size() int { return max(len(r.seats), r.expected) }

// holds reports whether this router is among the first ones for the key.
func (r *roster) holds(keyHash uint64, holders int) bool {
	own, before := hasher.Weight(keyHash, r.self), 0
	for _, s := range r.seats {
		if hasher.Weight(keyHash, s.hash) > own {
			if before++; before >= holders {
				return false
			}
		}
	}
	return holders > 0
}
