package balancer

import (
	"fmt"

	"github.com/bergamotdale/bergamotdale/hasher"
)

// Policy names a load-balancing policy.
type Policy string

const (
	// SharedPrefix places requests with a prompt by ByKey and all others by
	// ByLoad. It is the default; an empty Policy means the same.
	SharedPrefix Policy = "shared-prefix"
	// ConsistentHash places requests with a prompt by their key alone, whatever
	// the loads, and all others by ByLoad.
	ConsistentHash Policy = "consistent-hash"
	// LeastLoad places every request by ByLoad.
	LeastLoad Policy = "least-load"
	// Random places every request at random. ConsistentHash, LeastLoad and Random
	// are baselines that SharedPrefix is measured against (docs/design.md,
	// section 12).
	Random Policy = "random"
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{SharedPrefix, ConsistentHash, LeastLoad, Random} }

// Request holds the properties of a request that decide its placement.
type Request struct {
	// RequestID is the input of the hash of the Random policy and of Bound.Spread.
	RequestID string
	// Key identifies the shared prefix of the prompt.
	Key string
	// HasPrompt is false for requests to services without prompts.
	HasPrompt bool
	// Tokens is the length of the prompt, and PrefixTokens that of the part that other
	// requests share; zero if unknown. Popular states that the key is requested often.
	// All are used if Bound.Live is set.
	Tokens, PrefixTokens int64
	Popular              bool
}

// CopiesPrefixes reports whether, under the policy, an endpoint copies cached
// prompt prefixes from other endpoints instead of computing them again.
func (p Policy) CopiesPrefixes() bool { return p == SharedPrefix || p == "" }

// Place returns the index of the candidate selected for the request, or -1
// without candidates.
func (p Policy) Place(request Request, candidates []Candidate, b Bound) int {
	switch {
	case p == Random:
		return highestHash(func(i int) uint64 {
			return hasher.Hash(fmt.Sprint(request.RequestID, "/", candidates[i].ID))
		}, candidates)
	case p == ConsistentHash && request.HasPrompt:
		key := hasher.Hash(request.Key)
		return highestHash(func(i int) uint64 { return hasher.Weight(key, hasher.Hash(candidates[i].ID)) }, candidates)
	case b.Live && p.CopiesPrefixes():
		return placeLive(request, candidates, b)
	case p.CopiesPrefixes() && request.HasPrompt:
		return ByKey(request.RequestID, request.Key, candidates, b)
	default:
		return ByLoad(request.RequestID, request.Key, candidates, b)
	}
}

// highestHash returns the index of the candidate with the highest hash, or -1
// without candidates. A suspended one is selected only if all are suspended.
func highestHash(hash func(i int) uint64, candidates []Candidate) int {
	best, bestHash, bestSuspended := -1, uint64(0), false
	for i, c := range candidates {
		h := hash(i)
		if best < 0 || bestSuspended && !c.Suspended || bestSuspended == c.Suspended && h > bestHash {
			best, bestHash, bestSuspended = i, h, c.Suspended
		}
	}
	return best
}
