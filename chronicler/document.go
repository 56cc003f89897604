package chronicler

import (
	"maps"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale/subscriber"
)

// Document lists the software versions that have served of each service lately. New
// streams begin only at versions that are in it, so it also lists the versions of all
// streams that can still be taken up.
type Document struct {
	// Era is the era of the store in which the document was written. A copy of the store
	// may lack versions that have served since the copy was made.
	Era int64 `json:"era"`
	// Complete is set if the routers have observed the services for long enough to know
	// that no other version has begun a stream.
	Complete bool `json:"complete"`
	// Services holds the versions by service, in order.
	Services map[string][]string `json:"services"`
}

// contains reports whether the document lists the version.
func (d *Document) contains(service, version string) bool {
	return d != nil && slices.Contains(d.Services[service], version)
}

// equal reports whether two documents say the same.
func (d *Document) equal(other *Document) bool {
	return d.Era == other.Era && d.Complete == other.Complete && maps.EqualFunc(d.Services, other.Services, slices.Equal)
}

// Observation is what this process has seen of the versions that serve. It is not safe
// for concurrent use.
type Observation struct {
	// since is the time of the first state, and seenAt the last time at which each
	// version of a service was registered.
	since  time.Time
	seenAt map[string]map[string]time.Time
	// present holds the registered versions by service.
	present map[string]map[string]bool
}

// Observe records the endpoints of a state.
func (o *Observation) Observe(now time.Time, state *subscriber.State) {
	if o.seenAt == nil {
		o.since, o.seenAt = now, map[string]map[string]time.Time{}
	}
	o.touch(now)
	o.present = map[string]map[string]bool{}
	for _, e := range state.AllEndpoints() {
		if o.present[e.Service] == nil {
			o.present[e.Service] = map[string]bool{}
		}
		o.present[e.Service][e.Version] = true
	}
	o.touch(now)
}

// touch records that the registered versions are still registered.
func (o *Observation) touch(now time.Time) {
	for service, versions := range o.present {
		if o.seenAt[service] == nil {
			o.seenAt[service] = map[string]time.Time{}
		}
		for v := range versions {
			o.seenAt[service][v] = now
		}
	}
}

// Versions returns the registered versions of a service.
func (o *Observation) Versions(service string) []string {
	return slices.Sorted(maps.Keys(o.present[service]))
}

// Next returns the document that should follow the current one, which is nil if the store
// has none. period is the longest time for which a stream may be taken up, and first is set if
// the fleet has never run before. A version is dropped only by a process that has not
// seen it for the period.
func (o *Observation) Next(now time.Time, era int64, current *Document, period time.Duration, first bool) Document {
	o.touch(now)
	services := map[string]map[string]bool{}
	add := func(service, version string) {
		if services[service] == nil {
			services[service] = map[string]bool{}
		}
		services[service][version] = true
	}
	for service, versions := range o.seenAt {
		for v, at := range versions {
			if now.Sub(at) < period {
				add(service, v)
			}
		}
	}
	observed := now.Sub(o.since) >= period
	next := Document{Era: era, Complete: observed, Services: map[string][]string{}}
	if current == nil {
		next.Complete = next.Complete || first
	} else {
		next.Complete = next.Complete || current.Complete && current.Era == era
		for service, versions := range current.Services {
			for _, v := range versions {
				if _, seen := o.seenAt[service][v]; !observed && !seen || seen && now.Sub(o.seenAt[service][v]) < period {
					add(service, v)
				}
			}
		}
	}
	for service, versions := range services {
		next.Services[service] = slices.Sorted(maps.Keys(versions))
	}
	return next
}
