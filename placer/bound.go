package placer

import (
	"math"
	"time"
)

// DefaultStaleAfter is the age of a GroupLoad from which on an engine may not
// exceed the mean load.
const DefaultStaleAfter = 10 * time.Second

// LoadBound limits the load of each engine of a model group to a multiple of the
// group's mean load per engine (I1), as in consistent hashing with bounded
// loads.
type LoadBound struct {
	// Multiple is the largest load of an engine relative to the mean load. It
	// is at least 1.
	Multiple float64
	// StaleAfter is the age of a GroupLoad at which the multiple has fallen to
	// 1; zero means DefaultStaleAfter.
	StaleAfter time.Duration
}

// GroupLoad is the total load of a model group as its aggregator published it.
// The mean load is Requests / Engines.
type GroupLoad struct {
	// Requests is the number of running or waiting requests in the whole group.
	Requests int
	// Engines is the number of engines that take new work.
	Engines int
	// Age is the time since the oldest load report in Requests was taken.
	Age time.Duration
}

// Capacity returns the largest load that an engine of the group may reach:
// ⌈multiple × (requests + 1) / engines⌉. The multiple falls linearly to 1 as the
// group load ages, so stale data never loosens the bound.
func (b LoadBound) Capacity(m GroupLoad) int {
	if m.Engines <= 0 {
		return 0
	}
	return int(math.Ceil(b.effectiveMultiple(m.Age)*float64(m.Requests+1)/float64(m.Engines) - 1e-9))
}

// StepCapacity returns the capacity for a step that another owner sent together
// with its own view of the group load. The age of each view lowers the capacity
// that follows from it. A conditional step gets the smaller of both capacities,
// so that a group load from before a drop does not admit too much. A
// last-resort step gets the larger one: with only a group load from before a
// burst, the group would refuse requests that are within the bound.
func (b LoadBound) StepCapacity(s Step, own, sender GroupLoad) int {
	if s.isLastResort() {
		return max(b.Capacity(own), b.Capacity(sender))
	}
	return min(b.Capacity(own), b.Capacity(sender))
}

// Admits reports whether an engine with the given load may take one more
// request.
func (b LoadBound) Admits(m GroupLoad, load int) bool {
	return load < b.Capacity(m)
}

// effectiveMultiple returns the multiple for a group load of the given age.
func (b LoadBound) effectiveMultiple(age time.Duration) float64 {
	staleAfter := b.StaleAfter
	if staleAfter <= 0 {
		staleAfter = DefaultStaleAfter
	}
	extra := max(b.Multiple-1, 0)
	fresh := 1 - min(float64(max(age, 0))/float64(staleAfter), 1)
	return 1 + extra*fresh
}
