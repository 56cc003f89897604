// Package predictor estimates the present load and speed of an endpoint from
// reports that are a little old, and by how much the endpoint has exceeded its share.
//
// The load pattern that it addresses: many routers choose endpoints by the same
// counts, which are 0.3 s to 2 s old. An endpoint that the counts show below its
// bound gets the requests of all routers until the next counts, then those of none,
// so that endpoints are overrun in turns while others idle. No estimate of a single
// moment prevents this, since a router of 72 sees one request in 72. What persists
// from one report to the next does: an endpoint whose keys are popular exceeds its
// share again and again. So each router sums up the excess over the reports that it
// gets. Since all routers get the same counts they arrive at about the same sums,
// without a message, and give such an endpoint a smaller part of the requests
// already before the next counts show its load (package balancer).
//
// The package has no clock and does no I/O. Package tracker holds an Endpoint for
// each endpoint and passes in what is known.
package predictor

import (
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// countAge is how old counts of other routers are when they arrive, at least: a
	// router reports to its collector about every 0.3 s. An endpoint's own report is
	// preferred to counts that arrived no later than countAge after it.
	countAge = 300 * time.Millisecond
	// reportExpiry is how long the report of an endpoint counts if there are no
	// counts.
	reportExpiry = 2 * time.Second
	// slowdownPeriod is how long a slowdown of an endpoint's machine typically lasts.
	// A reported one counts less the older it is, and no more after this time.
	slowdownPeriod = 600 * time.Millisecond
	// maxSlowdown is the largest slowdown in a valid report, and its inverse the
	// smallest.
	maxSlowdown = 10
	// runningPerSlot is the number of running, or of waiting, requests for each slot from
	// which a report is false.
	runningPerSlot = 10
	// eventTimeWeight is the weight of the latest value in the mean time per event.
	eventTimeWeight = 1.0 / 8
	// fullTrust is the number of streams from which the time per event counts fully.
	fullTrust = 16
	// minSpeed and maxSpeed limit how far a measured time per event changes the share
	// of an endpoint. Slower endpoints are outliers, which package ejector handles.
	minSpeed, maxSpeed = 0.5, 2
	// Target is the load, as a multiple of its share, above which an endpoint exceeds
	// it. The goal is that the busiest endpoint of a service has at most 1.2 times the
	// mean; a quarter of this margin is for the placement by key, the rest for requests
	// of which the reports do not tell yet.
	Target = 1.05
	// minLevel is the load below which no endpoint exceeds its share. The rule allows
	// any endpoint twice the mean and three requests; without this a key would spread
	// to further endpoints at loads at which nobody waits.
	minLevel = 3
	// excessRate is the rate per second at which an excess adds up. It is slower than
	// the way of a count through two collectors (about 0.7 s), so that the sum follows
	// what persists and not what one count shows.
	excessRate = 0.4
	// maxExcess limits the sum, so that an endpoint whose load falls gets its share
	// again within seconds. At maxExcess it gets one in 150 of the requests for it.
	maxExcess = 5
	// maxStep is the longest time that one count stands for.
	maxStep = time.Second
)

// ErrFalseReport is the cause of an error about a report that cannot be true.
const ErrFalseReport = errors.ConstError("the endpoint's report of its load cannot be true")

// Count is what the routers know of the requests at an endpoint.
type Count struct {
	// Own is the number of requests of this router, and Others that of all others.
	Own, Others int
	// At is when Others arrived; zero if there are no recent counts.
	At time.Time
}

// Endpoint holds what an endpoint has reported and what was measured of it. The zero
// value is an endpoint of which nothing is known.
type Endpoint struct {
	// reported is the number of running and waiting requests in the latest valid
	// report, own the number of this router's requests at that time.
	reported, own int
	reportedAt    time.Time
	slowdown      float64
	// eventTime is the moving mean of the time per event, in seconds, over the number
	// of streams.
	eventTime float64
	streams   int
	// excess is the sum of the excess over the share, from 0 to maxExcess.
	excess     float64
	adjustedAt time.Time
}

