package aggregator

import (
	"math"
	"time"
)

// StaleAfter is the age at which a mean no longer allows any load above it.
const StaleAfter = 10 * time.Second

// Mean is the load of a group as a router knows it.
type Mean struct {
	Group string
	// Total is the load of the group, Endpoints the number of endpoints.
	Total     int
	Endpoints int
	// Age is the time since the oldest load in Total was reported.
	Age time.Duration
	// LeastLoaded holds endpoints with low load, lowest first.
	LeastLoaded []Summary
}

// Value returns the mean load of an endpoint.
func (m Mean) Value() float64 {
	if m.Endpoints == 0 {
		return 0
	}
	return float64(m.Total) / float64(m.Endpoints)
}

// Capacity returns the number of requests that an endpoint of the group may
// carry under the multiple, which is at least 1. An older mean gives the same
// capacity or a smaller one.
func (m Mean) Capacity(multiple float64) int {
	if m.Endpoints == 0 {
		return 1
	}
	tight := Tighten(multiple, m.Age)
	return int(math.Ceil(tight * float64(m.Total+1) / float64(m.Endpoints)))
}

// Tighten returns the multiple to use with a mean of the age: it falls
// linearly to 1 over StaleAfter and never rises.
func Tighten(multiple float64, age time.Duration) float64 {
	multiple = max(1, multiple)
	left := 1 - age.Seconds()/StaleAfter.Seconds()
	tight := 1 + (multiple-1)*min(1, max(0, left))
	assert(tight >= 1 && tight <= multiple, "multiple %g was loosened to %g at age %s", multiple, tight, age)
	return tight
}

// means holds the latest accepted mean of each group on the owner side.
type kept struct {
	response LoadResponse
	// measured is when the oldest load in the response was reported, by the
	// clock of this router.
	measured time.Time
}

// Means holds the means that a router has been told. It is not safe for
// concurrent use.
type Means struct {
	groups map[string]kept
}

// NewMeans returns an empty set of means.
func NewMeans() *Means {
	return &Means{groups: map[string]kept{}}
}

// clockTolerance is the error of a measured time: ages are rounded to
// milliseconds and include the way of the request.
const clockTolerance = 50 * time.Millisecond

// Accept takes in a response to a request sent at the time, for a group of
// that many configured endpoints. It reports false for a response that covers
// at most half of the group, as that of a new aggregator does for a moment:
// the mean of a few endpoints could loosen the bound, so the known mean is
// kept while its age tightens it.
func (m *Means) Accept(sent time.Time, r LoadResponse, size int) bool {
	if r.Endpoints <= 0 || r.Total < 0 || 2*r.Endpoints <= size {
		return false
	}
	// The age counts from the sending of the request, which is before the
	// aggregator computed it.
	measured := sent.Add(-time.Duration(max(0, r.AgeMS)) * time.Millisecond)
	if known, ok := m.groups[r.Group]; ok && measured.Before(known.measured.Add(-clockTolerance)) {
		return false
	}
	m.groups[r.Group] = kept{r, measured}
	return true
}

// Keep drops the means of all groups but those named.
func (m *Means) Keep(groups map[string]bool) {
	for g := range m.groups {
		if !groups[g] {
			delete(m.groups, g)
		}
	}
}

// Mean returns the mean of a group.
func (m *Means) Mean(now time.Time, group string) (Mean, bool) {
	k, ok := m.groups[group]
	if !ok {
		return Mean{Group: group}, false
	}
	return Mean{
		Group:       group,
		Total:       k.response.Total,
		Endpoints:   k.response.Endpoints,
		Age:         max(0, now.Sub(k.measured)),
		LeastLoaded: k.response.LeastLoaded,
	}, true
}
