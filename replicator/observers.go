package replicator

import (
	"slices"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
)

const (
	// directFleet is the size of a fleet up to which every router watches the
	// store itself.
	directFleet = 16
	// routersPerObserver is how many routers share one observer beyond that.
	routersPerObserver = 16
	// minObservers lets followers find the next one when an observer is lost.
	minObservers = 3
	// observerKey orders the routers for the choice of observers.
	observerKey = "store-observers"
)

// Observers returns the IDs of the routers that watch the store, or nil if all
// of them do. Every router that knows the same members computes the same.
//
// Each failure domain has its own: the changes that an observer sends on are
// most of what routers tell each other in a large fleet, and bytes between
// domains are dear.
func Observers(members []bergamotdale.Member) []string {
	if len(members) <= directFleet {
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

// preferred returns the observers in the order in which a follower asks them:
// those of its domain first. Followers spread over them by their own names.
func preferred(self bergamotdale.Member, observers []string, domains map[string]string) []string {
	order := hasher.Order(self.ID, observers)
	slices.SortStableFunc(order, func(a, b string) int {
		return foreign(domains[a], self) - foreign(domains[b], self)
	})
	return order
}

func foreign(domain string, self bergamotdale.Member) int {
	if domain == self.FailureDomain {
		return 0
	}
	return 1
}
