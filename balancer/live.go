package balancer

import (
	"math"

	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/predictor"
)

const (
	// excessGain is how strongly an excess that the latest load shows counts, compared
	// with the sum of package predictor. A load of 1.2 times the share leaves two thirds
	// of the requests that the endpoint would get, and one of twice the share one in 17.
	// More would answer to what the counts show by chance: 5 cost 1 in 100 cached prompts
	// and made the load no more even.
	excessGain = 3
	// furtherPart is the part of the requests with a popular key that a further
	// endpoint takes. If it took all that the first one leaves, a hot key would overrun
	// one endpoint after the other, each until the loads show it.
	furtherPart = 0.5
	// maxMultiple is the goal for the busiest endpoint, as a multiple of its share.
	maxMultiple = 1.2
	// longPrefix is the length of a shared prefix, in tokens, from which it stays at its
	// endpoint up to the bound. Engines compute 50 to 125 tokens a millisecond, so that
	// computing or copying a shorter one costs a caller less than a twentieth of the
	// objectives of 0.5 s, and a longer one delays the streams beside it too.
	longPrefix = 1024
	// minRoom is the room of a candidate without any, so that one is chosen if all are
	// full.
	minRoom = 1e-6
)

// Estimate is what a router knows of an endpoint beyond the count of its requests.
type Estimate struct {
	// Load is the estimated number of requests at the endpoint at this moment.
	Load float64
	// Speed is how fast the endpoint works relative to the others of its service, 1 for
	// as fast.
	Speed float64
	// Memory is the memory for the prompts of running requests in tokens, zero if
	// unknown.
	Memory int64
	// Excess is by how much the load has lately exceeded the endpoint's share.
	Excess float64
}

// capacity returns the capacity of the candidate relative to others of its service.
func (c Candidate) capacity() float64 {
	speed := c.Estimate.Speed
	if speed <= 0 {
		speed = 1
	}
	return float64(max(1, c.Slots)) * speed * min(1, max(minWeight, c.Weight))
}

// places returns how many requests like the one with the number of tokens the
// candidate can run at once.
func (c Candidate) places(tokens int64) float64 {
	places := math.Inf(1)
	if c.Slots > 0 {
		places = float64(c.Slots)
	}
	if c.Estimate.Memory > 0 && tokens > 0 {
		places = min(places, max(1, math.Floor(float64(c.Estimate.Memory)/float64(tokens))))
	}
	return places
}

// fleetLoad is the load of all candidates that are not suspended.
type fleetLoad struct {
	total, capacity float64
	available       int
}

func newFleetLoad(candidates []Candidate) fleetLoad {
	var f fleetLoad
	for _, c := range candidates {
		if !c.Suspended {
			f.total += c.Estimate.Load
			f.capacity += c.capacity()
			f.available++
		}
	}
	return f
}

// share returns the load that the candidate has if all are loaded by their capacity,
// with one more request.
func (f fleetLoad) share(c Candidate) float64 { return (f.total + 1) * c.capacity() / f.capacity }

// placeLive selects the endpoint by estimated loads. If all candidates are suspended it
// falls back to ByLoad.
func placeLive(request Request, candidates []Candidate, b Bound) int {
	best := -1
	if request.HasPrompt {
		best = byLiveKey(request, candidates, b)
	}
	if best < 0 {
		best = byLiveLoad(request, candidates)
	}
	if best < 0 {
		best = ByLoad(request.RequestID, request.Key, candidates, b)
	}
	return best
}

// byLiveKey is ByKey by estimated loads.
//
// An endpoint accepts a part of the requests that falls exponentially with its excess,
// so that the number of requests that it gets is that for which it has room, whatever
// the number that would go there. Each router decides by a hash and not by a common
// threshold, so that routers with the same loads do not all send their requests to the
// same endpoint. Requests with a popular key are accepted by the hash of the request.
// All others are accepted by the hash of the key, so that a key that is seldom requested
// stays where it is cached. Of the endpoints that accept a request, the first in
// rendezvous order for its key gets it, so that all routers spread a key to the same
// endpoints. It returns -1 if no endpoint accepts the request.
//
// A request with a long prefix and a key that is not popular is accepted by each endpoint
// below the bound of the promises: nobody waits there, and a further endpoint would have to
// copy the prefix or compute it for this one request. The load is evened out by the others.
func byLiveKey(request Request, candidates []Candidate, b Bound) int {
	l := liveRule{request: request, fleet: newFleetLoad(candidates), seed: hasher.Hash(request.RequestID)}
	l.bound = float64(b.Capacity(int(l.fleet.total), l.fleet.available))
	key := hasher.Hash(request.Key)
	if l.stays = request.PrefixTokens >= longPrefix && !request.Popular; l.stays {
		l.bound = b.Multiple*(l.fleet.total+1)/float64(max(1, l.fleet.available)) + boundSlack
	}
	if !request.Popular {
		// Not the hash of the key itself, which decides the order.
		l.seed = hasher.Weight(key, key)
	}
	scores := make([]float64, len(candidates))
	first := -1
	for i, c := range candidates {
		scores[i] = rendezvousScore(key, c)
		if !c.Suspended && (first < 0 || scores[i] > scores[first]) {
			first = i
		}
	}
	if first < 0 || l.accepts(candidates[first], 1) {
		return first
	}
	further := 1.0
	if request.Popular {
		further = furtherPart
	}
	best := -1
	for i, c := range candidates {
		if i != first && !c.Suspended && (best < 0 || scores[i] > scores[best]) && l.accepts(c, further) {
			best = i
		}
	}
	return best
}

// liveRule decides which candidates accept a request.
type liveRule struct {
	request Request
	fleet   fleetLoad
	// bound is the load from which a candidate accepts no request.
	bound float64
	// seed is the hash by which a candidate accepts a part of the requests.
	seed uint64
	// stays is set if a candidate below the bound accepts all requests.
	stays bool
}

// accepts reports whether the candidate accepts the request, which it does at most for
// the part of the requests.
func (l liveRule) accepts(c Candidate, part float64) bool {
	load := c.Estimate.Load
	if load >= l.bound || load >= c.places(l.request.Tokens) {
		return false
	}
	if l.stays {
		return true
	}
	excess := c.Estimate.Excess + excessGain*predictor.Excess(load, l.fleet.share(c))
	return uniform(hasher.Weight(l.seed, hasher.Hash(c.ID))) < part*min(1, math.Exp(-excess))
}

// byLiveLoad is ByLoad by estimated loads. A candidate gets requests in proportion to
// the room that it has below its bound, in the order of the request. The candidates of
// the router's own failure domain come first as long as they are no more loaded than
// the others.
func byLiveLoad(request Request, candidates []Candidate) int {
	fleet := newFleetLoad(candidates)
	if fleet.available == 0 {
		return -1
	}
	own := fleetLoad{}
	for _, c := range candidates {
		if c.SameFailureDomain && !c.Suspended {
			own.total += c.Estimate.Load
			own.capacity += c.capacity()
		}
	}
	inDomain := own.capacity > 0 && own.total/own.capacity <= fleet.total/fleet.capacity
	seed := hasher.Hash(request.RequestID)
	best, bestScore := -1, math.Inf(-1)
	for i, c := range candidates {
		if c.Suspended || inDomain && !c.SameFailureDomain {
			continue
		}
		share := fleet.share(c)
		room := min(max(minRoom, maxMultiple*share-c.Estimate.Load), max(minRoom, c.places(request.Tokens)-c.Estimate.Load))
		score := room * max(minWeight, c.Weight) / -math.Log(uniform(hasher.Weight(seed, hasher.Hash(c.ID))))
		if score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
