package aggregator

import (
	"context"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// MinReportInterval is the minimum time between two reports of a group that are
	// sent because its load has changed.
	MinReportInterval = 100 * time.Millisecond
	// RefreshInterval is the minimum time between two reports of a group that are
	// sent because a request was refused by the load bound.
	RefreshInterval = 20 * time.Millisecond
	// MaxRefreshLoad is the mean load up to which Refresh sends a report. Above it one
	// request changes the load by less than a sixteenth, so the periodic reports
	// are exact enough.
	MaxRefreshLoad = 16
	// minRelativeChange is the relative change of a load above which the load is
	// reported before the next periodic report.
	minRelativeChange = 0.1
)

// NotifyLoadChange tells Run that a load may have changed. It never blocks.
func (a *Aggregator) NotifyLoadChange() {
	select {
	case a.loadChanges <- struct{}{}:
	default:
	}
}

// Run sends reports until the context is done. It reports all groups periodically,
// and a group in which a load has changed by more than a tenth soon after the
// change: at small loads, a mean that is one second old would refuse a burst of
// requests for which the group has capacity.
func (a *Aggregator) Run(ctx context.Context) error {
	var next time.Time
	for ctx.Err() == nil {
		if now := a.Clock.Now(); now.Before(next) {
			a.reportChanged(ctx)
		} else {
			next = now.Add(ReportInterval)
			a.ReportOnce(ctx)
		}
		a.waitForNextReport(ctx, next)
	}
	return nil
}

// waitForNextReport waits at least for MinReportInterval, and then until the next
// periodic report is due or NotifyLoadChange is called.
func (a *Aggregator) waitForNextReport(ctx context.Context, next time.Time) {
	if bergamotdale.Wait(ctx, a.Clock, MinReportInterval) != nil {
		return
	}
	select {
	case <-a.loadChanges:
	case <-a.Clock.After(next.Sub(a.Clock.Now())):
	case <-ctx.Done():
	}
}

// reportChanged reports the groups for which hasChanged is true.
func (a *Aggregator) reportChanged(ctx context.Context) {
	for _, g := range a.Groups() {
		if a.hasChanged(g) {
			a.reportGroup(ctx, g)
		}
	}
}

// hasChanged reports whether a load of the group differs by more than
// minRelativeChange from the last report.
func (a *Aggregator) hasChanged(g Group) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range g.Owned {
		last, known := a.lastReported[s.Endpoint]
		if !known || float64(abs(s.Load-last)) > minRelativeChange*float64(last) {
			return true
		}
	}
	return false
}

// recordReported stores the loads of a report that succeeded. The caller holds mu.
func (a *Aggregator) recordReported(g Group) {
	for _, s := range g.Owned {
		a.lastReported[s.Endpoint] = s.Load
	}
}

// Refresh reports a group immediately and waits for the response. It is called when
// the load bound refuses a request. It does nothing if the mean load is above
// MaxRefreshLoad or the group was refreshed within RefreshInterval. Concurrent calls
// share one report. The result tells whether the mean may have changed.
func (a *Aggregator) Refresh(ctx context.Context, group string) bool {
	a.mu.Lock()
	mean, known := a.means.Mean(a.Clock.Now(), group)
	recent := a.Clock.Now().Sub(a.lastRefresh[group]) < RefreshInterval
	if recent || (known && mean.Value() > MaxRefreshLoad) {
		a.mu.Unlock()
		return false
	}
	a.lastRefresh[group] = a.Clock.Now()
	a.mu.Unlock()
	_, _, _ = a.refreshes.Do(group, func() (any, error) {
		for _, g := range a.Groups() {
			if g.Name == group {
				a.reportGroup(ctx, g)
			}
		}
		return nil, nil
	})
	return true
}

func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}
