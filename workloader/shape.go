// Package workloader generates the seeded workload of simulations. The workload
// consists of chats, each a sequence of turns whose prompts extend each other. The
// next turn of a chat follows a pause after the end of the one before it. Chats
// belong to workspaces, usually with skewed demands, and to one of three priority
// classes. Streams of additional chats model floods and heavy workspaces. A Shape
// describes the deployment that serves the workload.
package workloader

import (
	"time"

	"github.com/bergamotdale/bergamotdale/scheduler"
)

// The priority classes of the workload, from the most to the least urgent.
const (
	Urgent = iota
	Standard
	Batch
	// ClassCount is the number of classes.
	ClassCount
)

// ClassNames holds the names of the priority classes, by class.
var ClassNames = [ClassCount]string{"urgent", "standard", "batch"}

// Shape describes a deployment and its engines.
type Shape struct {
	Name    string
	Engines int
	// FailureDomains is the number of failure domains, over which the engines are spread.
	FailureDomains int
	Routers        int
	// Slots is the number of requests that an engine runs at the same time.
	Slots int
	// PrefillRate is the number of prompt tokens per second that an engine
	// computes. All its requests share this rate.
	PrefillRate float64
	// TokenTime is the time per output token of a request that runs alone. With
	// all slots in use it is longer by the fraction Slowdown.
	TokenTime time.Duration
	Slowdown  float64
	// CacheTokens is the capacity of an engine's prefix cache in tokens.
	CacheTokens int
	// Multiple is the load bound of the model group: the highest load of an engine
	// relative to the mean load.
	Multiple float64
	// Workspaces is the number of workspaces. Their demands fall as 1/rank.
	Workspaces int
	// Pause is the mean time between the turns of a chat, and Turns is their mean
	// number.
	Pause time.Duration
	Turns float64
	// ReportInterval is the time between the load reports that the owner of an
	// engine sends to the aggregator of the model group.
	ReportInterval time.Duration
	// RouterRate is the number of requests per second that reach a router at
	// peak load. It is zero where the simulated group is the whole deployment.
	RouterRate float64
}

// Hanbit returns the shape of the deployment at Hanbit Linen Labs.
func Hanbit() Shape {
	return Shape{
		Name: "hanbit", Engines: 12, FailureDomains: 4, Routers: 6, Slots: 16,
		PrefillRate: 8000, TokenTime: 20 * time.Millisecond, Slowdown: 0.25,
		CacheTokens: 150_000, Multiple: 1.25, Workspaces: 10,
		Pause: 30 * time.Second, Turns: 5,
		// With 500 ms, a third of the runs misses the goal of measure M1 (cache
		// reuse, see package benchmarker).
		ReportInterval: 350 * time.Millisecond,
	}
}

// Vrbensky returns the shape of the deployment at Kartáčnictví Vrbenský.
func Vrbensky() Shape {
	s := Hanbit()
	s.Name = "vrbensky"
	s.FailureDomains = 3
	s.Workspaces = 12
	return s
}

// Target returns the shape of one of the 33 model groups of the largest deployment
// that the design is made for.
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
	// The mean load of a large group changes slowly, so that rarer reports suffice.
	s.ReportInterval = 1500 * time.Millisecond
	s.RouterRate = 3800.0 / 360
	return s
}

// Classes returns the scheduler configuration of the priority classes, by class.
func Classes() []scheduler.Class {
	return []scheduler.Class{
		{Name: ClassNames[Urgent], MinShare: 0.2, MaxWait: 5 * time.Second, MaxQueued: 64, Preempts: true},
		{Name: ClassNames[Standard], MinShare: 0.3, MaxWait: 20 * time.Second, MaxQueued: 64},
		{Name: ClassNames[Batch], MinShare: 0.1, MaxWait: 2 * time.Minute, MaxQueued: 64},
	}
}

// Headroom is the fraction of the slots that is reserved for urgent requests: 3 of
// 16. With 2 of 16, only some seeds meet the goal of measure M2 (urgent latency
// during a flood, see package benchmarker).
const Headroom = 0.19

// RequestSize holds the mean sizes of the requests of a class in tokens. The sizes of the
// single requests follow exponential distributions that are cut at both ends.
type RequestSize struct {
	// Context is the start of a chat's first prompt, such as instructions and
	// documents. Input is what each turn adds to the prompt, and Output is the
	// response.
	Context, Input, Output int
}

// RequestSizes holds the mean request sizes of each class.
var RequestSizes = [ClassCount]RequestSize{
	Urgent:   {Context: 800, Input: 150, Output: 60},
	Standard: {Context: 1200, Input: 300, Output: 200},
	Batch:    {Context: 1500, Input: 1000, Output: 600},
}

// SlotTime returns the mean time in seconds for which a request of the class holds
// a slot, with half of the slots in use and the earlier turns in the cache.
func (s Shape) SlotTime(class int) float64 {
	w := RequestSizes[class]
	return float64(w.Input)/s.PrefillRate + float64(w.Output)*s.TokenTime.Seconds()*(1+s.Slowdown/2)
}

// Capacity returns the number of slots of the model group.
func (s Shape) Capacity() float64 {
	return float64(s.Engines * s.Slots)
}

const (
	// reportBytes is the size of a load report and its response with headers. It
	// follows from the 11 KB/s that the design counts for 23 engines that report
	// every second.
	reportBytes = 478
	// additionalEngineBytes is what each further engine of the same owner adds to its report.
	additionalEngineBytes = 40
)

// ReportTraffic returns the bytes per second that the aggregator of the group
// sends and receives, if each owner reports all its engines of the group at once.
func (s Shape) ReportTraffic() float64 {
	owners := min(s.Engines, s.Routers)
	bytes := owners*reportBytes + (s.Engines-owners)*additionalEngineBytes
	return float64(bytes) / s.ReportInterval.Seconds()
}

// TokenRate returns the demand in charged tokens per second at the given load, a
// fraction of the group's capacity. classLoads holds the relative loads of the
// classes.
func (s Shape) TokenRate(classLoads [ClassCount]float64, load float64) float64 {
	sum, rate := 0.0, 0.0
	for class, classLoad := range classLoads {
		sum += classLoad
		w := RequestSizes[class]
		// On average, half of the other turns of the chat precede a turn.
		prompt := float64(w.Context+w.Input) + (s.Turns-1)/2*float64(w.Input+w.Output)
		rate += classLoad * s.Capacity() / s.SlotTime(class) * (scheduler.DefaultInputWeight*prompt + float64(w.Output))
	}
	return load * rate / sum
}
