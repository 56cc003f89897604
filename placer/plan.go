package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// maxChoices is the number of endpoints at the head of a chat's order among
	// which the least loaded is chosen. The least loaded of a few is nearly as
	// good as the least loaded of all, and a chat whose override was lost is
	// found by trying only these.
	maxChoices = 8
	// maxFallbacks is the number of further endpoints that are tried when the
	// first maxChoices are all at their capacity.
	maxFallbacks = 4
	// SearchPeriod is how long after a change of an endpoint or of its owner an
	// engine may still have a chat cached although the chat's override was lost
	// by the change. Routers keep endpoints that have left among the candidates
	// for this time, as draining, to recognize such chats.
	SearchPeriod = 10 * time.Minute
)

// Step is one attempt to place a request. The owner of the endpoint admits the
// request if the conditions are met, and otherwise responds at once with the
// endpoint's load.
type Step struct {
	// Endpoint is the index of the candidate in the group.
	Endpoint int
	// RequireCached admits the request only if the engine is expected to have
	// the chat cached.
	RequireCached bool
	// MaxLoad is the highest load before the admission; if it is negative, only
	// the load bound applies.
	MaxLoad int
}

// Admits reports whether the owner of the endpoint admits a request with this
// step, given whether the chat is cached there, the load and the capacity.
func (s Step) Admits(cached bool, load, capacity int) bool {
	if s.RequireCached && !cached {
		return false
	}
	if s.MaxLoad >= 0 && load > s.MaxLoad {
		return false
	}
	return load < capacity
}

// isLastResort reports whether the step has no condition but the load bound.
func (s Step) isLastResort() bool {
	return !s.RequireCached && s.MaxLoad < 0
}

// PlanRequest holds the parameters of Group.Plan: what the owner of the first
// endpoint in the chat's order knows about the request.
type PlanRequest struct {
	OrderRequest
	// Returning is set if the chat has received a response before.
	Returning bool
	// Override is the endpoint of the chat's placement override, or empty.
	Override string
	// FirstCached is set if the first endpoint has the chat cached.
	FirstCached bool
	// OwnedSince is when the owner of the first endpoint began to keep its
	// overrides and its record of cached chats.
	OwnedSince time.Time
	// FirstLoad is the load of the first endpoint.
	FirstLoad int
	// GroupLoad is the load of the whole group.
	GroupLoad GroupLoad
	// Loads holds the known loads of the group.
	Loads *Loads
}

// Plan appends to dst the steps by which to place a request, and returns it.
//
// A returning chat is first tried where it is cached. All other requests go to
// the first endpoint in the chat's order if it is below the mean load, and
// otherwise to the least loaded of the first maxChoices endpoints, so that
// endpoints where many chats are cached keep room for these chats. A step with a
// maximum load guards against an endpoint that has become busier since its last
// report: the next best one is tried instead.
func (g *Group) Plan(dst []Step, q PlanRequest) []Step {
	if g.activeCount == 0 {
		return dst
	}
	var buffer [maxChoices + maxFallbacks]int
	request := q.OrderRequest
	request.Limit = len(buffer)
	order := g.Order(buffer[:0], request)
	first := min(maxChoices, len(order))
	if q.Returning {
		dst = g.planCached(dst, q, order[:first])
	}
	// If the first endpoint is below the mean load, placing the chat there saves
	// a redirect for this and all later requests.
	if q.FirstLoad*q.GroupLoad.Engines < q.GroupLoad.Requests {
		dst = append(dst, Step{Endpoint: order[0], MaxLoad: q.FirstLoad})
	}
	dst = g.planLeastLoaded(dst, q, order[:first])
	for _, i := range order[first:] {
		dst = append(dst, Step{Endpoint: i, MaxLoad: -1})
	}
	return dst
}

// planCached appends the steps for endpoints that may have the chat cached.
func (g *Group) planCached(dst []Step, q PlanRequest, order []int) []Step {
	overridden := -1
	if q.Override != "" {
		overridden = g.activeIndex(q.Override)
	}
	if overridden >= 0 {
		dst = append(dst, Step{Endpoint: overridden, RequireCached: true, MaxLoad: -1})
	}
	if q.FirstCached && order[0] != overridden {
		dst = append(dst, Step{Endpoint: order[0], RequireCached: true, MaxLoad: -1})
	}
	if overridden >= 0 || q.FirstCached || !g.overrideMayBeLost(q, order[0]) {
		return dst
	}
	for _, i := range order[1:] {
		dst = append(dst, Step{Endpoint: i, RequireCached: true, MaxLoad: -1})
	}
	return dst
}

// overrideMayBeLost reports whether the override of the chat may have been lost:
// the first endpoint has a new owner, or the chat's previous first endpoint has
// left.
func (g *Group) overrideMayBeLost(q PlanRequest, first int) bool {
	if q.Now.Sub(q.OwnedSince) < SearchPeriod {
		return true
	}
	key := q.chatHash()
	firstWeight := hasher.Weight(key, g.hashes[first])
	for i, state := range g.states {
		if state == draining && hasher.Weight(key, g.hashes[i]) > firstWeight {
			return true
		}
	}
	return false
}

// activeIndex returns the index of the named candidate, or -1 if there is none or
// it is draining.
func (g *Group) activeIndex(name string) int {
	i := slices.IndexFunc(g.candidates, func(c Candidate) bool { return c.Name == name })
	if i >= 0 && g.candidates[i].Draining {
		return -1
	}
	return i
}

// candidateLoad is a candidate with its known load.
type candidateLoad struct {
	index, load int
}

// planLeastLoaded appends the steps for the endpoints by rising load: first with
// the condition that the endpoint is still the least loaded, then without it.
func (g *Group) planLeastLoaded(dst []Step, q PlanRequest, order []int) []Step {
	var buffer [maxChoices]candidateLoad
	least := buffer[:0]
	for _, i := range order {
		least = append(least, candidateLoad{i, q.loadOf(&g.candidates[i])})
	}
	slices.SortStableFunc(least, func(a, b candidateLoad) int { return cmp.Compare(a.load, b.load) })
	for n := 0; n+1 < len(least); n++ {
		dst = append(dst, Step{Endpoint: least[n].index, MaxLoad: least[n+1].load})
	}
	for _, l := range least {
		dst = append(dst, Step{Endpoint: l.index, MaxLoad: -1})
	}
	return dst
}

// loadOf returns the known load of a candidate. A candidate that has not reported
// yet counts as the most loaded, because all requests would go to it otherwise.
func (q PlanRequest) loadOf(c *Candidate) int {
	if q.Loads != nil {
		if load, ok := q.Loads.Get(c.Name); ok {
			return load
		}
	}
	if c.LoadKnown {
		return c.Load
	}
	return math.MaxInt
}
