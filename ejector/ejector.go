// Package ejector weakens the endpoints of a model group that are much slower
// or fail much more often than the others.
//
// The aggregator of a group feeds it the summaries that owners report and
// publishes the resulting states; routers pass them to the placer. Ejection is
// gradual: the weight of an outlier halves with every interval, and the weight
// taken from the whole group is bounded, so that a fault that all endpoints
// share never removes the group. An endpoint that has recovered, and one that
// joins cold, gets its share back by slow start.
package ejector

import (
	"cmp"
	"slices"
	"time"
)

// Config configures a Group. Zero values mean the defaults.
type Config struct {
	// Interval is the time between evaluations.
	Interval time.Duration
	// MaxFraction bounds the sum of the weights taken away, relative to the
	// number of endpoints.
	MaxFraction float64
	// LatencyFactor is how many times the median latency makes an outlier.
	LatencyFactor float64
	// ErrorMargin is how much above the median an error rate makes an outlier.
	ErrorMargin float64
	// MinRequests is the number of requests in an interval needed to judge.
	MinRequests int
	// SlowStart is the time that the placer takes from no share to full share.
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

// MinWeight is the lowest weight: enough requests must reach an outlier to show
// that it has recovered.
const MinWeight = 1.0 / 16

// Summary is what an owner saw of an endpoint since its last report.
type Summary struct {
	Requests int
	Failures int
	// Latency is the mean of a latency that does not depend on the kind of
	// request, such as the inter-token latency.
	Latency time.Duration
}

// State is what the placer needs to know about an endpoint.
type State struct {
	// Weight is 1 for a healthy endpoint.
	Weight float64
	// SlowStart is when the endpoint joined or returned; zero for a warm one.
	SlowStart time.Time
}

// endpoint is the history of one endpoint.
type endpoint struct {
	name      string
	weight    float64
	slowStart time.Time
	// summed is the sum over the current interval.
	requests, failures int
	latency            time.Duration
	// idle counts intervals with too few requests to judge.
	idle int
}

// Group judges the endpoints of one model group.
type Group struct {
	config    Config
	endpoints map[string]*endpoint
	evaluated time.Time
}

// New returns a group without endpoints.
func New(now time.Time, config Config) *Group {
	config.Interval = cmp.Or(config.Interval, DefaultInterval)
	config.MaxFraction = cmp.Or(config.MaxFraction, DefaultMaxFraction)
	config.LatencyFactor = cmp.Or(config.LatencyFactor, DefaultLatencyFactor)
	config.ErrorMargin = cmp.Or(config.ErrorMargin, DefaultErrorMargin)
	config.MinRequests = cmp.Or(config.MinRequests, DefaultMinRequests)
	config.SlowStart = cmp.Or(config.SlowStart, DefaultSlowStart)
	return &Group{config: config, endpoints: map[string]*endpoint{}, evaluated: now}
}

// Join adds an endpoint, or marks a known one as restarted. A cold endpoint
// gets a slow start; a new aggregator adds the endpoints it finds as warm.
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

// Observe adds a summary. An endpoint that has not joined is ignored.
func (g *Group) Observe(name string, s Summary) {
	e, ok := g.endpoints[name]
	if !ok {
		return
	}
	e.requests += s.Requests
	e.failures += s.Failures
	e.latency += s.Latency * time.Duration(s.Requests)
}

// State returns the state of an endpoint. An unknown endpoint counts as
// healthy.
func (g *Group) State(name string) State {
	e, ok := g.endpoints[name]
	if !ok {
		return State{Weight: 1}
	}
	return State{Weight: e.weight, SlowStart: e.slowStart}
}

// Evaluate judges all endpoints once the interval has passed. It reports
// whether the states may have changed.
func (g *Group) Evaluate(now time.Time) bool {
	if now.Sub(g.evaluated) < g.config.Interval {
		return false
	}
	g.evaluated = now
	all := g.sorted()
	severity := g.severities(all)
	// The worst are weakened first, as long as the bound allows it.
	slices.SortStableFunc(all, func(a, b *endpoint) int {
		return cmp.Compare(severity[b.name], severity[a.name])
	})
	for _, e := range all {
		if severity[e.name] > 1 {
			g.weaken(now, e)
		} else if e.weight < 1 {
			g.recover(now, e)
		}
		e.requests, e.failures, e.latency = 0, 0, 0
	}
	return true
}

// sorted returns the endpoints by name.
func (g *Group) sorted() []*endpoint {
	all := make([]*endpoint, 0, len(g.endpoints))
	for _, e := range g.endpoints {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *endpoint) int { return cmp.Compare(a.name, b.name) })
	return all
}

// severities returns how far each endpoint is beyond the limits relative to the
// median; above 1 is an outlier.
func (g *Group) severities(all []*endpoint) map[string]float64 {
	var latencies, errors []float64
	for _, e := range all {
		if g.judged(e) {
			latencies = append(latencies, e.meanLatency())
			errors = append(errors, e.errorRate())
		}
	}
	severity := map[string]float64{}
	if len(latencies) < minEndpoints {
		return severity
	}
	latency := median(latencies)
	errorRate := median(errors)
	for _, e := range all {
		if !g.judged(e) {
			continue
		}
		byErrors := (e.errorRate() - errorRate) / g.config.ErrorMargin
		byLatency := 0.0
		if latency > 0 {
			byLatency = e.meanLatency() / (latency * g.config.LatencyFactor)
		}
		severity[e.name] = max(byErrors, byLatency)
	}
	return severity
}

// minEndpoints is the smallest number of endpoints whose median says which one
// is the outlier.
const minEndpoints = 3

// judged reports whether the endpoint has enough requests. A weakened one gets
// fewer of them.
func (g *Group) judged(e *endpoint) bool {
	return float64(e.requests) >= max(float64(g.config.MinRequests)*e.weight, 1)
}

// weaken halves the weight within what the group can spare.
func (g *Group) weaken(now time.Time, e *endpoint) {
	current := e.weight * g.ramp(now, e)
	spare := g.config.MaxFraction * float64(len(g.endpoints))
	for _, o := range g.endpoints {
		if o != e {
			spare -= 1 - o.weight
		}
	}
	e.weight = max(current/2, MinWeight, 1-max(spare, 0))
	e.weight = min(e.weight, 1)
	e.slowStart = time.Time{}
	e.idle = 0
}

// recover gives an endpoint its share back once it looks healthy. One without
// requests is tried again after a few intervals.
func (g *Group) recover(now time.Time, e *endpoint) {
	if !g.judged(e) {
		e.idle++
		if e.idle < idleIntervals {
			return
		}
	}
	e.idle = 0
	// The slow start continues from the weight that the endpoint has.
	e.slowStart = now.Add(-time.Duration(e.weight * float64(g.config.SlowStart)))
	e.weight = 1
}

// idleIntervals is how many intervals without requests end an ejection.
const idleIntervals = 6

// ramp returns the slow-start share that the placer applies to the endpoint.
func (g *Group) ramp(now time.Time, e *endpoint) float64 {
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

// median returns the lower median, so that with an even number of endpoints
// the faster half decides.
func median(values []float64) float64 {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
