// Package assigner converts a router's view of the fleet and the ownerships that
// it holds into the inputs of its other packages: the engines and shards that it
// owns, the admission policy, the loads of model groups to report, the quotas of
// workspaces, and the endpoints of services. It does not decide who owns what,
// and does no I/O.
package assigner

import (
	"time"

	"github.com/samber/lo"

	"github.com/bergamotdale/bergamotdale/admitter"
	"github.com/bergamotdale/bergamotdale/aggregator"
	"github.com/bergamotdale/bergamotdale/caller"
	"github.com/bergamotdale/bergamotdale/elector"
	"github.com/bergamotdale/bergamotdale/placer"
	"github.com/bergamotdale/bergamotdale/scheduler"
	"github.com/bergamotdale/bergamotdale/sharder"
	"github.com/bergamotdale/bergamotdale/validator"
	"github.com/bergamotdale/bergamotdale/viewer"
)

const (
	// queuedPerSlot bounds the number of waiting requests of a class, per slot of
	// an engine, and so the memory of the queue. The time that requests wait is
	// bounded separately, by the class's longest wait.
	queuedPerSlot = 32
	// targetTokenTime is the inter-token latency above which the concurrency limit
	// of an engine is lowered.
	targetTokenTime = 55 * time.Millisecond
)

// Assignments returns the engines among the ownerships that this router holds.
func Assignments(v *viewer.View, held map[string]elector.Holding) []admitter.Assignment {
	var assignments []admitter.Assignment
	for name, h := range held {
		engine, ok := v.Config().Engine(name)
		if !ok {
			continue
		}
		assignments = append(assignments, admitter.Assignment{
			Name:           name,
			Address:        engine.Address(),
			MaxConcurrency: engine.MaxConcurrency(),
			Epoch:          h.Epoch,
			Draining:       v.Draining(name),
			Confirmed:      h.Limit == elector.ModeFull,
		})
	}
	return assignments
}

// ShardEpochs returns the epochs of the shards that this router owns, by name.
func ShardEpochs(held map[string]elector.Holding) map[string]int64 {
	epochs := map[string]int64{}
	for name, h := range held {
		if _, ok := sharder.ParseName(name); ok {
			epochs[name] = h.Epoch
		}
	}
	return epochs
}

// Policy returns the part of the configuration that admission needs.
// Only the most urgent of several priority classes may preempt.
func Policy(c *validator.Config) *admitter.Policy {
	p := &admitter.Policy{
		ClassIndex: map[string]int{},
		Bound:      placer.LoadBound{Multiple: c.Limits().LoadMultiple},
		Weight: func(workspace string) float64 {
			w, ok := c.Workspace(workspace)
			if !ok {
				return 1
			}
			return w.Weight()
		},
		TargetTokenTime: targetTokenTime,
	}
	classes := c.PriorityClasses()
	for i, class := range classes {
		p.ClassIndex[class.Name()] = i
		p.Classes = append(p.Classes, scheduler.Class{
			Name:      class.Name(),
			MinShare:  class.MinShare(),
			MaxWait:   class.MaxWait(),
			MaxQueued: queuedPerSlot * maxConcurrency(c),
			Preempts:  i == 0 && len(classes) > 1,
		})
	}
	return p
}

// maxConcurrency returns the largest concurrency limit of all engines, at least 1.
func maxConcurrency(c *validator.Config) int {
	return lo.Max(append(lo.Map(c.Engines(), func(e *validator.Engine, _ int) int { return e.MaxConcurrency() }), 1))
}

// GroupLoads returns the model groups of the owned engines with the loads of these
// engines. An adapter has no group of its own; it belongs to that of its model.
func GroupLoads(v *viewer.View, owned []admitter.Load) []aggregator.Group {
	if v.Config() == nil {
		return nil
	}
	groups := map[string]*aggregator.Group{}
	for _, load := range owned {
		engine, ok := v.Config().Engine(load.Endpoint)
		if !ok {
			continue
		}
		for _, model := range engine.Models() {
			if model.IsAdapter() {
				continue
			}
			g := groups[model.GroupName()]
			if g == nil {
				g = &aggregator.Group{Name: model.GroupName(), Size: len(model.Engines())}
				groups[model.GroupName()] = g
			}
			g.Owned = append(g.Owned, aggregator.EndpointLoad{Endpoint: load.Endpoint, Epoch: load.Epoch, Load: load.Load})
		}
	}
	return lo.Map(lo.Values(groups), func(g *aggregator.Group, _ int) aggregator.Group { return *g })
}

// TokenRate returns the quota of a workspace in tokens per second, and false if
// the workspace is not configured.
func TokenRate(v *viewer.View, workspace string) (float64, bool) {
	if v.Config() == nil {
		return 0, false
	}
	w, ok := v.Config().Workspace(workspace)
	if !ok {
		return 0, false
	}
	return float64(w.TokensPerSecond()), true
}

// ServiceEndpoints returns the endpoints of a service that are not draining.
func ServiceEndpoints(v *viewer.View, service string) []caller.Endpoint {
	if v.Config() == nil {
		return nil
	}
	s, ok := v.Config().Service(service)
	if !ok {
		return nil
	}
	var endpoints []caller.Endpoint
	for _, e := range s.Endpoints() {
		if !v.Draining(e.Name()) {
			endpoints = append(endpoints, caller.Endpoint{Name: e.Name(), Address: e.Address()})
		}
	}
	return endpoints
}
