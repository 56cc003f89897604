package sharer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale/sharer"
)

func never(string) bool { return false }

// Guards against backlogged workspaces whose service, relative to their
// weights, drifts apart by more than the largest item of each.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const largest = 100
		f := sharer.NewFair[string]()
		weights := map[string]float64{"a": 1, "b": 3, "c": 0.5}
		served := map[string]float64{}
		costs := rapid.Float64Range(1, largest)
		for name, w := range weights {
			for range 400 {
				f.Push(name, w, costs.Draw(t, "cost"), name)
			}
		}
		for range 300 {
			ticket, _ := f.Head(never)
			cost := costs.Draw(t, "used")
			f.Start(ticket)
			f.Charge(ticket, cost)
			served[ticket.Value] += cost
			f.End(ticket)
			for x, wx := range weights {
				for y, wy := range weights {
					gap := served[x]/wx - served[y]/wy
					assert.Assert(t, gap <= largest/wx+largest/wy, "%s is %f ahead of %s", x, gap, y)
				}
			}
		}
	})
}

// Guards against an idle workspace that saves up service and then blocks the
// others, and against an item that loses the front of its queue.
func TestIdleGivesNoCreditAndReturnKeepsTheFront(t *testing.T) {
	f := sharer.NewFair[int]()
	for i := range 30 {
		f.Push("busy", 1, 10, i)
	}
	var first *sharer.Ticket[int]
	for range 20 {
		ticket, _ := f.Head(never)
		f.Start(ticket)
		f.Charge(ticket, 10)
		first = ticket
	}
	f.Return(first, 5)
	f.Charge(first, -10)
	for i := range 30 {
		f.Push("idle", 1, 10, 100+i)
	}
	idle, busy := 0, 0
	for range 10 {
		ticket, _ := f.Head(never)
		if name, _ := ticket.Workspace(); name == "idle" {
			idle++
		} else if busy++; busy == 1 {
			assert.Equal(t, ticket, first)
		}
		f.Start(ticket)
		f.Charge(ticket, 10)
	}
	assert.Assert(t, idle >= 4 && idle <= 6, "%d of 10", idle)
}

// Guards against precedence that a workspace keeps with more than its fair
// part, that it loses through work of lower classes, or that never comes back.
func TestLedger(t *testing.T) {
	start := time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)
	l := sharer.NewLedger(2)
	l.Advance(start)
	l.Charge("flooding", 1, 1, 1000)
	l.Charge("small", 1, 0, 10)
	assert.Assert(t, l.Exceeds("flooding", 1))
	assert.Assert(t, !l.Exceeds("flooding", 0))
	assert.Assert(t, !l.Exceeds("small", 1))
	assert.Assert(t, !l.Exceeds("unknown", 1))
	for n := range 20 {
		l.Advance(start.Add(time.Duration(n) * time.Minute))
		l.Charge("small", 1, 0, 10)
	}
	assert.Assert(t, !l.Exceeds("flooding", 1))
	rapid.Check(t, func(t *rapid.T) {
		l := sharer.NewLedger(1)
		n := rapid.IntRange(1, 20).Draw(t, "workspaces")
		over := 0
		for i := range n {
			l.Charge(fmt.Sprint(i), rapid.Float64Range(0.1, 10).Draw(t, "weight"), 0, rapid.Float64Range(0, 1000).Draw(t, "usage"))
		}
		for i := range n {
			if l.Exceeds(fmt.Sprint(i), 0) {
				over++
			}
		}
		assert.Assert(t, over < n, "all workspaces exceed")
	})
}
