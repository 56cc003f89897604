package pinner

import (
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale/subscriber"
)

// Versions is what a router has seen of the versions of a service.
type Versions struct {
	// Present holds the versions of the registered endpoints, in order.
	Present []string `json:"present,omitempty"`
	// SoleMS is the time, in milliseconds, for which the router has seen no other
	// version than the one that is present; zero if there is none or there are several.
	SoleMS int64 `json:"sole-ms,omitempty"`
	// Changed is set if SoleMS began when another version left, and not when the router
	// began to look.
	Changed bool `json:"changed,omitempty"`
}

// History follows the versions of all services. It is not safe for concurrent use.
type History struct {
	services map[string]*serviceHistory
}

// serviceHistory follows the versions of one service.
type serviceHistory struct {
	present []string
	// soleSince is when the latest other version than the present one left, or when the
	// service was first seen.
	soleSince time.Time
	// changed is set once a version has left or a second one appeared.
	changed bool
}

// Observe records the endpoints of a state. It returns the services that no longer have
// only the version that they had.
func (h *History) Observe(now time.Time, state *subscriber.State) []string {
	if h.services == nil {
		h.services = map[string]*serviceHistory{}
	}
	present := map[string][]string{}
	for _, e := range state.AllEndpoints() {
		if !slices.Contains(present[e.Service], e.Version) {
			present[e.Service] = append(present[e.Service], e.Version)
		}
	}
	var diverged []string
	for service, versions := range present {
		slices.Sort(versions)
		s := h.services[service]
		if s == nil {
			h.services[service] = &serviceHistory{present: versions, soleSince: now}
			continue
		}
		if slices.Equal(s.present, versions) {
			continue
		}
		if len(s.present) == 1 {
			diverged = append(diverged, service)
		}
		s.present, s.soleSince, s.changed = versions, now, true
	}
	return diverged
}

// Versions returns what is known of a service.
func (h *History) Versions(now time.Time, service string) Versions {
	s := h.services[service]
	if s == nil {
		return Versions{}
	}
	v := Versions{Present: s.present, Changed: s.changed}
	if len(s.present) == 1 {
		v.SoleMS = max(1, now.Sub(s.soleSince).Milliseconds())
	}
	return v
}

// IsMixed reports whether the service has several versions or had them within the
// period, so that its streams need pins at other routers.
func (h *History) IsMixed(now time.Time, service string, period time.Duration) bool {
	v := h.Versions(now, service)
	return len(v.Present) > 1 || v.Changed && time.Duration(v.SoleMS)*time.Millisecond < period
}

// SoleVersion returns the version that must have begun a stream of at most the given
// age whose pin is unknown, and false if there may be several. seen is what routers
// have seen of the service, this one included.
func SoleVersion(seen []Versions, age time.Duration) (string, bool) {
	sole, known := "", false
	longest := time.Duration(0)
	for _, v := range seen {
		if len(v.Present) == 0 {
			continue
		}
		period := time.Duration(v.SoleMS) * time.Millisecond
		if len(v.Present) > 1 || known && v.Present[0] != sole || v.Changed && period < age {
			return "", false
		}
		sole, known = v.Present[0], true
		longest = max(longest, period)
	}
	return sole, known && longest >= age
}
