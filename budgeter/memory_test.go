package budgeter_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale/budgeter"
)

// Guards against parts that together exceed nine tenths of the memory, with garbage of 30
// in 100 of what is on the heap and 12 MiB for the program, and against a single body of
// 4 MiB that does not fit.
func TestMemorySuffices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(32<<20, 64<<30).Draw(t, "limit")
		m := budgeter.DivideMemory(limit)
		unread := int64(m.ReceiveBuffer) * 3 / 2
		heap := m.Held + int64(m.Connections)*(32<<10)
		total := heap*13/10 + int64(m.Connections)*unread
		assert.Assert(t, total <= limit*9/10-12<<20 || limit < 64<<20 && total <= limit*9/10-8<<20, "%d of %d", total, limit)
		assert.Assert(t, m.Served > 0 && m.Served < m.Connections)
		assert.Assert(t, m.Held >= 4<<20+m.RequestState)
	})
}

// Guards against limits that the smallest machines in use would meet with the 200
// connections that each has to serve.
func TestMemoryOfASmallMachine(t *testing.T) {
	m := budgeter.DivideMemory(184 << 20)
	assert.Assert(t, m.Served >= 400, "%d connections", m.Served)
	assert.Assert(t, m.Held/(m.RequestState+64<<10) >= 200, "%d requests with 64 KiB each", m.Held/(m.RequestState+64<<10))
}
