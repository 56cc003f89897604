package delayer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// levels is the number of priorities that a Schedule tells apart.
	levels = 10
	// usableShare is the part of the capacity that arriving and returning callers may
	// use together. Beyond it, chance alone fills the endpoints now and then.
	usableShare = 0.9
	// minReturnShare is the part of the capacity that is kept for returning callers
	// however many others arrive. Without it they would never be told to return.
	minReturnShare = 0.1
	// honouredFraction is the fraction of its remaining time for which a client waits
	// at most. It returns sooner than at a later time, when there is no place for it.
	honouredFraction = 1.0 / 3
	// maxBooked bounds the bookings of a priority.
	maxBooked = 4096
)

// Opening is capacity that a service has from a time on.
type Opening struct {
	// At may be in the past.
	At time.Time
	// Rate is the number of requests a second that callers of this router may send.
	Rate float64
}

// Caller is a client whose request is refused.
type Caller struct {
	RequestID string
	// Priority is 0 for the most urgent requests.
	Priority int
	// TimeLeft is how long the client will still wait for a response, or 0 if unknown.
	TimeLeft time.Duration
}

// Schedule decides when the refused callers of a service return. It gives each a place
// of its own in the capacity that the service has beyond the requests that arrive
// anyway, the first ones when an endpoint opens that was closed for a time. A caller
// may take the place of less urgent ones, but not of others.
//
// The load pattern: half of the endpoints of a service close for 1 to 5 s within a
// moment, and the others do not serve all that arrives. With equal delays, all
// refused callers would meet the same full endpoints again.
//
// The zero value is ready. It is not safe for concurrent use.
type Schedule struct {
	// booked holds the times at which callers return, by priority and ascending.
	booked [levels][]time.Time
}

// Book returns after which time the caller returns, or 0 if there is no capacity.
// arrivals is the number of requests a second that arrive for the service.
func (s *Schedule) Book(now time.Time, c Caller, openings []Opening, arrivals float64) time.Duration {
	level := min(max(0, c.Priority), levels-1)
	ahead := 0
	for i := range level + 1 {
		s.booked[i] = dropPast(s.booked[i], now)
		ahead += len(s.booked[i])
	}
	// The fraction keeps routers that refuse at the same moment from choosing the same
	// times.
	fraction := float64(hasher.Hash(c.RequestID)>>11) / (1 << 53)
	at, ok := returnTime(now, float64(ahead)+fraction, openings, arrivals)
	if !ok {
		return 0
	}
	delay := at.Sub(now)
	if c.TimeLeft > 0 && float64(delay) > float64(c.TimeLeft)*honouredFraction {
		return delay
	}
	if booked := s.booked[level]; len(booked) < maxBooked {
		i, _ := slices.BinarySearchFunc(booked, at, time.Time.Compare)
		s.booked[level] = slices.Insert(booked, i, at)
	}
	return delay
}

// dropPast removes the times that are not after now.
func dropPast(times []time.Time, now time.Time) []time.Time {
	i, _ := slices.BinarySearchFunc(times, now, time.Time.Compare)
	for i < len(times) && !times[i].After(now) {
		i++
	}
	return slices.Delete(times, 0, i)
}

// returnTime returns the time at which the openings will have had room for a number of
// returning callers, and false if they never do.
func returnTime(now time.Time, callers float64, openings []Opening, arrivals float64) (time.Time, bool) {
	sorted := slices.Clone(openings)
	slices.SortFunc(sorted, func(a, b Opening) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	at, capacity := now, 0.0
	for i, o := range sorted {
		if o.At.After(at) {
			at = o.At
		}
		capacity += o.Rate
		spare := capacity*usableShare - arrivals
		if i == len(sorted)-1 {
			spare = max(spare, capacity*minReturnShare)
			return at.Add(seconds(callers / spare)), spare > 0
		}
		if next := sorted[i+1].At; spare > 0 && next.After(at) {
			if end := at.Add(seconds(callers / spare)); !end.After(next) {
				return end, true
			}
			callers -= spare * next.Sub(at).Seconds()
		}
	}
	return time.Time{}, false
}

// seconds converts a number of seconds, up to the longest duration.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt64/float64(2*time.Second)) * float64(time.Second))
}
