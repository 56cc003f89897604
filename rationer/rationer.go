// Package rationer decides how often this router may send requests to an endpoint that is cold:
// one that has just started, tolerates only few requests a second, and crashes if it gets many
// more. All routers together stay below a bound in every second, without a message before a
// request, and also while they cannot reach the store or each other.
//
// A cold endpoint has holders, the first routers in the rendezvous order of its ID. Each
// sends at its own pace; the others send nothing. What the holders of two separate parts of
// the fleet send together is below the bound, so routers may disagree about the members.
//
// An endpoint is cold for as long as its record or a response says, and after it has appeared
// as a new incarnation. One that did not respond may have started again, so it counts as cold
// until a record that was written since then says otherwise. A router whose content of the
// store is old does not know of starts: to it every endpoint may be cold, unless the
// connection for the request is older than the content. What is left of the bound where a
// router does not know of a start is in docs/design/cold.md.
//
// The load pattern: 35 endpoints start within seconds, all of 35 to 360 routers see them
// without load and would send them the requests of a burst, while routers start, leave, or
// are partitioned, and records are 1.2 s late.
package rationer

import (
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

const (
	// RecordDelay is the time from the start of an endpoint within which its record is in
	// the store: endpoints write every 1.2 s, and a write takes up to 0.3 s.
	RecordDelay = 1500 * time.Millisecond
	// retention is how long an endpoint is remembered after it was last registered, so that
	// one whose record has only lapsed is not taken for a new one.
	retention = 10 * time.Minute
)

// Limits are the promises to the operators.
type Limits struct {
	// Excess and Slack bound what a cold endpoint gets from all routers in any second, to
	// Excess times the rate that it tolerates plus Slack. Zero for both means no bound.
	Excess, Slack float64
	// TrustedAge is the age of the content up to which it tells which endpoints are cold. A
	// router that is connected does not reach it.
	TrustedAge time.Duration
}

// Content is how the content of the store stands at a decision.
type Content struct {
	Now time.Time
	// Age is the time since the content was known to be current.
	Age time.Duration
}

// service is what the configuration says of the endpoints of a service.
type service struct {
	rate  float64
	start time.Duration
}

// Rationer decides for one router. Its methods may be called concurrently.
type Rationer struct {
	self string

	mu     sync.Mutex
	limits Limits
	// services holds the services whose endpoints tolerate a limited rate while cold.
	services  map[string]service
	endpoints map[string]*endpointState
	roster    *roster
	// lostTurns counts the requests that were refused directly before the write.
	lostTurns int64
}

// New returns a rationer for the router self, which starts now.
func New(self string, now time.Time) *Rationer {
	return &Rationer{self: self, services: map[string]service{}, endpoints: map[string]*endpointState{}, roster: newRoster(self, now)}
}

// SetLimits changes the limits.
func (r *Rationer) SetLimits(l Limits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = l
}

// SetMembers sets all known routers, also those that left or do not respond. joined reports
// whether this router has read the list of another one, or knows that there is none. expected
// is the number of routers that the settings name.
func (r *Rationer) SetMembers(now time.Time, members []bergamotdale.Member, joined bool, expected int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roster.joined, r.roster.expected = joined, expected
	r.roster.update(now, r.self, members)
}

// UpdateEndpoints applies the configuration and forgets endpoints that have been gone for
// long.
func (r *Rationer) UpdateEndpoints(now time.Time, state *subscriber.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range state.AllEndpoints() {
		r.state(now, e.ID)
		if state.Table == nil {
			continue
		}
		s := state.Table.Service(e.Service)
		if s == nil || s.ColdRate <= 0 {
			delete(r.services, e.Service)
			continue
		}
		r.services[e.Service] = service{rate: s.ColdRate, start: s.ColdStart}
	}
	for id, s := range r.endpoints {
		if now.Sub(s.seenAt) > retention {
			delete(r.endpoints, id)
		}
	}
}

// state returns the state of an endpoint and creates it if there is none. The lock is held.
func (r *Rationer) state(now time.Time, id string) *endpointState {
	s := r.endpoints[id]
	if s == nil {
		s = &endpointState{hash: hasher.Hash(id)}
		r.endpoints[id] = s
	}
	s.seenAt = now
	return s
}

// RecordReading applies the record of an endpoint that was read from the store. It returns
// for how long the endpoint is cold, and whether it was not known to be until now.
func (r *Rationer) RecordReading(reading subscriber.Reading) (coldFor time.Duration, isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := reading.ReadAt
	s, start := r.state(at, reading.ID), r.services[reading.Service].start
	before, _ := s.coldUntil(at, start)
	s.read(reading)
	until, _ := s.coldUntil(at, start)
	return until.Sub(at), r.isLimiting(reading.Service) && !at.Before(before) && at.Before(until)
}

// RecordUnreachable records that the endpoint did not respond.
func (r *Rationer) RecordUnreachable(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(now, id)
	s.unreachableAt, s.returnedAt = now, time.Time{}
}

// RecordBroken records that the endpoint broke a connection and accepts others: it may have
// started again at once. Some endpoints break connections without that, so it counts once in
// brokenPause for an incarnation.
func (r *Rationer) RecordBroken(now time.Time, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.state(now, id); !now.Before(s.brokenIgnoredUntil) {
		s.brokenIgnoredUntil = now.Add(brokenPause)
		s.unreachableAt, s.returnedAt = now, time.Time{}
	}
}

// RecordGone records that another router found the incarnation of the endpoint gone: its
// port refused a connection. The endpoint may be back as another one before its record says
// so. Further reports of the same incarnation are ignored.
func (r *Rationer) RecordGone(now time.Time, id string, incarnation int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.endpoints[id]
	if s == nil || s.reading.Incarnation != incarnation || s.goneIncarnation == incarnation {
		return
	}
	s.goneIncarnation = incarnation
	s.unreachableAt, s.returnedAt = now, time.Time{}
}

// RecordResponse records that the endpoint has responded to a request that was sent at the
// time, and for how much longer it says that it is cold, zero for nothing. It reports whether
// the endpoint was not known to be cold.
func (r *Rationer) RecordResponse(now time.Time, id string, sentAt time.Time, coldFor time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.endpoints[id]
	if s == nil {
		return false
	}
	if !s.unreachableAt.IsZero() && s.returnedAt.IsZero() && sentAt.After(s.unreachableAt) {
		s.returnedAt = now
	}
	if coldFor <= 0 {
		return false
	}
	until, _ := s.coldUntil(now, 0)
	s.heardAt = now
	if end := now.Add(coldFor); end.After(s.heardUntil) {
		s.heardUntil = end
	}
	return !now.Before(until)
}

// Open returns the endpoints, all of one service, to which a request may be sent now, in the
// same order. isProven reports whether a connection to the endpoint is open that is older
// than the given time.
func (r *Rationer) Open(c Content, endpoints []subscriber.Endpoint, isProven func(subscriber.Endpoint, time.Duration) bool) []subscriber.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(endpoints) == 0 || !r.isLimiting(endpoints[0].Service) {
		return endpoints
	}
	open := make([]subscriber.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		next, limited, _ := r.next(c, e)
		if limited == limitUnproven && isProven(e, r.proofAge(c)) {
			limited = limitNone
		}
		if limited == limitNone || !next.IsZero() && !c.Now.Before(next) {
			open = append(open, e)
		}
	}
	return open
}

