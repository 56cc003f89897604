// Package apportioner computes the part of the capacity of a service that one router
// may use, and which endpoint takes its next request.
//
// The load pattern: 35 to 360 routers send 234 short requests a second to 4 to 6
// endpoints with 6 slots and a queue of 24 each. The loads that a router knows are 0.3
// to 1 s old, which is several times the duration of a request. Routers that choose the
// endpoint with the least known load all choose the same one until the next message: in
// a burst it rejects requests while others are idle.
//
// So the choice does not depend on the momentary load of an endpoint: a router takes the
// one that has spent the least time on its own requests lately. All routers together may
// have as many requests in flight as the endpoints have slots, and some more that keep
// the slots busy. A router's share of them is its part of the demand. The share is
// mostly less than one request, so it is a credit in seconds that grows by the share
// each second, and a request costs the time that it is in flight. The sum over the
// routers then stays near the limit however many routers there are, and follows the
// speed of the endpoints without a message. While the fleet has idle slots, nothing is
// held back.
//
// Package queuer orders the requests that wait.
package apportioner

import (
	"math"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// queueShare is the part of the objective for which a request waits on average in
	// the queue of an endpoint while requests wait in the routers: less than the third
	// that the wait there may take, so that random variation stays within the third.
	queueShare = 1.0 / 4
	// minQueued and maxQueued bound the requests that wait at an endpoint, relative to
	// its slots. With fewer, slots are idle between two requests of different routers.
	minQueued = 0.5
	maxQueued = 2.0
	// ratePeriod is the period over which the rate of arrivals is averaged. It is above
	// the age of the messages, so that the sum of the shares stays near the limit while
	// the demand of others is known late, and below the length of a burst.
	ratePeriod = 2 * time.Second
	// waitingWeight is the part of the demand that a waiting request is, in requests a
	// second. With 10 the shares followed the queues of half a second ago, and the
	// endpoints of 360 routers were by turns idle and full.
	waitingWeight = 1.0
	// idleCredit is the number of requests that a router may send at once after it has
	// not used its share, beyond the first one. Without it, a share of one request a
	// second is lost whenever none arrives in that second.
	idleCredit = 1.0
	// gainPeriod is the time in which the gain rises by 1 if nothing is in flight. It is
	// above the age of the loads, so that the gain does not oscillate.
	gainPeriod = time.Second
	maxGain    = 2.0
	// usedPeriod is the time constant with which the use of an endpoint is forgotten.
	usedPeriod = 500 * time.Millisecond
	// tieMargin is the difference in use, in requests, within which chance decides, and
	// excludedScore puts an endpoint behind all others.
	tieMargin     = 0.1
	excludedScore = 1e6
	// silentCharges is the time in flight, relative to the expected one, from which a
	// request costs nothing more: its endpoint does not respond, and the router must
	// not stop because of it.
	silentCharges = 4.0
	// freshAge is the age up to which the demand of the other routers counts in full. It
	// covers a few lost messages. decayPeriod is the time constant with which the
	// share decays from then on to an equal share.
	freshAge    = 1500 * time.Millisecond
	decayPeriod = 2 * time.Second
	// calmAfter is how long the fleet has had idle slots when the share stops to bind,
	// the age of the oldest loads that count.
	calmAfter = time.Second
	// decrease is the factor by which the share of an endpoint falls when it rejects a
	// request, at most once in decreaseInterval: the requests already on their way say
	// nothing new. It recovers fully in recovery.
	decrease         = 0.5
	decreaseInterval = 100 * time.Millisecond
	recovery         = 2 * time.Second
	minFactor        = 1.0 / 16
	// workFraction is the part of the objective that is taken for the processing time
	// until a request has ended, and defaultWork applies without an objective.
	workFraction = 0.2
	defaultWork  = 100 * time.Millisecond
	// fasterWeight and slowerWeight are the weights of the latest processing time in the
	// average if it is below or above that. Queueing that the router does not know of
	// yet can only raise it.
	fasterWeight = 1.0 / 12
	slowerWeight = 1.0 / 32
	// busyDemand is the demand, relative to the slots, from which the share binds.
	busyDemand = 0.95
	// minDemand keeps the demand of an idle router above zero, in requests a second.
	minDemand = 1e-3
	// maxSample limits how far a request may exceed the mean processing time and still count
	// in full. With a spread of 0.5 (log-normal), one in 400 takes over four times the mean.
	maxSample = 4
	// minWork is the least processing time, in seconds, that is told apart.
	minWork = 1e-3
)

