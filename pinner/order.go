package pinner

import (
	"cmp"
	"slices"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
)

// ranked is a router with its weight for a stream.
type ranked struct {
	member bergamotdale.Member
	weight uint64
}

// Order returns the first n routers in the order in which they store the pin of a
// stream. It is the rendezvous order, but each failure domain comes once before any
// comes again, so that the first ones are in different ones. Routers that stop are left
// out.
func Order(stream string, members []bergamotdale.Member, n int) []bergamotdale.Member {
	key := hasher.Hash(stream)
	// best holds the n routers with the highest weights of each failure domain.
	best := map[string][]ranked{}
	for _, m := range members {
		if m.State == bergamotdale.MemberDraining {
			continue
		}
		r := ranked{m, hasher.Weight(key, hasher.Hash(m.ID))}
		first := best[m.FailureDomain]
		if len(first) == n && compareRanked(r, first[n-1]) > 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, r, compareRanked)
		best[m.FailureDomain] = slices.Insert(first, i, r)[:min(n, len(first)+1)]
	}
	ordered := make([]bergamotdale.Member, 0, n)
	for round := 0; len(ordered) < n; round++ {
		var next []ranked
		for _, first := range best {
			if round < len(first) {
				next = append(next, first[round])
			}
		}
		if len(next) == 0 {
			break
		}
		slices.SortFunc(next, compareRanked)
		for _, r := range next[:min(len(next), n-len(ordered))] {
			ordered = append(ordered, r.member)
		}
	}
	return ordered
}

// compareRanked orders routers by descending weight, and by ID for equal weights.
func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member.ID, b.member.ID))
}
