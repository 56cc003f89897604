// Package limiter bounds what is admitted: Concurrency learns how many
// requests an engine carries, Ownership reduces that limit while another router
// may still admit work to the same engine, and Holder and Spender share a
// workspace's token rate among the routers that its requests reach.
//
// The package is pure: every call takes the time.
package limiter

import (
	"math"
	"time"
)

// ConcurrencyConfig configures a Concurrency.
type ConcurrencyConfig struct {
	// Max is the configured maximum; the limit is never above it.
	Max int
	// Min keeps a slow engine reachable; zero means 1.
	Min int
	// Initial is the first limit; zero means half of Max.
	Initial int
	// MaxQueued is how many requests may wait inside the engine, where
	// priorities have no effect any more.
	MaxQueued int
	// TargetTokenTime is the inter-token latency above which the limit falls;
	// zero disables this signal.
	TargetTokenTime time.Duration
}

const (
	// backoff is the factor by which the limit falls.
	backoff = 0.85
	// growth is the number of slots added per second while all are in use.
	growth = 1.0
	// settle is how long after a change of the limit its effect is awaited in
	// addition to the age of the reports.
	settle = time.Second
)

// Report is a load report of an engine.
type Report struct {
	// Taken is when the engine measured the values.
	Taken   time.Time
	Running int
	Queued  int
	// Slots is the engine's own batch limit; zero if unknown.
	Slots int
}

// Concurrency learns the concurrency limit of one engine.
type Concurrency struct {
	config ConcurrencyConfig
	limit  float64
	// reduced is when the limit last fell. Reports taken before its effect
	// could show must not reduce it again.
	reduced time.Time
	latest  time.Time
	slots   int
	// tokenTime is the moving average of the inter-token latency in seconds.
	tokenTime float64
	samples   int
}

// NewConcurrency returns a limiter at its initial limit.
func NewConcurrency(config ConcurrencyConfig) *Concurrency {
	config.Min = min(max(config.Min, 1), max(config.Max, 1))
	if config.Initial <= 0 {
		config.Initial = (config.Max + 1) / 2
	}
	c := &Concurrency{config: config, limit: float64(config.Initial)}
	c.clamp()
	return c
}

// Limit returns how many requests may run at the engine.
func (c *Concurrency) Limit() int {
	return int(math.Floor(c.limit))
}

// Observe adds the inter-token latency of a finished or running stream.
func (c *Concurrency) Observe(now time.Time, tokenTime time.Duration) {
	seconds := tokenTime.Seconds()
	if c.samples == 0 {
		c.tokenTime = seconds
	}
	c.samples++
	c.tokenTime += latencyRate * (seconds - c.tokenTime)
	if c.slow() {
		c.reduce(now, now)
	}
}

// latencyRate is the weight of a new latency sample in the moving average.
const latencyRate = 0.1

// Report applies a load report. inUse is the number of requests that the owner
// has at the engine now. Reports that arrive out of order are ignored.
func (c *Concurrency) Report(now time.Time, r Report, inUse int) {
	if !r.Taken.After(c.latest) {
		return
	}
	elapsed := min(r.Taken.Sub(c.latest), 5*time.Second)
	if c.latest.IsZero() {
		elapsed = 0
	}
	c.latest = r.Taken
	if r.Slots > 0 {
		c.slots = r.Slots
		c.clamp()
	}
	if r.Queued > c.config.MaxQueued {
		c.reduce(now, r.Taken)
		return
	}
	// Growth without use would only forget what was learned.
	if inUse >= c.Limit() && !c.slow() && r.Taken.After(c.reduced.Add(settle)) {
		c.limit += growth * elapsed.Seconds()
		c.clamp()
	}
}

// slow reports whether streams are slower than the target.
func (c *Concurrency) slow() bool {
	return c.config.TargetTokenTime > 0 && c.samples >= minSamples && c.tokenTime > c.config.TargetTokenTime.Seconds()
}

// minSamples is how many streams are needed to trust their average.
const minSamples = 5

// reduce lowers the limit once per round trip of its effect.
func (c *Concurrency) reduce(now, taken time.Time) {
	if !c.reduced.IsZero() && taken.Before(c.reduced.Add(settle)) {
		return
	}
	c.reduced = now
	c.limit *= backoff
	c.clamp()
}

// clamp keeps the limit between the minimum and the lower of the configured
// maximum and the engine's slots.
func (c *Concurrency) clamp() {
	top := float64(c.config.Max)
	if c.slots > 0 {
		top = min(top, float64(c.slots+c.config.MaxQueued))
	}
	c.limit = min(max(c.limit, float64(c.config.Min)), top)
}
