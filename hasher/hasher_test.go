package hasher_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale/hasher"
)

// Guards against a removal that moves keys between the remaining names.
func TestRemovalMovesOnlyKeysOfTheRemovedName(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "names")
		removed := rapid.IntRange(0, n-1).Draw(t, "removed")
		key := rapid.String().Draw(t, "key")
		var all, rest []string
		for i := range n {
			name := fmt.Sprintf("router-%d", i)
			all = append(all, name)
			if i != removed {
				rest = append(rest, name)
			}
		}
		before := hasher.First(key, all)
		assert.Equal(t, before, hasher.Order(key, all)[0])
		if before != all[removed] {
			assert.Equal(t, before, hasher.First(key, rest))
		}
	})
}

// Guards against a weight function that favours some names over others.
func TestKeysSpreadEvenly(t *testing.T) {
	const names, keys = 12, 24000
	var all []string
	for i := range names {
		all = append(all, fmt.Sprintf("engine-%02d", i+1))
	}
	count := map[string]int{}
	for i := range keys {
		count[hasher.First(fmt.Sprintf("chat-%d", i), all)]++
	}
	for name, c := range count {
		// 2,000 expected per name; six standard deviations are about 257.
		assert.Assert(t, c > 1740 && c < 2260, "%s has %d keys", name, c)
	}
}
