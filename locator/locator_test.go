package locator_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/balancer"
	"github.com/bergamotdale/bergamotdale/locator"
)

var endpoints = []locator.Endpoint{{ID: "a", Address: "A"}, {ID: "b", Address: "B"}, {ID: "c", Address: "C"}}

// Guards against a beginning that is computed again although another endpoint
// keeps it: the load pattern is a key that moves because its endpoint is full,
// draining or joined by a new one.
func TestSourceIsTheLastHolder(t *testing.T) {
	l := locator.New()
	l.Held("k", "a")
	assert.Equal(t, l.Source("k", "b", endpoints), "A")
	assert.Equal(t, l.Source("k", "a", endpoints), "")
	l.Held("k", "b")
	assert.Equal(t, l.Source("k", "a", endpoints), "B")
}

// Guards against copying from an endpoint that is gone.
func TestHolderGone(t *testing.T) {
	l := locator.New()
	l.Held("k", "gone")
	source := l.Source("k", "b", endpoints)
	assert.Assert(t, source == "A" || source == "C", source)
	assert.Equal(t, l.Source("k", "a", endpoints[:1]), "")
}

// Guards against a router that has not seen the key guessing an endpoint where
// the others would not have placed it.
func TestUnknownKeyFollowsThePlacement(t *testing.T) {
	l := locator.New()
	for k := range 50 {
		key := fmt.Sprint(k)
		candidates := []balancer.Candidate{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}, {ID: "c", Weight: 1}}
		home := balancer.ByKey(key, candidates, balancer.Bound{Multiple: 2})
		target := (home + 1) % 3
		assert.Equal(t, l.Source(key, endpoints[target].ID, endpoints), endpoints[home].Address)
	}
}

// Guards against memory that grows with the number of keys.
func TestBound(t *testing.T) {
	l := locator.New()
	for k := range locator.MaxKeys + 10 {
		l.Held(fmt.Sprint(k), "a")
	}
	assert.Equal(t, l.Source(fmt.Sprint(locator.MaxKeys+9), "a", endpoints), "")
	assert.Assert(t, l.Source("0", "a", endpoints) != "", "the oldest key was forgotten")
}
