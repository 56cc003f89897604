// Package ejector implements outlier ejection: it reduces the weight of the
// endpoints of a group that are much slower than the others or fail much more
// often.
//
// The caller passes in summaries of the requests that ended at each endpoint, and
// distributes new requests by the resulting weights. Ejection is gradual: the
// weight of an outlier halves in every interval. The total weight taken from a
// group is bounded, so that a fault that all endpoints share never takes the group
// out of service. The share of an endpoint that has recovered or that joins cold
// rises gradually (slow start).
package ejector

import (
	"cmp"
	"slices"
	"time"
)

// Config configures a Group. A zero field gets its default.
type Config struct {
	// Interval is the time between two evaluations.
	Interval time.Duration
	// MaxFraction is the largest fraction of the group's total weight that may be
	// taken away. The total is 1 per endpoint.
	MaxFraction float64
	// LatencyFactor is the multiple of the median latency above which an endpoint
	// is an outlier.
	LatencyFactor float64
	// ErrorMargin is the difference to the median error rate above which an
	// endpoint is an outlier.
	ErrorMargin float64
	// MinRequests is the number of requests in an interval that an endpoint of
	// weight 1 needs to be evaluated.
	MinRequests int
	// SlowStart is the time in which an endpoint rises from no share to its full
	// share.
	SlowStart time.Duration
}

// Defaults of Config.
const (
	DefaultInterval      = 5 * time.Second
	DefaultMaxFraction   = 0.2
	DefaultLatencyFactor = 2.0
	DefaultErrorMargin   = 0.2
	DefaultMinRequests   = 5
	DefaultSlowStart     = 30 * time.Second
)

// MinWeight is the lowest weight. It is above zero because an outlier has to get
// enough requests to show that it has recovered.
const MinWeight = 1.0 / 16

// Summary counts the requests that ended at an endpoint since the last summary.
type Summary struct {
	Requests int
	Failures int
	// Latency is the mean of a latency that does not depend on the kind of the
	// request, such as the inter-token latency.
	Latency time.Duration
}

// State tells how to distribute requests to one endpoint.
type State struct {
	// Weight is 1 for a healthy endpoint and lower for an outlier.
	Weight float64
	// SlowStart is the start of the slow start of an endpoint that joined cold or
	// recovered. It is zero for a warm endpoint.
	SlowStart time.Time
}

// endpoint is the state of one endpoint and its sums over the current interval.
type endpoint struct {
	name      string
	weight    float64
	slowStart time.Time
	// requests, failures and latency are sums over the current interval. latency
	// sums the latencies of all requests.
	requests, failures int
	latency            time.Duration
	// idleIntervals counts the intervals in a row with too few requests to evaluate
	// the endpoint.
	idleIntervals int
}

// Group evaluates a set of interchangeable endpoints, such as the engines of a
// model. It is not safe for concurrent use.
type Group struct {
	config         Config
	endpoints      map[string]*endpoint
	lastEvaluation time.Time
}

// New returns a group without endpoints.
func New(now time.Time, config Config) *Group {
	config.Interval = cmp.Or(config.Interval, DefaultInterval)
	config.MaxFraction = cmp.Or(config.MaxFraction, DefaultMaxFraction)
	config.LatencyFactor = cmp.Or(config.LatencyFactor, DefaultLatencyFactor)
	config.ErrorMargin = cmp.Or(config.ErrorMargin, DefaultErrorMargin)
	config.MinRequests = cmp.Or(config.MinRequests, DefaultMinRequests)
	config.SlowStart = cmp.Or(config.SlowStart, DefaultSlowStart)
	return &Group{config: config, endpoints: map[string]*endpoint{}, lastEvaluation: now}
}

// Join adds an endpoint, or resets a known one that has restarted. A cold
// endpoint gets a slow start. A new aggregator adds the endpoints that already
// run as warm.
func (g *Group) Join(now time.Time, name string, cold bool) {
	e := &endpoint{name: name, weight: 1}
	if cold {
		e.slowStart = now
	}
	g.endpoints[name] = e
}

// Leave removes an endpoint.
func (g *Group) Leave(name string) {
	delete(g.endpoints, name)
}

// Observe adds a summary of an endpoint. It ignores an endpoint that has not
// joined.
func (g *Group) Observe(name string, s Summary) {
	e, ok := g.endpoints[name]
	if !ok {
		return
	}
	e.requests += s.Requests
	e.failures += s.Failures
	e.latency += s.Latency * time.Duration(s.Requests)
}

// State returns the state of an endpoint. An unknown endpoint counts as healthy.
func (g *Group) State(name string) State {
	e, ok := g.endpoints[name]
	if !ok {
		return State{Weight: 1}
	}
	return State{Weight: e.weight, SlowStart: e.slowStart}
}