// Endpoint is an endpoint of the service that takes requests at present.
type Endpoint struct {
	ID string
	// Slots is the number of requests that it runs at once, reduced if it has become
	// slow or fails requests.
	Slots float64
	// Load is the number of requests of all routers at the endpoint, as far as this
	// router knows.
	Load int
}

// Fleet is what a router knows of the demand of the others.
type Fleet struct {
	// Routers is the number of live routers, this one included.
	Routers int
	// Demand and Work are the sums of the demand of Covers other routers; see
	// Share.Demand.
	Demand, Work float64
	Covers       int
	// Age is how old Demand is.
	Age time.Duration
}

// Outcome states how a request ended at its endpoint.
type Outcome int

const (
	// Served means that the endpoint responded to the request.
	Served Outcome = iota
	// Rejected means that the endpoint had no room for it.
	Rejected
	// Unsent means that it did not reach the endpoint.
	Unsent
	// Lost means that the endpoint did not respond.
	Lost
)

// Share is the state of one service at one router. It is not safe for concurrent use.
type Share struct {
	seed      uint64
	objective time.Duration
	endpoints []*endpoint
	fleet     Fleet
	waiting   int
	// rate is the number of arrivals a second at the time ratedAt.
	rate    float64
	ratedAt time.Time
	// ownWork is the mean processing time without queueing of the requests of this
	// router, in seconds, and work that of all routers as far as it is known.
	ownWork, work float64
	// advancedAt is the time to which the credits have been advanced.
	advancedAt time.Time
	// binds is set while the share holds requests back, and idleSince is since when the
	// fleet has had idle slots.
	binds     bool
	idleSince time.Time
	// credit is the time, in seconds, that requests may be in flight. It is negative
	// after a request has started. share is by how much it grows in a second: the
	// number of requests that this router may have in flight on average.
	credit, share float64
	// flights holds the requests in flight.
	flights []*Flight
	// gain multiplies the share, as of gainAt; see updateGain.
	gain   float64
	gainAt time.Time
	// rejectedAt is the time of the last rejection.
	rejectedAt time.Time
	starts     uint64
}

// endpoint is the state of one endpoint.
type endpoint struct {
	Endpoint
	// used is the time, in seconds and relative to the slots, that requests of this
	// router have been in flight lately. It is decayed with usedPeriod.
	used float64
	// factor is below 1 after rejections, as of factorAt. cutAt is the time of the last
	// decrease.
	factor          float64
	factorAt, cutAt time.Time
}

// Flight is a request that the share has let go.
type Flight struct {
	// Endpoint is the ID of the endpoint that has room for it.
	Endpoint  string
	startedAt time.Time
	charge    float64
	// slowdown is the number of requests at the endpoint relative to its slots, at
	// least 1, at the start.
	slowdown float64
}

// New returns the share of a router. The seed differs from router to router.
func New(seed uint64) *Share {
	return &Share{seed: seed}
}

// Arrive records the arrival of a request, whether it is let go or not.
func (s *Share) Arrive(now time.Time) {
	s.rate = s.Arrivals(now) + 1/ratePeriod.Seconds()
	s.ratedAt = now
}

// Arrivals returns the number of requests a second that arrive.
func (s *Share) Arrivals(now time.Time) float64 {
	return s.rate * math.Exp(-max(0, now.Sub(s.ratedAt).Seconds())/ratePeriod.Seconds())
}

// Demand returns the demand of this router: the arrivals a second, with a part of the
// requests that wait, and the processing time that they take, in seconds a second.
func (s *Share) Demand(now time.Time) (requests, work float64) {
	requests = max(minDemand, waitingWeight*float64(s.waiting)+s.Arrivals(now))
	return requests, requests * s.ownWork
}

// Work returns the mean processing time without queueing, and Duration the mean time
// in flight while the share binds.
func (s *Share) Work() time.Duration { return seconds(s.work) }

// Duration returns the mean time of a request in flight while the share binds.
func (s *Share) Duration() time.Duration { return seconds(s.charge()) }

// Binds reports whether the share holds requests back.
func (s *Share) Binds() bool { return s.binds }

// Allowed returns the number of requests that this router may have in flight on
// average.
func (s *Share) Allowed() float64 { return s.share }

// Rate returns the number of requests a second that the share lets go, zero without
// endpoints.
func (s *Share) Rate() float64 {
	if s.work == 0 {
		return 0
	}
	return s.Allowed() / s.charge()
}

