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
	// Suspended holds the endpoints that the router suspends, in the report of a single
	// router.
	Suspended []string `json:"suspended,omitempty"`
}

// LoadTotals carries the sums of the fleet to a router, or those of a failure domain
// to another collector.
type LoadTotals struct {
	Loads  map[string]int `json:"loads,omitempty"`
	Covers int            `json:"covers"`
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
	// ShareSuspensions makes the routers of a failure domain tell each other which
	// endpoints they suspend.
	ShareSuspensions bool

	mu sync.Mutex
	// table is used only while other routers take this one for a collector.
	table Table

	// The fields below are used only by ReportOnce.

	// avoidedUntil holds, by ID, when a collector that failed is asked again.
	avoidedUntil map[string]time.Time
	// following is the ID of the collector that responded last, or empty.
	following string
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
		c.mergeTotals(nil, c.totals())
		c.mergeSuspended(c.suspended())
	default:
		c.report(ctx, members, collectors)
	}
	return Interval(c.Tracker.EndpointCount())
}

// Interval returns the mean time between two messages to a collector for a number
// of endpoints.
func Interval(endpoints int) time.Duration {
	bytes := overheadBytes + bytesPerEndpoint*endpoints
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
		own := c.Tracker.Report().Loads
		totals, ok := c.call(ctx, *m, LoadReport{Router: c.Self, Loads: own, Suspended: c.ownSuspended(now)})
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

// mergeTotals passes the sums of the fleet to the tracker, without the loads of
// this router that they include.
func (c *Collector) mergeTotals(own map[string]int, totals LoadTotals) {
	others := make(map[string]int, len(totals.Loads))
	for id, n := range totals.Loads {
		if n -= own[id]; n > 0 {
			others[id] = n
		}
	}
	c.Tracker.SetTotals(c.Clock.Now(), others, totals.Covers-1)
}

// exchangeDomains sends the sums of this router's share of its failure domain to
// all other collectors and stores theirs.
func (c *Collector) exchangeDomains(ctx context.Context, members []bergamotdale.Member, collectors map[string][]string) {
	now := c.Clock.Now()
	var calls sync.WaitGroup
	c.mu.Lock()
	c.table.SetOwn(c.Tracker.Report().Loads)
	sums, covers := c.table.Sums(now)
	c.mu.Unlock()
	for _, ids := range collectors {
		for _, id := range ids {
			m := c.find(members, collectors, id)
			// Both directions go in one message, so one of the two sends it.
			if m == nil || id >= c.Self {
				continue
			}
			calls.Go(func() {
				if response, ok := c.call(ctx, *m, LoadReport{Router: c.Self, Loads: sums, Covers: covers}); ok {
					c.mu.Lock()
					defer c.mu.Unlock()
					c.table.SetDomain(now, m.ID, response.Loads, response.Covers)
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
	loads, covers := c.table.Totals(c.Clock.Now())
	return LoadTotals{Loads: loads, Covers: covers}
}

// call sends a message to another router. It returns false if that fails.
func (c *Collector) call(ctx context.Context, m bergamotdale.Member, request LoadReport) (LoadTotals, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var response LoadTotals
	if err := c.Peer.Call(ctx, m.Address, Path, request, &response); err != nil {
		c.Logger.Debug("message to a load collector failed", zap.String("peer", m.ID), zap.Error(err))
		return LoadTotals{}, false
	}
	return response, response.Covers > 0
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
		c.table.SetDomain(now, r.Router, r.Loads, r.Covers)
		loads, covers := c.table.Sums(now)
		return LoadTotals{Loads: loads, Covers: covers}, nil
	}
	c.table.SetRouter(now, r.Router, r.Loads, r.Suspended)
	loads, covers := c.table.Totals(now)
	totals := LoadTotals{Loads: loads, Covers: covers}
	if c.ShareSuspensions {
		c.table.SetOwnSuspended(c.ownSuspended(now))
		totals.Suspended = c.table.Suspended(now, c.Self, r.Router)
	}
	return totals, nil
}

// ownSuspended returns the endpoints that this router suspends, at most maxSuspended, or
// nil if they are not shared.
func (c *Collector) ownSuspended(now time.Time) []string {
	if !c.ShareSuspensions {
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
	if c.ShareSuspensions {
		c.Tracker.SetPeerSuspensions(c.Clock.Now(), ids)
	}
}
