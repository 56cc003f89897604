package rationer

import (
	"time"

	"github.com/bergamotdale/bergamotdale/subscriber"
)

// unreachableRetention is how long an endpoint that did not respond counts as one that may
// be cold, if neither a response nor a record shows that it is back. Most endpoints write
// their record every 1.2 s; one that does not write must get requests again.
const unreachableRetention = time.Minute

// brokenPause is the time for which further broken connections of an incarnation are no sign
// of a start. With it, an endpoint that breaks connections is limited for about 2 s a minute,
// until its next record; without, for as long as it breaks them.
const brokenPause = time.Minute

// endpointState is what is known of an endpoint that concerns whether it is cold. All times
// are those of this router's monotonic clock.
type endpointState struct {
	// known is set once a record was read, and reading is the last one.
	known   bool
	reading subscriber.Reading
	// recordedUntil is the end of the cold period by the record.
	recordedUntil time.Time
	// appearedAt is when a new incarnation was read whose record names no cold period; zero
	// if there was none.
	appearedAt time.Time
	// heardUntil is the end of the cold period by a response, which came at heardAt.
	heardUntil, heardAt time.Time
	// unreachableAt is when the endpoint last did not respond, zero if it has been back for
	// long enough. returnedAt is when it first responded again.
	unreachableAt, returnedAt time.Time
	// brokenIgnoredUntil is the time until which broken connections do not count.
	brokenIgnoredUntil time.Time
	// goneIncarnation is the last one of which another router reported that it is gone.
	goneIncarnation int64

	// sentAt is when this router last sent a request while the endpoint was limited.
	sentAt time.Time
	// hash is that of the endpoint's ID. holds tells whether this router is a holder, by
	// the version of the roster and the number of holders.
	hash         uint64
	holdsVersion uint64
	holdsOf      int
	holds        bool
	// seenAt is the last time at which the endpoint was registered or used.
	seenAt time.Time
}

// read applies a record.
func (s *endpointState) read(r subscriber.Reading) {
	last, isFirst := s.reading, !s.known
	isSame := last.Revision == r.Revision && last.Incarnation == r.Incarnation && last.Sequence == r.Sequence && last.ColdFor == r.ColdFor
	if !isFirst && isSame {
		return
	}
	s.known, s.reading = true, r
	if last.Incarnation != r.Incarnation {
		s.brokenIgnoredUntil = time.Time{}
	}
	var until time.Time
	if r.ColdFor > 0 {
		until = r.ReadAt.Add(r.ColdFor)
	}
	switch isNew := !isFirst && last.Incarnation != r.Incarnation || isFirst && !r.Initial; {
	case isNew && r.ColdFor == 0:
		s.recordedUntil, s.appearedAt = time.Time{}, r.ReadAt
	case isNew:
		s.recordedUntil, s.appearedAt = until, time.Time{}
	case !isFirst && r.Sequence < last.Sequence && until.Before(s.recordedUntil):
		// A restored store has an earlier record.
	default:
		s.recordedUntil = until
	}
	if r.WrittenAfter.IsZero() {
		return
	}
	if !r.WrittenAfter.Before(s.heardAt) {
		s.heardUntil = time.Time{}
	}
	back := s.returnedAt
	if back.IsZero() {
		back = s.unreachableAt
	}
	if !r.WrittenAfter.Before(back) {
		s.unreachableAt, s.returnedAt = time.Time{}, time.Time{}
	}
}

// coldUntil returns the time until which the endpoint is or may be cold, which is not after
// now if it is not. known is false if that time is only a limit. start is how long an endpoint
// of the service is cold after its start.
func (s *endpointState) coldUntil(now time.Time, start time.Duration) (until time.Time, known bool) {
	until, known = s.recordedUntil, true
	extend := func(t time.Time) {
		if t.After(until) {
			until = t
		}
	}
	extend(s.heardUntil)
	if !s.appearedAt.IsZero() {
		extend(s.appearedAt.Add(start))
	}
	switch {
	case s.unreachableAt.IsZero() || start == 0:
	case !s.returnedAt.IsZero():
		extend(s.returnedAt.Add(start))
	default:
		extend(s.unreachableAt.Add(unreachableRetention))
		known = !now.Before(until)
	}
	return until, known
}
