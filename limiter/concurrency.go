// Package limiter computes limits on admission.
//
// Concurrency adapts the number of requests that an engine runs at once to its
// load reports and latency. Ownership reduces that limit while another router may
// still admit requests to the same engine. TokenBucket divides a workspace's
// token rate (its quota) among the entry routers that its requests reach, as
// grants that expire; GrantPool spends these grants at an entry router.
//
// The package reads no clock and does no I/O: the caller passes the time.
package limiter

import (
	"math"
	"time"
)

// ConcurrencyConfig configures a Concurrency.
type ConcurrencyConfig struct {
	// Max is the highest limit.
	Max int
	// Min is the lowest limit, which keeps a slow engine in use; zero means 1.
	Min int
	// Initial is the limit at the start; zero means half of Max, rounded up.
	Initial int
	// MaxQueued is the number of requests that may wait inside the engine,
	// where priorities no longer have an effect.
	MaxQueued int
	// TargetTokenTime is the inter-token latency above which the limit falls;
	// zero disables this signal.
	TargetTokenTime time.Duration
}

const (
	// decreaseFactor is the factor by which the limit is multiplied on overload.
	decreaseFactor = 0.85
	// increasePerSecond is the number of slots that are added to the limit per
	// second while all are in use.
	increasePerSecond = 1.0
	// settleTime is the time from a reduction of the limit until load reports
	// that the engine takes can show its effect.
	settleTime = time.Second
)

// LoadReport is a load report of an engine.
type LoadReport struct {
	// Taken is when the engine measured the values.
	Taken   time.Time
	Running int
	Queued  int
	// Slots is the largest batch that the engine runs; zero if unknown.
	Slots int
}

// Concurrency adapts the concurrency limit of one engine by additive increase and
// multiplicative decrease. It is not safe for concurrent use.
type Concurrency struct {
	config ConcurrencyConfig
	limit  float64
	// lastReduction is when the limit last fell. Reports taken before the effect
	// could show must not reduce the limit again.
	lastReduction time.Time
	latestReport  time.Time
	slots         int
	// tokenTime is the moving average of the inter-token latency in seconds.
	tokenTime float64
	samples   int
}

// NewConcurrency returns a Concurrency at its initial limit.
func NewConcurrency(config ConcurrencyConfig) *Concurrency {
	config.Min = min(max(config.Min, 1), max(config.Max, 1))
	if config.Initial <= 0 {
		config.Initial = (config.Max + 1) / 2
	}
	c := &Concurrency{config: config, limit: float64(config.Initial)}
	c.clamp()
	return c
}

// Limit returns the number of requests that may run at the engine.
func (c *Concurrency) Limit() int {
	return int(math.Floor(c.limit))
}

// ObserveTokenTime adds a sample of the inter-token latency of a finished or
// running stream.
func (c *Concurrency) ObserveTokenTime(now time.Time, tokenTime time.Duration) {
	seconds := tokenTime.Seconds()
	if c.samples == 0 {
		c.tokenTime = seconds
	}
	c.samples++
	c.tokenTime += latencyWeight * (seconds - c.tokenTime)
	if c.isSlow() {
		c.reduce(now, now)
	}
}

// latencyWeight is the weight of a new latency sample in the moving average.
const latencyWeight = 0.1

// ApplyReport adjusts the limit to a load report. inUse is the number of requests
// that the owner has at the engine now. A report that is not newer than the
// latest one is ignored.
func (c *Concurrency) ApplyReport(now time.Time, r LoadReport, inUse int) {
	if !r.Taken.After(c.latestReport) {
		return
	}
	elapsed := min(r.Taken.Sub(c.latestReport), 5*time.Second)
	if c.latestReport.IsZero() {
		elapsed = 0
	}
	c.latestReport = r.Taken
	if r.Slots > 0 {
		c.slots = r.Slots
		c.clamp()
	}
	if r.Queued > c.config.MaxQueued {
		c.reduce(now, r.Taken)
		return
	}
	// If the limit grew while it is not reached, it would lose the value that
	// earlier overloads have shown.
	if inUse >= c.Limit() && !c.isSlow() && r.Taken.After(c.lastReduction.Add(settleTime)) {
		c.limit += increasePerSecond * elapsed.Seconds()
		c.clamp()
	}
}

// isSlow reports whether the average inter-token latency is above the target.
func (c *Concurrency) isSlow() bool {
	return c.config.TargetTokenTime > 0 && c.samples >= minSamples && c.tokenTime > c.config.TargetTokenTime.Seconds()
}

// minSamples is the number of samples from which on their average is used.
const minSamples = 5

// reduce lowers the limit because of an overload observed at taken, unless the
// effect of the last reduction could not show by then.
func (c *Concurrency) reduce(now, taken time.Time) {
	if !c.lastReduction.IsZero() && taken.Before(c.lastReduction.Add(settleTime)) {
		return
	}
	c.lastReduction = now
	c.limit *= decreaseFactor
	c.clamp()
}

// clamp keeps the limit between the configured minimum and maximum and, if the
// engine's slots are known, within the requests that it may run and queue.
func (c *Concurrency) clamp() {
	upper := float64(c.config.Max)
	if c.slots > 0 {
		upper = min(upper, float64(c.slots+c.config.MaxQueued))
	}
	c.limit = min(max(c.limit, float64(c.config.Min)), upper)
}
