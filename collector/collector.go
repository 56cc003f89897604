// Package collector sums up how many requests all routers of a large fleet have in
// flight at each endpoint.
//
// In a small fleet each router hears the report of every other one within a
// second; see package exchanger. Among 195 routers it hears ten in two seconds,
// and loads extrapolated from these are mostly chance: an endpoint with 5 requests
// seems to have none or 20. So each failure domain has a collector. The routers of
// the domain send it their loads and get back the sums of the whole fleet, and the
// collectors exchange the sums of their domains. A router without a collector that
// responds goes on with the reports that it hears.
//
// Table adds the loads and does no I/O. Collector sends and receives them.
package collector

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/tracker"
)

const (
	// Path is the path of a LoadReport below /peer/v1/.
	Path = "load-totals"
	// minInterval is the least time between two reports of a router to its
	// collector, or between two messages of a collector to the same other one.
	minInterval = 300 * time.Millisecond
	// bytesPerEndpoint is the size of an endpoint's load in a message, and
	// overheadBytes that of the rest of a request and its response.
	bytesPerEndpoint = 20
	overheadBytes    = 700
	// bytesPerService is the size of the demand for a service.
	bytesPerService = 40
	// bytesPerCount is the size of a load in a message without the IDs of endpoints, two
	// digits and a comma, and compactOverheadBytes that of the rest, which includes the
	// loads of the router itself with the IDs of some 30 endpoints.
	bytesPerCount        = 3
	compactOverheadBytes = 1_400
	// maxBytesPerSecond limits what a router receives from its collector. With
	// many endpoints the interval grows.
	maxBytesPerSecond = 7_500
	// callTimeout is the timeout of one message.
	callTimeout = 300 * time.Millisecond
	// avoidPeriod is the time during which a collector is not asked after a failed
	// message.
	avoidPeriod = 2 * time.Second
)

// LoadReport carries the loads of a router, or the sums of a failure domain.
type LoadReport struct {
	Router string `json:"router"`
	// Loads holds the number of requests in flight by endpoint id; endpoints
	// without requests are left out.
	Loads map[string]int `json:"loads,omitempty"`
	// Covers is the number of routers whose loads are included, set between
	// collectors and zero in the report of a single router.
	Covers int `json:"covers,omitempty"`
	// Demands is nil if the sender does not take part in admission.
	Demands *Demands `json:"demands,omitempty"`
	// List asks for the loads without IDs, in the order of the list with this hash. With
	// Counts, it is the order of Counts, which replaces Loads between collectors.
	List   uint64 `json:"list,omitempty"`
	Counts []int  `json:"counts,omitempty"`
	// Suspended holds the endpoints that the router suspends, in the report of a single
	// router.
	Suspended []string `json:"suspended,omitempty"`
}

// LoadTotals carries the sums of the fleet to a router, or those of a failure domain
// to another collector.
type LoadTotals struct {
	Loads   map[string]int `json:"loads,omitempty"`
	Covers  int            `json:"covers"`
	Demands *Demands       `json:"demands,omitempty"`
	// Counts replaces Loads if the request asked for it and both routers have the list.
	List   uint64 `json:"list,omitempty"`
	Counts []int  `json:"counts,omitempty"`
	// Suspended holds the endpoints that other routers of the failure domain suspend. It
	// stays within the domain: a router behind a partition suspends endpoints that others
	// reach.
	Suspended []string `json:"suspended,omitempty"`
}

