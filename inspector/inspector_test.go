package inspector_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/inspector"
)

// Guards against one crash that is counted again for each stream that it broke,
// and against two crashes between two load reports that are counted as one.
func TestCrashIsCountedOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	var i inspector.Inspector
	assert.Equal(t, len(i.RecordLoadReport(start, "first")), 0)
	assert.Equal(t, i.RecordBrokenStream("a"), "first")
	i.RecordBrokenStream("b")
	suspects := i.RecordCrash(start.Add(time.Second), start, []string{"b", "c"})
	slices.Sort(suspects)
	assert.DeepEqual(t, suspects, []string{"a", "b", "c"})
	assert.Equal(t, len(i.RecordCrash(start.Add(time.Second), start, []string{"c"})), 0)
	again := i.RecordCrash(start.Add(3*time.Second), start.Add(2*time.Second), []string{"d"})
	assert.DeepEqual(t, again, []string{"d"})
}

// Guards against suspecting a request whose connection broke without a crash, and
// against missing a crash because the first load report after it came late.
func TestOnlyANewIncarnationShowsACrash(t *testing.T) {
	start := time.Unix(1000, 0)
	var i inspector.Inspector
	i.RecordLoadReport(start, "first")
	i.RecordBrokenStream("a")
	assert.Equal(t, len(i.RecordLoadReport(start, "first")), 0)
	assert.Equal(t, len(i.RecordLoadReport(start, "second")), 0)
	i.RecordBrokenStream("b")
	assert.DeepEqual(t, i.RecordLoadReport(start, "third"), []string{"b"})
}
