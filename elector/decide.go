package elector

import (
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
)

// Mode is how much work an owner may admit. Larger modes admit more.
type Mode int

const (
	// ModeNone admits nothing: the router is not the owner or hands over.
	ModeNone Mode = iota
	// ModeReduced admits up to half the concurrency limit, because another
	// router may believe that it is the owner too.
	ModeReduced
	// ModeFull admits up to the concurrency limit.
	ModeFull
)

// String returns the kebab-case name of the mode.
func (m Mode) String() string {
	switch m {
	case ModeReduced:
		return "reduced"
	case ModeFull:
		return "full"
	}
	return "none"
}

// Contact is what a router knows of the store and the fleet when it decides
// how much to admit.
type Contact struct {
	// Leased is true once a lease was granted.
	Leased bool
	// SinceRenewal is the monotonic time since the start of the last confirmed
	// renewal.
	SinceRenewal time.Duration
	// FleetHeard is true if any router has had contact with the store, and
	// FleetAge is the time since.
	FleetHeard bool
	FleetAge   time.Duration
	// Known is the number of members at the last renewal, this router
	// included; Reachable is how many of them respond.
	Known     int
	Reachable int
}

// Admission returns the mode that the state of the lease allows (D3).
func Admission(c Contact) Mode {
	if !c.Leased {
		return ModeNone
	}
	if c.SinceRenewal < LeaseTTL {
		return ModeFull
	}
	if c.FleetHeard && c.FleetAge < LeaseTTL+OutageSettle {
		// The store works for others, or did so until a moment ago.
		return ModeReduced
	}
	if 2*c.Reachable <= c.Known {
		// The other side of a partition may have the store.
		return ModeReduced
	}
	return ModeFull
}

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

// Claimability tells whether a record may be claimed.
type Claimability int

const (
	// ClaimAllowed allows a claim with the next epoch.
	ClaimAllowed Claimability = iota + 1
	// ClaimOwnerLive forbids it: the owner responds to probes.
	ClaimOwnerLive
	// ClaimOwnerLeased forbids it: the owner is gone but its key has not
	// expired yet.
	ClaimOwnerLeased
	// ClaimCheckLease asks for a look at the owner's key.
	ClaimCheckLease
)

// MayClaim decides whether self may claim the record (D2). The owner is gone
// if the membership holds it for dead or left or does not know it. keyExpired
// is nil while the owner's key has not been looked up.
func MayClaim(self string, r bergamotdale.Ownership, found, ownerGone bool, keyExpired *bool) Claimability {
	switch {
	case !found || r.Owner == "":
		return ClaimAllowed
	case r.Owner == self:
		// An earlier process with this ID, or an own write whose response was
		// lost. Neither can be admitting work now.
		return ClaimAllowed
	case !ownerGone:
		return ClaimOwnerLive
	case keyExpired == nil:
		return ClaimCheckLease
	case !*keyExpired:
		return ClaimOwnerLeased
	}
	return ClaimAllowed
}
