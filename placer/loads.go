package placer

import "time"

// Loads is an owner's view of the loads of its model group: the aggregator's
// last values, corrected by the answers of other owners. Without the corrections, all owners would send to the same least
// loaded endpoint until the next report.
//
// It is not safe for concurrent use.
type Loads struct {
	values  map[string]int
	sum     int
	engines int
	taken   time.Time
}

// NewLoads returns an empty view.
func NewLoads() *Loads {
	return &Loads{values: map[string]int{}}
}

// Reset starts a new set of values from the aggregator. engines is the number
// of engines that take new work and taken the time of the oldest value.
func (l *Loads) Reset(engines int, taken time.Time) {
	clear(l.values)
	l.sum = 0
	l.engines = engines
	l.taken = taken
}

// Set sets the load of an endpoint, as the aggregator or its owner told.
func (l *Loads) Set(endpoint string, load int) {
	l.sum += load - l.values[endpoint]
	l.values[endpoint] = load
}

// Mean returns the mean of the group as this view has it.
func (l *Loads) Mean(now time.Time) Mean {
	return Mean{Load: l.sum, Engines: l.engines, Age: now.Sub(l.taken)}
}

// Get returns the load of an endpoint, if it is known.
func (l *Loads) Get(endpoint string) (int, bool) {
	v, ok := l.values[endpoint]
	return v, ok
}
