package rationer_test

import (
	"math"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/rationer"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

var target = subscriber.Endpoint{EndpointRecord: bergamotdale.EndpointRecord{ID: "e", Service: "s"}}

// onlyRouter is the only router of a fleet, which started a minute ago.
type onlyRouter struct {
	*router
	t *testing.T
}

func newOnlyRouter(t *testing.T) onlyRouter {
	f := newFleet(t, 1, 0)
	f.now = -time.Minute
	r := onlyRouter{f.start("r"), t}
	r.joined = true
	f.setMembers(r.router)
	return r
}

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// read reads a record at a time, in milliseconds. It was written after another one.
func (r onlyRouter) read(ms, writtenAfter int, incarnation, revision int64, coldMS int, initial bool) {
	r.rationer.RecordReading(subscriber.Reading{
		EndpointRecord: bergamotdale.EndpointRecord{
			ID: "e", Service: "s", Incarnation: incarnation, Sequence: revision, ColdFor: time.Duration(coldMS) * time.Millisecond,
		},
		Revision: revision, ReadAt: at(ms), WrittenAfter: at(writtenAfter), Initial: initial,
	})
}

// coldUntil checks that the endpoint is cold just before the time and not at it.
func (r onlyRouter) coldUntil(ms int) {
	r.t.Helper()
	isCold := func(ms int) bool { return r.rationer.NeedsTurn(rationer.Content{Now: at(ms)}, target, math.MaxInt64) }
	assert.Assert(r.t, isCold(ms-1), "not cold until %d ms", ms)
	assert.Assert(r.t, !isCold(ms), "still cold at %d ms", ms)
}

// Guards against a cold period that is missed, ends early, or begins anew with each look at
// the same record.
func TestColdPeriodOfRecords(t *testing.T) {
	r := newOnlyRouter(t)
	r.read(0, -2000, 1, 5, 3000, true)
	r.coldUntil(3000)
	r.read(2000, -100, 1, 5, 3000, false)
	r.coldUntil(3000)
	r.read(2100, 300, 1, 6, 1800, false)
	r.coldUntil(3900)
	// A new incarnation is cold although its records say nothing.
	r.read(10_000, 8000, 2, 7, 0, false)
	r.read(11_200, 9200, 2, 8, 0, false)
	r.coldUntil(13_000)
	// What the first content says of endpoints that have run for long is believed.
	r = newOnlyRouter(t)
	r.read(0, -2000, 1, 5, 0, true)
	assert.Assert(t, !r.rationer.NeedsTurn(rationer.Content{Now: at(1)}, target, math.MaxInt64))
}

// Guards against the whole load at an endpoint that was gone and may have started again, as
// long as neither its record nor the time says otherwise.
func TestColdPeriodAfterAReturn(t *testing.T) {
	for name, test := range map[string]struct {
		events func(r onlyRouter)
		want   int
	}{
		"nothing is heard": {func(onlyRouter) {}, 60_000},
		"responses": {func(r onlyRouter) {
			r.rationer.RecordResponse(at(500), "e", at(-10), 0)
			r.rationer.RecordResponse(at(5000), "e", at(4900), 0)
			r.rationer.RecordResponse(at(6000), "e", at(5900), 0)
		}, 8000},
		"broken connections count once a minute": {func(r onlyRouter) {
			r.read(200, 100, 1, 9, 0, false)
			r.rationer.RecordBroken(at(300), "e")
			r.read(400, 350, 1, 10, 0, false)
			r.rationer.RecordBroken(at(500), "e")
			r.read(1000, 900, 1, 11, 7000, false)
		}, 8000},
		"broken connection": {func(r onlyRouter) {
			r.read(200, 100, 1, 9, 0, false)
			r.rationer.RecordBroken(at(300), "e")
			r.rationer.RecordResponse(at(500), "e", at(400), 0)
		}, 3500},
		"broken connection of the next incarnation": {func(r onlyRouter) {
			r.rationer.RecordBroken(at(300), "e")
			r.read(1500, 1400, 2, 9, 100, false)
			r.rationer.RecordBroken(at(1700), "e")
			r.rationer.RecordResponse(at(2000), "e", at(1900), 0)
		}, 5000},
		"record from before the return": {func(r onlyRouter) {
			r.rationer.RecordResponse(at(5000), "e", at(4900), 0)
			r.read(5500, 4000, 1, 9, 0, false)
		}, 8000},
		"record since the return": {func(r onlyRouter) {
			r.rationer.RecordResponse(at(5000), "e", at(4900), 0)
			r.read(6500, 5000, 1, 9, 0, false)
			r.rationer.RecordUnreachable(at(6600), "e")
			r.read(7700, 6600, 1, 10, 700, false)
		}, 8400},
	} {
		t.Run(name, func(t *testing.T) {
			r := newOnlyRouter(t)
			r.read(-10_000, -12_000, 1, 5, 0, true)
			r.rationer.RecordUnreachable(at(0), "e")
			test.events(r)
			r.coldUntil(test.want)
		})
	}
}

// Guards against a cold period that a response states and that takes effect late, is cut
// short by a record from before, or outlives one from after.
func TestColdPeriodOfResponses(t *testing.T) {
	r := newOnlyRouter(t)
	r.read(-10_000, -12_000, 1, 5, 0, true)
	assert.Assert(t, r.rationer.RecordResponse(at(0), "e", at(-100), 2*time.Second))
	assert.Assert(t, !r.rationer.RecordResponse(at(100), "e", at(0), time.Second))
	r.coldUntil(2000)
	r.read(500, -1000, 1, 6, 0, false)
	r.coldUntil(2000)
	r.read(1500, 200, 1, 7, 0, false)
	assert.Assert(t, !r.rationer.NeedsTurn(rationer.Content{Now: at(1500)}, target, math.MaxInt64))
}

// Guards against two requests of one router that both pass the check of one turn, and
// against a refusal without the time of the next one.
func TestTurnIsTakenOnce(t *testing.T) {
	r := newOnlyRouter(t)
	r.read(0, -2000, 1, 5, 3000, true)
	c := rationer.Content{Now: at(100)}
	var taken atomic.Int64
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			if r.rationer.Take(c, target, 0) {
				taken.Add(1)
			}
		})
	}
	group.Wait()
	assert.Equal(t, taken.Load(), int64(1))
	next, known := r.rationer.NextAt(c, target)
	assert.Assert(t, known && next.After(at(100)) && next.Before(at(500)), "%s", next.Sub(epoch))
	r.rationer.SetLimits(rationer.Limits{})
	for range 2 {
		assert.Assert(t, r.rationer.Take(c, target, 0), "without a bound nothing is limited")
	}
}
