package detector_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/detector"
	"github.com/bergamotdale/bergamotdale/disseminator"
)

// Guards against views that stay different after stops, restarts, pauses, loss and
// partitions have ended: a live router that others consider dead, a dead one that
// they consider live, or an incarnation that decreases.
func TestFleetConvergesAfterChurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 14).Draw(t, "size")
		net, _, ok := startFleet(rapid.Uint64().Draw(t, "seed"), size)
		assert.Assert(t, ok, "the fleet did not converge after its start")
		net.loss = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			churn(t, net, size)
			net.run(time.Duration(rapid.IntRange(0, 15000).Draw(t, "wait-ms")) * time.Millisecond)
		}
		net.loss = 0
		for _, id := range net.allRunning() {
			net.nodes[id].side = 0
			net.nodes[id].resume()
		}
		took, ok := net.runUntil(2*time.Minute, net.converged)
		assert.Assert(t, ok, "no convergence within %s: %s", took, describeViews(net))
		assert.Equal(t, net.violation, "")
	})
}

// churn changes the state of one randomly chosen router.
func churn(t *rapid.T, net *network, size int) {
	id := fmt.Sprintf("router-%03d", rapid.IntRange(0, size-1).Draw(t, "router"))
	v := net.nodes[id]
	switch rapid.SampledFrom([]string{"stop", "start", "pause", "resume", "partition", "leave"}).Draw(t, "change") {
	case "stop":
		if len(net.allRunning()) > 1 {
			v.up = false
		}
	case "start":
		net.start(id)
	case "pause":
		v.paused = true
	case "resume":
		v.resume()
	case "partition":
		v.side = 1 - v.side
	case "leave":
		if v.up && !v.paused && len(net.allRunning()) > 1 {
			v.withMachine(func(now time.Time) { v.send(v.machine.Leave(now)) })
			v.up = false
		}
	}
}

func describeViews(net *network) string {
	text := fmt.Sprintf("up %v;", net.allRunning())
	for _, id := range net.allRunning() {
		text += fmt.Sprintf(" %s sees", id)
		for _, m := range net.nodes[id].view.Members() {
			text += fmt.Sprintf(" %s=%s/%d", m.ID, m.State, m.Incarnation)
		}
		text += ";"
	}
	return text
}

// Guards against live routers that are declared dead under packet loss alone.
// Probes fail, but nearly every suspicion must be refuted before its timeout, and
// every other one after it.
func TestPacketLossCausesNoLastingDeath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net, _, ok := startFleet(rapid.Uint64().Draw(t, "seed"), 9)
		assert.Assert(t, ok)
		net.loss = 0.05
		deaths := 0
		for range 120 {
			net.run(time.Second)
			for _, id := range net.allRunning() {
				for _, m := range net.nodes[id].view.Members() {
					if m.State == bergamotdale.MemberDead {
						deaths++
					}
				}
			}
		}
		// 9 observers, 8 members and 120 seconds: 8,640 observations.
		assert.Assert(t, deaths <= 40, "%d observations of a live router as dead", deaths)
		net.loss = 0
		_, ok = net.runUntil(time.Minute, net.converged)
		assert.Assert(t, ok, describeViews(net))
	})
}

// Guards against sides of a partition that never rejoin, and against live routers
// that are declared dead again while the partition heals.
func TestPartitionHeals(t *testing.T) {
	net, _, ok := startFleet(7, 36)
	assert.Assert(t, ok)
	ids := net.allRunning()
	for i, id := range ids {
		net.nodes[id].side = i % 2
	}
	split, ok := net.runUntil(time.Minute, func() bool {
		for _, id := range ids {
			if len(net.nodes[id].view.Live()) != len(ids)/2 {
				return false
			}
		}
		return true
	})
	assert.Assert(t, ok, "the sides of the partition still see each other")
	for _, id := range ids {
		net.nodes[id].side = 0
	}
	least := len(ids)
	healed, ok := net.runUntil(time.Minute, func() bool {
		for _, id := range ids {
			least = min(least, len(net.nodes[id].view.Live()))
		}
		return net.converged()
	})
	assert.Assert(t, ok, describeViews(net))
	assert.Assert(t, least >= len(ids)/2, "a router saw only %d live members during the heal", least)
	t.Logf("partition detected after %s, healed after %s", split, healed)
}

