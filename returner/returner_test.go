package returner_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/returner"
)

const shortest = 300 * time.Millisecond

// Guards against a flood that returns as a flood: the load pattern is 1,000
// requests refused in the same moment.
func TestReturnsAreSpread(t *testing.T) {
	const slots = 10
	var count [slots]int
	for i := range 1000 {
		wait := returner.Wait(fmt.Sprint(i), shortest, 0, 0)
		assert.Assert(t, wait >= shortest && wait < 2*shortest)
		count[int((wait-shortest)*slots/shortest)]++
	}
	for _, n := range count {
		assert.Assert(t, n > 50 && n < 150, "%v", count)
	}
}

// Guards against urgent requests that return behind others.
func TestUrgentReturnFirst(t *testing.T) {
	mean := func(priority int) time.Duration {
		sum := time.Duration(0)
		for i := range 200 {
			sum += returner.Wait(fmt.Sprint(i), shortest, priority, 0)
		}
		return sum / 200
	}
	assert.Assert(t, mean(0) < mean(1) && mean(1) < mean(2))
	assert.Equal(t, returner.Wait("x", shortest, 9, 0), returner.Wait("x", shortest, 4, 0))
}

// Guards against a wait that outlasts the client, and against one where a retry
// cannot help.
func TestWithinTheTimeLeft(t *testing.T) {
	assert.Equal(t, returner.Wait("x", shortest, 0, 400*time.Millisecond), 100*time.Millisecond)
	assert.Equal(t, returner.Wait("x", 0, 0, time.Second), time.Duration(0))
}
