package locator_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/balancer"
	"github.com/bergamotdale/bergamotdale/locator"
)

var endpoints = []locator.Endpoint{{ID: "a", Address: "A"}, {ID: "b", Address: "B"}, {ID: "c", Address: "C"}}

// Guards against a prefix that is computed again although another endpoint has it
// cached. This happens when a key moves because its endpoint is full or draining,
// or because a new endpoint joined.
func TestSourceIsTheLastHolder(t *testing.T) {
	l := locator.New()
	l.RecordHolder("k", "a")
	assert.Equal(t, l.Source("k", "b", endpoints), "A")
	assert.Equal(t, l.Source("k", "a", endpoints), "")
	l.RecordHolder("k", "b")
	assert.Equal(t, l.Source("k", "a", endpoints), "B")
}

// Guards against copying from an endpoint that no longer exists.
func TestHolderRemoved(t *testing.T) {
	l := locator.New()
	l.RecordHolder("k", "gone")
	source := l.Source("k", "b", endpoints)
	assert.Assert(t, source == "A" || source == "C", source)
	assert.Equal(t, l.Source("k", "a", endpoints[:1]), "")
}

// Guards against a router that looks for the prefix of an unknown key at an
// endpoint where other routers would not have placed it.
func TestUnknownKeyFollowsPlacement(t *testing.T) {
	l := locator.New()
	for k := range 50 {
		key := fmt.Sprint(k)
		candidates := []balancer.Candidate{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}, {ID: "c", Weight: 1}}
		home := balancer.ByKey("", key, candidates, balancer.Bound{Multiple: 2})
		target := (home + 1) % 3
		assert.Equal(t, l.Source(key, endpoints[target].ID, endpoints), endpoints[home].Address)
	}
}

// Guards against memory that grows without limit with the number of keys.
func TestMaxKeys(t *testing.T) {
	l := locator.New()
	for k := range locator.MaxKeys + 10 {
		l.RecordHolder(fmt.Sprint(k), "a")
	}
	assert.Equal(t, l.Source(fmt.Sprint(locator.MaxKeys+9), "a", endpoints), "")
	assert.Assert(t, l.Source("0", "a", endpoints) != "", "the oldest key was forgotten")
}
