package replicator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// userPromises are those of the users' sites.
var userPromises = []struct{ withdrawal, contact time.Duration }{
	{2 * time.Second, 3 * time.Second}, {3 * time.Second, 4 * time.Second}, {4 * time.Second, 5 * time.Second},
}

// Guards against waits that together take longer than the promise, and against
// followers that ask the store before the routers that they follow have.
func TestBoundsFollowFromThePromises(t *testing.T) {
	for _, p := range userPromises {
		b, err := NewBounds(p.withdrawal, 0, p.contact)
		assert.NilError(t, err)
		assert.Assert(t, b.normalAge < b.switchAge(true))
		assert.Assert(t, b.switchAge(true) < b.firstAsk(true))
		assert.Assert(t, b.switchAge(false) < b.firstAsk(false))
		assert.Assert(t, b.firstAsk(true)+b.askSpread(true) < b.firstAsk(false))
		assert.Equal(t, b.firstAsk(false)+b.askSpread(false), b.askAge)
		assert.Equal(t, b.askAge+askTime, b.doubtAge())
		assert.Equal(t, b.doubtAge()+sendTime, p.withdrawal)
		// A router to which the store responds again has asked it in time.
		assert.Assert(t, b.firstRetry()+b.retrySpread()+storeLag+askTime <= b.excused())
	}
}

// Guards against content that is older than the promise of evacuation allows, because only
// that of withdrawal counts, and the reverse.
func TestTheSmallerPromiseLimitsTheAge(t *testing.T) {
	for _, p := range []struct{ withdrawal, evacuation, want time.Duration }{
		{3 * time.Second, 5 * time.Second, 3 * time.Second},
		{3 * time.Second, 2 * time.Second, 2 * time.Second},
		{3 * time.Second, 0, 3 * time.Second},
	} {
		b, err := NewBounds(p.withdrawal, p.evacuation, 4*time.Second)
		assert.NilError(t, err)
		want, err := NewBounds(p.want, 0, 4*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, b, want)
	}
}

// Guards against a record that is kept as lapsed although this router has not failed
// to reach the store, or beyond the time in which the promises do not hold for it.
func TestLapsesNeedAFailure(t *testing.T) {
	now := time.Now()
	a := asker{bounds: defaultBounds()}
	a.begin(now)
	assert.Equal(t, a.lapseLimit(now), time.Duration(0))
	a.failed(now)
	a.responded()
	assert.Equal(t, a.lapseLimit(now), a.bounds.lapseTime())
	later := now.Add(a.bounds.excused() - time.Second)
	assert.Equal(t, a.lapseLimit(later), time.Second)
	assert.Equal(t, a.lapseLimit(now.Add(a.bounds.excused())), time.Duration(0))
}

// Guards against doubt at a router that watches the store itself or that cannot reach it,
// to which the promises do not apply, and against no doubt at one that hears nothing.
func TestDoubt(t *testing.T) {
	now := time.Now()
	a := asker{bounds: defaultBounds()}
	a.confirm(now)
	later := now.Add(a.bounds.doubtAge() + time.Millisecond)
	a.updateDoubt(false)
	assert.Assert(t, !a.isDoubtful(later))
	a.updateDoubt(true)
	assert.Assert(t, a.isDoubtful(later))
	assert.Assert(t, !a.isDoubtful(now.Add(a.bounds.doubtAge())))
	a.failed(later)
	a.updateDoubt(true)
	assert.Assert(t, !a.isDoubtful(later.Add(a.bounds.excused())))
	assert.Assert(t, a.isDoubtful(later.Add(a.bounds.excused()+time.Millisecond)))
}

// Guards against routers that all ask the store at the same moment, again and again.
func TestCallsAreSpread(t *testing.T) {
	now := time.Now()
	first, last := now.Add(time.Hour), now
	for range 200 {
		a := asker{bounds: defaultBounds()}
		a.confirm(now)
		at := a.askAt(false)
		if at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
		a.failed(at)
		assert.Assert(t, a.askAt(false).Sub(at) >= a.bounds.firstRetry())
	}
	assert.Assert(t, last.Sub(first) >= defaultBounds().askSpread(false)*4/5)
}
