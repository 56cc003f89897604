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
	// controlInterval is the longest time between two refreshes of the view.
	// Draining marks and the state of the lease change with time alone, without
	// an event.
	controlInterval = 500 * time.Millisecond
	// joinTimeout is how long after its start a router waits for its peers at
	// most before it claims names. It covers a few rounds of probes to the seeds.
	joinTimeout = 3 * time.Second
	// ownersTimeout is the time after the start from which a router serves even
	// if it does not know all owners, for example because the store is down and
	// it cannot claim.
	ownersTimeout = 15 * time.Second
	// refreshTimeout bounds the wait for an up-to-date mean load of a model
	// group.
	refreshTimeout = 200 * time.Millisecond
)

// control refreshes the view after each change of the membership, the owned
// names, the configuration or the VM list, and at least every controlInterval.
// It runs in one goroutine, so refreshView needs no lock.
func (r *Router) control(ctx context.Context) error {
	members := r.gossiper.Subscribe()
	owned := r.elector.Subscribe()
	for {
		config := r.follower.Changed()
		r.refreshView()
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

// refreshView publishes a new view and passes the names that this router owns to
// the components that execute requests.
func (r *Router) refreshView() {
	v := r.views.Refresh()
	r.isolator.Merge(v.Members(), r.clock.Now())
	if v.Config() == nil {
		return
	}
	r.isolator.Configure(v.Config().Limits())
	r.checkDrainDeadline(v.Config())
	if !r.joined() {
		return
	}
	r.elector.SetNames(v.OwnedNames())
	held := r.elector.Held()
	r.dispatcher.ApplyAssignments(assigner.Policy(v.Config()), assigner.Assignments(v, held))
	r.shards.SetOwned(assigner.ShardEpochs(held))
	if r.ownersKnown(v, held) {
		r.serving.Store(true)
	}
}

// checkDrainDeadline warns once per revision if accepted streams could outlive a
// planned stop of this router.
func (r *Router) checkDrainDeadline(c *validator.Config) {
	if c.Revision() == r.drainCheckedRevision {
		return
	}
	r.drainCheckedRevision = c.Revision()
	if err := r.Settings.CheckDrainDeadline(c.Limits().MaxStreamDuration); err != nil {
		r.Logger.Warn("drain deadline too short for the longest streams", zap.Int64("revision", c.Revision()), zap.Error(err))
	}
}

// ownersKnown reports whether each name that this router should own is held by
// it or known to have another owner, or ownersTimeout has passed. Until then the
// router is not ready, so that the load balancer sends it no requests that would
// be refused because an endpoint has no owner.
func (r *Router) ownersKnown(v *viewer.View, held map[string]elector.Holding) bool {
	if r.clock.Now().Sub(r.started) > ownersTimeout {
		return true
	}
	for name, owner := range v.DesiredOwners() {
		if _, isHeld := held[name]; isHeld || owner != r.self.ID {
			continue
		}
		if _, known := r.elector.Owner(name); !known {
			return false
		}
	}
	return true
}

// joined reports whether gossip knows all routers of the VM list, or joinTimeout
// has passed, so that this router may claim names. A router that claims before
// it knows its peers takes names that it has to hand over again right away.
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

// admissionMode returns how much work this router may admit to the endpoint or
// shard.
func (r *Router) admissionMode(name string) elector.Mode {
	mode, _ := r.elector.Admission(name)
	return mode
}

// handoverState returns the state of an endpoint as JSON for its next owner, or
// nil if there is none.
func (r *Router) handoverState(name string) json.RawMessage {
	state, ok := r.dispatcher.Handover(name)
	if !ok {
		return nil
	}
	data, err := json.Marshal(state)
	if err != nil {
		r.Logger.Warn("failed to encode the handover state", zap.String("name", name), zap.Error(err))
		return nil
	}
	return data
}

// receiveState gives the dispatcher the state of a name that its previous owner
// has handed over.
func (r *Router) receiveState(o bergamotdale.Ownership, data json.RawMessage) {
	if len(data) == 0 {
		return
	}
	var state admitter.Handover
	if err := json.Unmarshal(data, &state); err != nil {
		r.Logger.Warn("failed to decode the handover state", zap.String("name", o.Name), zap.Error(err))
		return
	}
	r.dispatcher.ReceiveHandover(o.Name, state)
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
	// Before the first response to a probe, only the VM list is known.
	return r.vms.RouterAddresses(r.self.Address)
}