// Update replaces what is known of the endpoints and of the fleet. waiting is the
// number of requests that wait in this router, and objective the latency objective of
// the service, zero if there is none.
func (s *Share) Update(now time.Time, endpoints []Endpoint, fleet Fleet, waiting int, objective time.Duration) {
	s.advance(now)
	s.objective, s.fleet, s.waiting = objective, fleet, waiting
	if s.ownWork == 0 {
		s.ownWork = defaultWork.Seconds()
		if objective > 0 {
			s.ownWork = objective.Seconds() * workFraction
		}
	}
	requests, work := s.Demand(now)
	s.work = max(minWork, (work+fleet.Work)/(requests+fleet.Demand))
	s.replaceEndpoints(endpoints)
	load, slots, limit := 0.0, 0.0, 0.0
	for _, e := range s.endpoints {
		e.factor = min(1, e.factor+max(0, now.Sub(e.factorAt).Seconds())/recovery.Seconds())
		e.factorAt = now
		load += float64(e.Load)
		slots += e.Slots
		limit += e.Slots * e.factor * (1 + s.queued())
	}
	own, total := s.demands(now)
	// The demand of one router says nothing about that of the fleet.
	busy := s.fleet.Covers >= min(1, s.fleet.Routers-1) && total*s.work >= slots*busyDemand
	s.updateBinding(now, busy || load >= slots*(1+s.queued()/2))
	s.updateGain(now, load, limit)
	s.share = s.part(own, total) * limit * s.gain
}

// updateGain raises the share while fewer requests are in flight than the limit allows:
// some routers have no request when their share would let one go.
func (s *Share) updateGain(now time.Time, load, limit float64) {
	elapsed := now.Sub(s.gainAt).Seconds()
	s.gainAt = now
	if !s.binds || limit == 0 {
		s.gain = 1
		return
	}
	s.gain = min(maxGain, max(1, s.gain+min(elapsed, 1)/gainPeriod.Seconds()*(limit-load)/limit))
}

// replaceEndpoints takes over the endpoints and keeps the state of those that were
// known.
func (s *Share) replaceEndpoints(endpoints []Endpoint) {
	known := s.endpoints
	s.endpoints = make([]*endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		i := slices.IndexFunc(known, func(k *endpoint) bool { return k.ID == e.ID })
		if i >= 0 {
			known[i].Endpoint = e
			s.endpoints = append(s.endpoints, known[i])
			continue
		}
		s.endpoints = append(s.endpoints, &endpoint{Endpoint: e, factor: 1, factorAt: s.advancedAt})
	}
}

// demands returns the demand of this router and that of the fleet. Routers whose
// demand is unknown count with the mean.
func (s *Share) demands(now time.Time) (own, total float64) {
	own, _ = s.Demand(now)
	known := float64(s.fleet.Covers + 1)
	return own, (own + max(0, s.fleet.Demand)) * max(1, float64(s.fleet.Routers)/known)
}

// part returns this router's part of the demand of the fleet. Without news it decays to
// an equal one.
func (s *Share) part(own, total float64) float64 {
	part := own / total
	if s.fleet.Age > freshAge {
		kept := math.Exp(-(s.fleet.Age - freshAge).Seconds() / decayPeriod.Seconds())
		part = kept*part + (1-kept)/float64(max(1, s.fleet.Routers))
	}
	return part
}

// queued returns how many requests may wait at an endpoint, relative to its slots.
func (s *Share) queued() float64 {
	if s.objective == 0 {
		return 1
	}
	return min(maxQueued, max(minQueued, s.objective.Seconds()*queueShare/s.work))
}

// charge returns the expected time of a request in flight, in seconds, while the share
// binds: with all slots busy it grows with the number of requests at the endpoint.
func (s *Share) charge() float64 { return s.work * (1 + s.queued()) }

// updateBinding decides whether the share holds requests back. It does if, as far as
// is known, the slots of the fleet are busy, or if an endpoint has just rejected a
// request.
func (s *Share) updateBinding(now time.Time, busy bool) {
	if busy || now.Sub(s.rejectedAt) < calmAfter {
		s.idleSince = now
		if !s.binds {
			s.binds = true
			s.credit = min(s.credit, s.phase()*(1-min(1, s.share)))
		}
		return
	}
	if s.binds && now.Sub(s.idleSince) >= calmAfter {
		s.binds = false
	}
}

// phase returns a credit at which a router that uses its share may be at a random
// moment. When the share begins to bind, all routers have unused credits; without
// different phases they would use them at the same time.
func (s *Share) phase() float64 {
	h := hasher.Weight(s.seed, s.starts)
	return -s.charge() * float64(h>>11) / (1 << 53)
}

