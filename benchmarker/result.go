package benchmarker

import (
	"slices"
	"strings"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bergamotdale/bergamotdale/modeler"
	"github.com/bergamotdale/bergamotdale/simulator"
	"github.com/bergamotdale/bergamotdale/workloader"
)

const (
	// maxLatency is recorded for lost requests, so that they count as the slowest,
	// and is the upper end of the histograms.
	maxLatency = time.Hour
	// histogramDigits is the number of significant digits of the histograms.
	histogramDigits = 3
	// smallPrefix is the start of the names of the small workspaces of M4.
	smallPrefix = "small"
)

// Result holds the measurements of a run for the time from From until To. Refusals,
// Preemptions and PlacementFailures cover the whole run. It implements
// simulator.Observer.
type Result struct {
	From, To time.Duration
	// Latency and FirstToken hold milliseconds from the arrival of a request to its
	// completion and to its first token, by class.
	Latency    [workloader.ClassCount]*hdr.Histogram
	FirstToken [workloader.ClassCount]*hdr.Histogram
	// SmallLatency holds the latency in milliseconds of the requests of small
	// workspaces, and SmallClassLatency the same by class.
	SmallLatency      *hdr.Histogram
	SmallClassLatency [workloader.ClassCount]*hdr.Histogram
	// Losses counts the requests that clients gave up, and Refusals the refused
	// attempts, by class.
	Losses, Refusals [workloader.ClassCount]int
	// Unfinished counts the requests that were started but not completed.
	Unfinished int
	// Preemptions counts how often a running request lost its slot.
	Preemptions int
	// PlacementFailures counts the attempts that no endpoint admitted.
	PlacementFailures int
	// Redirects counts the attempts at another endpoint than the first, and
	// Admissions the requests that endpoints admitted.
	Redirects  int
	Admissions int
	// Reusable counts the prompt tokens that earlier turns of the chat have
	// computed, and Reused those of them that were in the cache.
	Reusable, Reused int
	// AboveBound counts the admissions above the load bound for the present load of
	// the group, and PeakRelativeLoad is the highest load of an engine relative to
	// that bound.
	AboveBound       int
	PeakRelativeLoad float64
	// HeldSlots is the sum over all samples of the slots that each class holds, and
	// samples is the number of samples.
	HeldSlots [workloader.ClassCount]float64
	samples   int
	// Demand and Served are the output tokens of arrived and of completed requests,
	// by workspace.
	Demand, Served map[string]float64
}

func newResult(from, to time.Duration) *Result {
	r := &Result{From: from, To: to, Demand: map[string]float64{}, Served: map[string]float64{}}
	for i := range workloader.ClassCount {
		r.Latency[i] = newHistogram()
		r.FirstToken[i] = newHistogram()
		r.SmallClassLatency[i] = newHistogram()
	}
	r.SmallLatency = newHistogram()
	return r
}

func newHistogram() *hdr.Histogram {
	return hdr.New(1, maxLatency.Milliseconds(), histogramDigits)
}

// inMeasuredTime reports whether the time is in the measured part of the run.
func (r *Result) inMeasuredTime(at time.Duration) bool {
	return at >= r.From && at < r.To
}

// Arrived implements simulator.Observer.
func (r *Result) Arrived(now time.Duration, request *modeler.Request) {
	if r.inMeasuredTime(now) {
		r.Demand[request.Workspace] += float64(request.Output)
	}
}

// Started implements simulator.Observer.
func (r *Result) Started(now time.Duration, request *modeler.Request) {
	if request.Runs == 1 && r.inMeasuredTime(now) {
		r.Reusable += request.Prefix
		r.Reused += min(request.Prefix, request.Cached)
	}
}

// Admitted implements simulator.Observer.
func (r *Result) Admitted(now time.Duration, a simulator.Admission) {
	if !r.inMeasuredTime(now) {
		return
	}
	r.Admissions++
	load, capacity := float64(a.Load), float64(a.Capacity)
	if load > capacity {
		r.AboveBound++
	}
	r.PeakRelativeLoad = max(r.PeakRelativeLoad, load/capacity)
}