// Collector reports the loads of one router and collects those of others if this
// router is a collector. Exported fields are set before Run.
type Collector struct {
	// Self is the ID of this router.
	Self    string
	Peer    bergamotdale.Peer
	Clock   bergamotdale.Clock
	Tracker *tracker.Tracker
	Logger  *zap.Logger
	// Members returns the live routers, this one included.
	Members func() []bergamotdale.Member
	// Demand is the admission whose demand goes with the loads; nil for none.
	Demand DemandExchange
	// Compact states that loads are exchanged without the IDs of endpoints, with those
	// routers that know the same endpoints. The messages then are a few times smaller
	// and in a large fleet more frequent.
	Compact bool
	// ShareSuspensions reports whether the routers of a failure domain tell each other
	// at this moment which endpoints they suspend; nil for never.
	ShareSuspensions func(now time.Time) bool

	mu sync.Mutex
	// table and demands are used only while other routers take this one for a collector.
	table   Table
	demands demandTable

	// The fields below are used only by ReportOnce.

	// avoidedUntil holds, by ID, when a collector that failed is asked again.
	avoidedUntil map[string]time.Time
	// following is the ID of the collector that responded last, or empty.
	following string
	// lists holds, by ID of another collector, the hash of the list that it has.
	lists map[string]uint64
	// compact is set if the latest messages had no IDs.
	compact bool
}

// Run reports to the collector until the context is done.
func (c *Collector) Run(ctx context.Context) error {
	wait := minInterval
	for bergamotdale.Wait(ctx, c.Clock, wait/2+rand.N(wait)) == nil {
		wait = c.ReportOnce(ctx)
	}
	return ctx.Err()
}

// ReportOnce reports the loads of this router once, or exchanges the sums of the
// failure domains if this router is a collector. It returns the mean time until the
// next report. It is not safe for concurrent use.
func (c *Collector) ReportOnce(ctx context.Context) time.Duration {
	members := c.Members()
	collectors := Collectors(members)
	switch {
	case len(collectors) == 0:
	case c.find(members, collectors, c.Self) != nil:
		c.exchangeDomains(ctx, members, collectors)
		c.mergeTotals(LoadReport{}, c.totals())
		c.mergeSuspended(c.suspended())
	default:
		c.report(ctx, members, collectors)
	}
	services := 0
	if own := c.ownDemands(); own != nil {
		services = len(own.Services)
	}
	return IntervalWithDemands(c.Tracker.EndpointCount(), services, c.compact)
}

// ownDemands returns the demand of this router, or nil without admission.
func (c *Collector) ownDemands() *Demands {
	if c.Demand == nil {
		return nil
	}
	d := c.Demand.Demands()
	return &d
}

// Interval returns the mean time between two messages to a collector for a number
// of endpoints, with their IDs or compact.
func Interval(endpoints int, compact bool) time.Duration {
	return IntervalWithDemands(endpoints, 0, compact)
}

// IntervalWithDemands is Interval for messages with the demand for a number of services.
func IntervalWithDemands(endpoints, services int, compact bool) time.Duration {
	bytes := overheadBytes + bytesPerEndpoint*endpoints
	if compact {
		bytes = compactOverheadBytes + bytesPerCount*endpoints
	}
	bytes += bytesPerService * services
	return max(minInterval, time.Duration(bytes)*time.Second/maxBytesPerSecond)
}

// find returns the member with the ID if it is one of the collectors.
func (c *Collector) find(members []bergamotdale.Member, collectors map[string][]string, id string) *bergamotdale.Member {
	for i, m := range members {
		for _, collector := range collectors[m.FailureDomain] {
			if m.ID == id && collector == id {
				return &members[i]
			}
		}
	}
	return nil
}

// report sends the loads of this router to a collector of its failure domain and
// merges the sums that it returns.
func (c *Collector) report(ctx context.Context, members []bergamotdale.Member, collectors map[string][]string) {
	now := c.Clock.Now()
	for _, id := range c.domainCollectors(members, collectors) {
		m := c.find(members, collectors, id)
		if m == nil || now.Before(c.avoidedUntil[id]) {
			continue
		}
		list := c.list()
		own := LoadReport{
			Router: c.Self, Loads: c.Tracker.Report().Loads, Demands: c.ownDemands(), List: list.Hash, Suspended: c.ownSuspended(now),
		}
		totals, ok := c.call(ctx, *m, list, own)
		if !ok {
			if c.avoidedUntil == nil {
				c.avoidedUntil = map[string]time.Time{}
			}
			c.avoidedUntil[id] = now.Add(avoidPeriod)
			c.Logger.Info("load collector excluded after a failed message", zap.String("peer", id), zap.Duration("for", avoidPeriod))
			c.following = ""
			return
		}
		if c.following != id {
			c.Logger.Info("loads from a collector", zap.String("peer", id), zap.Int("routers", totals.Covers))
			c.following = id
		}
		c.compact = totals.List != 0
		c.mergeTotals(own, totals)
		c.mergeSuspended(totals.Suspended)
		return
	}
}