// Take reports whether a request may be written to the endpoint now, and takes the turn of
// this router if one is needed. connAge is the time since the connection was opened.
func (r *Rationer) Take(c Content, e subscriber.Endpoint, connAge time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLimiting(e.Service) {
		return true
	}
	next, limited, _ := r.next(c, e)
	if limited == limitNone || limited == limitUnproven && connAge >= r.proofAge(c) {
		return true
	}
	if next.IsZero() || c.Now.Before(next) {
		r.lostTurns++
		return false
	}
	r.endpoints[e.ID].sentAt = c.Now
	return true
}

// NeedsTurn reports whether a request to the endpoint has to wait for the turn of this
// router. connAge is the time since the connection was opened.
func (r *Rationer) NeedsTurn(c Content, e subscriber.Endpoint, connAge time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLimiting(e.Service) {
		return false
	}
	_, limited, _ := r.next(c, e)
	return limited == limitCold || limited == limitUnproven && connAge < r.proofAge(c)
}

// NextAt returns the time from which this router may send a request to the endpoint, and
// false if that is not known.
func (r *Rationer) NextAt(c Content, e subscriber.Endpoint) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLimiting(e.Service) {
		return c.Now, true
	}
	next, limited, end := r.next(c, e)
	switch {
	case limited == limitNone:
		return c.Now, true
	case next.IsZero() || !end.IsZero() && end.Before(next):
		next = end
	}
	return next, !next.IsZero()
}

