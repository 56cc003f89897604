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

func testClasses() []scheduler.Class {
	return []scheduler.Class{
		{Name: "urgent", MinShare: 0.2, MaxWait: time.Minute, MaxQueued: 50, Preempts: true},
		{Name: "standard", MinShare: 0.3, MaxWait: time.Minute, MaxQueued: 50},
		{Name: "batch", MinShare: 0.1, MaxWait: time.Hour, MaxQueued: 50},
	}
}

func newQueue(limit int, all ...scheduler.Class) *scheduler.Queue {
	if len(all) == 0 {
		all = testClasses()
	}
	q := scheduler.New(scheduler.Config{Classes: all})
	q.SetLimit(start, limit)
	return q
}

// simulation simulates an endpoint that serves the items of a queue with a fixed
// time per output token.
type simulation struct {
	q   *scheduler.Queue
	now time.Time
	// ends holds the time at which each running item finishes.
	ends  map[string]time.Time
	items map[string]scheduler.Item
	// pushed counts all items, refused those that the queue refused.
	pushed int
	// served counts the output tokens of finished items by workspace.
	served map[string]float64
	// held counts, by class, the steps that items spent in a slot.
	held    map[int]float64
	refused int
}

const timePerToken = 10 * time.Millisecond

func newSimulation(q *scheduler.Queue) *simulation {
	return &simulation{
		q: q, now: start, ends: map[string]time.Time{}, items: map[string]scheduler.Item{},
		served: map[string]float64{}, held: map[int]float64{},
	}
}

// push adds an item under a new ID.
func (s *simulation) push(i scheduler.Item) {
	s.pushed++
	i.ID = fmt.Sprint(s.pushed)
	s.items[i.ID] = i
	s.refused += len(s.q.Push(s.now, i))
}

// step advances the time by one token, finishes the items that are due, and
// starts and preempts items as the queue decides.
func (s *simulation) step(t assert.TestingT, limit int) {
	s.now = s.now.Add(timePerToken)
	for id, end := range s.ends {
		s.held[s.items[id].Class]++
		if !s.now.Before(end) {
			delete(s.ends, id)
			s.served[s.items[id].Workspace] += float64(s.items[id].OutputTokens)
			s.q.Progress(id, s.items[id].OutputTokens)
			assert.Assert(t, s.q.Done(s.now, id))
		}
	}
	d := s.q.Next(s.now)
	for _, i := range d.Start {
		s.ends[i.ID] = s.now.Add(time.Duration(i.OutputTokens-i.Offset) * timePerToken)
	}
	for _, i := range d.Preempt {
		left := int(s.ends[i.ID].Sub(s.now) / timePerToken)
		delete(s.ends, i.ID)
		s.q.Preempted(s.now, i.ID, i.OutputTokens-left)
	}
	assert.Assert(t, s.q.Running() <= limit, "more items run than the limit allows")
	assert.Equal(t, s.q.Running(), len(s.ends))
}

// Guards against a class that gets less than its minimum share while all classes
// are backlogged, and against slots that stay idle while items wait.
func TestMinimumShareInAnyFlood(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(3, 24).Draw(t, "limit")
		lengths := []int{rapid.IntRange(5, 30).Draw(t, "urgent"), rapid.IntRange(5, 60).Draw(t, "standard"), rapid.IntRange(5, 200).Draw(t, "batch")}
		s := newSimulation(newQueue(limit))
		const steps = 3000
		for range steps {
			for class, length := range lengths {
				for s.q.Waiting(class) < 10 {
					s.push(scheduler.Item{Workspace: fmt.Sprint("w", s.pushed%7), Class: class, OutputTokens: length})
				}
			}
			s.step(t, limit)
		}
		total := 0.0
		for class, c := range testClasses() {
			share := s.held[class] / float64(limit*steps)
			total += share
			// The tolerance covers the start of the run, when the shares have not
			// settled yet; that lasts about as long as the longest item.
			assert.Assert(t, share > c.MinShare-0.02, "class %s has a share of %.3f", c.Name, share)
		}
		assert.Assert(t, total > 0.9, "slots are idle: the classes hold a share of only %.3f", total)
	})
}

