package collector

import (
	"math"
	"time"
)

// Demands holds the demand for services with few endpoints, of one router or the sum of
// several; see package apportioner.
type Demands struct {
	// Services holds, by name, the requests a second and the processing time that they
	// take, in seconds a second, both in thousandths. As an array it has a short JSON
	// form.
	Services map[string][2]int64 `json:"services,omitempty"`
	// Covers is the number of routers included. It is zero if none tells its demand, such
	// as those of earlier versions.
	Covers int `json:"covers,omitempty"`
}

// DemandExchange is the admission of this router, whose demand goes with the loads.
type DemandExchange interface {
	// Demands returns the demand of this router.
	Demands() Demands
	// SetDemands replaces the demand of the other routers.
	SetDemands(now time.Time, others Demands)
}

// Add adds the demand for a service.
func (d *Demands) Add(service string, requests, work float64) {
	if d.Services == nil {
		d.Services = map[string][2]int64{}
	}
	sum := d.Services[service]
	sum[0] += int64(math.Round(requests * 1000))
	sum[1] += int64(math.Round(work * 1000))
	d.Services[service] = sum
}

// maxRequests and maxWork limit the demand for a service: requests a second, and their
// processing time in seconds. Larger figures in a message of another router cannot be true.
const (
	maxRequests = 1e6
	maxWork     = 3600
)

// Of returns the demand for a service. It is finite and not negative, whatever other routers
// have sent.
func (d Demands) Of(service string) (requests, work float64) {
	sum := d.Services[service]
	requests = min(max(0, float64(sum[0])/1000), maxRequests)
	return requests, min(max(0, float64(sum[1])/1000), requests*maxWork)
}

// plus returns the sum, with other multiplied by factor, 1 or -1. Values below zero
// become zero: a router may have told more than the sum of an earlier message has.
func (d *Demands) plus(other *Demands, factor int64) *Demands {
	sum := &Demands{Covers: max(0, d.Covers+int(factor)*other.Covers), Services: map[string][2]int64{}}
	for _, part := range []struct {
		demands *Demands
		factor  int64
	}{{d, 1}, {other, factor}} {
		for name, n := range part.demands.Services {
			have := sum.Services[name]
			sum.Services[name] = [2]int64{max(0, have[0]+part.factor*n[0]), max(0, have[1]+part.factor*n[1])}
		}
	}
	return sum
}

// demandTable holds the demands that a collector has received. The zero value is ready.
// It is not safe for concurrent use.
type demandTable struct {
	// routers holds the demands of single routers, and domains the sums of other
	// collectors, by ID.
	routers, domains map[string]demandReport
}

// demandReport is the latest demand of a router or of another collector.
type demandReport struct {
	demands    *Demands
	receivedAt time.Time
}

// set replaces the demand of a router, or the sums of another collector if ofDomain is
// set.
func (t *demandTable) set(now time.Time, id string, d *Demands, ofDomain bool) {
	if t.routers == nil {
		t.routers, t.domains = map[string]demandReport{}, map[string]demandReport{}
	}
	reports := t.routers
	if ofDomain {
		reports = t.domains
	}
	delete(reports, id)
	if d != nil {
		reports[id] = demandReport{d, now}
	}
}

// sums returns the demand of the routers that report to this collector with the given
// one of its own, and totals that of all routers known.
func (t *demandTable) sums(now time.Time, own *Demands) *Demands {
	return addDemands(now, own, t.routers)
}

func (t *demandTable) totals(now time.Time, own *Demands) *Demands {
	return addDemands(now, t.sums(now, own), t.domains)
}

// addDemands adds the reports to a sum and removes those that have expired.
func addDemands(now time.Time, sum *Demands, reports map[string]demandReport) *Demands {
	for id, r := range reports {
		if now.Sub(r.receivedAt) >= expiry {
			delete(reports, id)
			continue
		}
		sum = sum.plus(r.demands, 1)
	}
	return sum
}
