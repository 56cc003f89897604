package placer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/placer"
)

var now = time.Date(2026, time.January, 5, 6, 0, 0, 0, time.UTC)

// group returns n warm candidates in the given number of failure domains.
func group(n, domains int) []placer.Candidate {
	all := make([]placer.Candidate, n)
	for i := range all {
		all[i] = placer.Candidate{
			Name: fmt.Sprintf("engine-%03d", i), Weight: 1, FailureDomain: fmt.Sprintf("domain-%d", i%domains),
		}
	}
	return all
}

// Guards against an order that differs from hasher.Order, because of which
// routers would disagree on the first endpoint of a chat.
func TestOrderOfEqualCandidatesIsRendezvousOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := group(rapid.IntRange(1, 30).Draw(t, "engines"), 1)
		limit := rapid.IntRange(0, 31).Draw(t, "limit")
		chat := rapid.String().Draw(t, "chat")
		var names []string
		for _, c := range all {
			names = append(names, c.Name)
		}
		want := hasher.Order(chat, names)
		got := placer.NewGroup(all, 0).Order(nil, placer.OrderRequest{Chat: chat, Now: now, Limit: limit})
		if limit > 0 {
			want = want[:min(limit, len(want))]
		}
		assert.Equal(t, len(want), len(got))
		for i := range want {
			assert.Equal(t, want[i], all[got[i]].Name)
		}
	})
}

// Guards against new work for a draining endpoint (I5), missing or repeated
// endpoints, an endpoint at its capacity before one below it, and a second
// endpoint in the failure domain of the first, where a retry would fail again.
func TestOrderInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := group(rapid.IntRange(1, 20).Draw(t, "engines"), rapid.IntRange(1, 4).Draw(t, "domains"))
		active := 0
		for i := range all {
			all[i].Draining = rapid.Bool().Draw(t, "draining")
			all[i].Weight = rapid.Float64Range(0, 1).Draw(t, "weight")
			all[i].Load = rapid.IntRange(0, 9).Draw(t, "load")
			all[i].LoadKnown = rapid.Bool().Draw(t, "known")
			if !all[i].Draining {
				active++
			}
		}
		const capacity = 5
		order := placer.NewGroup(all, 0).Order(nil, placer.OrderRequest{Chat: "c", Now: now, Capacity: capacity})
		assert.Equal(t, active, len(order))
		seen := map[int]bool{}
		full := false
		for _, i := range order {
			assert.Assert(t, !all[i].Draining && !seen[i])
			seen[i] = true
			isFull := all[i].LoadKnown && all[i].Load >= capacity
			assert.Assert(t, isFull || !full, "an endpoint below its capacity comes after one at its capacity")
			full = full || isFull
		}
	})
	order := placer.NewGroup(group(12, 3), 0).Order(nil, placer.OrderRequest{Chat: "c", Now: now, Limit: 2})
	assert.Assert(t, order[0]%3 != order[1]%3)
}

// Guards against an ejected or cold endpoint that keeps more or fewer chats than
// its share, and against chats that move away from endpoints whose share has not
// changed.
func TestReducedShareMovesExcessChats(t *testing.T) {
	const chats = 4000
	all := group(10, 1)
	healthy := placer.NewGroup(all, 0)
	all[3].Weight = 0.5
	all[7].SlowStart = now.Add(-placer.DefaultSlowStart / 4)
	reduced := placer.NewGroup(all, 0)
	before, after := map[int]int{}, map[int]int{}
	for n := range chats {
		r := placer.OrderRequest{Chat: fmt.Sprint("chat-", n), Now: now, Limit: 1}
		b, a := healthy.Order(nil, r)[0], reduced.Order(nil, r)[0]
		before[b]++
		after[a]++
		assert.Assert(t, a == b || b == 3 || b == 7, "a chat left a healthy endpoint")
	}
	for i, share := range map[int]float64{3: 0.5, 7: 0.25} {
		got := float64(after[i]) / float64(before[i])
		assert.Assert(t, got > share-0.1 && got < share+0.1, "share of %d is %.2f, not %.2f", i, got, share)
	}
}

// Guards against a bound that a stale group load loosens, that lies below the
// mean load, or whose sum over the group is too small to admit one more request.
func TestCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := placer.LoadBound{Multiple: rapid.Float64Range(1, 3).Draw(t, "multiple")}
		m := placer.GroupLoad{
			Requests: rapid.IntRange(0, 10_000).Draw(t, "load"),
			Engines:  rapid.IntRange(1, 800).Draw(t, "engines"),
			Age:      time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "age")),
		}
		fresh := m
		fresh.Age = 0
		exact := b.Multiple * float64(m.Requests+1) / float64(m.Engines)
		assert.Assert(t, b.Capacity(m) <= b.Capacity(fresh))
		assert.Assert(t, float64(b.Capacity(fresh)) >= exact-1e-6 && float64(b.Capacity(fresh)) < exact+1)
		assert.Assert(t, b.Capacity(m)*m.Engines > m.Requests, "a group at its capacity admits no further request")
		if m.Age >= placer.DefaultStaleAfter {
			assert.Equal(t, b.Capacity(m), (m.Requests+m.Engines)/m.Engines)
		}
	})
	assert.Equal(t, placer.LoadBound{Multiple: 1.25}.Capacity(placer.GroupLoad{}), 0)
}

// BenchmarkOrder reports the cost of one order in groups of 23 and 750 engines.
func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{23, 750} {
		g := placer.NewGroup(group(n, 4), 0)
		var order [4]int
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				g.Order(order[:0], placer.OrderRequest{Chat: "chat-4711", Now: now, Limit: len(order)})
			}
		})
	}
}

// BenchmarkPlan reports the cost of one plan for a returning chat.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{23, 750} {
		g := placer.NewGroup(group(n, 4), 0)
		loads := placer.NewLoads()
		for i, c := range group(n, 4) {
			loads.Set(c.Name, i%7)
		}
		q := placer.PlanRequest{OrderRequest: placer.OrderRequest{Chat: "chat-4711", Now: now}, Returning: true, Override: "engine-004", Loads: loads}
		var steps [32]placer.Step
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				g.Plan(steps[:0], q)
			}
		})
	}
}
