// Package aggregator computes the mean load of each model group, on which the
// load bound of placement rests (D4 of docs/design.md).
//
// The owner of an endpoint reports its load to the group's aggregator, the
// first live router in rendezvous order, and gets the group's mean with its
// age. When that router does not respond, the report goes to the next one.
// Table (aggregator side) and Means (owner side) are pure; Aggregator does the
// I/O.
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
	// ReportInterval is the time between two reports of an endpoint.
	ReportInterval = time.Second
	// SummaryTTL is the time after which a summary that was not renewed no
	// longer counts.
	SummaryTTL = 3 * time.Second
	// MaxLeastLoaded bounds the endpoints named in a response.
	MaxLeastLoaded = 3
	// maxSummaries bounds the endpoints of one group.
	maxSummaries = 1024
)

// Summary is the load of one endpoint.
type Summary struct {
	Endpoint string `json:"endpoint"`
	// Epoch is that of the endpoint's owner; a report of an earlier owner
	// does not replace that of a later one.
	Epoch int64 `json:"epoch"`
	// Load is the number of requests queued and running.
	Load int `json:"load"`
}

// LoadRequest reports the endpoints of a group that a router owns.
type LoadRequest struct {
	Group string `json:"group"`
	From  string `json:"from"`
	// Summaries may be empty: a router without an endpoint of the group asks
	// for the mean only.
	Summaries []Summary `json:"summaries,omitempty"`
}

// LoadResponse is the state of the group.
type LoadResponse struct {
	Group string `json:"group"`
	// Total is the load of the group and Endpoints how many endpoints it is
	// the sum of.
	Total     int `json:"total"`
	Endpoints int `json:"endpoints"`
	// AgeMS is the age in milliseconds of the oldest summary in Total.
	AgeMS int64 `json:"age-ms"`
	// LeastLoaded holds the endpoints with the lowest load, lowest first.
	LeastLoaded []Summary `json:"least-loaded,omitempty"`
}

// entry is a summary with the time of its arrival.
type entry struct {
	Summary
	at time.Time
}

// Table holds the summaries of the groups that a router aggregates. It is not
// safe for concurrent use.
type Table struct {
	// groups maps group and endpoint to the latest summary.
	groups map[string]map[string]entry
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{groups: map[string]map[string]entry{}}
}

// Merge takes in a report. Negative loads and reports of an earlier owner are
// ignored.
func (t *Table) Merge(now time.Time, r LoadRequest) {
	t.expire(now, r.Group)
	group := t.groups[r.Group]
	if group == nil {
		group = map[string]entry{}
	}
	for _, s := range r.Summaries {
		known, ok := group[s.Endpoint]
		if s.Load < 0 || ok && known.Epoch > s.Epoch || !ok && len(group) >= maxSummaries {
			continue
		}
		group[s.Endpoint] = entry{s, now}
	}
	if len(group) > 0 {
		t.groups[r.Group] = group
	}
}

// expire drops the summaries of a group that were not renewed in time.
func (t *Table) expire(now time.Time, group string) {
	for endpoint, e := range t.groups[group] {
		if now.Sub(e.at) >= SummaryTTL {
			delete(t.groups[group], endpoint)
		}
	}
	if len(t.groups[group]) == 0 {
		delete(t.groups, group)
	}
}

// Expire drops outdated summaries of all groups.
func (t *Table) Expire(now time.Time) {
	for group := range t.groups {
		t.expire(now, group)
	}
}

// Summary returns the state of a group.
func (t *Table) Summary(now time.Time, group string) LoadResponse {
	t.expire(now, group)
	response := LoadResponse{Group: group}
	all := make([]Summary, 0, len(t.groups[group]))
	for _, e := range t.groups[group] {
		age := max(0, now.Sub(e.at))
		assert(age < SummaryTTL, "summary of %s is %s old", e.Endpoint, age)
		response.Total += e.Load
		response.Endpoints++
		response.AgeMS = max(response.AgeMS, age.Milliseconds())
		all = append(all, e.Summary)
	}
	slices.SortFunc(all, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.Load, b.Load), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	response.LeastLoaded = all[:min(len(all), MaxLeastLoaded)]
	return response
}

// assert stops the process at a state that must not occur: a wrong mean would
// break the load bound.
func assert(ok bool, format string, args ...any) {
	if !ok {
		panic("aggregator: " + fmt.Sprintf(format, args...))
	}
}