// Record stores a report of the endpoint, which has the number of slots by its record
// and own requests of this router in flight. It returns an error and stores nothing if
// the report cannot be true.
func (e *Endpoint) Record(now time.Time, load bergamotdale.ReportedLoad, slots, own int) error {
	s := load.Slowdown
	switch {
	case load.Slots != slots || slots <= 0:
		return errors.Annotatef(ErrFalseReport, "%d slots instead of %d", load.Slots, slots)
	case load.Running < 0 || load.Waiting < 0 || max(load.Running, load.Waiting) > slots*runningPerSlot:
		return errors.Annotatef(ErrFalseReport, "%d running and %d waiting in %d slots", load.Running, load.Waiting, slots)
	case s != 0 && !(s >= 1.0/maxSlowdown && s <= maxSlowdown):
		return errors.Annotatef(ErrFalseReport, "slowdown of %g", s)
	}
	e.reported, e.own, e.reportedAt, e.slowdown = load.Running+load.Waiting, own, now, s
	return nil
}

// RecordEventTime adds the time per event of a stream that has ended.
func (e *Endpoint) RecordEventTime(d time.Duration) {
	if e.streams == 0 {
		e.eventTime = d.Seconds()
	}
	e.streams++
	e.eventTime += (d.Seconds() - e.eventTime) * eventTimeWeight
}

// EventTime returns the mean time per event in seconds, and false if it is not known
// well enough to compare endpoints by it.
func (e *Endpoint) EventTime() (float64, bool) {
	return e.eventTime, e.streams > fullTrust/4 && e.eventTime > 0
}

// Load returns the estimated number of requests at the endpoint: the counts, or its
// own report if that is more recent, with the requests that this router has begun and
// ended there since.
func (e *Endpoint) Load(now time.Time, c Count) float64 {
	counted := float64(c.Own + c.Others)
	if e.reportedAt.IsZero() || now.Sub(e.reportedAt) >= reportExpiry || e.reportedAt.Before(c.At.Add(-countAge)) {
		return counted
	}
	return math.Max(float64(c.Own), float64(e.reported+c.Own-e.own))
}

// Speed returns how fast the endpoint works relative to the others of its service,
// whose mean time per event in seconds is usual, zero if unknown.
func (e *Endpoint) Speed(now time.Time, usual float64) float64 {
	speed := 1.0
	if own, ok := e.EventTime(); ok && usual > 0 {
		trust := math.Min(1, float64(e.streams)/fullTrust)
		speed = 1 + (min(maxSpeed, max(minSpeed, usual/own))-1)*trust
	}
	if age := now.Sub(e.reportedAt); e.slowdown > 0 && age < slowdownPeriod {
		speed /= 1 + (e.slowdown-1)*(1-age.Seconds()/slowdownPeriod.Seconds())
	}
	return speed
}

// Excess returns the sum of the excess over the endpoint's share, at least 0. With each 1
// more the endpoint gets 1/e of the requests that it would get otherwise.
func (e *Endpoint) Excess() float64 { return e.excess }

// Adjust adds the excess of the load over the share to the sum when new counts arrive.
func (e *Endpoint) Adjust(now time.Time, load, share float64) {
	if !e.adjustedAt.IsZero() {
		step := min(maxStep, now.Sub(e.adjustedAt)).Seconds()
		e.excess = min(maxExcess, max(0, e.excess+excessRate*step*Excess(load, share)))
	}
	e.adjustedAt = now
}

// Excess returns by how much the load exceeds what an endpoint may have, relative to
// its share; it is negative below that.
func Excess(load, share float64) float64 {
	return (load - max(minLevel, Target*share)) / max(minLevel, share)
}

// Busiest returns the highest load relative to the endpoint's share of the total, by
// the capacities of the endpoints. It is zero without a load.
func Busiest(loads, capacities []float64) float64 {
	total, capacity, busiest := 0.0, 0.0, 0.0
	for i := range loads {
		total += loads[i]
		capacity += capacities[i]
	}
	for i := range loads {
		if capacities[i] > 0 && total > 0 {
			busiest = max(busiest, loads[i]/(total*capacities[i]/capacity))
		}
	}
	return busiest
}