// Redirected implements simulator.Observer.
func (r *Result) Redirected(now time.Duration) {
	if r.inMeasuredTime(now) {
		r.Redirects++
	}
}

// Unplaced implements simulator.Observer.
func (r *Result) Unplaced() { r.PlacementFailures++ }

// Refused implements simulator.Observer.
func (r *Result) Refused(request *modeler.Request) { r.Refusals[request.Class]++ }

// Preempted implements simulator.Observer.
func (r *Result) Preempted(*modeler.Request) { r.Preemptions++ }

// Completed implements simulator.Observer.
func (r *Result) Completed(now time.Duration, request *modeler.Request) {
	if r.inMeasuredTime(now) {
		r.Served[request.Workspace] += float64(request.Output)
	}
	if r.inMeasuredTime(request.Arrived) {
		r.record(request, now-request.Arrived, request.FirstToken-request.Arrived)
	}
}

// Lost implements simulator.Observer.
func (r *Result) Lost(request *modeler.Request) {
	if !r.inMeasuredTime(request.Arrived) {
		return
	}
	r.Losses[request.Class]++
	if request.WasStarted {
		r.Unfinished++
	}
	r.record(request, maxLatency, maxLatency)
}

// Pending implements simulator.Observer.
func (r *Result) Pending(request *modeler.Request) {
	if request.WasStarted {
		r.Unfinished++
	}
}

// Sampled implements simulator.Observer.
func (r *Result) Sampled(now time.Duration, held [workloader.ClassCount]int) {
	if !r.inMeasuredTime(now) {
		return
	}
	r.samples++
	for class, n := range held {
		r.HeldSlots[class] += float64(n)
	}
}

// record adds a request to the histograms.
func (r *Result) record(request *modeler.Request, latency, firstToken time.Duration) {
	class := request.Class
	// The values are clipped to the range of the histograms, so that recording never
	// fails.
	_ = r.Latency[class].RecordValue(min(latency, maxLatency).Milliseconds())
	_ = r.FirstToken[class].RecordValue(min(firstToken, maxLatency).Milliseconds())
	if strings.HasPrefix(request.Workspace, smallPrefix) {
		_ = r.SmallLatency.RecordValue(min(latency, maxLatency).Milliseconds())
		_ = r.SmallClassLatency[class].RecordValue(min(latency, maxLatency).Milliseconds())
	}
}

// Reuse returns the fraction of the reusable prompt tokens that were in the cache.
func (r *Result) Reuse() float64 {
	return float64(r.Reused) / float64(max(r.Reusable, 1))
}

// SlotShare returns the fraction of the slots of the shape that the class held on
// average.
func (r *Result) SlotShare(shape workloader.Shape, class int) float64 {
	return r.HeldSlots[class] / (shape.Capacity() * float64(r.samples))
}

// JainIndex returns Jain's fairness index, which is 1 if all workspaces are treated
// equally. Its input for each workspace is the number of served tokens relative to
// the max-min fair share of all served tokens, cut at 1.
func (r *Result) JainIndex() float64 {
	names := make([]string, 0, len(r.Demand))
	remaining := 0.0
	for name := range r.Demand {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if r.Demand[a] != r.Demand[b] {
			if r.Demand[a] < r.Demand[b] {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	for _, name := range names {
		remaining += r.Served[name]
	}
	sum, sumOfSquares := 0.0, 0.0
	for i, name := range names {
		fair := min(r.Demand[name], remaining/float64(len(names)-i))
		remaining -= fair
		satisfied := min(r.Served[name]/max(fair, 1), 1)
		sum += satisfied
		sumOfSquares += satisfied * satisfied
	}
	return sum * sum / (float64(len(names)) * max(sumOfSquares, 1e-9))
}
