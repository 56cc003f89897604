package simulator

import (
	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/looper"
	"github.com/bergamotdale/bergamotdale/modeler"
	"github.com/bergamotdale/bergamotdale/placer"
)

// Placement names a placement policy.
type Placement string

// The placement policies. PlacementRouter is the policy of the routers, and the
// others are baselines.
const (
	// PlacementRouter lets the owner of the first endpoint in the chat's order plan
	// the placement (see placer.Group.Plan).
	PlacementRouter Placement = "router"
	// PlacementOrder takes the first endpoint in rendezvous order that admits the
	// request within the load bound. PlacementOverride first tries the endpoint
	// that served the chat last (see placer.Overrides).
	PlacementOrder    Placement = "bounded order"
	PlacementOverride Placement = "bounded order, overrides"
	// PlacementRandom, PlacementLeast and PlacementHash ignore the load bound.
	PlacementRandom Placement = "random"
	PlacementLeast  Placement = "least load"
	PlacementHash   Placement = "consistent hashing"
	// PlacementOracle takes the endpoint with the most cached tokens of the chat
	// that is within the load bound. It knows all caches and present loads, which
	// no router does, and is the upper limit for comparisons.
	PlacementOracle Placement = "oracle"
)

// place returns the endpoint that the policy chooses for a request, or nil if no
// endpoint admits it.
func (s *simulation) place(r *modeler.Request) *engine {
	switch s.Placement {
	case PlacementRandom:
		return s.randomEngine()
	case PlacementLeast:
		return s.highestScoring(func(e *engine) int { return -e.Load() }, false)
	case PlacementHash:
		return s.placeByHash(r)
	case PlacementOracle:
		return s.highestScoring(func(e *engine) int { return e.Cache.Tokens(r.Name)<<20 - e.Load() }, true)
	case PlacementOrder, PlacementOverride:
		return s.placeInOrder(r)
	default:
		return s.placeByPlan(r)
	}
}

// placeByPlan tries the steps that the owner of the first endpoint plans. At each
// step, the owner of that endpoint decides on admission.
func (s *simulation) placeByPlan(r *modeler.Request) *engine {
	chat := r.Name
	planRequest := placer.PlanRequest{OrderRequest: placer.OrderRequest{Chat: chat, Now: s.Clock(), Limit: 1}}
	s.order = s.group.Order(s.order[:0], planRequest.OrderRequest)
	if len(s.order) == 0 {
		return nil
	}
	first := s.engines[s.order[0]]
	planRequest.Returning = r.Prefix > 0
	planRequest.Override, _ = first.overrides.Get(chat)
	planRequest.FirstCached = first.cachedChats.Contains(chat)
	planRequest.OwnedSince = looper.Epoch.Add(first.ownedSince)
	planRequest.Loads = first.loads
	planRequest.FirstLoad = first.Load()
	planRequest.GroupLoad = first.groupLoad()
	s.plan = s.group.Plan(s.plan[:0], planRequest)
	for _, step := range s.plan {
		e := s.engines[step.Endpoint]
		if e != first {
			s.observer.Redirected(s.Now)
		}
		load := e.Load()
		own, sender := e.groupLoad(), first.loads.GroupLoad(s.Clock())
		capacity := s.bound.StepCapacity(step, own, sender)
		if e.gone || !step.Admits(e.cachedChats.Contains(chat), load, capacity) {
			first.loads.Set(e.name, load)
			continue
		}
		s.lastDecision = decision{e, step, own, sender}
		first.loads.Set(e.name, load+1)
		if e == first {
			first.overrides.Delete(chat)
		} else {
			first.overrides.Put(chat, e.name)
		}
		return e
	}
	return nil
}

// placeInOrder tries the endpoints in rendezvous order, with PlacementOverride
// after the endpoint of the chat's override.
func (s *simulation) placeInOrder(r *modeler.Request) *engine {
	s.order = s.group.Order(s.order[:0], placer.OrderRequest{Chat: r.Name, Now: s.Clock()})
	if len(s.order) == 0 {
		return nil
	}
	first := s.engines[s.order[0]]
	if name, ok := first.overrides.Get(r.Name); ok && s.Placement == PlacementOverride {
		if e := s.byName[name]; !e.gone && !e.draining && e.admits() {
			return e
		}
	}
	for hop, i := range s.order {
		e := s.engines[i]
		if e.gone || !e.admits() {
			continue
		}
		for range hop {
			s.observer.Redirected(s.Now)
		}
		first.overrides.Put(r.Name, e.name)
		return e
	}
	return nil
}

// admits reports whether the load bound lets the owner admit one more request.
func (e *engine) admits() bool {
	return e.simulation.bound.Admits(e.groupLoad(), e.Load())
}

// trueGroupLoad returns the present load of the group. Routers only know an older
// one from load reports.
func (s *simulation) trueGroupLoad() placer.GroupLoad {
	var load placer.GroupLoad
	for _, e := range s.engines {
		if e.gone {
			continue
		}
		load.Requests += e.Load()
		if !e.draining {
			load.Engines++
		}
	}
	return load
}

// randomEngine returns a random live engine.
func (s *simulation) randomEngine() *engine {
	live := s.liveEngines()
	return live[s.rng.IntN(len(live))]
}

// liveEngines returns the engines that take new requests.
func (s *simulation) liveEngines() []*engine {
	var live []*engine
	for _, e := range s.engines {
		if !e.draining && !e.gone {
			live = append(live, e)
		}
	}
	return live
}

// highestScoring returns the live engine with the highest score, with bounded only
// among those within the load bound. It returns nil if there is none.
func (s *simulation) highestScoring(score func(*engine) int, bounded bool) *engine {
	groupLoad := s.trueGroupLoad()
	var best *engine
	for _, e := range s.liveEngines() {
		if bounded && !s.bound.Admits(groupLoad, e.Load()) {
			continue
		}
		if best == nil || score(e) > score(best) {
			best = e
		}
	}
	return best
}

// placeByHash returns the first live engine in rendezvous order, whatever its
// load.
func (s *simulation) placeByHash(r *modeler.Request) *engine {
	key := hasher.Hash(r.Name)
	var best *engine
	var highest uint64
	for _, e := range s.liveEngines() {
		if w := hasher.Weight(key, hasher.Hash(e.name)); best == nil || w > highest {
			best, highest = e, w
		}
	}
	return best
}
