package aggregator_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/aggregator"
	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/storetester"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// Guards against a load bound that loosens as the mean ages.
func TestStaleMeanNeverLoosens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := aggregator.Mean{
			Total:     rapid.IntRange(0, 5000).Draw(t, "total"),
			Endpoints: rapid.IntRange(1, 100).Draw(t, "endpoints"),
		}
		multiple := rapid.Float64Range(1, 5).Draw(t, "multiple")
		m.Age = time.Duration(rapid.Int64Range(0, int64(15*time.Second)).Draw(t, "age"))
		older := m
		older.Age += time.Duration(rapid.Int64Range(0, int64(15*time.Second)).Draw(t, "more"))
		assert.Assert(t, older.Capacity(multiple) <= m.Capacity(multiple))
		assert.Assert(t, older.Capacity(multiple) >= 1)
		if older.Age >= aggregator.StaleAfter {
			assert.Equal(t, aggregator.TightenMultiple(multiple, older.Age), 1.0)
		}
	})
}

// Guards against a report of an earlier owner that replaces that of a later one, a
// load that counts after LoadTTL, and a wrong total.
func TestTable(t *testing.T) {
	table := aggregator.NewTable()
	merge := func(at time.Time, endpoint string, epoch int64, load int) {
		table.Merge(at, aggregator.LoadRequest{
			Group: "g", Loads: []aggregator.EndpointLoad{{Endpoint: endpoint, Epoch: epoch, Load: load}},
		})
	}
	merge(start, "a", 2, 4)
	merge(start, "a", 1, 40)
	merge(start.Add(time.Second), "b", 1, 1)
	merge(start.Add(time.Second), "c", 1, -1)
	r := table.Aggregate(start.Add(2*time.Second), "g")
	assert.Equal(t, r.Total, 5)
	assert.Equal(t, r.Endpoints, 2)
	assert.Equal(t, r.AgeMS, int64(2000))
	assert.Equal(t, r.LeastLoaded[0].Endpoint, "b")
	r = table.Aggregate(start.Add(aggregator.LoadTTL), "g")
	assert.Equal(t, r.Endpoints, 1)
	assert.Equal(t, table.Aggregate(start.Add(time.Minute), "g").Endpoints, 0)
}

// fleet implements bergamotdale.Peer and aggregator.Membership for a set of
// aggregators. Routers in down are unreachable.
type fleet struct {
	ids     []string
	routers map[string]*aggregator.Aggregator
	down    map[string]bool
	calls   int
}

func (f *fleet) Owners() []string { return f.ids }

func (f *fleet) Member(id string) (bergamotdale.Member, bool) {
	return bergamotdale.Member{ID: id, Address: id}, true
}

func (f *fleet) Call(_ context.Context, address, path string, request, response any) error {
	f.calls++
	if f.down[address] || path != aggregator.LoadPath {
		return bergamotdale.Refuse(bergamotdale.CodePeer, "down")
	}
	*response.(*aggregator.LoadResponse) = f.routers[address].HandleLoad(request.(aggregator.LoadRequest))
	return nil
}

func (f *fleet) Stream(context.Context, string, string, any) (bergamotdale.FrameStream, error) {
	panic("not used")
}

// Guards against three failures after the aggregating router of a group goes down:
// the group loses its mean; the first responses of the next router cover few
// endpoints and loosen the bound; the router that is down is tried in each interval.
func TestNextAggregatorTakesOver(t *testing.T) {
	clock := storetester.NewClock(start)
	f := &fleet{routers: map[string]*aggregator.Aggregator{}, down: map[string]bool{}}
	for i := range 6 {
		f.ids = append(f.ids, fmt.Sprintf("router-%d", i))
	}
	for i, id := range f.ids {
		a := aggregator.New(id, f, f, clock)
		load := 10 * (i + 1)
		a.Groups = func() []aggregator.Group {
			return []aggregator.Group{{Name: "g", Size: 6, Owned: []aggregator.EndpointLoad{{Endpoint: "engine-" + id, Epoch: 1, Load: load}}}}
		}
		f.routers[id] = a
	}
	reportAll := func() {
		for _, id := range f.ids {
			if !f.down[id] {
				f.routers[id].ReportOnce(context.Background())
			}
		}
		clock.Advance(aggregator.ReportInterval)
	}
	reportAll()
	reportAll()
	order := hasher.Order("load-group/g", f.ids)
	observer := f.routers[order[5]]
	mean, ok := observer.Mean("g")
	assert.Assert(t, ok)
	assert.Equal(t, mean.Value(), 35.0)
	assert.Assert(t, mean.Age <= 2*aggregator.ReportInterval, "age %s", mean.Age)
	before := mean.Capacity(1.5)
	f.down[order[0]] = true
	for range 4 {
		reportAll()
		mean, _ = observer.Mean("g")
		assert.Assert(t, mean.Endpoints >= 5, "mean of %d endpoints", mean.Endpoints)
	}
	assert.Equal(t, mean.Endpoints, 5)
	assert.Assert(t, mean.Age <= 2*aggregator.ReportInterval, "age %s", mean.Age)
	f.calls = 0
	reportAll()
	assert.Equal(t, f.calls, 4, "the router that is down was asked again")
	for _, id := range f.ids {
		f.down[id] = true
	}
	clock.Advance(aggregator.StaleAfter)
	observer.ReportOnce(context.Background())
	mean, _ = observer.Mean("g")
	assert.Assert(t, mean.Capacity(1.5) < before)
}
