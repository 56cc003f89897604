package estimator_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/estimator"
)

// Guards against an estimate that holds more than the engine's cache or its memory
// limit, and against a handover in which the most recently used chat is not sent
// first.
func TestPrefixCacheStaysWithinLimits(t *testing.T) {
	cache := estimator.NewPrefixCache(1000, 5*estimator.EntryBytes)
	for i := range 4 {
		cache.Put(fmt.Sprint(i), 400)
	}
	assert.Equal(t, cache.Len(), 2)
	assert.Assert(t, cache.Contains("3") && cache.Contains("2") && !cache.Contains("1"))
	for i := range 20 {
		cache.Put(fmt.Sprint(i), 1)
	}
	assert.Equal(t, cache.Len(), 5)
	cache.SetCapacity(2)
	assert.Equal(t, cache.Len(), 2)
	receiver := estimator.NewPrefixCache(2, estimator.EntryBytes)
	cache.Each(func(key uint64, tokens int) bool {
		receiver.PutKey(key, tokens)
		return receiver.Len() < 1
	})
	assert.Assert(t, receiver.Contains("19"))
}
