package placer

import (
	"math"
	"time"
)

// DefaultTighten is the age at which a mean allows no more than the mean.
const DefaultTighten = 10 * time.Second

// Bound is the load bound of a model group (I1).
type Bound struct {
	// Multiple is the largest load of an engine relative to the mean; at
	// least 1.
	Multiple float64
	// Tighten is the age of the mean at which the multiple has fallen to 1;
	// zero means DefaultTighten.
	Tighten time.Duration
}

// Mean is the load of a model group as its aggregator published it.
type Mean struct {
	// Load is the number of requests running or waiting in the whole group.
	Load int
	// Engines is the number of engines that take new work.
	Engines int
	// Age is the time since the oldest report in Load was taken.
	Age time.Duration
}

// Capacity returns the largest load that an engine of the group may reach:
// ⌈multiple × (load + 1) / engines⌉. A stale mean lowers the multiple linearly
// towards 1 and never raises it.
func (b Bound) Capacity(m Mean) int {
	if m.Engines <= 0 {
		return 0
	}
	return int(math.Ceil(b.multiple(m.Age)*float64(m.Load+1)/float64(m.Engines) - 1e-9))
}

// StepCapacity returns the capacity for a step that another owner sent with its
// own view of the mean. Both means are tightened by their age. A step that
// selects an endpoint gets the smaller capacity, so that a mean from before a
// drop of the load admits less. A step of last resort gets the larger one: with
// a mean from before a burst alone, the group would refuse requests that are
// within the bound.
func (b Bound) StepCapacity(s Step, own, sender Mean) int {
	if s.lastResort() {
		return max(b.Capacity(own), b.Capacity(sender))
	}
	return min(b.Capacity(own), b.Capacity(sender))
}

// Admits reports whether an engine with the load may take one more request.
func (b Bound) Admits(m Mean, load int) bool {
	return load < b.Capacity(m)
}

func (b Bound) multiple(age time.Duration) float64 {
	tighten := b.Tighten
	if tighten <= 0 {
		tighten = DefaultTighten
	}
	extra := max(b.Multiple-1, 0)
	fresh := 1 - min(float64(max(age, 0))/float64(tighten), 1)
	return 1 + extra*fresh
}
