package router

import (
	"maps"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/elector"
	"github.com/bergamotdale/bergamotdale/gossiper"
	"github.com/bergamotdale/bergamotdale/placer"
	"github.com/bergamotdale/bergamotdale/sharder"
	"github.com/bergamotdale/bergamotdale/validator"
)

const (
	// drainingPrefix starts the rumours that mark endpoints as draining.
	drainingPrefix = "draining/"
	// drainingTTL is how long a mark holds after the last report.
	drainingTTL = 30 * time.Second
)

// view is what the request paths of a router read. It never changes; control
// replaces it.
type view struct {
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

// current returns the view in force.
func (r *Router) current() *view {
	return r.view.Load()
}

// newView computes the view of the present membership and configuration. It
// returns the old view if nothing has changed: at the target size the owners
// of all names take about 280,000 hashes.
func (r *Router) newView(now time.Time, old *view) *view {
	v := &view{
		config:   r.follower.Current(),
		members:  r.gossiper.View(),
		groups:   map[string]*placer.Group{},
		draining: r.drainingEndpoints(now),
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
	v.wanted = elector.Wanted(v.names(), v.members.Owners())
	return v
}

// same reports whether both views are computed from the same inputs.
func (v *view) same(old *view) bool {
	return v.config == old.config && v.members.Version() == old.members.Version() && maps.Equal(v.draining, old.draining)
}

// names returns the names of everything that has an owner.
func (v *view) names() []string {
	names := sharder.Names()
	for _, e := range v.config.Engines() {
		names = append(names, e.Name())
	}
	return names
}

// candidates returns the engines of a model as candidates for placement.
func (v *view) candidates(model *validator.Model) []placer.Candidate {
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
func (r *Router) drainingEndpoints(now time.Time) map[string]bool {
	draining := map[string]bool{}
	for _, rumour := range r.gossiper.View().Rumours(drainingPrefix, now) {
		draining[rumour.Key[len(drainingPrefix):]] = true
	}
	for _, vm := range r.vms.Draining() {
		draining[vm] = true
	}
	return draining
}

// markDraining tells the fleet that an engine has reported that it is draining.
// The mark is renewed while the engine reports it.
func (r *Router) markDraining(endpoint string) {
	now := r.clock.Now()
	key := drainingPrefix + endpoint
	if mark, ok := r.gossiper.View().Rumour(key, now); ok && mark.Expires.Sub(now) > drainingTTL/2 {
		return
	}
	r.gossiper.Spread(key, r.self.ID, now.UnixMilli(), drainingTTL)
}

// directory is the view as the forwarder needs it.
type directory struct {
	router *Router
}

// Self implements forwarder.Directory.
func (d *directory) Self() string {
	return d.router.self.ID
}

// Group implements forwarder.Directory.
func (d *directory) Group(model string) *placer.Group {
	return d.router.current().groups[model]
}

// Owner implements forwarder.Directory. The owner that is known from a claim
// goes before the one that should claim next.
func (d *directory) Owner(endpoint string) (bergamotdale.Member, bool) {
	v := d.router.current()
	if o, ok := d.router.elector.Owner(endpoint); ok {
		if m, known := v.members.Member(o.Owner); known && serving(m) {
			return m, true
		}
	}
	id, ok := v.wanted[endpoint]
	if !ok {
		return bergamotdale.Member{}, false
	}
	return v.members.Member(id)
}

// Member implements forwarder.Directory.
func (d *directory) Member(id string) (bergamotdale.Member, bool) {
	return d.router.current().members.Member(id)
}

// serving reports whether requests can be sent to the router.
func serving(m bergamotdale.Member) bool {
	return m.State != bergamotdale.MemberDead && m.State != bergamotdale.MemberLeft
}
