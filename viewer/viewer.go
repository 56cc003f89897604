// Package viewer provides immutable snapshots of the state that a router reads
// while it handles requests: the configuration in force, the membership, the
// placement candidates, and which router should own each endpoint and shard.
// Viewer.Refresh computes a new View and replaces the current one atomically, so
// that requests read a consistent state without locks.
package viewer

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/elector"
	"github.com/bergamotdale/bergamotdale/follower"
	"github.com/bergamotdale/bergamotdale/gossiper"
	"github.com/bergamotdale/bergamotdale/placer"
	"github.com/bergamotdale/bergamotdale/sharder"
	"github.com/bergamotdale/bergamotdale/validator"
	"github.com/bergamotdale/bergamotdale/watcher"
)

const (
	// drainingPrefix is the key prefix of the rumours that mark endpoints as
	// draining.
	drainingPrefix = "draining/"
	// drainingTTL is the time after which a draining mark expires unless it is
	// renewed.
	drainingTTL = 30 * time.Second
)

// View is an immutable snapshot of the state that request handling reads.
type View struct {
	// config is nil until the router has read its first configuration.
	config  *validator.Config
	members *gossiper.View
	// groups holds the placement candidates of each model and adapter.
	groups map[string]*placer.Group
	// desiredOwners maps each endpoint and shard to the router that should own it.
	desiredOwners map[string]string
	// draining holds the endpoints that accept no new requests.
	draining map[string]bool
}

// Config returns the configuration in force, or nil before the first one is read.
func (v *View) Config() *validator.Config { return v.config }

// Members returns the membership of the fleet.
func (v *View) Members() *gossiper.View { return v.members }

// Group returns the placement candidates of a model, or nil if the model is
// unknown.
func (v *View) Group(model string) *placer.Group { return v.groups[model] }

// DesiredOwners maps each endpoint and shard to the router that should own it.
// Callers must not modify the map.
func (v *View) DesiredOwners() map[string]string { return v.desiredOwners }

// Draining reports whether the endpoint accepts no new requests.
func (v *View) Draining(endpoint string) bool { return v.draining[endpoint] }

// Viewer computes and holds the current View. Its exported fields must be set
// before Refresh is called.
type Viewer struct {
	// Self is the ID of this router.
	Self     string
	Clock    bergamotdale.Clock
	Follower *follower.Follower
	Gossiper *gossiper.Gossiper
	Elector  *elector.Elector
	VMs      *watcher.VMs

	current atomic.Pointer[View]
}

// Current returns the current view. Before the first Refresh, the view holds only
// the membership.
func (w *Viewer) Current() *View {
	if v := w.current.Load(); v != nil {
		return v
	}
	return &View{members: w.Gossiper.View()}
}

// Refresh computes a new view, makes it the current one and returns it.
func (w *Viewer) Refresh() *View {
	v := w.computeView(w.Clock.Now(), w.current.Load())
	w.current.Store(v)
	return v
}

// computeView computes the view from the current membership and configuration. It
// returns the old view if no input has changed, because computing the owners of
// all names takes about 280,000 hashes at the target fleet size.
func (w *Viewer) computeView(now time.Time, old *View) *View {
	v := &View{
		config:   w.Follower.Current(),
		members:  w.Gossiper.View(),
		groups:   map[string]*placer.Group{},
		draining: w.drainingEndpoints(now),
	}
	if old != nil && v.sameInputs(old) {
		return old
	}
	if v.config == nil {
		return v
	}
	for _, model := range v.config.Models() {
		v.groups[model.Name()] = placer.NewGroup(v.candidates(model), placer.DefaultSlowStart)
	}
	v.desiredOwners = elector.DesiredOwners(v.OwnedNames(), v.members.Owners())
	return v
}

// sameInputs reports whether both views are computed from the same configuration,
// membership and draining endpoints.
func (v *View) sameInputs(old *View) bool {
	return v.config == old.config && v.members.Version() == old.members.Version() && maps.Equal(v.draining, old.draining)
}

// OwnedNames returns the names of all shards and engines. Each of them is owned by
// one router.
func (v *View) OwnedNames() []string {
	names := sharder.Names()
	for _, e := range v.config.Engines() {
		names = append(names, e.Name())
	}
	return names
}

// candidates returns the placement candidates of a model: all of its engines.
func (v *View) candidates(model *validator.Model) []placer.Candidate {
	return lo.Map(model.Engines(), func(e *validator.Engine, _ int) placer.Candidate {
		return placer.Candidate{
			Name:          e.Name(),
			FailureDomain: e.FailureDomain(),
			Draining:      v.draining[e.Name()],
			Weight:        1,
		}
	})
}

// drainingEndpoints returns the endpoints that the VM list or a rumour marks as
// draining. It reads both, because rumours arrive within a few probe intervals
// while the VM list lags behind.
func (w *Viewer) drainingEndpoints(now time.Time) map[string]bool {
	draining := map[string]bool{}
	for _, entry := range w.Gossiper.View().Rumours(drainingPrefix, now) {
		draining[entry.Key[len(drainingPrefix):]] = true
	}
	for _, vm := range w.VMs.Draining() {
		draining[vm] = true
	}
	return draining
}

// MarkDraining announces to the fleet by gossip that an engine has reported that
// it is draining. Callers repeat the call while the engine reports so; a repeated
// call renews the mark once half of drainingTTL has passed.
func (w *Viewer) MarkDraining(endpoint string) {
	now := w.Clock.Now()
	key := drainingPrefix + endpoint
	if entry, ok := w.Gossiper.View().Rumour(key, now); ok && entry.Expires.Sub(now) > drainingTTL/2 {
		return
	}
	w.Gossiper.SpreadRumour(key, w.Self, now.UnixMilli(), drainingTTL)
}

// Group returns the placement candidates of a model in the current view, or nil if
// the model is unknown.
func (w *Viewer) Group(model string) *placer.Group {
	return w.Current().groups[model]
}

// Owner returns the router to call for an endpoint or shard. A live owner that is
// known from a claim takes precedence over the router that should own the name.
func (w *Viewer) Owner(name string) (bergamotdale.Member, bool) {
	view := w.Current()
	if claim, ok := w.Elector.Owner(name); ok {
		if member, known := view.members.Member(claim.Owner); known && mayServe(member) {
			return member, true
		}
	}
	id, ok := view.desiredOwners[name]
	if !ok {
		return bergamotdale.Member{}, false
	}
	return view.members.Member(id)
}

// Member returns the router with the ID, and whether it is a known member.
func (w *Viewer) Member(id string) (bergamotdale.Member, bool) {
	return w.Current().members.Member(id)
}

// mayServe reports whether the router is neither dead nor has left the fleet.
func mayServe(m bergamotdale.Member) bool {
	return m.State != bergamotdale.MemberDead && m.State != bergamotdale.MemberLeft
}
