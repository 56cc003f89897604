package inspector_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/inspector"
)

// Guards against one crash that is counted for each of its streams, and against
// two crashes between two load reports that are counted as one.
func TestCrashIsCountedOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	var i inspector.Inspector
	assert.Equal(t, len(i.Responded(start, "first")), 0)
	assert.Equal(t, i.Broke("a"), "first")
	i.Broke("b")
	suspects := i.Crashed(start.Add(time.Second), start, []string{"b", "c"})
	slices.Sort(suspects)
	assert.DeepEqual(t, suspects, []string{"a", "b", "c"})
	assert.Equal(t, len(i.Crashed(start.Add(time.Second), start, []string{"c"})), 0)
	again := i.Crashed(start.Add(3*time.Second), start.Add(2*time.Second), []string{"d"})
	assert.DeepEqual(t, again, []string{"d"})
}

// Guards against a broken connection that makes its request a suspect, and
// against a crash that is missed because the engine did not respond at once.
func TestOnlyANewIncarnationShowsACrash(t *testing.T) {
	start := time.Unix(1000, 0)
	var i inspector.Inspector
	i.Responded(start, "first")
	i.Broke("a")
	assert.Equal(t, len(i.Responded(start, "first")), 0)
	assert.Equal(t, len(i.Responded(start, "second")), 0)
	i.Broke("b")
	assert.DeepEqual(t, i.Responded(start, "third"), []string{"b"})
}
