package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale/scheduler"
)

var start = time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)

func classes() []scheduler.Class {
	return []scheduler.Class{
		{Name: "urgent", MinShare: 0.2, MaxWait: time.Minute, MaxQueued: 50, Preempts: true},
		{Name: "standard", MinShare: 0.3, MaxWait: time.Minute, MaxQueued: 50},
		{Name: "batch", MinShare: 0.1, MaxWait: time.Hour, MaxQueued: 50},
	}
}

func newQueue(limit int, all ...scheduler.Class) *scheduler.Queue {
	if len(all) == 0 {
		all = classes()
	}
	q := scheduler.New(scheduler.Config{Classes: all})
	q.SetLimit(start, limit)
	return q
}

// runner keeps all workspaces of a queue backlogged and serves the queue with
// a fixed time per output token.
type runner struct {
	q       *scheduler.Queue
	now     time.Time
	ends    map[string]time.Time
	items   map[string]scheduler.Item
	pushed  int
	served  map[string]float64
	held    map[int]float64
	refused int
}

const tokenTime = 10 * time.Millisecond

func newRunner(q *scheduler.Queue) *runner {
	return &runner{
		q: q, now: start, ends: map[string]time.Time{}, items: map[string]scheduler.Item{},
		served: map[string]float64{}, held: map[int]float64{},
	}
}

func (r *runner) push(i scheduler.Item) {
	r.pushed++
	i.ID = fmt.Sprint(r.pushed)
	r.items[i.ID] = i
	r.refused += len(r.q.Push(r.now, i))
}

// step advances the time by one token.
func (r *runner) step(t assert.TestingT, limit int) {
	r.now = r.now.Add(tokenTime)
	for id, end := range r.ends {
		r.held[r.items[id].Class]++
		if !r.now.Before(end) {
			delete(r.ends, id)
			r.served[r.items[id].Workspace] += float64(r.items[id].OutputTokens)
			r.q.Progress(id, r.items[id].OutputTokens)
			assert.Assert(t, r.q.Done(r.now, id))
		}
	}
	d := r.q.Next(r.now)
	for _, i := range d.Start {
		r.ends[i.ID] = r.now.Add(time.Duration(i.OutputTokens-i.Offset) * tokenTime)
	}
	for _, i := range d.Preempt {
		left := int(r.ends[i.ID].Sub(r.now) / tokenTime)
		delete(r.ends, i.ID)
		r.q.Preempted(r.now, i.ID, i.OutputTokens-left)
	}
	assert.Assert(t, r.q.Running() <= limit, "more than the limit run")
	assert.Equal(t, r.q.Running(), len(r.ends))
}

// Guards against a class below its minimum share in a flood of any class, and
// against slots that stay idle while work waits.
func TestMinimumShareInAnyFlood(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(3, 24).Draw(t, "limit")
		lengths := []int{rapid.IntRange(5, 30).Draw(t, "urgent"), rapid.IntRange(5, 60).Draw(t, "standard"), rapid.IntRange(5, 200).Draw(t, "batch")}
		r := newRunner(newQueue(limit))
		const steps = 3000
		for range steps {
			for class, length := range lengths {
				for r.q.Waiting(class) < 10 {
					r.push(scheduler.Item{Workspace: fmt.Sprint("w", r.pushed%7), Class: class, OutputTokens: length})
				}
			}
			r.step(t, limit)
		}
		total := 0.0
		for class, c := range classes() {
			share := r.held[class] / float64(limit*steps)
			total += share
			// The start of the run is transient; most of it lasts as long as the longest item.
			assert.Assert(t, share > c.MinShare-0.02, "%s has %.3f", c.Name, share)
		}
		assert.Assert(t, total > 0.9, "slots are idle: %.3f", total)
	})
}

