package sharer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale/sharer"
)

func neverExceeds(string) bool { return false }

// Guards against backlogged workspaces whose service, relative to their weights,
// differs by more than the largest item of each.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 100
		f := sharer.NewFairQueue[string]()
		weights := map[string]float64{"a": 1, "b": 3, "c": 0.5}
		served := map[string]float64{}
		costs := rapid.Float64Range(1, largest)
		for name, w := range weights {
			for range 400 {
				f.Push(name, w, costs.Draw(t, "cost"), name)
			}
		}
		for range 300 {
			ticket, _ := f.Head(neverExceeds)
			cost := costs.Draw(t, "used")
			f.Start(ticket)
			f.Charge(ticket, cost)
			served[ticket.Value] += cost
			f.Finish(ticket)
			for x, wx := range weights {
				for y, wy := range weights {
					gap := served[x]/wx - served[y]/wy
					assert.Assert(t, gap <= largest/wx+largest/wy, "%s is %f ahead of %s", x, gap, y)
				}
			}
		}
	})
}

// Guards against an idle workspace that accumulates credit and then blocks the
// others, and against a requeued item that loses its place at the front.
func TestNoCreditForIdleTimeAndRequeueToFront(t *testing.T) {
	f := sharer.NewFairQueue[int]()
	for i := range 30 {
		f.Push("busy", 1, 10, i)
	}
	var first *sharer.Ticket[int]
	for range 20 {
		ticket, _ := f.Head(neverExceeds)
		f.Start(ticket)
		f.Charge(ticket, 10)
		first = ticket
	}
	f.Requeue(first, 5)
	f.Charge(first, -10)
	for i := range 30 {
		f.Push("idle", 1, 10, 100+i)
	}
	idle, busy := 0, 0
	for range 10 {
		ticket, _ := f.Head(neverExceeds)
		if name, _ := ticket.Workspace(); name == "idle" {
			idle++
		} else if busy++; busy == 1 {
			assert.Equal(t, ticket, first)
		}
		f.Start(ticket)
		f.Charge(ticket, 10)
	}
	assert.Assert(t, idle >= 4 && idle <= 6, "the idle workspace started %d of 10 items", idle)
}

// Guards against a workspace that keeps its precedence above its fair share,
// loses it through usage in lower classes, or never regains it.
func TestLedger(t *testing.T) {
	start := time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)
	l := sharer.NewLedger(2)
	l.DecayTo(start)
	l.Charge("flooding", 1, 1, 1000)
	l.Charge("small", 1, 0, 10)
	assert.Assert(t, l.ExceedsShare("flooding", 1))
	assert.Assert(t, !l.ExceedsShare("flooding", 0))
	assert.Assert(t, !l.ExceedsShare("small", 1))
	assert.Assert(t, !l.ExceedsShare("unknown", 1))
	for n := range 20 {
		l.DecayTo(start.Add(time.Duration(n) * time.Minute))
		l.Charge("small", 1, 0, 10)
	}
	assert.Assert(t, !l.ExceedsShare("flooding", 1))
	rapid.Check(t, func(t *rapid.T) {
		l := sharer.NewLedger(1)
		n := rapid.IntRange(1, 20).Draw(t, "workspaces")
		over := 0
		for i := range n {
			l.Charge(fmt.Sprint(i), rapid.Float64Range(0.1, 10).Draw(t, "weight"), 0, rapid.Float64Range(0, 1000).Draw(t, "usage"))
		}
		for i := range n {
			if l.ExceedsShare(fmt.Sprint(i), 0) {
				over++
			}
		}
		assert.Assert(t, over < n, "all workspaces exceed their share")
	})
}
