package placer_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale/placer"
)

// Guards against a plan that tries a draining endpoint, leaves out the endpoint
// that has the chat cached, or does not end with a step that only the load bound
// can refuse.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := group(rapid.IntRange(1, 30).Draw(t, "engines"), 3)
		loads := placer.NewLoads()
		for i := range all {
			all[i].Draining = rapid.Bool().Draw(t, "draining")
			loads.Set(all[i].Name, rapid.IntRange(0, 9).Draw(t, "load"))
		}
		overridden := rapid.IntRange(0, len(all)-1).Draw(t, "override")
		q := placer.PlanRequest{
			OrderRequest: placer.OrderRequest{Chat: rapid.String().Draw(t, "chat"), Now: now},
			Returning:    rapid.Bool().Draw(t, "returning"),
			Override:     all[overridden].Name,
			Loads:        loads,
		}
		g := placer.NewGroup(all, 0)
		steps := g.Plan(nil, q)
		assert.Equal(t, g.Len() == 0, len(steps) == 0)
		for _, s := range steps {
			assert.Assert(t, !all[s.Endpoint].Draining)
			assert.Assert(t, q.Returning || !s.RequireCached)
		}
		if len(steps) == 0 {
			return
		}
		last := steps[len(steps)-1]
		assert.Assert(t, !last.RequireCached && last.MaxLoad < 0)
		if q.Returning && !all[overridden].Draining {
			assert.Equal(t, steps[0], placer.Step{Endpoint: overridden, RequireCached: true, MaxLoad: -1})
		}
	})
}

// Guards against a search among all endpoints for each chat whose cache entry
// has expired, and against no search after the first endpoint, whose owner kept
// the override, has left or changed its owner.
func TestPlanSearchesAfterLostOverride(t *testing.T) {
	all := group(12, 3)
	q := placer.PlanRequest{OrderRequest: placer.OrderRequest{Chat: "c", Now: now}, Returning: true}
	first := placer.NewGroup(all, 0).Order(nil, q.OrderRequest)[0]
	cachedSteps := func() int {
		n := 0
		for _, s := range placer.NewGroup(all, 0).Plan(nil, q) {
			if s.RequireCached {
				n++
			}
		}
		return n
	}
	q.OwnedSince = now.Add(-2 * placer.SearchPeriod)
	assert.Equal(t, cachedSteps(), 0)
	all[first].Draining = true
	assert.Assert(t, cachedSteps() > 0)
	all[first].Draining = false
	q.OwnedSince = now.Add(-placer.SearchPeriod / 2)
	assert.Assert(t, cachedSteps() > 0)
}

// Guards against a step that admits a request above the capacity.
func TestStepNeverExceedsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := placer.Step{RequireCached: rapid.Bool().Draw(t, "resident"), MaxLoad: rapid.IntRange(-1, 9).Draw(t, "max")}
		load := rapid.IntRange(0, 9).Draw(t, "load")
		capacity := rapid.IntRange(0, 9).Draw(t, "capacity")
		if s.Admits(rapid.Bool().Draw(t, "cached"), load, capacity) {
			assert.Assert(t, load < capacity)
		}
	})
}

// Guards against more overrides than the memory bound allows, a wrong endpoint
// after the number of another one is reused, and eviction of a recently used
// chat.
func TestOverridesMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 4
		o := placer.NewOverrides(capacity * placer.EntryBytes)
		var order []string
		model := map[string]string{}
		touch := func(chat string) {
			kept := order[:0:0]
			for _, c := range order {
				if c != chat {
					kept = append(kept, c)
				}
			}
			order = append(kept, chat)
		}
		for range rapid.IntRange(0, 60).Draw(t, "operations") {
			chat := fmt.Sprint("chat-", rapid.IntRange(0, 7).Draw(t, "chat"))
			endpoint := fmt.Sprint("engine-", rapid.IntRange(0, 3).Draw(t, "endpoint"))
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0:
				o.Put(chat, endpoint)
				model[chat] = endpoint
				touch(chat)
				if len(model) > capacity {
					for _, c := range order {
						if _, ok := model[c]; ok {
							delete(model, c)
							break
						}
					}
				}
			case 1:
				o.Delete(chat)
				delete(model, chat)
			case 2:
				o.DeleteEndpoint(endpoint)
				for c, e := range model {
					if e == endpoint {
						delete(model, c)
					}
				}
			default:
				got, ok := o.Get(chat)
				want, exists := model[chat]
				assert.Equal(t, ok, exists)
				assert.Equal(t, got, want)
				if ok {
					touch(chat)
				}
			}
			assert.Equal(t, o.Len(), len(model))
		}
		received := placer.NewOverrides(capacity * placer.EntryBytes)
		o.Each(func(key uint64, endpoint string) bool {
			received.PutKey(key, endpoint)
			return true
		})
		for chat, endpoint := range model {
			got, _ := received.Get(chat)
			assert.Equal(t, got, endpoint)
		}
	})
}