// Guards against unfair service of equal workspaces with different request
// sizes and weights, whatever the estimates of their output were.
func TestFairnessWithinAClass(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		one := scheduler.Class{Name: "only", MaxWait: time.Hour, MaxQueued: 100}
		r := newRunner(newQueue(limit, one))
		weights := []float64{1, 1, 2}
		lengths := []int{20, rapid.IntRange(5, 100).Draw(t, "second"), rapid.IntRange(5, 100).Draw(t, "third")}
		waiting := func(w int) int {
			n := 0
			for _, id := range r.q.Items() {
				if r.items[id].Workspace == fmt.Sprint(w) {
					n++
				}
			}
			return n
		}
		const steps = 2000
		for n := range steps {
			if n%20 == 0 {
				for w, length := range lengths {
					for waiting(w) < limit+15 {
						r.push(scheduler.Item{Workspace: fmt.Sprint(w), Weight: weights[w], OutputTokens: length})
					}
				}
			}
			r.step(t, limit)
		}
		total := r.served["0"] + r.served["1"] + r.served["2"]
		for w, weight := range weights {
			share := r.served[fmt.Sprint(w)] / total
			// The bound is a few of the largest requests of the run.
			slack := float64(100*(limit+3)) / total
			assert.Assert(t, share > weight/4-0.03-slack && share < weight/4+0.03+slack, "workspace %d has %.3f", w, share)
		}
	})
}

// Guards against estimates that are not corrected by the generated output: a
// workspace that announces one token would get most of the service.
func TestUnderstatedOutputIsCharged(t *testing.T) {
	t.Parallel()
	one := scheduler.Class{Name: "only", MaxWait: time.Hour, MaxQueued: 100}
	q := newQueue(1, one)
	served := map[string]int{}
	now := start
	for n := range 400 {
		for _, w := range []string{"accurate", "understated"} {
			expected := 50
			if w == "understated" {
				expected = 1
			}
			q.Push(now, scheduler.Item{ID: fmt.Sprint(w, n), Workspace: w, OutputTokens: expected})
		}
		for _, i := range q.Next(now).Start {
			now = now.Add(time.Second)
			q.Progress(i.ID, 50)
			q.Done(now, i.ID)
			served[i.Workspace]++
		}
	}
	assert.Assert(t, served["understated"] <= served["accurate"]+5, "%v", served)
}

// Guards against starvation: every item that is accepted is started, preempted
// or not, and finishes, while more urgent work keeps coming.
func TestNoStarvation(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 8).Draw(t, "limit")
		r := newRunner(newQueue(limit))
		r.push(scheduler.Item{Workspace: "long", Class: 2, OutputTokens: 300})
		for n := 0; n < 20_000 && r.served["long"] == 0; n++ {
			for r.q.Waiting(0) < 5 {
				r.push(scheduler.Item{Workspace: fmt.Sprint("w", r.pushed%3), OutputTokens: 20})
			}
			if rapid.IntRange(0, 50).Draw(t, "more") == 0 {
				r.push(scheduler.Item{Workspace: "other", Class: 2, OutputTokens: 100})
			}
			r.step(t, limit)
		}
		assert.Assert(t, r.served["long"] > 0)
	})
}

// Guards against a wrong victim of a preemption, a second one for the same
// urgent item, and a preempted item that loses its place or its offset.
func TestPreemption(t *testing.T) {
	t.Parallel()
	q := newQueue(4)
	for n := range 4 {
		q.Push(start, scheduler.Item{ID: fmt.Sprint("batch-", n), Workspace: "w", Class: 2, OutputTokens: 100})
		q.Next(start.Add(time.Duration(n) * time.Second))
	}
	q.Push(start, scheduler.Item{ID: "batch-waiting", Workspace: "w", Class: 2, OutputTokens: 100})
	now := start.Add(10 * time.Second)
	q.Push(now, scheduler.Item{ID: "standard", Workspace: "v", Class: 1, OutputTokens: 10})
	assert.Equal(t, len(q.Next(now).Preempt), 0)
	q.Push(now, scheduler.Item{ID: "urgent", Workspace: "v", OutputTokens: 10})
	d := q.Next(now)
	assert.Equal(t, len(d.Start), 0)
	assert.Equal(t, len(d.Preempt), 1)
	assert.Equal(t, d.Preempt[0].ID, "batch-3")
	assert.Equal(t, len(q.Next(now).Preempt), 0)
	assert.Assert(t, q.Preempted(now, "batch-3", 30))
	assert.Equal(t, q.Next(now).Start[0].ID, "urgent")
	assert.Assert(t, q.Done(now.Add(time.Second), "urgent"))
	assert.Equal(t, q.Next(now.Add(time.Second)).Start[0].ID, "standard")
	assert.Assert(t, q.Done(now.Add(2*time.Second), "standard"))
	again := q.Next(now.Add(2 * time.Second)).Start[0]
	assert.Equal(t, again.ID, "batch-3")
	assert.Equal(t, again.Offset, 30)
}

