package simulator

import (
	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/looper"
	"github.com/bergamotdale/bergamotdale/modeler"
	"github.com/bergamotdale/bergamotdale/placer"
)

// Placement names a placement policy.
type Placement string

// The policies. PlacementRouter is the one of the design; the others are
// baselines.
const (
	PlacementRouter Placement = "router"
	// PlacementOrder takes the first endpoint in rendezvous order that is under
	// its capacity, PlacementOverride adds placement overrides.
	PlacementOrder    Placement = "bounded order"
	PlacementOverride Placement = "bounded order, overrides"
	// PlacementRandom, PlacementLeast and PlacementHash know no bound.
	PlacementRandom Placement = "random"
	PlacementLeast  Placement = "least load"
	PlacementHash   Placement = "consistent hashing"
	// PlacementOracle knows every cache and every load, and keeps the bound.
	PlacementOracle Placement = "oracle"
)

// place returns the endpoint of a request, or nil if all are full.
func (s *simulation) place(r *modeler.Request) *engine {
	switch s.Placement {
	case PlacementRandom:
		return s.random()
	case PlacementLeast:
		return s.best(func(e *engine) int { return -e.Load() }, false)
	case PlacementHash:
		return s.hashed(r)
	case PlacementOracle:
		return s.best(func(e *engine) int { return e.Cache.Tokens(r.Name)<<20 - e.Load() }, true)
	case PlacementOrder, PlacementOverride:
		return s.ordered(r)
	default:
		return s.planned(r)
	}
}

// planned follows the plan of the owner of the first endpoint.
func (s *simulation) planned(r *modeler.Request) *engine {
	chat := r.Name
	question := placer.PlanRequest{OrderRequest: placer.OrderRequest{Chat: chat, Now: s.Clock(), Limit: 1}}
	s.order = s.group.Order(s.order[:0], question.OrderRequest)
	if len(s.order) == 0 {
		return nil
	}
	home := s.engines[s.order[0]]
	question.Returning = r.Prefix > 0
	question.Override, _ = home.overrides.Get(chat)
	question.FirstCached = home.residents.Contains(chat)
	question.OwnedSince = looper.Epoch.Add(home.since)
	question.Loads = home.loads
	question.FirstLoad = home.Load()
	question.GroupLoad = home.mean()
	s.plan = s.group.Plan(s.plan[:0], question)
	for _, step := range s.plan {
		e := s.engines[step.Endpoint]
		if e != home {
			s.observer.Redirected(s.Now)
		}
		load := e.Load()
		own, sender := e.mean(), home.loads.GroupLoad(s.Clock())
		capacity := s.bound.StepCapacity(step, own, sender)
		if e.gone || !step.Admits(e.residents.Contains(chat), load, capacity) {
			home.loads.Set(e.name, load)
			continue
		}
		s.admission = admission{e, step, own, sender}
		home.loads.Set(e.name, load+1)
		if e == home {
			home.overrides.Delete(chat)
		} else {
			home.overrides.Put(chat, e.name)
		}
		return e
	}
	return nil
}

// ordered tries the endpoints in rendezvous order.
func (s *simulation) ordered(r *modeler.Request) *engine {
	s.order = s.group.Order(s.order[:0], placer.OrderRequest{Chat: r.Name, Now: s.Clock()})
	if len(s.order) == 0 {
		return nil
	}
	home := s.engines[s.order[0]]
	if name, ok := home.overrides.Get(r.Name); ok && s.Placement == PlacementOverride {
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
		home.overrides.Put(r.Name, e.name)
		return e
	}
	return nil
}

// admits is the owner's check of the load bound.
func (e *engine) admits() bool {
	return e.simulation.bound.Admits(e.mean(), e.Load())
}

// trueMean is the present state of the group, which no router knows.
func (s *simulation) trueMean() placer.GroupLoad {
	var m placer.GroupLoad
	for _, e := range s.engines {
		if e.gone {
			continue
		}
		m.Requests += e.Load()
		if !e.draining {
			m.Engines++
		}
	}
	return m
}

func (s *simulation) random() *engine {
	live := s.live()
	return live[s.rng.IntN(len(live))]
}

func (s *simulation) live() []*engine {
	var live []*engine
	for _, e := range s.engines {
		if !e.draining && !e.gone {
			live = append(live, e)
		}
	}
	return live
}

// best returns the live engine with the highest score.
func (s *simulation) best(score func(*engine) int, bounded bool) *engine {
	mean := s.trueMean()
	var best *engine
	for _, e := range s.live() {
		if bounded && !s.bound.Admits(mean, e.Load()) {
			continue
		}
		if best == nil || score(e) > score(best) {
			best = e
		}
	}
	return best
}

// hashed is plain consistent hashing.
func (s *simulation) hashed(r *modeler.Request) *engine {
	key := hasher.Hash(r.Name)
	var best *engine
	var highest uint64
	for _, e := range s.live() {
		if w := hasher.Weight(key, hasher.Hash(e.name)); best == nil || w > highest {
			best, highest = e, w
		}
	}
	return best
}
