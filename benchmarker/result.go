package benchmarker

import (
	"slices"
	"strings"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
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
	Latency    [classCount]*hdr.Histogram
	FirstToken [classCount]*hdr.Histogram
	// Small holds the latency of small workspaces, SmallClass by class.
	Small      *hdr.Histogram
	SmallClass [classCount]*hdr.Histogram
	Completed  [classCount]int
	Lost       [classCount]int
	Refused    [classCount]int
	// Unfinished counts started requests that did not end.
	Unfinished  int
	Preemptions int
	// Unplaced counts requests that every endpoint of the plan refused.
	Unplaced   int
	Departures int
	Redirects  int
	Reports    int
	Admissions int
	// Reusable and Reused are prompt tokens of returning chats.
	Reusable, Reused int
	// Exceeded counts admissions above the bound for the true mean, and Peak is
	// the highest load relative to that bound.
	Exceeded int
	Peak     float64
	// PeakMultiple is the highest load relative to the mean at an admission.
	PeakMultiple float64
	// Held is the slot time of each class in seconds while measured.
	Held    [classCount]float64
	samples int
	// Demand and Served are output tokens by workspace.
	Demand, Served map[string]float64
}

func newResult() *Result {
	r := &Result{Demand: map[string]float64{}, Served: map[string]float64{}}
	for i := range classCount {
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

// measures reports whether an arrival at the time counts.
func (s *simulation) measures(at time.Duration) bool {
	return at >= s.From && at < s.To
}

// demand records a new request.
func (s *simulation) demand(r *request) {
	if s.measures(s.now) {
		s.result.Demand[r.chat.workspace] += float64(r.output)
	}
}

// countReuse records the prompt of a first run.
func (s *simulation) countReuse(r *request) {
	if r.run == 1 && s.measures(s.now) {
		s.result.Reusable += r.prefix
		s.result.Reused += min(r.prefix, r.cached)
	}
}

// admitted compares the load after an admission with the true state.
func (r *Result) admitted(s *simulation, e *engine) {
	if !s.measures(s.now) {
		return
	}
	r.Admissions++
	mean := s.trueMean()
	mean.Load--
	load := float64(e.load())
	capacity := float64(s.bound.Capacity(mean))
	if load > capacity {
		r.Exceeded++
	}
	r.Peak = max(r.Peak, load/capacity)
	r.PeakMultiple = max(r.PeakMultiple, load*float64(mean.Engines)/float64(mean.Load+1))
}

func (r *Result) completed(s *simulation, q *request) {
	class := q.chat.class
	if s.measures(s.now) {
		r.Served[q.chat.workspace] += float64(q.output)
	}
	if !s.measures(q.arrived) {
		return
	}
	r.Completed[class]++
	r.record(q, s.now-q.arrived, q.firstToken-q.arrived)
}

func (r *Result) lost(s *simulation, q *request) {
	if !s.measures(q.arrived) {
		return
	}
	r.Lost[q.chat.class]++
	if q.started {
		r.Unfinished++
	}
	r.record(q, maxLatency, maxLatency)
}

func (r *Result) record(q *request, latency, firstToken time.Duration) {
	class := q.chat.class
	// Values are clipped to the range of the histogram, so recording never fails.
	_ = r.Latency[class].RecordValue(min(latency, maxLatency).Milliseconds())
	_ = r.FirstToken[class].RecordValue(min(firstToken, maxLatency).Milliseconds())
	if strings.HasPrefix(q.chat.workspace, smallPrefix) {
		_ = r.Small.RecordValue(min(latency, maxLatency).Milliseconds())
		_ = r.SmallClass[class].RecordValue(min(latency, maxLatency).Milliseconds())
	}
}

// sample adds the slots in use.
func (r *Result) sample(s *simulation) {
	if !s.measures(s.now) {
		return
	}
	r.samples++
	for _, e := range s.engines {
		if e.gone {
			continue
		}
		for class, held := range e.held {
			r.Held[class] += float64(held) * tick.Seconds()
		}
	}
}

// finish counts what is left at the end.
func (r *Result) finish(s *simulation) {
	for _, q := range s.requests {
		if q.started {
			r.Unfinished++
		}
	}
}

// Reuse is the fraction of reusable prompt tokens that was in the cache.
func (r *Result) Reuse() float64 {
	return float64(r.Reused) / float64(max(r.Reusable, 1))
}

// Share is the fraction of all slot time that a class held.
func (r *Result) Share(shape Shape, class int) float64 {
	return r.Held[class] / (shape.capacity() * float64(r.samples) * tick.Seconds())
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