// Guards against a preemption that takes the minimum share of a class.
func TestPreemptionLeavesTheMinimumShare(t *testing.T) {
	t.Parallel()
	q := newQueue(10)
	for n := range 10 {
		q.Push(start, scheduler.Item{ID: fmt.Sprint(n), Workspace: "w", Class: 1, OutputTokens: 100})
	}
	assert.Equal(t, len(q.Next(start).Start), 10)
	for n := range 20 {
		q.Push(start, scheduler.Item{ID: fmt.Sprint("urgent-", n), Workspace: "v", OutputTokens: 100})
	}
	assert.Equal(t, len(q.Next(start).Preempt), 6)
}

// Guards against preemptions without use: for more items than wait, for a flood
// of one workspace, or while the limit is below what runs.
func TestNoUselessPreemption(t *testing.T) {
	t.Parallel()
	q := newQueue(10)
	for n := range 10 {
		q.Push(start, scheduler.Item{ID: fmt.Sprint(n), Workspace: "w", Class: 2, OutputTokens: 100})
	}
	assert.Equal(t, len(q.Next(start).Start), 10)
	q.SetLimit(start, 5)
	q.Push(start, scheduler.Item{ID: "small", Workspace: "small", OutputTokens: 1})
	assert.Equal(t, len(q.Next(start).Preempt), 0)
	q.SetLimit(start, 14)
	for n := range 8 {
		q.Push(start, scheduler.Item{ID: fmt.Sprint("flood-", n), Workspace: "flood", OutputTokens: 1000})
	}
	assert.Equal(t, len(q.Next(start).Start), 4)
	q.Push(start, scheduler.Item{ID: "small-2", Workspace: "small", OutputTokens: 1})
	d := q.Next(start)
	assert.Equal(t, len(d.Preempt), 1)
	assert.Assert(t, q.Preempted(start, d.Preempt[0].ID, 0))
	assert.Equal(t, q.Next(start).Start[0].ID, "small-2")
}

// Guards against a refusal that is held back, without a time to retry, or of an
// item that has started; and against a flooding workspace that displaces others.
func TestRefusals(t *testing.T) {
	t.Parallel()
	all := classes()
	all[0].MaxQueued = 4
	all[0].MaxWait = time.Second
	q := newQueue(1, all...)
	q.Push(start, scheduler.Item{ID: "running", Workspace: "heavy", OutputTokens: 1})
	q.Next(start)
	for n := range 4 {
		q.Push(start, scheduler.Item{ID: fmt.Sprint(n), Workspace: "heavy", OutputTokens: 5})
	}
	out := q.Push(start, scheduler.Item{ID: "small", Workspace: "small", OutputTokens: 1})
	assert.Equal(t, len(out), 1)
	assert.Equal(t, out[0].Item.ID, "3")
	assert.Assert(t, out[0].RetryAfter >= time.Second)
	assert.Assert(t, out[0].Refusal().Code.Retryable())
	out = q.Push(start, scheduler.Item{ID: "next", Workspace: "heavy", OutputTokens: 5})
	assert.Equal(t, out[0].Item.ID, "next")
	assert.Equal(t, q.NextExpiry(), start.Add(time.Second))
	assert.Equal(t, len(q.Expire(start.Add(999*time.Millisecond))), 0)
	assert.Equal(t, len(q.Expire(start.Add(time.Second))), 4)
	assert.Equal(t, q.Load(), 1)
	assert.Assert(t, q.Cancel(start, "running"))
	assert.Equal(t, q.Load(), 0)
}

// Guards against an estimate that accepts items that then wait too long: items
// are refused at once when the queue ahead of them is longer than their limit.
func TestExpectedWaitRefusesEarly(t *testing.T) {
	t.Parallel()
	one := scheduler.Class{Name: "only", MaxWait: 10 * time.Second, MaxQueued: 1000, MinShare: 1}
	r := newRunner(newQueue(2, one))
	expired := 0
	for range 20_000 {
		r.push(scheduler.Item{Workspace: fmt.Sprint("w", r.pushed%3), OutputTokens: 50})
		expired += len(r.q.Expire(r.now))
		r.step(t, 2)
	}
	assert.Assert(t, r.refused > 0)
	assert.Assert(t, expired*20 < r.pushed, "%d of %d accepted items waited too long", expired, r.pushed)
	// A workspace without waiting items does not wait for the others' queues.
	assert.Assert(t, r.q.ExpectedWait(r.now, 0) < time.Second)
}