// domainCollectors returns the collectors of this router's failure domain, in the
// order in which it asks them.
func (c *Collector) domainCollectors(members []bergamotdale.Member, collectors map[string][]string) []string {
	for _, m := range members {
		if m.ID == c.Self {
			return order(c.Self, collectors[m.FailureDomain])
		}
	}
	return nil
}

// mergeTotals passes the sums of the fleet to the tracker and to the admission, without
// what they include of this router.
func (c *Collector) mergeTotals(own LoadReport, totals LoadTotals) {
	others := make(map[string]int, len(totals.Loads))
	for id, n := range totals.Loads {
		if n -= own.Loads[id]; n > 0 {
			others[id] = n
		}
	}
	if c.Demand != nil && totals.Demands != nil {
		demands := totals.Demands
		if own.Demands != nil {
			demands = demands.plus(own.Demands, -1)
		}
		c.Demand.SetDemands(c.Clock.Now(), *demands)
	}
	c.Tracker.SetTotals(c.Clock.Now(), others, totals.Covers-1)
}

// exchangeDomains sends the sums of this router's share of its failure domain to
// all other collectors and stores theirs.
func (c *Collector) exchangeDomains(ctx context.Context, members []bergamotdale.Member, collectors map[string][]string) {
	now := c.Clock.Now()
	var calls sync.WaitGroup
	list := c.list()
	if c.lists == nil {
		c.lists = map[string]uint64{}
	}
	c.mu.Lock()
	c.table.SetOwn(c.Tracker.Report().Loads)
	sums, covers := c.table.Sums(now)
	demands := c.demandSums(now, c.demands.sums)
	c.compact = list.Hash != 0
	c.mu.Unlock()
	for _, ids := range collectors {
		for _, id := range ids {
			m := c.find(members, collectors, id)
			// Both directions go in one message, so one of the two sends it.
			if m == nil || id >= c.Self {
				continue
			}
			report := LoadReport{Router: c.Self, Covers: covers, List: list.Hash, Demands: demands}
			c.mu.Lock()
			known := c.lists[m.ID] == list.Hash && list.Hash != 0
			c.mu.Unlock()
			if known {
				report.Counts = list.Encode(sums)
			} else {
				report.Loads = sums
			}
			calls.Go(func() {
				response, ok := c.call(ctx, *m, list, report)
				c.mu.Lock()
				defer c.mu.Unlock()
				c.lists[m.ID] = response.List
				c.compact = c.compact && response.List != 0
				if ok {
					c.table.SetDomain(now, m.ID, response.Loads, response.Covers)
					c.demands.set(now, m.ID, response.Demands, true)
				}
			})
		}
	}
	calls.Wait()
}

// totals returns the sums of the fleet, with the loads of this router left out.
func (c *Collector) totals() LoadTotals {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := c.table.own
	c.table.SetOwn(nil)
	defer c.table.SetOwn(own)
	now := c.Clock.Now()
	loads, covers := c.table.Totals(now)
	return LoadTotals{Loads: loads, Covers: covers, Demands: c.demands.totals(now, &Demands{})}
}

// demandSums returns a sum of demands with that of this router, or nil if no router
// tells its demand. The lock is held.
func (c *Collector) demandSums(now time.Time, sum func(time.Time, *Demands) *Demands) *Demands {
	own := c.ownDemands()
	if own == nil {
		own = &Demands{}
	}
	if d := sum(now, own); d.Covers > 0 {
		return d
	}
	return nil
}

