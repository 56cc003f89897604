package aggregator

import (
	"context"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// MinReportInterval is the time between two reports of a group that are
	// made because its load changed.
	MinReportInterval = 100 * time.Millisecond
	// RefreshInterval is the time between two reports that are made because a
	// request met the load bound.
	RefreshInterval = 20 * time.Millisecond
	// FreshLoad is the load of an endpoint up to which a single request counts.
	// Above it the periodic reports are exact enough: one request changes the
	// load by less than a sixteenth.
	FreshLoad = 16
	// changeShare is the relative change of a load that is reported early.
	changeShare = 0.1
)

// Nudge tells that a load may have changed. It never blocks.
func (a *Aggregator) Nudge() {
	select {
	case a.nudged <- struct{}{}:
	default:
	}
}

// Run reports until the context is done: all groups periodically, and those
// whose load has changed by more than a tenth soon after the change. At small
// loads a mean that is one second old would refuse a burst that the group has
// room for.
func (a *Aggregator) Run(ctx context.Context) error {
	var next time.Time
	for ctx.Err() == nil {
		if now := a.Clock.Now(); now.Before(next) {
			a.reportChanged(ctx)
		} else {
			next = now.Add(ReportInterval)
			a.ReportOnce(ctx)
		}
		a.pause(ctx, next)
	}
	return nil
}

// pause waits until the next report is due or a load has changed, and at least
// for MinReportInterval.
func (a *Aggregator) pause(ctx context.Context, next time.Time) {
	if bergamotdale.Wait(ctx, a.Clock, MinReportInterval) != nil {
		return
	}
	select {
	case <-a.nudged:
	case <-a.Clock.After(next.Sub(a.Clock.Now())):
	case <-ctx.Done():
	}
}

// reportChanged reports the groups whose load differs enough from the last
// report.
func (a *Aggregator) reportChanged(ctx context.Context) {
	for _, g := range a.Groups() {
		if a.changed(g) {
			a.report(ctx, g)
		}
	}
}

// changed reports whether a load of the group differs enough from the last
// report.
func (a *Aggregator) changed(g Group) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range g.Owned {
		last, known := a.reported[s.Endpoint]
		if !known || float64(abs(s.Load-last)) > changeShare*float64(last) {
			return true
		}
	}
	return false
}

// noteReported remembers the loads of a report. The caller holds mu.
func (a *Aggregator) noteReported(g Group) {
	for _, s := range g.Owned {
		a.reported[s.Endpoint] = s.Load
	}
}

// Refresh reports a group now, because a request met its load bound at a small
// load, and waits for the response. Concurrent calls share one report. It
// reports whether the mean may have changed.
func (a *Aggregator) Refresh(ctx context.Context, group string) bool {
	a.mu.Lock()
	mean, known := a.means.Mean(a.Clock.Now(), group)
	recent := a.Clock.Now().Sub(a.refreshed[group]) < RefreshInterval
	if recent || (known && mean.Value() > FreshLoad) {
		a.mu.Unlock()
		return false
	}
	a.refreshed[group] = a.Clock.Now()
	a.mu.Unlock()
	_, _, _ = a.refreshes.Do(group, func() (any, error) {
		for _, g := range a.Groups() {
			if g.Name == group {
				a.report(ctx, g)
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
