package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// choices is how many endpoints of a chat's order take its first request.
	// The least loaded of a few is nearly as good as the least loaded of all,
	// and a chat whose override was lost is found again among them.
	choices = 8
	// spares is how many endpoints after the choices are tried when all of
	// them are at their capacity.
	spares = 4
	// SearchPeriod is how long a chat may be cached where no override leads any
	// more, because the endpoint that kept its override or the owner of that
	// endpoint has changed. Routers keep endpoints that have left among the
	// candidates for this time, as draining.
	SearchPeriod = 10 * time.Minute
)

// Step is one attempt to place a request. The owner of the endpoint admits it
// if the condition is met, and otherwise answers at once with its load.
type Step struct {
	// Endpoint is the index of the candidate in the group.
	Endpoint int
	// Resident requires that the engine is expected to have the chat cached.
	Resident bool
	// MaxLoad is the highest load before the admission; negative means that
	// only the bound counts.
	MaxLoad int
}

// Met reports whether an owner admits a request with this step.
func (s Step) Met(resident bool, load, capacity int) bool {
	if s.Resident && !resident {
		return false
	}
	if s.MaxLoad >= 0 && load > s.MaxLoad {
		return false
	}
	return load < capacity
}

// lastResort reports whether the step has no condition but the bound.
func (s Step) lastResort() bool {
	return !s.Resident && s.MaxLoad < 0
}

// Question is what the owner of a chat's first endpoint knows about a request.
type Question struct {
	Request
	// Returning is set if the chat has had a response before.
	Returning bool
	// Override is the endpoint of the chat's placement override, or empty.
	Override string
	// Resident is set if the first endpoint has the chat cached.
	Resident bool
	// Since is when the owner of the first endpoint began to keep overrides and
	// residents for it.
	Since time.Time
	// Load is the load of the first endpoint, and Mean that of the group.
	Load int
	Mean Mean
	// Loads holds the known loads of the group.
	Loads *Loads
}

// Plan appends to dst the steps by which to place a request, and returns it.
//
// A returning chat is first tried where it is cached. All other requests go to
// the chat's first endpoint if it is below the mean load, and else to the least
// loaded of the first endpoints in the chat's order, so that the
// endpoints where many chats are cached keep room for them. A step with a
// maximum load is for an endpoint that may be busier than the last report said;
// the next best is tried instead.
func (g *Group) Plan(dst []Step, q Question) []Step {
	if g.active == 0 {
		return dst
	}
	var buffer [choices + spares]int
	request := q.Request
	request.Limit = len(buffer)
	order := g.Order(buffer[:0], request)
	first := min(choices, len(order))
	if q.Returning {
		dst = g.planCached(dst, q, order[:first])
	}
	// A first endpoint below the mean saves this and all later redirects.
	if q.Load*q.Mean.Engines < q.Mean.Load {
		dst = append(dst, Step{Endpoint: order[0], MaxLoad: q.Load})
	}
	dst = g.planLeastLoaded(dst, q, order[:first])
	for _, i := range order[first:] {
		dst = append(dst, Step{Endpoint: i, MaxLoad: -1})
	}
	return dst
}

// planCached appends the endpoints that may have the chat cached.
func (g *Group) planCached(dst []Step, q Question, order []int) []Step {
	overridden := -1
	if q.Override != "" {
		overridden = g.find(q.Override)
	}
	if overridden >= 0 {
		dst = append(dst, Step{Endpoint: overridden, Resident: true, MaxLoad: -1})
	}
	if q.Resident && order[0] != overridden {
		dst = append(dst, Step{Endpoint: order[0], Resident: true, MaxLoad: -1})
	}
	if overridden >= 0 || q.Resident || !g.searches(q, order[0]) {
		return dst
	}
	for _, i := range order[1:] {
		dst = append(dst, Step{Endpoint: i, Resident: true, MaxLoad: -1})
	}
	return dst
}

// searches reports whether the override of the chat may have been lost: the
// owner is new, or an endpoint that left was the chat's first one.
func (g *Group) searches(q Question, first int) bool {
	if q.Now.Sub(q.Since) < SearchPeriod {
		return true
	}
	key := q.key()
	leader := hasher.Weight(key, g.hashes[first])
	for i, kind := range g.kinds {
		if kind == draining && hasher.Weight(key, g.hashes[i]) > leader {
			return true
		}
	}
	return false
}

// find returns the index of a candidate that takes new work, or -1.
func (g *Group) find(name string) int {
	i := slices.IndexFunc(g.candidates, func(c Candidate) bool { return c.Name == name })
	if i >= 0 && g.candidates[i].Draining {
		return -1
	}
	return i
}

// loaded is a candidate with its known load.
type loaded struct {
	index, load int
}

// planLeastLoaded appends the endpoints by rising load, first with the
// condition that they still are the least loaded, then without.
func (g *Group) planLeastLoaded(dst []Step, q Question, order []int) []Step {
	var buffer [choices]loaded
	least := buffer[:0]
	for _, i := range order {
		least = append(least, loaded{i, q.load(&g.candidates[i])})
	}
	slices.SortStableFunc(least, func(a, b loaded) int { return cmp.Compare(a.load, b.load) })
	for n := 0; n+1 < len(least); n++ {
		dst = append(dst, Step{Endpoint: least[n].index, MaxLoad: least[n+1].load})
	}
	for _, l := range least {
		dst = append(dst, Step{Endpoint: l.index, MaxLoad: -1})
	}
	return dst
}

// load returns the known load of a candidate. An endpoint that has not reported
// yet comes last, because all requests would go to it otherwise.
func (q Question) load(c *Candidate) int {
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
