package elector_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/elector"
)

// settled describes what keeps the ownership from being as the rendezvous
// order over the running routers wants it; "" means nothing.
func (w *world) settled() string {
	wanted := elector.Wanted(w.names, w.routers[w.ids()[0]].Owners())
	for _, name := range w.names {
		for _, id := range w.ids() {
			h, held := w.routers[id].e.Held()[name]
			switch {
			case held != (wanted[name] == id):
				return fmt.Sprintf("%s holds %s: %v, wanted owner %s, record %+v", id, name, held, wanted[name], w.epochs[name])
			case held && (h.Nonce != w.epochs[name].Nonce || h.Limit != elector.ModeFull):
				return fmt.Sprintf("%s holds %+v, record %+v", id, h, w.epochs[name])
			}
		}
	}
	return ""
}

func (w *world) until(limit time.Duration) (time.Duration, string) {
	start := w.clock.Now()
	for w.settled() != "" && w.clock.Now().Sub(start) < limit {
		w.run(step)
	}
	return w.clock.Now().Sub(start), w.settled()
}

// Guards against two owners of one epoch, an epoch that does not rise, an
// owner that admits fully beside another one, and ownership that never
// settles, under lost and late messages, pauses in the middle of a claim,
// partitions, an unreachable store and outages of it.
func TestOwnershipUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 5).Draw(t, "size")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 8)
		for i := range size {
			w.start(fmt.Sprintf("router-%d", i))
		}
		w.run(15 * time.Second)
		w.fault = rapid.Float64Range(0, 0.3).Draw(t, "fault")
		w.pause = rapid.Float64Range(0, 0.02).Draw(t, "pause")
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			w.disturb(t, size)
			w.run(time.Duration(rapid.IntRange(1, 200).Draw(t, "wait")) * step)
			assert.Equal(t, w.violation, "")
		}
		w.fault, w.pause = 0, 0
		w.store.SetOutage(false)
		for _, id := range w.ids() {
			r := w.routers[id]
			r.resume()
			r.side, r.cut = 0, false
		}
		_, problem := w.until(3 * time.Minute)
		assert.Equal(t, problem, "")
		assert.Equal(t, w.violation, "")
	})
}

// disturb changes the state of one router or of the store.
func (w *world) disturb(t *rapid.T, size int) {
	id := fmt.Sprintf("router-%d", rapid.IntRange(0, size-1).Draw(t, "router"))
	r := w.routers[id]
	switch rapid.SampledFrom([]string{"stop", "start", "pause", "resume", "partition", "cut", "outage", "drain"}).Draw(t, "change") {
	case "stop":
		if len(w.ids()) > 1 {
			r.up = false
		}
	case "start":
		w.start(id)
	case "pause":
		r.paused = r.up
	case "resume":
		r.resume()
	case "partition":
		r.side = 1 - r.side
	case "cut":
		r.cut = !r.cut
	case "outage":
		w.store.SetOutage(rapid.Bool().Draw(t, "on"))
	case "drain":
		others := 0
		for _, id := range w.ids() {
			if !w.routers[id].draining {
				others++
			}
		}
		r.draining = r.draining || others > 1
	}
}

// Guards against a drain that leaves names behind, gives the successor less
// than the full limit, or loses the state that goes with a name.
func TestDrainHandsOverEverything(t *testing.T) {
	w := newWorld(4, 24)
	for i := range 4 {
		w.start(fmt.Sprintf("router-%d", i))
	}
	took, problem := w.until(time.Minute)
	assert.Equal(t, problem, "")
	r := w.routers["router-1"]
	states := map[string]string{}
	r.e.State = func(name string) json.RawMessage { return json.RawMessage(`"state of ` + name + `"`) }
	for id, o := range w.routers {
		o.e.Receive = func(o bergamotdale.Ownership, state json.RawMessage) {
			states[o.Name] = string(state)
			assert.Equal(t, o.Owner, id)
		}
	}
	given := r.e.Held()
	assert.Assert(t, len(given) > 0)
	r.draining = true
	drained, problem := w.until(10 * time.Second)
	assert.Equal(t, problem, "")
	assert.Equal(t, len(r.e.Held()), 0)
	for name := range given {
		assert.Equal(t, states[name], `"state of `+name+`"`)
		// A new owner that had to rule out foreign load would need 2 s more.
		assert.Assert(t, drained < 2*time.Second, "drained after %s", drained)
	}
	assert.Equal(t, w.violation, "")
	t.Logf("settled after %s, drained after %s", took, drained)
}

// Guards against a store outage that takes ownership away or halves the limit
// for its whole length, and against an owner that is cut off alone and keeps
// the full limit.
func TestOutageKeepsOwnership(t *testing.T) {
	w := newWorld(9, 12)
	for i := range 5 {
		w.start(fmt.Sprintf("router-%d", i))
	}
	_, problem := w.until(time.Minute)
	assert.Equal(t, problem, "")
	modes := func(id string) map[elector.Mode]int {
		count := map[elector.Mode]int{}
		for name := range w.routers[id].e.Held() {
			m, _ := w.routers[id].e.Admission(name)
			count[m]++
		}
		return count
	}
	w.store.SetOutage(true)
	w.run(20 * time.Second)
	for _, id := range w.ids() {
		assert.Equal(t, modes(id)[elector.ModeFull], len(w.routers[id].e.Held()), "%s admits %v", id, modes(id))
	}
	w.store.SetOutage(false)
	_, problem = w.until(time.Minute)
	assert.Equal(t, problem, "")
	alone := w.routers["router-2"]
	alone.side, alone.cut = 1, true
	w.run(30 * time.Second)
	assert.Equal(t, modes(alone.id)[elector.ModeFull], 0, "admits %v", modes(alone.id))
	assert.Equal(t, w.violation, "")
}