// proofAge is the age of a connection from which the process at its other end is the one
// that the content names. The lock is held.
func (r *Rationer) proofAge(c Content) time.Duration { return c.Age + RecordDelay }

// isLimiting reports whether there is a bound for cold endpoints of the service. The lock is
// held.
func (r *Rationer) isLimiting(service string) bool {
	return (r.limits.Excess > 0 || r.limits.Slack > 0) && r.services[service].rate > 0
}

// limit is why requests to an endpoint are limited.
type limit int

const (
	limitNone limit = iota
	// limitUnproven means that the content is too old to tell whether the endpoint is cold.
	limitUnproven
	// limitCold means that the endpoint is cold, or may be.
	limitCold
)

// next returns the time from which this router may send a request to the endpoint, zero if it
// is no holder, why that is so, and the end of the cold period, zero if it is not known. The
// lock is held.
func (r *Rationer) next(c Content, e subscriber.Endpoint) (next time.Time, why limit, end time.Time) {
	service, s := r.services[e.Service], r.state(c.Now, e.ID)
	until, known := s.coldUntil(c.Now, service.start)
	switch {
	case c.Now.Before(until):
		why = limitCold
		if known {
			end = until
		}
	case c.Age > r.limits.TrustedAge && service.start > 0:
		why = limitUnproven
	default:
		return time.Time{}, limitNone, time.Time{}
	}
	share := shareOf(service.rate, service.rate*r.limits.Excess+r.limits.Slack, r.roster.size())
	if !r.roster.settled(c.Now) || !r.holds(s, share.holders) {
		return time.Time{}, why, end
	}
	return s.sentAt.Add(share.pace), why, end
}

// holds reports whether this router is a holder of the endpoint. The lock is held.
func (r *Rationer) holds(s *endpointState, holders int) bool {
	if s.holdsOf != holders || s.holdsVersion != r.roster.version {
		s.holdsOf, s.holdsVersion = holders, r.roster.version
		s.holds = r.roster.holds(s.hash, holders)
	}
	return s.holds
}

// IsLimiting reports whether there is a bound for cold endpoints of the service.
func (r *Rationer) IsLimiting(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isLimiting(service)
}

// LostTurns returns how many requests were refused directly before the write.
func (r *Rationer) LostTurns() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lostTurns
}

// ColdCount returns the number of endpoints of the state that are known to be cold, or may
// be since they did not respond.
func (r *Rationer) ColdCount(now time.Time, state *subscriber.State) int {
	endpoints, cold := state.AllEndpoints(), 0
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range endpoints {
		s := r.endpoints[e.ID]
		if s == nil || !r.isLimiting(e.Service) {
			continue
		}
		if until, _ := s.coldUntil(now, r.services[e.Service].start); now.Before(until) {
			cold++
		}
	}
	return cold
}
