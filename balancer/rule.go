package balancer

import (
	"fmt"

	"github.com/bergamotdale/bergamotdale/hasher"
)

// Rule names a way to place requests.
type Rule string

const (
	// SharedPrefix places prompts by ByKey and all else by ByLoad. It is the
	// rule of the product.
	SharedPrefix Rule = "shared-prefix"
	// ConsistentHash places prompts by their key alone, whatever the loads.
	ConsistentHash Rule = "consistent-hash"
	// LeastLoad places every request by ByLoad.
	LeastLoad Rule = "least-load"
	// Random places every request by chance. The last three are there to be
	// measured against (docs/design.md, section 12).
	Random Rule = "random"
)

// Rules returns all rules.
func Rules() []Rule { return []Rule{SharedPrefix, ConsistentHash, LeastLoad, Random} }

// Subject is what a rule looks at.
type Subject struct {
	// RequestID tells requests apart; it decides the random rule.
	RequestID string
	// Key is the key of the prompt's shared beginning.
	Key string
	// Prompt is false for requests of services without prompts.
	Prompt bool
}

// CopiesPrompts reports whether endpoints copy the beginnings of prompts from
// each other under the rule.
func (r Rule) CopiesPrompts() bool { return r == SharedPrefix || r == "" }

// Place returns the index of the endpoint for the request, or -1 without
// candidates.
func (r Rule) Place(s Subject, candidates []Candidate, b Bound) int {
	switch {
	case r == Random:
		return byHash(func(i int) uint64 {
			return hasher.Hash(fmt.Sprint(s.RequestID, "/", candidates[i].ID))
		}, candidates)
	case r == ConsistentHash && s.Prompt:
		key := hasher.Hash(s.Key)
		return byHash(func(i int) uint64 { return hasher.Weight(key, hasher.Hash(candidates[i].ID)) }, candidates)
	case r.CopiesPrompts() && s.Prompt:
		return ByKey(s.Key, candidates, b)
	default:
		return ByLoad(s.Key, candidates)
	}
}

// byHash returns the candidate with the highest hash; suspended ones are the
// last choice.
func byHash(hash func(i int) uint64, candidates []Candidate) int {
	best, bestHash, bestSuspended := -1, uint64(0), false
	for i, c := range candidates {
		h := hash(i)
		if best < 0 || bestSuspended && !c.Suspended || bestSuspended == c.Suspended && h > bestHash {
			best, bestHash, bestSuspended = i, h, c.Suspended
		}
	}
	return best
}
