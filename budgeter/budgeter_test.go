package budgeter_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale/budgeter"
)

// Guards against parts that together may use more descriptors than the process has, with
// a request in progress on each connection of a client.
func TestDescriptorsSuffice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(256, 1<<20).Draw(t, "limit")
		d := budgeter.DivideDescriptors(limit)
		assert.Assert(t, d.Clients >= 1 && d.IdleEndpoints >= 1)
		left := limit - 2*d.Clients - d.IdleEndpoints
		assert.Assert(t, left >= 200, "%d of %d descriptors are left for files and other routers", left, limit)
	})
}
