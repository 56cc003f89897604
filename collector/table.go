package collector

import (
	"maps"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// maxWithoutCollectors is the largest number of routers that do without
	// collectors: each hears all others within a second.
	maxWithoutCollectors = 16
	// routersPerCollector is the largest number of routers that report to one
	// collector. At three reports a second it takes a few percent of a small VM.
	routersPerCollector = 48
	// collectorKey is the hash key by which routers are ranked to choose the
	// collectors.
	collectorKey = "load-collectors"
	// expiry is how long a report counts. It covers a few lost messages.
	expiry = 1500 * time.Millisecond
	// minReporters is the number of routers that must suspend an endpoint before others do.
	// One router alone may have lost its own path to a sound endpoint.
	minReporters = 2
	// maxSuspended bounds the suspended endpoints in a message: 2 KB at 20 bytes an ID.
	maxSuspended = 100
)

// Collectors returns the IDs of the collectors by failure domain, or nil if the
// fleet does without. Routers with the same member list compute the same ones.
func Collectors(members []bergamotdale.Member) map[string][]string {
	if len(members) <= maxWithoutCollectors {
		return nil
	}
	domains := map[string][]string{}
	for _, m := range members {
		domains[m.FailureDomain] = append(domains[m.FailureDomain], m.ID)
	}
	for domain, ids := range domains {
		n := (len(ids) + routersPerCollector - 1) / routersPerCollector
		domains[domain] = hasher.Order(collectorKey, ids)[:n]
	}
	return domains
}

// order returns the collectors in the order in which a router asks them. It
// spreads the routers of a failure domain over its collectors.
func order(self string, collectors []string) []string {
	return hasher.Order(self, collectors)
}

// report is the latest report of a router or of another collector.
type report struct {
	loads      map[string]int
	covers     int
	receivedAt time.Time
	// suspended holds the endpoints that the router suspends.
	suspended []string
}

// Table holds the reports that a collector has received. The zero value is ready.
// It is not safe for concurrent use.
type Table struct {
	// own holds the loads of the collector itself.
	own map[string]int
	// ownSuspended holds the endpoints that the collector itself suspends.
	ownSuspended []string
	// routers holds the reports of single routers, and domains the sums of other
	// collectors, by ID. A router is in one of them at most once, since it reports
	// to one collector.
	routers, domains map[string]report
}

// SetOwn replaces the loads of the collector itself.
func (t *Table) SetOwn(loads map[string]int) { t.own = loads }

// SetRouter replaces the report of a router. suspended holds the endpoints that it
// suspends.
func (t *Table) SetRouter(now time.Time, id string, loads map[string]int, suspended []string) {
	if t.routers == nil {
		t.routers = map[string]report{}
	}
	t.routers[id] = report{loads: loads, covers: 1, receivedAt: now, suspended: suspended}
}

// SetOwnSuspended replaces the endpoints that the collector itself suspends.
func (t *Table) SetOwnSuspended(suspended []string) { t.ownSuspended = suspended }

// Suspended returns up to maxSuspended endpoints that minReporters of the routers that
// report to the collector, with itself, suspend, ordered by ID. The reports of the router
// with the ID except, which may be that of the collector, are left out.
func (t *Table) Suspended(now time.Time, self, except string) []string {
	reporters := map[string]int{}
	if except != self {
		for _, id := range t.ownSuspended {
			reporters[id]++
		}
	}
	for router, r := range t.routers {
		if router == except || now.Sub(r.receivedAt) >= expiry {
			continue
		}
		for _, id := range r.suspended {
			reporters[id]++
		}
	}
	maps.DeleteFunc(reporters, func(_ string, n int) bool { return n < minReporters })
	ids := slices.Sorted(maps.Keys(reporters))
	return ids[:min(len(ids), maxSuspended)]
}

// SetDomain replaces the sums of another collector.
func (t *Table) SetDomain(now time.Time, id string, loads map[string]int, covers int) {
	if t.domains == nil {
		t.domains = map[string]report{}
	}
	t.domains[id] = report{loads: loads, covers: covers, receivedAt: now}
}

// Sums returns the sums of the collector itself and of the routers that report to
// it, and their number.
func (t *Table) Sums(now time.Time) (map[string]int, int) {
	sums, covers := map[string]int{}, 1
	for id, n := range t.own {
		sums[id] += n
	}
	return sums, covers + add(now, sums, t.routers)
}

// Totals returns the sums of all routers known, and their number.
func (t *Table) Totals(now time.Time) (map[string]int, int) {
	totals, covers := t.Sums(now)
	return totals, covers + add(now, totals, t.domains)
}

// add adds the reports to the sums and returns how many routers they cover. It
// removes those that have expired.
func add(now time.Time, sums map[string]int, reports map[string]report) int {
	covers := 0
	for id, r := range reports {
		if now.Sub(r.receivedAt) >= expiry {
			delete(reports, id)
			continue
		}
		covers += r.covers
		for endpoint, n := range r.loads {
			sums[endpoint] += n
		}
	}
	return covers
}
