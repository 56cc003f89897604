// Package planner computes which names a router should claim, hand over to another
// router or release, so that ownership follows the rendezvous-hash order. It also
// limits the rate of store calls (Budget). It does no I/O and reads no clock; the
// elector carries out the plans.
package planner

import (
	"slices"

	"github.com/bergamotdale/bergamotdale/hasher"
)

// Snapshot is the input of Decide.
type Snapshot struct {
	Self string
	// DesiredOwners maps each configured name to its first owner in rendezvous
	// order, as returned by the function DesiredOwners.
	DesiredOwners map[string]string
	// Held contains the names that this router owns.
	Held []string
}

// Plan contains the changes that a router should make to its ownership.
type Plan struct {
	// Claim contains the names that this router should own but does not.
	Claim []string
	// Handover contains the names to hand over, by the router that should own them.
	Handover map[string][]string
	// Release contains the names that no router should own.
	Release []string
}

// Decide returns the changes after which this router owns the names that the
// rendezvous order assigns to it.
func Decide(s Snapshot) Plan {
	plan := Plan{Handover: map[string][]string{}}
	held := make(map[string]bool, len(s.Held))
	for _, name := range s.Held {
		held[name] = true
		successor, configured := s.DesiredOwners[name]
		switch {
		case !configured || successor == "":
			plan.Release = append(plan.Release, name)
		case successor != s.Self:
			plan.Handover[successor] = append(plan.Handover[successor], name)
		}
	}
	for name, owner := range s.DesiredOwners {
		if owner == s.Self && !held[name] {
			plan.Claim = append(plan.Claim, name)
		}
	}
	slices.Sort(plan.Claim)
	slices.Sort(plan.Release)
	return plan
}

// DesiredOwners returns the first owner in rendezvous order for each name, the same
// as hasher.First. It hashes each owner only once, because the target fleet size has
// about 280,000 pairs of names and owners.
func DesiredOwners(names, owners []string) map[string]string {
	hashes := make([]uint64, len(owners))
	for i, owner := range owners {
		hashes[i] = hasher.Hash(owner)
	}
	desired := make(map[string]string, len(names))
	for _, name := range names {
		key := hasher.Hash(name)
		best, bestWeight := "", uint64(0)
		for i, owner := range owners {
			weight := hasher.Weight(key, hashes[i])
			if best == "" || weight > bestWeight || (weight == bestWeight && owner < best) {
				best, bestWeight = owner, weight
			}
		}
		desired[name] = best
	}
	return desired
}
