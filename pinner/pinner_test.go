package pinner_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/pinner"
)

// pinStored pins the stream and waits until all copies are stored.
func pinStored(f *fleet, router, stream, version string) {
	f.t.Helper()
	awaitCopies(f, func() { f.pin(router, stream, version) })
}

// awaitCopies pins a stream and waits until all copies are stored.
func awaitCopies(f *fleet, pin func()) {
	f.t.Helper()
	before := f.countCalls(pinner.StorePath)
	pin()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if f.countCalls(pinner.StorePath) >= before+2 {
			return poll.Success()
		}
		return poll.Continue("a copy is missing")
	}, poll.WithDelay(time.Millisecond))
}

// Guards against a stream whose version is forgotten when one router is killed: the
// one that relayed it, or any other.
func TestPinOutlivesARouter(t *testing.T) {
	for size := 3; size <= 9; size++ {
		for killed := range size {
			f := newFleet(t, size)
			f.setVersions("v1", "v2")
			for n := range 20 {
				pinStored(f, "router-0", fmt.Sprint("stream-", n), "v1")
			}
			f.kill(fmt.Sprint("router-", killed))
			for n := range 20 {
				f.checkFound(fmt.Sprint("stream-", n), "v1")
			}
		}
	}
}

// Guards against a stream whose version is forgotten when routers are killed one after
// the other, each started again or not: those left store the pin again.
func TestPinOutlivesASeriesOfKills(t *testing.T) {
	for _, comesBack := range []bool{true, false} {
		f := newFleet(t, 9)
		f.setVersions("v1", "v2")
		for n := range 20 {
			pinStored(f, "router-0", fmt.Sprint("stream-", n), "v2")
		}
		for killed := range 7 {
			id := fmt.Sprint("router-", killed)
			f.kill(id)
			if comesBack {
				f.restart(id)
			} else {
				f.remove(id)
			}
			f.storeMissing()
		}
		for n := range 20 {
			f.checkFound(fmt.Sprint("stream-", n), "v2")
		}
	}
}

// Guards against a stream that goes on at the version of an earlier attempt: the pin of
// the attempt that the client names counts, as often as the stream is taken up.
func TestPinIsKeptAcrossAttempts(t *testing.T) {
	f := newFleet(t, 6)
	f.setVersions("v1", "v2")
	pinStored(f, "router-0", "stream", "v1")
	f.setVersions("v2", "v3")
	for n := range 5 {
		id := fmt.Sprint("router-", n)
		found, refusal := f.find(id, "stream")
		assert.Assert(t, refusal == nil, "%v", refusal)
		assert.Equal(t, found.Version, "v1")
		f.pin(id, "stream", found.Version)
	}
	f.checkFound("stream", "v1")
}

// Guards against control traffic for streams of a service with one version, and against
// messages to all routers while there are two.
func TestMessagesForEachStream(t *testing.T) {
	f := newFleet(t, 60)
	for n := range 100 {
		f.pin("router-0", fmt.Sprint("alone-", n), "v1")
	}
	assert.Equal(t, f.countCalls(pinner.StorePath), 0)
	f = newFleet(t, 60)
	f.setVersions("v1", "v2")
	const streams = 300
	for n := range streams {
		pinStored(f, fmt.Sprint("router-", n%60), fmt.Sprint("stream-", n), "v1")
	}
	assert.Equal(t, f.countCalls(pinner.StorePath), 2*streams)
	for router, calls := range f.calls[pinner.StorePath] {
		assert.Assert(t, calls < 5*2*streams/60, "%s got %d messages", router, calls)
	}
	_, refusal := f.find("router-7", "stream-1")
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Assert(t, f.countCalls(pinner.FindPath) <= 3, "%d messages for a stream that is taken up", f.countCalls(pinner.FindPath))
}

// Guards against streams from before a second version appeared whose version is lost with
// the router that began them.
func TestStreamsBeforeASecondVersionArePinned(t *testing.T) {
	f := newFleet(t, 6)
	for n := range 20 {
		f.pin("router-0", fmt.Sprint("stream-", n), "v1")
	}
	f.setVersions("v1", "v2")
	f.storeMissing()
	f.kill("router-0")
	for n := range 20 {
		f.checkFound(fmt.Sprint("stream-", n), "v1")
	}
}

// Guards against a stream that goes on although it is not known which version began it.
func TestUnknownStreamIsRefused(t *testing.T) {
	f := newFleet(t, 6)
	f.setVersions("v1", "v2")
	for _, stream := range []string{"unknown", ""} {
		_, refusal := f.find("router-0", stream)
		assert.Assert(t, refusal != nil)
		assert.Equal(t, refusal.Code, bergamotdale.CodeVersionUnknown)
		assert.Equal(t, refusal.Outcome, bergamotdale.OutcomeNotRun)
		assert.Equal(t, refusal.RetryAfter, time.Duration(0), "it stays unknown")
	}
}