// call sends a message to another router, which may answer in the order of the list. It
// returns false if that fails.
func (c *Collector) call(ctx context.Context, m bergamotdale.Member, list tracker.LoadList, request LoadReport) (LoadTotals, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response LoadTotals
	if err := c.Peer.Call(ctx, m.Address, Path, request, &response); err != nil {
		c.Logger.Debug("message to a load collector failed", zap.String("peer", m.ID), zap.Error(err))
		return LoadTotals{}, false
	}
	if response.List != 0 {
		loads, ok := list.Decode(response.List, response.Counts)
		if !ok {
			c.Logger.Debug("loads from a collector in an unknown order", zap.String("peer", m.ID))
			return LoadTotals{}, false
		}
		response.Loads = loads
	}
	return response, response.Covers > 0
}

// list returns the list by which loads are exchanged without IDs, an empty one if they
// are not.
func (c *Collector) list() tracker.LoadList {
	if !c.Compact {
		return tracker.LoadList{}
	}
	return c.Tracker.LoadList()
}

// answer returns the response with the sums to a report.
func (c *Collector) answer(r LoadReport, loads map[string]int, covers int, demands *Demands) LoadTotals {
	totals := LoadTotals{Covers: covers, Demands: demands}
	if list := c.list(); r.List != 0 && r.List == list.Hash {
		totals.List, totals.Counts = list.Hash, list.Encode(loads)
	} else {
		totals.Loads = loads
	}
	return totals
}

// Handle stores the loads of another router and responds with the sums that it
// needs.
func (c *Collector) Handle(_ context.Context, r LoadReport) (LoadTotals, error) {
	now := c.Clock.Now()
	own := c.Tracker.Report().Loads
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.SetOwn(own)
	if r.Covers > 0 {
		if r.Counts != nil {
			var ok bool
			if r.Loads, ok = c.list().Decode(r.List, r.Counts); !ok {
				// Without a list in the response, the next report has the IDs.
				return LoadTotals{}, nil
			}
		}
		c.table.SetDomain(now, r.Router, r.Loads, r.Covers)
		c.demands.set(now, r.Router, r.Demands, true)
		loads, covers := c.table.Sums(now)
		return c.answer(r, loads, covers, c.demandSums(now, c.demands.sums)), nil
	}
	c.table.SetRouter(now, r.Router, r.Loads, r.Suspended)
	c.demands.set(now, r.Router, r.Demands, false)
	loads, covers := c.table.Totals(now)
	totals := c.answer(r, loads, covers, c.demandSums(now, c.demands.totals))
	if c.sharesSuspensions(now) {
		c.table.SetOwnSuspended(c.ownSuspended(now))
		totals.Suspended = c.table.Suspended(now, c.Self, r.Router)
	}
	return totals, nil
}

// sharesSuspensions reports whether suspensions are shared at the moment.
func (c *Collector) sharesSuspensions(now time.Time) bool {
	return c.ShareSuspensions != nil && c.ShareSuspensions(now)
}

// ownSuspended returns the endpoints that this router suspends, at most maxSuspended, or
// nil if they are not shared.
func (c *Collector) ownSuspended(now time.Time) []string {
	if !c.sharesSuspensions(now) {
		return nil
	}
	ids := c.Tracker.Suspended(now)
	return ids[:min(len(ids), maxSuspended)]
}

// suspended returns the endpoints that the routers reporting to this collector suspend.
func (c *Collector) suspended() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Suspended(c.Clock.Now(), c.Self, c.Self)
}

// mergeSuspended passes the suspensions of other routers to the tracker.
func (c *Collector) mergeSuspended(ids []string) {
	if now := c.Clock.Now(); c.sharesSuspensions(now) {
		c.Tracker.SetPeerSuspensions(now, ids)
	}
}
