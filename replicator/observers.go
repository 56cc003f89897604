package replicator

import (
	"slices"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// maxDirectFleet is the largest number of routers with which every router
	// watches the store directly.
	maxDirectFleet = 16
	// routersPerObserver is the number of routers per observer in a larger fleet.
	routersPerObserver = 16
	// minObservers leaves followers other observers to turn to when one fails.
	minObservers = 3
	// primaryCount is the number of observers that watch the store themselves. The
	// second one leaves the others a source when the first fails.
	primaryCount = 2
	// observerKey is the hash key by which routers are ranked to choose the
	// observers.
	observerKey = "store-observers"
)

// Observers returns the sorted IDs of the routers that the others follow, or nil
// if every router watches the store. Routers with the same member list compute
// the same observers.
//
// Each failure domain has its own observers: the changes that observers forward
// are most of the traffic between the routers of a large fleet, and traffic
// between failure domains is expensive.
func Observers(members []bergamotdale.Member) []string {
	if len(members) <= maxDirectFleet {
		return nil
	}
	domains := map[string][]string{}
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.ID)
		domains[m.FailureDomain] = append(domains[m.FailureDomain], m.ID)
	}
	var observers []string
	for _, domain := range domains {
		n := (len(domain) + routersPerObserver - 1) / routersPerObserver
		observers = append(observers, hasher.Order(observerKey, domain)[:n]...)
	}
	for _, id := range hasher.Order(observerKey, ids) {
		if len(observers) >= minObservers {
			break
		}
		if !slices.Contains(observers, id) {
			observers = append(observers, id)
		}
	}
	slices.Sort(observers)
	return observers
}

// Primaries returns the IDs of the observers that watch the store; the other
// observers follow them. The store counts each watch as a call, and a watch
// delivers the same changes to each caller.
func Primaries(observers []string) []string {
	order := hasher.Order(observerKey, observers)
	return order[:min(len(order), primaryCount)]
}

// orderObservers returns the observers in the order in which a follower asks
// them: those of its own failure domain first, and within each group ranked by a
// hash of the follower's ID, which spreads the followers over the observers.
func orderObservers(self bergamotdale.Member, observers []string, domains map[string]string) []string {
	order := hasher.Order(self.ID, observers)
	slices.SortStableFunc(order, func(a, b string) int {
		return domainRank(domains[a], self) - domainRank(domains[b], self)
	})
	return order
}

// domainRank returns 0 for the failure domain of the router and 1 for any other.
func domainRank(domain string, self bergamotdale.Member) int {
	if domain == self.FailureDomain {
		return 0
	}
	return 1
}
