package router

import (
	"context"
	"encoding/json"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
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
	// controlInterval is how often control looks around without an event: the
	// draining marks and the state of the lease change with time alone.
	controlInterval = 500 * time.Millisecond
	// joinTimeout is how long a router waits for its peers before it claims. It
	// covers a few rounds of probes to the seeds.
	joinTimeout = 3 * time.Second
	// settleTimeout is when a router serves even though it could not claim, for
	// example because the store is down.
	settleTimeout = 15 * time.Second
	// refreshTimeout bounds the wait for an up-to-date mean.
	refreshTimeout = 200 * time.Millisecond
	// queuedPerSlot bounds the waiting requests of a class per engine slot. The
	// longest wait bounds the queue in time; this bounds its memory.
	queuedPerSlot = 32
	// targetTokenTime is the inter-token latency that engines should keep.
	targetTokenTime = 55 * time.Millisecond
)

// control owns the control state: it computes the view and tells the other
// parts what this router owns.
func (r *Router) control(ctx context.Context) error {
	members := r.gossiper.Subscribe()
	owned := r.elector.Subscribe()
	for {
		config := r.follower.Changed()
		r.refresh()
		select {
		case <-members:
		case <-owned:
		case <-config:
		case <-r.vms.Changed():
		case <-r.clock.After(controlInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// refresh publishes a new view and applies it.
func (r *Router) refresh() {
	v := r.views.Refresh()
	r.suspects.Merge(v.Members(), r.clock.Now())
	if v.Config() == nil {
		return
	}
	r.suspects.Configure(v.Config().Limits())
	r.checkDrain(v.Config())
	if !r.joined() {
		return
	}
	r.elector.SetNames(v.Names())
	held := r.elector.Held()
	r.dispatch.Apply(policyOf(v.Config()), r.assignments(v, held))
	r.shards.Apply(shardEpochs(held))
	if r.settled(v, held) {
		r.serving.Store(true)
	}
}

// checkDrain warns once per revision where accepted streams could outlive a
// planned stop of this router.
func (r *Router) checkDrain(c *validator.Config) {
	if c.Revision() == r.drainChecked {
		return
	}
	r.drainChecked = c.Revision()
	if err := r.Settings.CheckDrain(c.Limits().MaxStreamDuration); err != nil {
		r.Logger.Warn("drain deadline too short", zap.Int64("revision", c.Revision()), zap.Error(err))
	}
}

// settled reports whether this router has found out who owns what it should
// own. Until then it is not ready, so that the balancer sends it no request
// that would be refused for want of an owner.
func (r *Router) settled(v *viewer.View, held map[string]elector.Holding) bool {
	if r.clock.Now().Sub(r.started) > settleTimeout {
		return true
	}
	for name, owner := range v.Wanted() {
		if _, own := held[name]; own || owner != r.self.ID {
			continue
		}
		if _, known := r.elector.Owner(name); !known {
			return false
		}
	}
	return true
}

// joined reports whether the membership is known well enough to claim. A router
// that claims before it has met its peers takes names that it must hand over a
// moment later.
func (r *Router) joined() bool {
	if r.clock.Now().Sub(r.started) > joinTimeout {
		return true
	}
	select {
	case <-r.vms.First():
	default:
		return false
	}
	known := lo.SliceToMap(r.gossiper.View().Members(), func(m bergamotdale.Member) (string, bool) { return m.Address, true })
	return lo.EveryBy(r.vms.Routers(r.self.Address), func(address string) bool { return known[address] })
}

// assignments returns the engines that this router owns.
func (r *Router) assignments(v *viewer.View, held map[string]elector.Holding) []admitter.Assignment {
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

// shardEpochs returns the epochs of the shards that this router owns.
func shardEpochs(held map[string]elector.Holding) map[string]int64 {
	epochs := map[string]int64{}
	for name, h := range held {
		if _, ok := sharder.Number(name); ok {
			epochs[name] = h.Epoch
		}
	}
	return epochs
}

// policyOf returns what admission needs of the configuration.
func policyOf(c *validator.Config) *admitter.Policy {
	p := &admitter.Policy{
		ClassIndex: map[string]int{},
		Bound:      placer.Bound{Multiple: c.Limits().LoadMultiple},
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

// maxConcurrency returns the largest concurrency limit of any engine.
func maxConcurrency(c *validator.Config) int {
	return lo.Max(append(lo.Map(c.Engines(), func(e *validator.Engine, _ int) int { return e.MaxConcurrency() }), 1))
}

// mode returns how much this router may admit to the endpoint or shard.
func (r *Router) mode(name string) elector.Mode {
	mode, _ := r.elector.Admission(name)
	return mode
}

// handoverState returns what the next owner of a name needs.
func (r *Router) handoverState(name string) json.RawMessage {
	state, ok := r.dispatch.Handover(name)
	if !ok {
		return nil
	}
	data, err := json.Marshal(state)
	if err != nil {
		r.Logger.Warn("handover without state", zap.String("name", name), zap.Error(err))
		return nil
	}
	return data
}

// receiveState takes the state of a name that another router hands over.
func (r *Router) receiveState(o bergamotdale.Ownership, data json.RawMessage) {
	if len(data) == 0 {
		return
	}
	var state admitter.Handover
	if err := json.Unmarshal(data, &state); err != nil {
		r.Logger.Warn("handover state not readable", zap.String("name", o.Name), zap.Error(err))
		return
	}
	r.dispatch.Receive(o.Name, state)
}

// ownership is the elector as the dispatcher needs it.
type ownership struct {
	router *Router
}

// Admits implements dispatcher.Ownership.
func (o *ownership) Admits(endpoint string) bool {
	return o.router.mode(endpoint) != elector.ModeNone
}

// Expired implements dispatcher.Ownership.
func (o *ownership) Expired() bool {
	return o.router.elector.Lease.Mode() != elector.ModeFull
}

// Confirmed implements dispatcher.Ownership.
func (o *ownership) Confirmed(endpoint string, epoch int64) {
	o.router.elector.ConfirmFull(endpoint, epoch)
}

// loads is the aggregator as the dispatcher needs it.
type loads struct {
	router *Router
}

// group returns the model group of a model or adapter.
func (l *loads) group(model string) string {
	v := l.router.views.Current()
	if v.Config() == nil {
		return model
	}
	if m, ok := v.Config().Model(model); ok {
		return m.Group()
	}
	return model
}

// Mean implements dispatcher.Loads.
func (l *loads) Mean(model string) (placer.Mean, bool) {
	mean, ok := l.router.loads.Mean(l.group(model))
	if !ok {
		return placer.Mean{}, false
	}
	return placer.Mean{Load: mean.Total, Engines: mean.Endpoints, Age: mean.Age}, true
}

// Refresh implements dispatcher.Loads.
func (l *loads) Refresh(model string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	return l.router.loads.Refresh(ctx, l.group(model))
}

// Changed implements dispatcher.Loads.
func (l *loads) Changed() {
	l.router.loads.Nudge()
}

// LeastLoaded implements dispatcher.Loads.
func (l *loads) LeastLoaded(model, except string) string {
	mean, ok := l.router.loads.Mean(l.group(model))
	if !ok {
		return ""
	}
	v := l.router.views.Current()
	for _, s := range mean.LeastLoaded {
		if s.Endpoint != except && !v.Draining(s.Endpoint) {
			return s.Endpoint
		}
	}
	return ""
}

// loadGroups returns the model groups of the owned engines with their loads.
func (r *Router) loadGroups() []aggregator.Group {
	v := r.views.Current()
	if v.Config() == nil {
		return nil
	}
	groups := map[string]*aggregator.Group{}
	for _, load := range r.dispatch.Report() {
		engine, ok := v.Config().Engine(load.Endpoint)
		if !ok {
			continue
		}
		for _, model := range engine.Models() {
			if model.Adapter() {
				continue
			}
			g := groups[model.Group()]
			if g == nil {
				g = &aggregator.Group{Name: model.Group(), Size: len(model.Engines())}
				groups[model.Group()] = g
			}
			g.Owned = append(g.Owned, aggregator.Summary{Endpoint: load.Endpoint, Epoch: load.Epoch, Load: load.Load})
		}
	}
	return lo.Map(lo.Values(groups), func(g *aggregator.Group, _ int) aggregator.Group { return *g })
}

// tokenRate returns the quota of a workspace in tokens per second.
func (r *Router) tokenRate(workspace string) (float64, bool) {
	v := r.views.Current()
	if v.Config() == nil {
		return 0, false
	}
	w, ok := v.Config().Workspace(workspace)
	if !ok {
		return 0, false
	}
	return float64(w.TokensPerSecond()), true
}

// serviceEndpoints returns the endpoints of a service that take new work.
func (r *Router) serviceEndpoints(service string) []caller.Endpoint {
	v := r.views.Current()
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

// peerAddresses returns the addresses of the other live routers.
func (r *Router) peerAddresses() []string {
	var addresses []string
	for _, m := range r.gossiper.View().Live() {
		if m.ID != r.self.ID {
			addresses = append(addresses, m.Address)
		}
	}
	if len(addresses) > 0 {
		return addresses
	}
	// Before the first probe has been answered only the VM list is known.
	return r.vms.Routers(r.self.Address)
}
