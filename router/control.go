package router

import (
	"context"
	"encoding/json"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/admitter"
	"github.com/bergamotdale/bergamotdale/assigner"
	"github.com/bergamotdale/bergamotdale/elector"
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
		case <-r.vms.Updated():
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
	r.elector.SetNames(v.OwnedNames())
	held := r.elector.Held()
	r.dispatch.Apply(assigner.Policy(v.Config()), assigner.Assignments(v, held))
	r.shards.SetOwned(assigner.ShardEpochs(held))
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
	for name, owner := range v.DesiredOwners() {
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
	case <-r.vms.FirstRead():
	default:
		return false
	}
	known := lo.SliceToMap(r.gossiper.View().Members(), func(m bergamotdale.Member) (string, bool) { return m.Address, true })
	return lo.EveryBy(r.vms.RouterAddresses(r.self.Address), func(address string) bool { return known[address] })
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
	return r.vms.RouterAddresses(r.self.Address)
}