// Evaluate updates the weights of all endpoints if the interval has passed since
// the last evaluation. It reports whether the states may have changed.
func (g *Group) Evaluate(now time.Time) bool {
	if now.Sub(g.lastEvaluation) < g.config.Interval {
		return false
	}
	g.lastEvaluation = now
	all := g.sortedEndpoints()
	scores := g.outlierScores(all)
	// The bound applies to the group, so the worst outliers are weakened first.
	slices.SortStableFunc(all, func(a, b *endpoint) int {
		return cmp.Compare(scores[b.name], scores[a.name])
	})
	for _, e := range all {
		if scores[e.name] > 1 {
			g.weaken(now, e)
		} else if e.weight < 1 {
			g.recover(now, e)
		}
		e.requests, e.failures, e.latency = 0, 0, 0
	}
	return true
}

// sortedEndpoints returns the endpoints sorted by name.
func (g *Group) sortedEndpoints() []*endpoint {
	all := make([]*endpoint, 0, len(g.endpoints))
	for _, e := range g.endpoints {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *endpoint) int { return cmp.Compare(a.name, b.name) })
	return all
}

// outlierScores returns the outlier score of each endpoint: the larger ratio of
// its error rate and its latency to their limits, which are relative to the
// median. An endpoint with a score above 1 is an outlier. An endpoint with too
// few requests has no score, and neither has any endpoint if fewer than
// minEndpoints have enough.
func (g *Group) outlierScores(all []*endpoint) map[string]float64 {
	var latencies, errorRates []float64
	for _, e := range all {
		if g.hasEnoughRequests(e) {
			latencies = append(latencies, e.meanLatency())
			errorRates = append(errorRates, e.errorRate())
		}
	}
	scores := map[string]float64{}
	if len(latencies) < minEndpoints {
		return scores
	}
	medianLatency := median(latencies)
	medianErrorRate := median(errorRates)
	for _, e := range all {
		if !g.hasEnoughRequests(e) {
			continue
		}
		errorScore := (e.errorRate() - medianErrorRate) / g.config.ErrorMargin
		latencyScore := 0.0
		if medianLatency > 0 {
			latencyScore = e.meanLatency() / (medianLatency * g.config.LatencyFactor)
		}
		scores[e.name] = max(errorScore, latencyScore)
	}
	return scores
}

// minEndpoints is the smallest number of endpoints with enough requests whose
// median can identify an outlier.
const minEndpoints = 3

// hasEnoughRequests reports whether the endpoint has enough requests in this
// interval to be evaluated. The number needed falls with the weight, because an
// endpoint with a lower weight gets fewer requests.
func (g *Group) hasEnoughRequests(e *endpoint) bool {
	return float64(e.requests) >= max(float64(g.config.MinRequests)*e.weight, 1)
}

// weaken halves the weight of an endpoint, or reduces it less if MaxFraction
// does not allow as much.
func (g *Group) weaken(now time.Time, e *endpoint) {
	current := e.weight * g.slowStartShare(now, e)
	available := g.config.MaxFraction * float64(len(g.endpoints))
	for _, other := range g.endpoints {
		if other != e {
			available -= 1 - other.weight
		}
	}
	e.weight = max(current/2, MinWeight, 1-max(available, 0))
	e.weight = min(e.weight, 1)
	e.slowStart = time.Time{}
	e.idleIntervals = 0
}

// recover sets the weight of an endpoint that is no outlier back to 1, with a
// slow start. An endpoint with too few requests is restored only after
// maxIdleIntervals, because its health is unknown.
func (g *Group) recover(now time.Time, e *endpoint) {
	if !g.hasEnoughRequests(e) {
		e.idleIntervals++
		if e.idleIntervals < maxIdleIntervals {
			return
		}
	}
	e.idleIntervals = 0
	// Date the slow start back, so that the share continues from the current weight.
	e.slowStart = now.Add(-time.Duration(e.weight * float64(g.config.SlowStart)))
	e.weight = 1
}

// maxIdleIntervals is the number of intervals with too few requests after which
// an ejection ends.
const maxIdleIntervals = 6

// slowStartShare returns the factor between 0 and 1 by which the slow start
// reduces the share of the endpoint.
func (g *Group) slowStartShare(now time.Time, e *endpoint) float64 {
	if e.slowStart.IsZero() {
		return 1
	}
	return min(float64(now.Sub(e.slowStart))/float64(g.config.SlowStart), 1)
}

func (e *endpoint) meanLatency() float64 {
	return float64(e.latency) / float64(max(e.requests, 1))
}

func (e *endpoint) errorRate() float64 {
	return float64(e.failures) / float64(max(e.requests, 1))
}

// median returns the lower median, so that with an even number of endpoints the
// faster half determines it. It sorts the values in place.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
