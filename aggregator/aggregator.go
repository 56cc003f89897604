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
	// reportTimeout is the timeout of one report. It leaves time to try a second
	// router within ReportInterval.
	reportTimeout = 400 * time.Millisecond
	// maxAttempts is the maximum number of routers tried for one report.
	maxAttempts = 2
	// avoidDuration is how long a router that failed to respond is tried only after the
	// other routers.
	avoidDuration = 5 * time.Second
	// groupKeyPrefix and the name of a group form the key by which rendezvous
	// hashing selects the aggregating router.
	groupKeyPrefix = "load-group/"
)

// Membership is the part of gossiper.Gossiper that the aggregator uses.
type Membership interface {
	// Owners returns the IDs of live members that are not draining.
	Owners() []string
	// Member returns the member with the given ID.
	Member(id string) (bergamotdale.Member, bool)
}

// Group is a model group with the endpoints that this router owns.
type Group struct {
	Name string
	// Size is the number of endpoints of the group in the configuration.
	Size int
	// Owned holds the current load of the endpoints that this router owns.
	Owned []EndpointLoad
}

// Aggregator reports the loads of this router's endpoints, keeps the means that it
// gets in response, and aggregates the reports of other routers. Exported fields
// are set before Run.
type Aggregator struct {
	Self       string
	Peer       bergamotdale.Peer
	Membership Membership
	Clock      bergamotdale.Clock
	Logger     *zap.Logger
	// Groups returns the groups whose mean this router needs, with the loads to
	// report.
	Groups func() []Group

	mu sync.Mutex
	// table, means and avoidUntil are guarded by mu.
	table *Table
	means *MeanCache
	// avoidUntil maps the ID of a router that failed to respond to the end of the time
	// in which it is tried last.
	avoidUntil map[string]time.Time
	// lastReported maps an owned endpoint to its load in the last report, and
	// lastRefresh a group to the time of its last Refresh. Both are guarded by mu.
	lastReported map[string]int
	lastRefresh  map[string]time.Time
	refreshes    singleflight.Group
	loadChanges  chan struct{}
}

// New returns an aggregator without groups.
func New(self string, peer bergamotdale.Peer, m Membership, clock bergamotdale.Clock) *Aggregator {
	return &Aggregator{
		Self:         self,
		Peer:         peer,
		Membership:   m,
		Clock:        clock,
		Logger:       zap.NewNop(),
		Groups:       func() []Group { return nil },
		table:        NewTable(),
		means:        NewMeanCache(),
		avoidUntil:   map[string]time.Time{},
		lastReported: map[string]int{},
		lastRefresh:  map[string]time.Time{},
		loadChanges:  make(chan struct{}, 1),
	}
}

// Mean returns the mean of a group with its age. It reports false before the first
// accepted response.
func (a *Aggregator) Mean(group string) (Mean, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.means.Mean(a.Clock.Now(), group)
}

// HandleLoad handles a report and returns the load of the group.
func (a *Aggregator) HandleLoad(r LoadRequest) LoadResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	a.table.Merge(now, r)
	return a.table.Aggregate(now, r.Group)
}

// ReportOnce reports each group to its aggregating router, all at the same time,
// and drops outdated means and loads.
func (a *Aggregator) ReportOnce(ctx context.Context) {
	groups := a.Groups()
	groupNames := make(map[string]bool, len(groups))
	var reports sync.WaitGroup
	for _, g := range groups {
		groupNames[g.Name] = true
		reports.Go(func() { a.reportGroup(ctx, g) })
	}
	reports.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.means.Retain(groupNames)
	a.table.Expire(a.Clock.Now())
}

// reportGroup reports a group. It tries the routers of reportTargets until one
// responds.
func (a *Aggregator) reportGroup(ctx context.Context, g Group) {
	request := LoadRequest{Group: g.Name, From: a.Self, Loads: g.Owned}
	for _, id := range a.reportTargets(g.Name) {
		sent := a.Clock.Now()
		response, err := a.send(ctx, id, request)
		a.mu.Lock()
		if err == nil {
			delete(a.avoidUntil, id)
			a.means.AcceptResponse(sent, response, g.Size)
			a.recordReported(g)
			a.mu.Unlock()
			return
		}
		a.avoidUntil[id] = a.Clock.Now().Add(avoidDuration)
		a.mu.Unlock()
		a.Logger.Debug("load-report-failed", zap.String("group", g.Name), zap.String("aggregator", id), zap.Error(err))
	}
}

// reportTargets returns the routers to try for a group, in rendezvous order but with
// those that failed recently last.
func (a *Aggregator) reportTargets(group string) []string {
	all := hasher.Order(groupKeyPrefix+group, a.Membership.Owners())
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	slices.SortStableFunc(all, func(x, y string) int {
		return boolToInt(now.Before(a.avoidUntil[x])) - boolToInt(now.Before(a.avoidUntil[y]))
	})
	return all[:min(len(all), maxAttempts)]
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// send sends a report to the router with the given ID, or handles it directly if
// that is this router.
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