// advance advances the credits to the time.
func (s *Share) advance(now time.Time) {
	elapsed := now.Sub(s.advancedAt).Seconds()
	if s.advancedAt.IsZero() {
		elapsed = 0
	}
	if elapsed < 0 {
		return
	}
	charge := s.charge()
	s.credit += elapsed * s.share
	for _, f := range s.flights {
		// From the end of the charged time on, a request costs its time.
		age := now.Sub(f.startedAt).Seconds()
		if age > silentCharges*f.charge {
			continue
		}
		over := min(elapsed, max(0, age-f.charge))
		s.credit -= over
		if e := s.endpoint(f.Endpoint); e != nil {
			e.used += over / e.Slots
		}
	}
	s.credit = min(s.credit, charge*max(idleCredit, s.share-1))
	s.credit = max(s.credit, -charge*max(1, s.share))
	for _, e := range s.endpoints {
		e.used *= math.Exp(-elapsed / usedPeriod.Seconds())
	}
	s.advancedAt = now
}

// endpoint returns the endpoint with the ID, or nil if it takes no requests.
func (s *Share) endpoint(id string) *endpoint {
	for _, e := range s.endpoints {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// Start lets the next request go if the share allows it. Endpoints in excluded are
// taken only if there is no other. It returns nil if the request has to wait; one that
// is forced never has to. Without endpoints it lets the request go with no endpoint,
// since there is nothing to wait for.
func (s *Share) Start(now time.Time, excluded map[string]bool, forced bool) *Flight {
	s.advance(now)
	if len(s.endpoints) == 0 {
		return &Flight{startedAt: now}
	}
	if s.binds && !forced && s.credit < 0 {
		return nil
	}
	s.starts++
	seed := s.seed + s.starts
	best, bestScore := s.endpoints[0], math.Inf(1)
	for _, e := range s.endpoints {
		// The hash decides between endpoints that have been used about equally.
		score := e.used/s.work + tieMargin/e.Slots*float64(hasher.Weight(seed, hasher.Hash(e.ID))>>11)/(1<<53)
		if excluded[e.ID] {
			score += excludedScore
		}
		if score < bestScore {
			best, bestScore = e, score
		}
	}
	f := &Flight{Endpoint: best.ID, startedAt: now, charge: s.charge(), slowdown: max(1, float64(best.Load+1)/best.Slots)}
	s.credit -= f.charge
	best.used += f.charge / best.Slots
	s.flights = append(s.flights, f)
	return f
}

// End records the end of a request. It was sent to the endpoint with the ID, which may
// differ from the one that the share chose.
func (s *Share) End(now time.Time, f *Flight, id string, outcome Outcome) {
	s.advance(now)
	if outcome == Rejected {
		s.cut(now, id)
	}
	duration := now.Sub(f.startedAt).Seconds()
	if outcome == Served && duration > 0 {
		// The time includes the client's reading, which may take as long as the request may.
		sample := min(max(minWork, duration/f.slowdown), maxSample*s.ownWork)
		weight := slowerWeight
		if sample < s.ownWork {
			weight = fasterWeight
		}
		s.ownWork += (sample - s.ownWork) * weight
	}
	s.flights = slices.DeleteFunc(s.flights, func(other *Flight) bool { return other == f })
	if outcome != Rejected {
		// After a rejection the charge is kept: the endpoints have no room for another
		// request either.
		s.credit += max(0, f.charge-duration)
		if e := s.endpoint(f.Endpoint); e != nil {
			e.used -= max(0, f.charge-duration) / e.Slots
		}
	}
}

// cut lowers the share of an endpoint that has rejected a request.
func (s *Share) cut(now time.Time, id string) {
	s.rejectedAt = now
	for _, e := range s.endpoints {
		if e.ID == id && now.Sub(e.cutAt) >= decreaseInterval {
			e.factor, e.cutAt = max(minFactor, e.factor*decrease), now
		}
	}
}

// Next returns the time after which the share lets a request go if nothing else
// happens, at most limit.
func (s *Share) Next(now time.Time, limit time.Duration) time.Duration {
	s.advance(now)
	if s.credit >= 0 || !s.binds {
		return 0
	}
	gain := s.share
	for _, f := range s.flights {
		if age := now.Sub(f.startedAt).Seconds(); age >= f.charge && age <= silentCharges*f.charge {
			gain--
		}
	}
	if gain <= 0 {
		return limit
	}
	return min(limit, seconds(-s.credit/gain))
}

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
