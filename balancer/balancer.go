// Package balancer selects the endpoint that serves a request.
//
// Requests with a prompt are placed by consistent hashing with bounded loads:
// prompts with the same prefix go to the endpoint that has the prefix cached,
// so that it is computed once. When that endpoint reaches the load bound, the
// prefix spreads to the next endpoints in rendezvous order, but only as far as
// the bound requires. Requests without a prompt go to the endpoint with the
// least load.
package balancer

import (
	"math"

	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// staleLoadMargin scales the configured load bound down, because the loads
	// that other routers report are up to a second old.
	staleLoadMargin = 0.75
	// boundSlack is the number of requests by which an endpoint may exceed the
	// multiple of the mean load. Without it a key would spread to further
	// endpoints already at small loads.
	boundSlack = 2
	// minWeight is the lower limit of a weight, so that an endpoint with a
	// reduced weight keeps part of its keys.
	minWeight = 1.0 / 16
)

// Candidate is an endpoint that may serve a request, in the state known to this
// router.
type Candidate struct {
	ID string
	// Load is the number of requests in flight at the endpoint from all routers.
	Load int
	// Slots is the number of requests that the endpoint runs concurrently; zero
	// if unknown.
	Slots int
	// Suspended states that the endpoint does not respond. It is selected only
	// if all candidates are suspended.
	Suspended bool
	// Weight is the share of its keys that the endpoint keeps, at most 1. It is
	// below 1 for endpoints that are slow or fail requests.
	Weight float64
	// SameFailureDomain states that the endpoint is in the failure domain of
	// this router.
	SameFailureDomain bool
	// Estimate is used if Bound.Live is set.
	Estimate Estimate
}

// Bound limits the load of each endpoint of a service.
type Bound struct {
	// Multiple is the highest load that an endpoint may have, relative to the
	// mean load of the endpoints.
	Multiple float64
	// Spread is the part of the capacity, from 0 to 1, by which it differs from
	// request to request. In a large fleet many routers place requests by the same
	// loads before they hear of each other's requests; with one capacity for all,
	// a popular prompt would fill its endpoint far beyond that and then the next.
	Spread float64
	// Live states that the candidates have estimates, by which they are chosen instead
	// of Candidate.Load.
	Live bool
}

// Capacity returns the load from which an endpoint receives no further requests
// by key, given the total load of all endpoints.
func (b Bound) Capacity(total, endpoints int) int {
	if endpoints == 0 {
		return 0
	}
	multiple := max(1, b.Multiple*staleLoadMargin)
	return int(math.Ceil(multiple*float64(total+1)/float64(endpoints))) + boundSlack
}

// ByKey returns the index of the candidate for a prompt whose shared prefix has
// the key, or -1 without candidates. If all candidates are suspended, at the load
// bound or out of slots, it falls back to ByLoad.
func ByKey(requestID, key string, candidates []Candidate, b Bound) int {
	total, available := 0, 0
	for _, c := range candidates {
		total += c.Load
		if !c.Suspended {
			available++
		}
	}
	capacity := b.Capacity(total, available)
	if b.Spread > 0 {
		capacity = max(1, int(math.Ceil(float64(capacity)*(1-b.Spread*uniform(hasher.Hash(requestID))))))
	}
	keyHash := hasher.Hash(key)
	best, bestScore := -1, math.Inf(-1)
	for i, c := range candidates {
		if c.Suspended || c.Load >= capacity || (c.Slots > 0 && c.Load >= c.Slots) {
			continue
		}
		if score := rendezvousScore(keyHash, c); score > bestScore {
			best, bestScore = i, score
		}
	}
	if best >= 0 {
		return best
	}
	return ByLoad(requestID, key, candidates, b)
}

// ByLoad returns the index of the candidate with the least load per slot, or -1
// without candidates. Ties go to a candidate in the same failure domain, then to
// the first one in rendezvous order for the key. With Bound.Spread, loads that
// differ from the least one by up to that part of the mean tie too, except those of
// candidates with a reduced weight, and the order is that of the request, so that
// the routers of a large fleet do not all choose the same candidate.
func ByLoad(requestID, key string, candidates []Candidate, b Bound) int {
	least, margin := math.Inf(1), 0.0
	if b.Spread > 0 {
		key, margin = requestID, b.Spread*meanLoad(candidates)
	}
	for _, c := range candidates {
		if !c.Suspended {
			least = min(least, relativeLoad(c, 0))
		}
	}
	keyHash := hasher.Hash(key)
	best, bestLoad := -1, 0.0
	for i, c := range candidates {
		load := relativeLoad(c, 0)
		if margin > 0 && !c.Suspended && c.Weight >= 1 {
			load = max(least, relativeLoad(c, -margin))
		}
		if best < 0 || lessLoaded(keyHash, c, load, candidates[best], bestLoad) {
			best, bestLoad = i, load
		}
	}
	return best
}

// meanLoad returns the mean load of the candidates.
func meanLoad(candidates []Candidate) float64 {
	total := 0
	for _, c := range candidates {
		total += c.Load
	}
	return float64(total) / float64(max(1, len(candidates)))
}

// rendezvousScore returns the weighted rendezvous hashing score of a candidate
// for a key. The highest score wins, and the share of keys that a candidate wins
// is proportional to its weight.
func rendezvousScore(keyHash uint64, c Candidate) float64 {
	u := uniform(hasher.Weight(keyHash, hasher.Hash(c.ID)))
	return max(minWeight, c.Weight) / -math.Log(u)
}

// uniform returns a number between 0 and 1, both excluded, that is uniformly
// distributed over the hashes. It uses their upper 53 bits.
func uniform(hash uint64) float64 {
	return (float64(hash>>11) + 0.5) / (1 << 53)
}

// lessLoaded reports whether ByLoad prefers a with loadA to b with loadB.
func lessLoaded(keyHash uint64, a Candidate, loadA float64, b Candidate, loadB float64) bool {
	if a.Suspended != b.Suspended {
		return b.Suspended
	}
	if loadA != loadB {
		return loadA < loadB
	}
	if a.SameFailureDomain != b.SameFailureDomain {
		return a.SameFailureDomain
	}
	return rendezvousScore(keyHash, a) > rendezvousScore(keyHash, b)
}

// relativeLoad returns the load per slot, with a number of requests added. A weight below 1 reduces the number of slots that count.
func relativeLoad(c Candidate, added float64) float64 {
	weight := max(minWeight, c.Weight)
	load := float64(c.Load) + added
	if weight < 1 {
		// Without this, an idle endpoint with a reduced weight would tie with an
		// idle healthy one.
		load++
	}
	return load / (float64(max(1, c.Slots)) * weight)
}
