// Package hasher orders names for a key by rendezvous hashing (highest random
// weight): a hash of the key and the name gives each name a weight, and the name
// with the highest weight is first. Every router that knows the same names
// computes the same order. When a name joins or leaves, only the keys for which
// it is first move.
package hasher

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash returns a 64-bit hash of s that is the same in every process.
func Hash(s string) uint64 {
	return xxhash.Sum64String(s)
}

// Weight returns the weight of a name for a key, given their hashes. The name with
// the highest weight is first.
func Weight(keyHash, nameHash uint64) uint64 {
	// The finalizer of SplitMix64, in which each input bit affects the whole
	// result.
	x := keyHash ^ (nameHash * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// First returns the name with the highest weight for the key, or "" if there are
// no names. It does not allocate memory.
func First(key string, names []string) string {
	keyHash := Hash(key)
	best, bestWeight := "", uint64(0)
	for _, n := range names {
		w := Weight(keyHash, Hash(n))
		if best == "" || w > bestWeight || (w == bestWeight && n < best) {
			best, bestWeight = n, w
		}
	}
	return best
}

// Order returns the names by descending weight for the key. It does not modify
// names.
func Order(key string, names []string) []string {
	type weighted struct {
		name   string
		weight uint64
	}
	keyHash := Hash(key)
	all := make([]weighted, 0, len(names))
	for _, n := range names {
		all = append(all, weighted{n, Weight(keyHash, Hash(n))})
	}
	slices.SortFunc(all, func(a, b weighted) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	ordered := make([]string, len(all))
	for i, w := range all {
		ordered[i] = w.name
	}
	return ordered
}
