package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale/hasher"
)

// gateSalt separates the hash that decides whether a chat stays on a weakened
// endpoint from the hash that decides the order.
const gateSalt = 0x2545f4914f6cdd1d

// rank is the position of a candidate for one chat: lower tiers first, then
// higher weight.
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

// Request is one placement question.
type Request struct {
	Chat string
	Now  time.Time
	// Capacity is the bound of Bound.Capacity; zero if it is not known.
	// Candidates whose known load reaches it come after all others.
	Capacity int
	// Limit is how many endpoints to return; zero means all.
	Limit int
}

func (r Request) key() uint64 {
	return hasher.Hash(r.Chat)
}

// Order appends to dst the indices of the candidates in the order in which to
// try them, and returns it. Draining candidates are left out.
//
// The order is the rendezvous order of hasher, with these changes: a candidate
// with a reduced share keeps that part of its chats and is tried last for the
// rest; a candidate known to be at its capacity comes after those that are
// not; the second candidate is in another failure domain than the first, so
// that one retry survives the loss of a domain.
func (g *Group) Order(dst []int, r Request) []int {
	limit := r.Limit
	if limit <= 0 || limit > g.active {
		limit = g.active
	}
	if limit == 0 {
		return dst
	}
	var buffer [16]rank
	top := buffer[:0]
	if limit > len(buffer) {
		top = make([]rank, 0, limit)
	}
	key := r.key()
	for i, kind := range g.kinds {
		if kind == draining {
			continue
		}
		// Most candidates of a large group are rejected by one comparison.
		if kind == plain && r.Capacity == 0 && len(top) == limit {
			last := top[limit-1]
			if last.tier == 0 && hasher.Weight(key, g.hashes[i]) < last.weight {
				continue
			}
		}
		top = insert(top, g.rank(i, key, r), limit, compareRanks)
	}
	if len(top) > 1 {
		g.spread(top, key, r)
	}
	for _, t := range top {
		dst = append(dst, t.index)
	}
	return dst
}

// rank computes the rank of candidate i.
func (g *Group) rank(i int, key uint64, r Request) rank {
	c := &g.candidates[i]
	k := rank{index: i, weight: hasher.Weight(key, g.hashes[i])}
	if g.kinds[i] == weakened {
		gate := float64(hasher.Weight(key^gateSalt, g.hashes[i])) / math.MaxUint64
		if gate >= g.share(i, r.Now) {
			k.tier = 1
		}
	}
	if r.Capacity > 0 && c.LoadKnown && c.Load >= r.Capacity {
		k.tier = 2
	}
	return k
}

// insert keeps the first limit elements in order.
func insert[T any](top []T, x T, limit int, compare func(a, b T) int) []T {
	if len(top) == limit && compare(x, top[limit-1]) >= 0 {
		return top
	}
	at, _ := slices.BinarySearchFunc(top, x, compare)
	if len(top) == limit {
		top = top[:limit-1]
	}
	return slices.Insert(top, at, x)
}

// spread moves the best candidate of another failure domain to the second
// position, unless that means a lower tier.
func (g *Group) spread(top []rank, key uint64, r Request) {
	domain := g.candidates[top[0].index].FailureDomain
	if g.candidates[top[1].index].FailureDomain != domain {
		return
	}
	best := rank{index: -1}
	for i := range g.candidates {
		if g.kinds[i] == draining || g.candidates[i].FailureDomain == domain {
			continue
		}
		if k := g.rank(i, key, r); best.index < 0 || compareRanks(k, best) < 0 {
			best = k
		}
	}
	if best.index < 0 || best.tier > top[1].tier {
		return
	}
	// Where the best one is not among the first, it replaces the last of them.
	at := len(top) - 1
	for n, t := range top {
		if t.index == best.index {
			at = n
		}
	}
	copy(top[2:at+1], top[1:at])
	top[1] = best
}
