package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale/hasher"
)

// shareSalt makes the hash that decides whether a chat stays on an endpoint with
// a reduced share independent of the hash that decides the order.
const shareSalt = 0x2545f4914f6cdd1d

// rank is the sort key of a candidate for one chat: candidates of a lower tier
// come first, and within a tier those of a higher weight. Tier 0 is the normal
// case, tier 1 a candidate whose reduced share excludes the chat, and tier 2 a
// candidate at its capacity.
type rank struct {
	index  int
	tier   uint8
	weight uint64
}

func compareRanks(a, b rank) int {
	if c := cmp.Compare(a.tier, b.tier); c != 0 {
		return c
	}
	if c := cmp.Compare(b.weight, a.weight); c != 0 {
		return c
	}
	return cmp.Compare(a.index, b.index)
}

// OrderRequest holds the parameters of Group.Order.
type OrderRequest struct {
	Chat string
	Now  time.Time
	// Capacity is the result of LoadBound.Capacity; zero if it is not known.
	// Candidates whose known load reaches it come after all others.
	Capacity int
	// Limit is the number of endpoints to return; zero means all.
	Limit int
}

func (r OrderRequest) chatHash() uint64 {
	return hasher.Hash(r.Chat)
}

// Order appends to dst the indices of the candidates in the order in which to
// try them, and returns it. Draining candidates are left out.
//
// The order is the rendezvous order of package hasher, with three changes. A
// candidate with a reduced share keeps that share of its chats; for all other
// chats it comes after the candidates that keep them. A candidate known to be at
// its capacity comes after all others. The second candidate is in another
// failure domain than the first, where there is one, so that one retry survives
// the loss of a failure domain.
func (g *Group) Order(dst []int, r OrderRequest) []int {
	limit := r.Limit
	if limit <= 0 || limit > g.activeCount {
		limit = g.activeCount
	}
	if limit == 0 {
		return dst
	}
	var buffer [16]rank
	top := buffer[:0]
	if limit > len(buffer) {
		top = make([]rank, 0, limit)
	}
	key := r.chatHash()
	for i, state := range g.states {
		if state == draining {
			continue
		}
		// Fast path: one comparison rejects most candidates of a large group.
		if state == fullShare && r.Capacity == 0 && len(top) == limit {
			last := top[limit-1]
			if last.tier == 0 && hasher.Weight(key, g.hashes[i]) < last.weight {
				continue
			}
		}
		top = insertBounded(top, g.rank(i, key, r), limit, compareRanks)
	}
	if len(top) > 1 {
		g.diversifyDomains(top, key, r)
	}
	for _, t := range top {
		dst = append(dst, t.index)
	}
	return dst
}

// rank computes the rank of candidate i.
func (g *Group) rank(i int, key uint64, r OrderRequest) rank {
	c := &g.candidates[i]
	k := rank{index: i, weight: hasher.Weight(key, g.hashes[i])}
	if g.states[i] == reducedShare {
		position := float64(hasher.Weight(key^shareSalt, g.hashes[i])) / math.MaxUint64
		if position >= g.shareOf(i, r.Now) {
			k.tier = 1
		}
	}
	if r.Capacity > 0 && c.LoadKnown && c.Load >= r.Capacity {
		k.tier = 2
	}
	return k
}

// insertBounded inserts x into the sorted slice top and keeps at most the first
// limit elements.
func insertBounded[T any](top []T, x T, limit int, compare func(a, b T) int) []T {
	if len(top) == limit && compare(x, top[limit-1]) >= 0 {
		return top
	}
	at, _ := slices.BinarySearchFunc(top, x, compare)
	if len(top) == limit {
		top = top[:limit-1]
	}
	return slices.Insert(top, at, x)
}

// diversifyDomains moves the best candidate of another failure domain to the
// second position, unless its tier is worse than that of the candidate there.
func (g *Group) diversifyDomains(top []rank, key uint64, r OrderRequest) {
	domain := g.candidates[top[0].index].FailureDomain
	if g.candidates[top[1].index].FailureDomain != domain {
		return
	}
	best := rank{index: -1}
	for i := range g.candidates {
		if g.states[i] == draining || g.candidates[i].FailureDomain == domain {
			continue
		}
		if k := g.rank(i, key, r); best.index < 0 || compareRanks(k, best) < 0 {
			best = k
		}
	}
	if best.index < 0 || best.tier > top[1].tier {
		return
	}
	// A candidate that is not in top yet replaces the last element.
	at := len(top) - 1
	for n, t := range top {
		if t.index == best.index {
			at = n
		}
	}
	copy(top[2:at+1], top[1:at])
	top[1] = best
}
