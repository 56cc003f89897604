package evictor_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/evictor"
)

// Guards against a wrong order of use after entries are removed and reused.
func TestOrderOfUse(t *testing.T) {
	m := evictor.New[int]()
	for key := range uint64(5) {
		m.Put(key, int(key))
	}
	m.Remove(2)
	m.Put(9, 9)
	_, ok := m.Get(0)
	assert.Assert(t, ok && m.Contains(9) && !m.Contains(2))
	assert.Equal(t, m.RemoveOldest(), 1)
	var keys []uint64
	m.Each(func(key uint64, _ int) bool {
		keys = append(keys, key)
		return key != 3
	})
	assert.DeepEqual(t, keys, []uint64{0, 9, 4, 3})
	for range m.Len() {
		m.RemoveOldest()
	}
	_, ok = m.Remove(7)
	assert.Assert(t, !ok && m.Len() == 0)
}
