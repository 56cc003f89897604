package aggregator

import (
	"math"
	"time"
)

// StaleAfter is the age from which a mean no longer allows any load above the mean.
const StaleAfter = 10 * time.Second

// Mean is the mean load of a group, as known to a router.
type Mean struct {
	Group string
	// Total is the sum of the loads of the group, and Endpoints is the number of
	// endpoints that it covers.
	Total     int
	Endpoints int
	// Age is the time since the oldest load in Total was reported.
	Age time.Duration
	// LeastLoaded holds the endpoints with the lowest load, lowest first.
	LeastLoaded []EndpointLoad
}

// Value returns the mean load per endpoint, 0 without endpoints.
func (m Mean) Value() float64 {
	if m.Endpoints == 0 {
		return 0
	}
	return float64(m.Total) / float64(m.Endpoints)
}

// Capacity returns the number of requests that an endpoint of the group may have,
// queued and running, if its load may be the given multiple of the mean. The
// result is at least 1 and does not rise with the age of the mean.
func (m Mean) Capacity(multiple float64) int {
	if m.Endpoints == 0 {
		return 1
	}
	tightened := TightenMultiple(multiple, m.Age)
	return int(math.Ceil(tightened * float64(m.Total+1) / float64(m.Endpoints)))
}

// TightenMultiple returns the multiple to use with a mean of the given age. It
// falls linearly to 1 over StaleAfter and never rises.
func TightenMultiple(multiple float64, age time.Duration) float64 {
	multiple = max(1, multiple)
	remaining := 1 - age.Seconds()/StaleAfter.Seconds()
	tightened := 1 + (multiple-1)*min(1, max(0, remaining))
	assert(tightened >= 1 && tightened <= multiple, "multiple %g was loosened to %g at age %s", multiple, tightened, age)
	return tightened
}

// acceptedMean is the latest accepted response for a group.
type acceptedMean struct {
	response LoadResponse
	// measuredAt is when the oldest load in the response was reported, by the clock
	// of this router.
	measuredAt time.Time
}

// MeanCache holds the latest mean of each group that a router has received. It is
// not safe for concurrent use.
type MeanCache struct {
	groups map[string]acceptedMean
}

// NewMeanCache returns an empty cache.
func NewMeanCache() *MeanCache {
	return &MeanCache{groups: map[string]acceptedMean{}}
}

// measurementTolerance is the possible error of acceptedMean.measuredAt: ages are
// rounded to milliseconds, and the time in transit of the request counts as age.
const measurementTolerance = 50 * time.Millisecond

// AcceptResponse stores the response to a request that was sent at the given
// time, for a group with size configured endpoints, and reports whether it did. It
// rejects a response that covers at most half of the group, as the first ones of a new
// aggregator do: the mean of a few endpoints could loosen the bound. The previous
// mean then stays in use, and its age tightens the bound. It also rejects invalid
// responses and those older than the stored one.
func (m *MeanCache) AcceptResponse(sent time.Time, r LoadResponse, size int) bool {
	if r.Endpoints <= 0 || r.Total < 0 || 2*r.Endpoints <= size {
		return false
	}
	// The age is subtracted from the time at which the request was sent, which is
	// before the aggregator computed the age.
	measured := sent.Add(-time.Duration(max(0, r.AgeMS)) * time.Millisecond)
	if known, ok := m.groups[r.Group]; ok && measured.Before(known.measuredAt.Add(-measurementTolerance)) {
		return false
	}
	m.groups[r.Group] = acceptedMean{r, measured}
	return true
}

// Retain drops the means of the groups that are not in groups.
func (m *MeanCache) Retain(groups map[string]bool) {
	for g := range m.groups {
		if !groups[g] {
			delete(m.groups, g)
		}
	}
}

// Mean returns the mean of a group with its age at now. It reports false if none
// was accepted.
func (m *MeanCache) Mean(now time.Time, group string) (Mean, bool) {
	known, ok := m.groups[group]
	if !ok {
		return Mean{Group: group}, false
	}
	return Mean{
		Group:       group,
		Total:       known.response.Total,
		Endpoints:   known.response.Endpoints,
		Age:         max(0, now.Sub(known.measuredAt)),
		LeastLoaded: known.response.LeastLoaded,
	}, true
}
