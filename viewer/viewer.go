// Package viewer computes what the request paths of a router read: the
// configuration in force, the members, the placement candidates and who should
// own what. A View never changes; Refresh replaces it.
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
	// drainingPrefix starts the rumours that mark endpoints as draining.
	drainingPrefix = "draining/"
	// drainingTTL is how long a mark holds after the last report.
	drainingTTL = 30 * time.Second
)

// View is what the request paths of a router read.
type View struct {
	// config is nil until the first configuration is known.
	config  *validator.Config
	members *gossiper.View
	// groups holds the placement candidates of each model and adapter.
	groups map[string]*placer.Group
	// wanted maps each endpoint and shard to the router that should own it.
	wanted map[string]string
	// draining holds the endpoints that take no new work.
	draining map[string]bool
}

// Config returns the configuration in force, nil before the first one is known.
func (v *View) Config() *validator.Config { return v.config }

// Members returns the membership.
func (v *View) Members() *gossiper.View { return v.members }

// Group returns the placement candidates of a model, nil if it is not known.
func (v *View) Group(model string) *placer.Group { return v.groups[model] }

// Wanted maps each endpoint and shard to the router that should own it. The map
// must not be changed.
func (v *View) Wanted() map[string]string { return v.wanted }

// Draining reports whether the endpoint takes no new work.
func (v *View) Draining(endpoint string) bool { return v.draining[endpoint] }

// Viewer holds the view in force. Exported fields are set before Refresh.
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

// Current returns the view in force.
func (w *Viewer) Current() *View {
	if v := w.current.Load(); v != nil {
		return v
	}
	return &View{members: w.Gossiper.View()}
}

// Refresh computes the view and puts it in force.
func (w *Viewer) Refresh() *View {
	v := w.compute(w.Clock.Now(), w.current.Load())
	w.current.Store(v)
	return v
}

// compute computes the view of the present membership and configuration. It
// returns the old view if nothing has changed: at the target size the owners
// of all names take about 280,000 hashes.
func (w *Viewer) compute(now time.Time, old *View) *View {
	v := &View{
		config:   w.Follower.Current(),
		members:  w.Gossiper.View(),
		groups:   map[string]*placer.Group{},
		draining: w.drainingEndpoints(now),
	}
	if old != nil && v.same(old) {
		return old
	}
	if v.config == nil {
		return v
	}
	for _, model := range v.config.Models() {
		v.groups[model.Name()] = placer.NewGroup(v.candidates(model), placer.DefaultSlowStart)
	}
	v.wanted = elector.DesiredOwners(v.Names(), v.members.Owners())
	return v
}

// same reports whether both views are computed from the same inputs.
func (v *View) same(old *View) bool {
	return v.config == old.config && v.members.Version() == old.members.Version() && maps.Equal(v.draining, old.draining)
}

// Names returns the names of everything that has an owner.
func (v *View) Names() []string {
	names := sharder.Names()
	for _, e := range v.config.Engines() {
		names = append(names, e.Name())
	}
	return names
}

// candidates returns the engines of a model as candidates for placement.
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
// draining. Rumours arrive within a few probes; the list lags.
func (w *Viewer) drainingEndpoints(now time.Time) map[string]bool {
	draining := map[string]bool{}
	for _, rumour := range w.Gossiper.View().Rumours(drainingPrefix, now) {
		draining[rumour.Key[len(drainingPrefix):]] = true
	}
	for _, vm := range w.VMs.Draining() {
		draining[vm] = true
	}
	return draining
}

// MarkDraining tells the fleet that an engine has reported that it is draining.
// The mark is renewed while the engine reports it.
func (w *Viewer) MarkDraining(endpoint string) {
	now := w.Clock.Now()
	key := drainingPrefix + endpoint
	if mark, ok := w.Gossiper.View().Rumour(key, now); ok && mark.Expires.Sub(now) > drainingTTL/2 {
		return
	}
	w.Gossiper.Spread(key, w.Self, now.UnixMilli(), drainingTTL)
}

// Group returns the placement candidates of a model.
func (w *Viewer) Group(model string) *placer.Group {
	return w.Current().groups[model]
}

// Owner returns the router to ask for an endpoint or shard. The owner that is
// known from a claim goes before the one that should claim next.
func (w *Viewer) Owner(name string) (bergamotdale.Member, bool) {
	v := w.Current()
	if o, ok := w.Elector.Owner(name); ok {
		if m, known := v.members.Member(o.Owner); known && serving(m) {
			return m, true
		}
	}
	id, ok := v.wanted[name]
	if !ok {
		return bergamotdale.Member{}, false
	}
	return v.members.Member(id)
}

// Member returns the router with the ID.
func (w *Viewer) Member(id string) (bergamotdale.Member, bool) {
	return w.Current().members.Member(id)
}

// serving reports whether requests can be sent to the router.
func serving(m bergamotdale.Member) bool {
	return m.State != bergamotdale.MemberDead && m.State != bergamotdale.MemberLeft
}