// Guards against an outdated update that revives a dead member, and against a
// restart that is discarded as an outdated update.
func TestDeadStaysDeadUntilRestart(t *testing.T) {
	net, _, ok := startFleet(3, 5)
	assert.Assert(t, ok)
	observer, victim := net.nodes["router-000"], net.nodes["router-004"]
	old, _ := observer.view.Member(victim.id)
	victim.up = false
	_, ok = net.runUntil(time.Minute, net.converged)
	assert.Assert(t, ok)
	observer.withMachine(func(now time.Time) {
		observer.machine.HandlePing(now, detector.PingRequest{
			From:    disseminator.NewMemberUpdate(mustMember(t, observer, "router-001")),
			Members: []disseminator.MemberUpdate{disseminator.NewMemberUpdate(old)},
		})
	})
	m, _ := observer.view.Member(victim.id)
	assert.Equal(t, m.State, bergamotdale.MemberDead)
	net.start(victim.id)
	_, ok = net.runUntil(time.Minute, net.converged)
	assert.Assert(t, ok, describeViews(net))
}

func mustMember(t *testing.T, v *node, id string) bergamotdale.Member {
	m, ok := v.view.Member(id)
	assert.Assert(t, ok)
	return m
}

// Guards against the loss of a member's draining mark while it is suspected, and
// against a router that left but counts as failed.
func TestDrainingAndLeft(t *testing.T) {
	net, _, ok := startFleet(5, 6)
	assert.Assert(t, ok)
	v := net.nodes["router-002"]
	v.withMachine(func(now time.Time) { v.machine.SetDraining() })
	seen := func(f func(view *disseminator.View) bool) func() bool {
		return func() bool {
			for _, id := range net.allRunning() {
				if !f(net.nodes[id].view) {
					return false
				}
			}
			return true
		}
	}
	drained := seen(func(view *disseminator.View) bool { return len(view.Owners()) == 5 && len(view.Live()) == 6 })
	took, ok := net.runUntil(3*time.Second, drained)
	assert.Assert(t, ok, "draining mark not spread after %s", took)
	v.paused = true
	_, ok = net.runUntil(20*time.Second, seen(func(view *disseminator.View) bool {
		m, _ := view.Member(v.id)
		return m.State == bergamotdale.MemberSuspect || view == v.view
	}))
	assert.Assert(t, ok)
	assert.Assert(t, drained(), "a suspected router that drains must not become an owner again")
	v.resume()
	_, ok = net.runUntil(20*time.Second, net.converged)
	assert.Assert(t, ok, describeViews(net))
	v.withMachine(func(now time.Time) { v.send(v.machine.Leave(now)) })
	net.run(time.Second)
	v.up = false
	_, ok = net.runUntil(10*time.Second, seen(func(view *disseminator.View) bool {
		m, _ := view.Member(v.id)
		return m.State == bergamotdale.MemberLeft
	}))
	assert.Assert(t, ok, describeViews(net))
}

// Guards against rumours that do not reach every router, remain after their time
// to live, or are replaced by an older version.
func TestRumoursSpreadAndExpire(t *testing.T) {
	net, _, ok := startFleet(11, 12)
	assert.Assert(t, ok)
	a, b := net.nodes["router-000"], net.nodes["router-007"]
	a.withMachine(func(now time.Time) { a.machine.SpreadRumour(now, "drain/engine-1", "on", 2, 10*time.Second) })
	b.withMachine(func(now time.Time) { b.machine.SpreadRumour(now, "drain/engine-1", "off", 1, time.Minute) })
	everywhere := func(value string) func() bool {
		return func() bool {
			for _, id := range net.allRunning() {
				r, _ := net.nodes[id].view.Rumour("drain/engine-1", net.now)
				if r.Value != value {
					return false
				}
			}
			return true
		}
	}
	took, ok := net.runUntil(3*time.Second, everywhere("on"))
	assert.Assert(t, ok, "rumour did not reach all routers after %s", took)
	net.run(11 * time.Second)
	assert.Assert(t, everywhere("")())
}

// Guards against a store contact whose age shrinks each time that a router forwards
// it. Over slow links the routers would then never agree that the store is down.
func TestStoreContactAgesOnSlowLinks(t *testing.T) {
	const (
		elapsed = 20 * time.Second
		// settle is leaser.ContactSpreadTime, the time within which a contact reaches
		// all routers.
		settle = 2 * time.Second
	)
	for _, size := range []int{3, 24} {
		net, _, ok := startFleet(11, size)
		ids := net.allRunning()
		assert.Assert(t, ok)
		net.delay = 200 * time.Millisecond
		// Two routers reach the store until it fails.
		for _, id := range ids[:2] {
			v := net.nodes[id]
			v.withMachine(func(now time.Time) { v.machine.SetStoreContact(now) })
		}
		net.run(elapsed)
		for _, id := range ids {
			age, heard := net.nodes[id].machine.StoreAge(net.now)
			assert.Assert(t, heard)
			assert.Assert(t, age >= elapsed-settle && age <= elapsed, "%s of %d routers: %s after %s", id, size, age, elapsed)
		}
	}
}
