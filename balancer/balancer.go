// Package balancer chooses the endpoint of a request among those of a service.
//
// It answers three load patterns. Prompts that share their beginning return to
// the endpoint that keeps it, so that it is computed once. A beginning that is
// in great demand spreads to the next endpoints of its order, but only as far
// as the load bound requires. Requests without a prompt go where the least
// work waits.
package balancer

import (
	"math"

	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// multipleMargin keeps the load bound of a router below the promised one,
	// since the loads of other routers that it knows are up to a second old.
	multipleMargin = 0.75
	// boundSlack is the number of requests by which an endpoint may exceed the
	// multiple of the mean. It keeps small loads from spreading at once.
	boundSlack = 2
	// minWeight is the smallest share of its keys that a weakened endpoint
	// keeps.
	minWeight = 1.0 / 16
)

// Candidate is an endpoint as one router sees it.
type Candidate struct {
	ID string
	// Load is the number of requests at the endpoint, from all routers.
	Load int
	// Slots is the number of requests that it runs at once; zero if unknown.
	Slots int
	// Suspended endpoints do not respond; they are the last choice.
	Suspended bool
	// Weight is the share of its keys that the endpoint keeps, up to 1. Lower
	// values weaken endpoints that are slow or fail.
	Weight float64
	// Near endpoints are in the router's failure domain.
	Near bool
}

// Bound is the load bound of a service.
type Bound struct {
	// Multiple is the promised bound relative to the mean load.
	Multiple float64
}

// Capacity returns the load up to which an endpoint gets another request by
// its key.
func (b Bound) Capacity(total, endpoints int) int {
	if endpoints == 0 {
		return 0
	}
	multiple := max(1, b.Multiple*multipleMargin)
	return int(math.Ceil(multiple*float64(total+1)/float64(endpoints))) + boundSlack
}

// ByKey returns the index of the endpoint of a prompt whose shared beginning
// has the key, or -1 without candidates.
func ByKey(key string, candidates []Candidate, b Bound) int {
	total, live := 0, 0
	for _, c := range candidates {
		total += c.Load
		if !c.Suspended {
			live++
		}
	}
	capacity := b.Capacity(total, live)
	keyHash := hasher.Hash(key)
	best, bestScore := -1, math.Inf(-1)
	for i, c := range candidates {
		if c.Suspended || c.Load >= capacity || (c.Slots > 0 && c.Load >= c.Slots) {
			continue
		}
		if score := rank(keyHash, c); score > bestScore {
			best, bestScore = i, score
		}
	}
	if best >= 0 {
		return best
	}
	return ByLoad(key, candidates)
}

// ByLoad returns the index of the endpoint with the least load for its slots,
// or -1 without candidates. Ties go to a near endpoint, then by the key.
func ByLoad(key string, candidates []Candidate) int {
	keyHash := hasher.Hash(key)
	best := -1
	for i := range candidates {
		if best < 0 || lessLoaded(keyHash, candidates[i], candidates[best]) {
			best = i
		}
	}
	return best
}

// rank is the weighted rendezvous score of a candidate: its share of keys is in
// proportion to its weight.
func rank(keyHash uint64, c Candidate) float64 {
	// The 53 upper bits make a uniform number above 0 and below 1.
	u := (float64(hasher.Weight(keyHash, hasher.Hash(c.ID))>>11) + 0.5) / (1 << 53)
	return max(minWeight, c.Weight) / -math.Log(u)
}

func lessLoaded(keyHash uint64, a, b Candidate) bool {
	if a.Suspended != b.Suspended {
		return b.Suspended
	}
	if la, lb := relativeLoad(a), relativeLoad(b); la != lb {
		return la < lb
	}
	if a.Near != b.Near {
		return a.Near
	}
	return rank(keyHash, a) > rank(keyHash, b)
}

// relativeLoad is the load for each slot, counting a weakened endpoint as
// smaller.
func relativeLoad(c Candidate) float64 {
	weight := max(minWeight, c.Weight)
	load := float64(c.Load)
	if weight < 1 {
		// An idle weakened endpoint ranks behind an idle healthy one.
		load++
	}
	return load / (float64(max(1, c.Slots)) * weight)
}
