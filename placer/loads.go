package placer

import "time"

// Loads is an owner's view of the loads of its model group: the last values of
// the aggregator, corrected by the responses of other owners. Without the
// corrections, all owners would send to the same least loaded endpoint until the
// next report.
//
// It is not safe for concurrent use.
type Loads struct {
	values map[string]int
	// total is the sum of values.
	total   int
	engines int
	// oldest is when the oldest value was reported.
	oldest time.Time
}

// NewLoads returns an empty view.
func NewLoads() *Loads {
	return &Loads{values: map[string]int{}}
}

// Reset discards all values before a new set from the aggregator is added with
// Set. engines is the number of engines that take new work, and oldest is when
// the oldest value was reported.
func (l *Loads) Reset(engines int, oldest time.Time) {
	clear(l.values)
	l.total = 0
	l.engines = engines
	l.oldest = oldest
}

// Set sets the load of an endpoint that the aggregator or the endpoint's owner
// reported.
func (l *Loads) Set(endpoint string, load int) {
	l.total += load - l.values[endpoint]
	l.values[endpoint] = load
}

// GroupLoad returns the total load of the group in this view.
func (l *Loads) GroupLoad(now time.Time) GroupLoad {
	return GroupLoad{Requests: l.total, Engines: l.engines, Age: now.Sub(l.oldest)}
}

// Get returns the load of an endpoint, if it is known.
func (l *Loads) Get(endpoint string) (int, bool) {
	v, ok := l.values[endpoint]
	return v, ok
}
