// Package benchmarker measures the decisions under load: a seeded
// discrete-event simulation drives the placer, the scheduler and the limiter
// against a small model of engines, and compares them with baselines.
//
// The four measures are those of the design page. The same seed gives the same
// output.
package benchmarker

import (
	"time"

	"github.com/bergamotdale/bergamotdale/scheduler"
)

// The priority classes of the workload.
const (
	urgent = iota
	standard
	batch
	classCount
)

var classNames = [classCount]string{"urgent", "standard", "batch"}

// Shape describes a deployment and its engines.
type Shape struct {
	Name    string
	Engines int
	Domains int
	Routers int
	// Slots is the batch size of an engine.
	Slots int
	// PrefillRate is in tokens per second, shared by all requests.
	PrefillRate float64
	// TokenTime is the inter-token latency of a single request; with all slots
	// in use it is longer by the fraction Slowdown.
	TokenTime time.Duration
	Slowdown  float64
	// CacheTokens is the size of an engine's prefix cache.
	CacheTokens int
	// Multiple is the load bound of the model group.
	Multiple float64
	// Workspaces is the number of workspaces, with demands that fall as 1/rank.
	Workspaces int
	// Pause is the mean time between the turns of a chat, Turns their mean
	// number.
	Pause time.Duration
	Turns float64
}

// Hanbit has the size of Hanbit Linen Labs today.
func Hanbit() Shape {
	return Shape{
		Name: "hanbit", Engines: 12, Domains: 4, Routers: 6, Slots: 16,
		PrefillRate: 8000, TokenTime: 20 * time.Millisecond, Slowdown: 0.25,
		CacheTokens: 150_000, Multiple: 1.25, Workspaces: 10,
		Pause: 30 * time.Second, Turns: 5,
	}
}

// Vrbensky has the size of Kartáčnictví Vrbenský today.
func Vrbensky() Shape {
	s := Hanbit()
	s.Name = "vrbensky"
	s.Domains = 3
	s.Workspaces = 12
	return s
}

// Target is one of the 33 model groups of the target size.
func Target() Shape {
	s := Hanbit()
	s.Name = "target-group"
	s.Engines = 23
	s.Routers = 360
	s.Slots = 96
	s.TokenTime = 35 * time.Millisecond
	s.PrefillRate = 20_000
	s.CacheTokens = 800_000
	s.Workspaces = 106
	return s
}

// classes is the configuration of the priority classes.
func classes() []scheduler.Class {
	return []scheduler.Class{
		{Name: classNames[urgent], MinShare: 0.2, MaxWait: 5 * time.Second, MaxQueued: 64, Preempts: true},
		{Name: classNames[standard], MinShare: 0.3, MaxWait: 20 * time.Second, MaxQueued: 64},
		{Name: classNames[batch], MinShare: 0.1, MaxWait: 2 * time.Minute, MaxQueued: 64},
	}
}

// headroom is the fraction of the slots that is left to urgent requests: 3 of
// 16. With 2 the goal of M2 is met by some seeds only.
const headroom = 0.19

// work is the size of the requests of a class, as means of exponential
// distributions with a floor.
type work struct {
	// context is the part of the first prompt that later turns reuse.
	context, input, output int
}

var works = [classCount]work{
	urgent:   {context: 800, input: 150, output: 60},
	standard: {context: 1200, input: 300, output: 200},
	batch:    {context: 1500, input: 1000, output: 600},
}

// groupRouters is the number of routers that a model group keeps busy: all of
// them today, and 1 of the 33 groups' part of 360 at the target.
func (s Shape) groupRouters() int {
	if s.Routers > s.Engines {
		return s.Routers / targetGroups
	}
	return s.Routers
}

// targetGroups is the number of models in steady use at the target.
const targetGroups = 33

// slotTime is the mean time that a request of the class holds a slot.
func (s Shape) slotTime(class int) float64 {
	w := works[class]
	return float64(w.input)/s.PrefillRate + float64(w.output)*s.TokenTime.Seconds()*(1+s.Slowdown/2)
}

// capacity is the number of slots of the model group.
func (s Shape) capacity() float64 {
	return float64(s.Engines * s.Slots)
}

const (
	// reportBytes is the size of a load report and its response with headers;
	// the design page counts 11 KB/s for 23 engines that report every second.
	reportBytes = 478
	// aggregatorBytes is the traffic per second that the aggregator of a group
	// may cause; the rest of the 15 KB/s is for membership.
	aggregatorBytes = 11_500
)

// reportInterval is the shortest interval that the traffic allows. The mean of
// a small group changes faster, and its aggregator can afford more reports.
func (s Shape) reportInterval() time.Duration {
	return time.Duration(s.Engines) * reportBytes * time.Second / aggregatorBytes
}
