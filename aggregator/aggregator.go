package aggregator

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// reportTimeout bounds one report, so that a second router can still be
	// asked within the report interval.
	reportTimeout = 400 * time.Millisecond
	// maxAttempts is the number of routers tried per interval.
	maxAttempts = 2
	// avoidFor is the time for which a router that failed is asked last.
	avoidFor = 5 * time.Second
	groupKey = "load-group/"
)

// Membership is what the aggregator needs of the gossiper.
type Membership interface {
	// Owners returns the IDs of live members that are not draining.
	Owners() []string
	// Member returns the member with the ID.
	Member(id string) (bergamotdale.Member, bool)
}

// Group is a model group as this router sees it.
type Group struct {
	Name string
	// Size is the number of endpoints in the configuration.
	Size int
	// Owned holds the current load of the endpoints that this router owns.
	Owned []Summary
}

// Aggregator reports loads, keeps the means and serves as the aggregator of
// the groups for which this router is first. Exported fields are set before
// Run.
type Aggregator struct {
	Self       string
	Peer       bergamotdale.Peer
	Membership Membership
	Clock      bergamotdale.Clock
	Logger     *zap.Logger
	// Groups returns the groups whose mean this router needs, with the loads
	// to report.
	Groups func() []Group

	mu sync.Mutex
	// table, means and avoid are guarded by mu.
	table *Table
	means *Means
	// avoid maps routers that failed to the end of their avoidance.
	avoid map[string]time.Time
	// reported holds the load of each owned endpoint in the last report, and
	// refreshed the time of the last Refresh of each group; guarded by mu.
	reported  map[string]int
	refreshed map[string]time.Time
	refreshes singleflight.Group
	nudged    chan struct{}
}

// New returns an aggregator without groups.
func New(self string, peer bergamotdale.Peer, m Membership, clock bergamotdale.Clock) *Aggregator {
	return &Aggregator{
		Self:       self,
		Peer:       peer,
		Membership: m,
		Clock:      clock,
		Logger:     zap.NewNop(),
		Groups:     func() []Group { return nil },
		table:      NewTable(),
		means:      NewMeans(),
		avoid:      map[string]time.Time{},
		reported:   map[string]int{},
		refreshed:  map[string]time.Time{},
		nudged:     make(chan struct{}, 1),
	}
}

// Mean returns the mean of a group with its age. It is false before the first
// response.
func (a *Aggregator) Mean(group string) (Mean, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.means.Mean(a.Clock.Now(), group)
}

// HandleLoad takes in a report and responds with the state of the group.
func (a *Aggregator) HandleLoad(r LoadRequest) LoadResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	a.table.Merge(now, r)
	return a.table.Summary(now, r.Group)
}

// ReportOnce reports all groups, each to its aggregator.
func (a *Aggregator) ReportOnce(ctx context.Context) {
	groups := a.Groups()
	keep := make(map[string]bool, len(groups))
	var reports sync.WaitGroup
	for _, g := range groups {
		keep[g.Name] = true
		reports.Go(func() { a.report(ctx, g) })
	}
	reports.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.means.Keep(keep)
	a.table.Expire(a.Clock.Now())
}

// report sends one report to the first router that responds.
func (a *Aggregator) report(ctx context.Context, g Group) {
	request := LoadRequest{Group: g.Name, From: a.Self, Summaries: g.Owned}
	for _, id := range a.order(g.Name) {
		sent := a.Clock.Now()
		response, err := a.send(ctx, id, request)
		a.mu.Lock()
		if err == nil {
			delete(a.avoid, id)
			a.means.Accept(sent, response, g.Size)
			a.noteReported(g)
			a.mu.Unlock()
			return
		}
		a.avoid[id] = a.Clock.Now().Add(avoidFor)
		a.mu.Unlock()
		a.Logger.Debug("load-report-failed", zap.String("group", g.Name), zap.String("aggregator", id), zap.Error(err))
	}
}

// order returns the routers to try for a group: rendezvous order, those that
// failed recently last.
func (a *Aggregator) order(group string) []string {
	all := hasher.Order(groupKey+group, a.Membership.Owners())
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	slices.SortStableFunc(all, func(x, y string) int {
		return boolToInt(now.Before(a.avoid[x])) - boolToInt(now.Before(a.avoid[y]))
	})
	return all[:min(len(all), maxAttempts)]
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (a *Aggregator) send(ctx context.Context, id string, r LoadRequest) (LoadResponse, error) {
	if id == a.Self {
		return a.HandleLoad(r), nil
	}
	var response LoadResponse
	m, ok := a.Membership.Member(id)
	if !ok {
		return response, bergamotdale.Refuse(bergamotdale.CodePeer, "router %s is not known", id)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := a.Peer.Call(ctx, m.Address, LoadPath, r, &response)
	return response, err
}
