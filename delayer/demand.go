package delayer

import (
	"math"
	"time"
)

// demandPeriod is the period over which Demand averages.
const demandPeriod = 5 * time.Second

// Demand estimates the load of a service from the requests that arrive for it and
// from those that end. The zero value is ready. It is not safe for concurrent use.
type Demand struct {
	// rate is the mean number of requests a second at the time updatedAt.
	rate      float64
	updatedAt time.Time
	// duration is the mean duration of a request; zero if none has ended.
	duration time.Duration
}

// AddRequest records the arrival of a request.
func (d *Demand) AddRequest(now time.Time) {
	d.rate = d.Rate(now) + 1/demandPeriod.Seconds()
	d.updatedAt = now
}

// AddDuration records how long an endpoint was busy with a request.
func (d *Demand) AddDuration(duration time.Duration) {
	if d.duration == 0 {
		d.duration = duration
	}
	d.duration += (duration - d.duration) / 16
}

// Rate returns the mean number of requests a second.
func (d *Demand) Rate(now time.Time) float64 {
	if d.updatedAt.IsZero() {
		return 0
	}
	return d.rate * math.Exp(-max(0, now.Sub(d.updatedAt).Seconds())/demandPeriod.Seconds())
}

// Duration returns the mean duration of a request, or fallback if it is unknown.
func (d *Demand) Duration(fallback time.Duration) time.Duration {
	if d.duration == 0 {
		return fallback
	}
	return d.duration
}
