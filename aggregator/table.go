// Package aggregator computes the mean load of each model group. Placement bounds
// the load of each endpoint by a multiple of this mean (D4 of docs/design.md).
//
// One router, the first live one in rendezvous order, aggregates the loads of a
// group. The owner of an endpoint reports the endpoint's load to that router, and
// the response holds the load of the group and its age. If the router does not
// respond, the report goes to the next one in the order.
//
// Table holds the loads on the aggregating router and MeanCache the means on the
// reporting router. Both are free of I/O; Aggregator sends and receives the reports.
package aggregator

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// LoadPath is the path of a LoadRequest below /peer/v1/.
	LoadPath = "load"
	// ReportInterval is the time between two periodic reports of a group.
	ReportInterval = time.Second
	// LoadTTL is the time after which a reported load that was not reported again
	// no longer counts.
	LoadTTL = 3 * time.Second
	// MaxLeastLoaded is the maximum number of endpoints named in a response.
	MaxLeastLoaded = 3
	// maxEndpoints is the maximum number of endpoints of one group.
	maxEndpoints = 1024
)

// EndpointLoad is the load of one endpoint, reported by its owner.
type EndpointLoad struct {
	Endpoint string `json:"endpoint"`
	// Epoch is the epoch of the reporter's ownership of the endpoint. The report of
	// an earlier owner does not replace that of a later one.
	Epoch int64 `json:"epoch"`
	// Load is the number of requests queued and running.
	Load int `json:"load"`
}

// LoadRequest reports the loads of the endpoints of a group that a router owns.
type LoadRequest struct {
	Group string `json:"group"`
	From  string `json:"from"`
	// Loads may be empty: a router that owns no endpoint of the group sends such a
	// request to get the mean.
	Loads []EndpointLoad `json:"summaries,omitempty"`
}

// LoadResponse is the load of a group.
type LoadResponse struct {
	Group string `json:"group"`
	// Total is the sum of the loads of the group, and Endpoints is the number of
	// endpoints that it covers.
	Total     int `json:"total"`
	Endpoints int `json:"endpoints"`
	// AgeMS is the age in milliseconds of the oldest load in Total.
	AgeMS int64 `json:"age-ms"`
	// LeastLoaded holds the endpoints with the lowest load, lowest first.
	LeastLoaded []EndpointLoad `json:"least-loaded,omitempty"`
}

// receivedLoad is a load with the time of its arrival.
type receivedLoad struct {
	EndpointLoad
	at time.Time
}

// Table holds the reported loads of the groups that a router aggregates. It is not
// safe for concurrent use.
type Table struct {
	// groups maps the name of a group and of an endpoint to the latest load.
	groups map[string]map[string]receivedLoad
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{groups: map[string]map[string]receivedLoad{}}
}

// Merge stores the loads of a report that arrived at now. It ignores negative
// loads, loads from an earlier owner, and new endpoints of a group that has
// maxEndpoints.
func (t *Table) Merge(now time.Time, r LoadRequest) {
	t.expireGroup(now, r.Group)
	group := t.groups[r.Group]
	if group == nil {
		group = map[string]receivedLoad{}
	}
	for _, s := range r.Loads {
		known, ok := group[s.Endpoint]
		if s.Load < 0 || ok && known.Epoch > s.Epoch || !ok && len(group) >= maxEndpoints {
			continue
		}
		group[s.Endpoint] = receivedLoad{s, now}
	}
	if len(group) > 0 {
		t.groups[r.Group] = group
	}
}

// expireGroup drops the loads of a group that are older than LoadTTL.
func (t *Table) expireGroup(now time.Time, group string) {
	for endpoint, e := range t.groups[group] {
		if now.Sub(e.at) >= LoadTTL {
			delete(t.groups[group], endpoint)
		}
	}
	if len(t.groups[group]) == 0 {
		delete(t.groups, group)
	}
}

// Expire drops the loads of all groups that are older than LoadTTL.
func (t *Table) Expire(now time.Time) {
	for group := range t.groups {
		t.expireGroup(now, group)
	}
}

// Aggregate returns the total load of a group and its least loaded endpoints.
func (t *Table) Aggregate(now time.Time, group string) LoadResponse {
	t.expireGroup(now, group)
	response := LoadResponse{Group: group}
	all := make([]EndpointLoad, 0, len(t.groups[group]))
	for _, e := range t.groups[group] {
		age := max(0, now.Sub(e.at))
		assert(age < LoadTTL, "load of %s is %s old", e.Endpoint, age)
		response.Total += e.Load
		response.Endpoints++
		response.AgeMS = max(response.AgeMS, age.Milliseconds())
		all = append(all, e.EndpointLoad)
	}
	slices.SortFunc(all, func(a, b EndpointLoad) int {
		return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	response.LeastLoaded = all[:min(len(all), MaxLeastLoaded)]
	return response
}

// assert panics if an invariant is violated: a wrong mean would break the load
// bound.
func assert(ok bool, format string, args ...any) {
	if !ok {
		panic("aggregator: " + fmt.Sprintf(format, args...))
	}
}
