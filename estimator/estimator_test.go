package estimator_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/estimator"
)

// Guards against an estimate that holds more than the engine's cache or than
// its memory bound.
func TestResidentsStayWithinTheCache(t *testing.T) {
	r := estimator.NewResidents(1000, 5*estimator.EntryBytes)
	for i := range 4 {
		r.Put(fmt.Sprint(i), 400)
	}
	assert.Equal(t, r.Len(), 2)
	assert.Assert(t, r.Contains("3") && r.Contains("2") && !r.Contains("1"))
	for i := range 20 {
		r.Put(fmt.Sprint(i), 1)
	}
	assert.Equal(t, r.Len(), 5)
	r.SetCapacity(2)
	assert.Equal(t, r.Len(), 2)
	handed := estimator.NewResidents(2, estimator.EntryBytes)
	r.Each(func(key uint64, tokens int) bool {
		handed.PutKey(key, tokens)
		return handed.Len() < 1
	})
	assert.Assert(t, handed.Contains("19"))
}