// Guards against shares that do not follow the weights of the workspaces when
// their requests differ in size.
func TestFairnessBetweenWorkspaces(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		one := scheduler.Class{Name: "only", MaxWait: time.Hour, MaxQueued: 100}
		s := newSimulation(newQueue(limit, one))
		weights := []float64{1, 1, 2}
		lengths := []int{20, rapid.IntRange(5, 100).Draw(t, "second"), rapid.IntRange(5, 100).Draw(t, "third")}
		waiting := func(w int) int {
			n := 0
			for _, id := range s.q.Items() {
				if s.items[id].Workspace == fmt.Sprint(w) {
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
						s.push(scheduler.Item{Workspace: fmt.Sprint(w), Weight: weights[w], OutputTokens: length})
					}
				}
			}
			s.step(t, limit)
		}
		total := s.served["0"] + s.served["1"] + s.served["2"]
		for w, weight := range weights {
			share := s.served[fmt.Sprint(w)] / total
			// The tolerance is the size of a few of the largest requests.
			slack := float64(100*(limit+3)) / total
			assert.Assert(t, share > weight/4-0.03-slack && share < weight/4+0.03+slack, "workspace %d has a share of %.3f", w, share)
		}
	})
}

// Guards against charges that are not corrected by the generated output: a
// workspace that announces one output token and generates 50 would get most of
// the service.
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

// Guards against starvation: an accepted item of the lowest class finishes, even
// if it is preempted, while more urgent items keep arriving.
func TestNoStarvation(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 8).Draw(t, "limit")
		s := newSimulation(newQueue(limit))
		s.push(scheduler.Item{Workspace: "long", Class: 2, OutputTokens: 300})
		for n := 0; n < 20_000 && s.served["long"] == 0; n++ {
			for s.q.Waiting(0) < 5 {
				s.push(scheduler.Item{Workspace: fmt.Sprint("w", s.pushed%3), OutputTokens: 20})
			}
			if rapid.IntRange(0, 50).Draw(t, "more") == 0 {
				s.push(scheduler.Item{Workspace: "other", Class: 2, OutputTokens: 100})
			}
			s.step(t, limit)
		}
		assert.Assert(t, s.served["long"] > 0)
	})
}

// Guards against preempting the wrong item, preempting two items for one urgent
// item, and a preempted item that loses its place in the queue or its offset.
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

// Guards against preemptions that leave a class less than its minimum share.
func TestPreemptionKeepsMinimumShare(t *testing.T) {
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

// Guards against useless preemptions: more than there are urgent waiting items,
// for a workspace that has exceeded its fair share, or while more items run than
// a lowered limit allows.
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

// Guards against refusals that come late, lack a time to retry or hit an item
// that has started, and against a workspace with many items that displaces the
// items of others.
func TestRefusalsAndExpiry(t *testing.T) {
	t.Parallel()
	all := testClasses()
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

// Guards against wait estimates that accept items which then wait too long: an
// item is refused at once if its expected wait is above the limit.
func TestExpectedWaitRefusesEarly(t *testing.T) {
	t.Parallel()
	one := scheduler.Class{Name: "only", MaxWait: 10 * time.Second, MaxQueued: 1000, MinShare: 1}
	s := newSimulation(newQueue(2, one))
	expired := 0
	for range 20_000 {
		s.push(scheduler.Item{Workspace: fmt.Sprint("w", s.pushed%3), OutputTokens: 50})
		expired += len(s.q.Expire(s.now))
		s.step(t, 2)
	}
	assert.Assert(t, s.refused > 0)
	assert.Assert(t, expired*20 < s.pushed, "%d of %d items expired in the queue", expired, s.pushed)
	// A workspace without waiting items does not wait behind the whole queues of
	// other workspaces.
	assert.Assert(t, s.q.ExpectedWait(s.now, 0) < time.Second)
}
