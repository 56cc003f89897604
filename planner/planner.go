// Package planner decides what the elector does about ownership: what to
// claim, hand over or release, and how many calls of the store it may spend.
// It is pure.
package planner

import (
	"slices"

	"github.com/bergamotdale/bergamotdale/hasher"
)

// Snapshot is what Decide looks at.
type Snapshot struct {
	Self string
	// Wanted is the first owner in rendezvous order of each configured name,
	// as returned by the function Wanted.
	Wanted map[string]string
	// Held are the names that this router owns.
	Held []string
}

// Plan is what a router should do about its ownership.
type Plan struct {
	// Claim holds the names that this router should own but does not.
	Claim []string
	// Handover holds the names to hand over, by successor.
	Handover map[string][]string
	// Release holds the names without a successor.
	Release []string
}

// Decide returns the changes that make the ownership of this router follow
// the rendezvous order over the owners.
func Decide(s Snapshot) Plan {
	plan := Plan{Handover: map[string][]string{}}
	held := make(map[string]bool, len(s.Held))
	for _, name := range s.Held {
		held[name] = true
		successor, configured := s.Wanted[name]
		switch {
		case !configured || successor == "":
			plan.Release = append(plan.Release, name)
		case successor != s.Self:
			plan.Handover[successor] = append(plan.Handover[successor], name)
		}
	}
	for name, owner := range s.Wanted {
		if owner == s.Self && !held[name] {
			plan.Claim = append(plan.Claim, name)
		}
	}
	slices.Sort(plan.Claim)
	slices.Sort(plan.Release)
	return plan
}

// Wanted returns the first owner in rendezvous order for each name, the same
// as hasher.First. It hashes each owner once: at the target there are about
// 280,000 pairs.
func Wanted(names, owners []string) map[string]string {
	hashes := make([]uint64, len(owners))
	for i, o := range owners {
		hashes[i] = hasher.Hash(o)
	}
	wanted := make(map[string]string, len(names))
	for _, name := range names {
		key := hasher.Hash(name)
		best, bestWeight := "", uint64(0)
		for i, o := range owners {
			w := hasher.Weight(key, hashes[i])
			if best == "" || w > bestWeight || (w == bestWeight && o < best) {
				best, bestWeight = o, w
			}
		}
		wanted[name] = best
	}
	return wanted
}