// Guards against a refusal for good while a router that may know the stream is only
// silent, and against a router that knows nothing of the others and decides alone.
func TestSilentRouterIsNotTheEndOfAStream(t *testing.T) {
	f := newFleet(t, 3)
	f.setVersions("v1", "v2")
	f.kill("router-1")
	_, refusal := f.find("router-0", "stream")
	assert.Assert(t, refusal != nil && refusal.RetryAfter > 0, "%v", refusal)
	f.kill("router-2")
	f.setVersions("v2")
	f.advance(time.Hour)
	_, refusal = f.find("router-0", "stream")
	assert.Assert(t, refusal != nil && refusal.RetryAfter > 0, "%v", refusal)
	started := f.start("router-0")
	started.Joined = func() bool { return false }
	_, refusal = f.find("router-0", "stream")
	assert.Assert(t, refusal != nil && refusal.RetryAfter > 0, "%v", refusal)
}

// Guards against ordinary streams that cannot be taken up: a service that has had one
// version all along needs no pin, also right after a restart of all routers.
func TestStreamOfAServiceWithOneVersionGoesOn(t *testing.T) {
	f := newFleet(t, 6)
	f.advance(time.Hour)
	f.kill("router-1")
	f.checkFound("stream", "v1")
	f.listed, f.complete = []string{"v1"}, true
	for _, m := range f.members {
		f.restart(m.ID)
	}
	f.checkFound("stream", "v1")
	// The other routers are not known yet.
	f.pinners["router-0"].Joined = func() bool { return false }
	f.checkFound("stream", "v1")
	// The store does not know either.
	f.complete = false
	for _, m := range f.members {
		f.restart(m.ID)
	}
	_, refusal := f.find("router-0", "stream")
	assert.Assert(t, refusal != nil)
	f.advance(maxAge)
	f.checkFound("stream", "v1")
}

// Guards against the age of an endpoint as evidence: after a restart of all routers, old
// endpoints of one version do not show that another one has not served beside them.
func TestOldEndpointsProveNothing(t *testing.T) {
	f := newFleet(t, 6)
	f.advance(time.Hour)
	for _, complete := range []bool{true, false} {
		f.listed, f.complete = []string{"v1", "v2"}, complete
		for _, m := range f.members {
			f.restart(m.ID)
		}
		for _, m := range f.members {
			_, refusal := f.find(m.ID, "stream")
			assert.Assert(t, refusal != nil && refusal.Code == bergamotdale.CodeVersionUnknown, "%s: %v", m.ID, refusal)
			assert.Equal(t, refusal.Outcome, bergamotdale.OutcomeNotRun)
		}
	}
}

// Guards against a router that is out of step and decides alone: it takes the others for
// gone, and the version that it knows for the only one.
func TestRouterOutOfStepDoesNotDecideAlone(t *testing.T) {
	f := newFleet(t, 6)
	f.advance(time.Hour)
	alone := f.pinners["router-5"]
	delete(f.pinners, "router-5")
	f.setVersions("v1", "v2")
	f.pinners["router-5"] = alone
	f.members = f.members[5:]
	for name, test := range map[string]struct {
		listed           []string
		complete, silent bool
	}{
		"the store lists both":      {[]string{"v1", "v2"}, true, false},
		"the store is silent":       {nil, false, true},
		"the store lists another":   {[]string{"v2"}, true, false},
		"incomplete, lists both":    {[]string{"v1", "v2"}, false, false},
		"incomplete, lists another": {[]string{"v2"}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			f.listed, f.complete, f.storeLost = test.listed, test.complete, test.silent
			found, refusal := f.find("router-5", "stream")
			assert.Assert(t, refusal != nil || found.Version != "v1", "the stream goes on at v1")
		})
	}
}

// Guards against a stream that goes on at the version that is left when the other has
// just gone, at routers that saw it and at one that has started since.
func TestStreamIsRefusedAfterItsVersionHasGone(t *testing.T) {
	f := newFleet(t, 6)
	f.advance(time.Hour)
	f.setVersions("v1", "v2")
	f.advance(time.Second)
	f.setVersions("v2")
	f.restart("router-3")
	for _, m := range f.members {
		_, refusal := f.find(m.ID, "stream")
		assert.Assert(t, refusal != nil && refusal.Code == bergamotdale.CodeVersionUnknown, "%s: %v", m.ID, refusal)
	}
	f.advance(maxAge)
	f.checkFound("stream", "v2")
}

// Guards against a router that has not yet seen a second version and decides alone: it
// asks the routers that have.
func TestRouterThatIsBehindAsks(t *testing.T) {
	f := newFleet(t, 6)
	f.advance(time.Hour)
	behind := f.pinners["router-5"]
	delete(f.pinners, "router-5")
	f.setVersions("v1", "v2")
	f.pinners["router-5"] = behind
	pinStored(f, "router-0", "stream", "v2")
	f.checkFound("stream", "v2")
	_, refusal := f.find("router-5", "unknown")
	assert.Assert(t, refusal != nil && refusal.Code == bergamotdale.CodeVersionUnknown, "%v", refusal)
}

// Guards against a first event that waits for routers that do not respond.
func TestPinWaitsForABoundedTime(t *testing.T) {
	f := newFleet(t, 4)
	f.setVersions("v1", "v2")
	for _, id := range []string{"router-1", "router-2", "router-3"} {
		f.kill(id)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	f.pinners["router-0"].Pin(ctx, "stream", pinner.Pin{Service: service, Version: "v1"}, pinner.Source{}, timeLeft)
	assert.NilError(t, ctx.Err())
	found, refusal := f.find("router-0", "stream")
	assert.Assert(t, refusal == nil, "%v", refusal)
	assert.Equal(t, found.Version, "v1")
}
