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
	// maxLatency is recorded for requests that were lost.
	maxLatency = time.Hour
	// histogramDigits is the precision of the histograms.
	histogramDigits = 3
	// smallPrefix marks the workspaces whose latency M4 compares.
	smallPrefix = "small"
)

// Result holds what a run measured of the arrivals between From and To.
type Result struct {
	From, To   time.Duration
	Latency    [workloader.ClassCount]*hdr.Histogram
	FirstToken [workloader.ClassCount]*hdr.Histogram
	// Small holds the latency of small workspaces, SmallClass by class.
	Small      *hdr.Histogram
	SmallClass [workloader.ClassCount]*hdr.Histogram
	// Losses and Refusals are numbers of requests and attempts.
	Losses, Refusals [workloader.ClassCount]int
	// Unfinished counts started requests that did not end.
	Unfinished  int
	Preemptions int
	// PlacementFailures counts requests that every endpoint of the plan refused.
	PlacementFailures int
	Redirects         int
	Admissions        int
	// Reusable and Reused are prompt tokens of returning chats.
	Reusable, Reused int
	// Exceeded counts admissions above the bound for the true mean, and Peak is
	// the highest load relative to that bound.
	Exceeded int
	Peak     float64
	// Held is the sum of the samples of the slots that each class holds.
	Held    [workloader.ClassCount]float64
	samples int
	// Demand and Served are output tokens by workspace.
	Demand, Served map[string]float64
}

func newResult(from, to time.Duration) *Result {
	r := &Result{From: from, To: to, Demand: map[string]float64{}, Served: map[string]float64{}}
	for i := range workloader.ClassCount {
		r.Latency[i] = newHistogram()
		r.FirstToken[i] = newHistogram()
		r.SmallClass[i] = newHistogram()
	}
	r.Small = newHistogram()
	return r
}

func newHistogram() *hdr.Histogram {
	return hdr.New(1, maxLatency.Milliseconds(), histogramDigits)
}

// measures reports whether an event at the time counts.
func (r *Result) measures(at time.Duration) bool {
	return at >= r.From && at < r.To
}

// Arrived implements simulator.Observer.
func (r *Result) Arrived(now time.Duration, q *modeler.Request) {
	if r.measures(now) {
		r.Demand[q.Workspace] += float64(q.Output)
	}
}

// Started implements simulator.Observer.
func (r *Result) Started(now time.Duration, q *modeler.Request) {
	if q.Runs == 1 && r.measures(now) {
		r.Reusable += q.Prefix
		r.Reused += min(q.Prefix, q.Cached)
	}
}

// Admitted implements simulator.Observer.
func (r *Result) Admitted(now time.Duration, a simulator.Admission) {
	if !r.measures(now) {
		return
	}
	r.Admissions++
	load, capacity := float64(a.Load), float64(a.Capacity)
	if load > capacity {
		r.Exceeded++
	}
	r.Peak = max(r.Peak, load/capacity)
}

// Redirected implements simulator.Observer.
func (r *Result) Redirected(now time.Duration) {
	if r.measures(now) {
		r.Redirects++
	}
}

// Unplaced implements simulator.Observer.
func (r *Result) Unplaced() { r.PlacementFailures++ }

// Refused implements simulator.Observer.
func (r *Result) Refused(q *modeler.Request) { r.Refusals[q.Class]++ }

// Preempted implements simulator.Observer.
func (r *Result) Preempted(*modeler.Request) { r.Preemptions++ }

// Completed implements simulator.Observer.
func (r *Result) Completed(now time.Duration, q *modeler.Request) {
	if r.measures(now) {
		r.Served[q.Workspace] += float64(q.Output)
	}
	if r.measures(q.Arrived) {
		r.record(q, now-q.Arrived, q.FirstToken-q.Arrived)
	}
}

// Lost implements simulator.Observer.
func (r *Result) Lost(q *modeler.Request) {
	if !r.measures(q.Arrived) {
		return
	}
	r.Losses[q.Class]++
	if q.WasStarted {
		r.Unfinished++
	}
	r.record(q, maxLatency, maxLatency)
}

// Left implements simulator.Observer.
func (r *Result) Left(q *modeler.Request) {
	if q.WasStarted {
		r.Unfinished++
	}
}

// Sampled implements simulator.Observer.
func (r *Result) Sampled(now time.Duration, held [workloader.ClassCount]int) {
	if !r.measures(now) {
		return
	}
	r.samples++
	for class, n := range held {
		r.Held[class] += float64(n)
	}
}

func (r *Result) record(q *modeler.Request, latency, firstToken time.Duration) {
	class := q.Class
	// Values are clipped to the range of the histogram, so recording never fails.
	_ = r.Latency[class].RecordValue(min(latency, maxLatency).Milliseconds())
	_ = r.FirstToken[class].RecordValue(min(firstToken, maxLatency).Milliseconds())
	if strings.HasPrefix(q.Workspace, smallPrefix) {
		_ = r.Small.RecordValue(min(latency, maxLatency).Milliseconds())
		_ = r.SmallClass[class].RecordValue(min(latency, maxLatency).Milliseconds())
	}
}

// Reuse is the fraction of reusable prompt tokens that was in the cache.
func (r *Result) Reuse() float64 {
	return float64(r.Reused) / float64(max(r.Reusable, 1))
}

// Share is the fraction of all slot time that a class held.
func (r *Result) Share(shape workloader.Shape, class int) float64 {
	return r.Held[class] / (shape.Capacity() * float64(r.samples))
}

// Jain is Jain's fairness index over the satisfied demand of the workspaces:
// what each got, relative to its max-min fair part of all that was served.
func (r *Result) Jain() float64 {
	names := make([]string, 0, len(r.Demand))
	left := 0.0
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
		left += r.Served[name]
	}
	sum, squares := 0.0, 0.0
	for i, name := range names {
		fair := min(r.Demand[name], left/float64(len(names)-i))
		left -= fair
		satisfied := min(r.Served[name]/max(fair, 1), 1)
		sum += satisfied
		squares += satisfied * satisfied
	}
	return sum * sum / (float64(len(names)) * max(squares, 1e-9))
}
