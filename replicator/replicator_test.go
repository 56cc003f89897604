package replicator_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/replicator"
)

func entry(key string, version int64) bergamotdale.Entry {
	return bergamotdale.Entry{Key: key, Value: []byte(fmt.Sprint(version)), Version: version}
}

func fixedAge(age time.Duration) func() (time.Duration, bool) {
	return func() (time.Duration, bool) { return age, true }
}

func newReplica(age time.Duration) *replicator.Replica {
	r := replicator.NewReplica(fixedAge(age))
	r.Apply(bergamotdale.Batch{Entries: []bergamotdale.Entry{entry("a", 1), entry("b", 2)}, Revision: 2}, true)
	r.Apply(bergamotdale.Batch{Changes: []bergamotdale.Change{
		{Entry: entry("c", 3)}, {Entry: entry("a", 4), Deleted: true},
	}, Revision: 4}, true)
	return r
}

// Guards against followers that miss a change, get one twice, or take content
// for complete whose history is gone.
func TestServe(t *testing.T) {
	r, ctx := newReplica(time.Second), context.Background()
	got, err := r.Serve(ctx, replicator.Request{After: 3})
	assert.NilError(t, err)
	assert.Assert(t, got.Usable)
	assert.Equal(t, len(got.Changes), 1)
	assert.Equal(t, got.Changes[0].Key, "a")
	assert.Equal(t, got.Revision, int64(4))
	assert.Assert(t, got.AgeMS >= 1000)
	got, _ = r.Serve(ctx, replicator.Request{After: 1})
	assert.Assert(t, got.Compacted)
	got, _ = r.Serve(ctx, replicator.Request{Everything: true})
	assert.Equal(t, len(got.Entries), 2)
}

// Guards against followers of a router that has lost the store, or that follows
// others itself: its content may be old.
func TestUnusable(t *testing.T) {
	r := newReplica(time.Hour)
	got, _ := r.Serve(context.Background(), replicator.Request{After: 3})
	assert.Assert(t, !got.Usable)
	r = newReplica(time.Second)
	r.Lost()
	got, _ = r.Serve(context.Background(), replicator.Request{After: 4, WaitMS: 60000})
	assert.Assert(t, !got.Usable, "a follower must not wait for a router that has lost the store")
	r = newReplica(time.Second)
	r.Apply(bergamotdale.Batch{Revision: 4}, false)
	got, _ = r.Serve(context.Background(), replicator.Request{After: 3})
	assert.Assert(t, !got.Usable)
}

// Guards against a follower that hears of a change or of a new confirmation only
// when its poll ends.
func TestServeWaitsForTheNextBatch(t *testing.T) {
	r := newReplica(time.Second)
	answered := make(chan replicator.Response)
	go func() {
		got, _ := r.Serve(context.Background(), replicator.Request{After: 4, WaitMS: 2000})
		answered <- got
	}()
	var got replicator.Response
	for served := false; !served; {
		r.Apply(bergamotdale.Batch{Changes: []bergamotdale.Change{{Entry: entry("d", 5)}}, Revision: 5}, true)
		select {
		case got = <-answered:
			served = true
		case <-time.After(time.Millisecond):
		}
	}
	assert.Equal(t, got.Revision, int64(5))
}

// Guards against every router watching the store of a large fleet, and against
// too few observers to lose one.
func TestObservers(t *testing.T) {
	var members []bergamotdale.Member
	for i := range 360 {
		members = append(members, bergamotdale.Member{ID: fmt.Sprintf("r%d", i)})
		n := len(replicator.Observers(members))
		switch {
		case len(members) <= 16:
			assert.Equal(t, n, 0)
		default:
			assert.Assert(t, n >= 3 && n <= len(members)/16+3, "%d observers of %d", n, len(members))
		}
	}
}

// Guards against changes that cross failure domains once for each follower: the
// load pattern is a release of thousands of endpoints beside 300 routers.
func TestObserversOfEachDomain(t *testing.T) {
	var members []bergamotdale.Member
	for i := range 300 {
		members = append(members, bergamotdale.Member{ID: fmt.Sprintf("r%d", i), FailureDomain: fmt.Sprintf("d%d", i%4)})
	}
	observers := replicator.Observers(members)
	assert.Assert(t, len(observers) <= 300/16+4, "%d observers", len(observers))
	domains := map[string]int{}
	for _, m := range members {
		if slices.Contains(observers, m.ID) {
			domains[m.FailureDomain]++
		}
	}
	assert.Equal(t, len(domains), 4)
	for domain, n := range domains {
		assert.Assert(t, n*16 >= 75, "domain %s has %d observers for 75 routers", domain, n)
	}
}

// Guards against a follower that asks an observer of another domain while its
// own has one that answers.
func TestFollowerStaysInItsDomain(t *testing.T) {
	var members []bergamotdale.Member
	for i := range 40 {
		domain := fmt.Sprintf("d%d", i%4)
		members = append(members, bergamotdale.Member{ID: fmt.Sprintf("r%d", i), Address: domain, FailureDomain: domain})
	}
	observers := replicator.Observers(members)
	for _, m := range members {
		if slices.Contains(observers, m.ID) {
			continue
		}
		p := &peers{response: replicator.Response{Usable: true, Revision: 12}}
		source := &replicator.Source{Self: m.ID, Store: &store{}, Peer: p, Logger: zap.NewNop(), Members: func() []bergamotdale.Member { return members }}
		_, err := source.Changes(context.Background(), "", 9, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, p.called, 1)
		assert.Equal(t, p.address, m.FailureDomain)
	}
}

// peers answers calls as other routers would.
type peers struct {
	bergamotdale.Peer
	response replicator.Response
	err      error
	called   int
	// address is that of the latest call.
	address string
}

func (p *peers) Call(_ context.Context, address, _ string, _, response any) error {
	p.called++
	p.address = address
	*response.(*replicator.Response) = p.response
	return p.err
}

// store answers every call.
type store struct {
	err    error
	called int
}

func (s *store) Range(context.Context, string, int64) (bergamotdale.Batch, error) {
	s.called++
	return bergamotdale.Batch{Revision: 10}, s.err
}

func (s *store) Changes(context.Context, string, int64, time.Duration) (bergamotdale.Batch, error) {
	s.called++
	return bergamotdale.Batch{Revision: 11, Lag: time.Second}, s.err
}

func newSource(s *store, p *peers, routers int) *replicator.Source {
	var members []bergamotdale.Member
	for i := range routers {
		members = append(members, bergamotdale.Member{ID: fmt.Sprintf("r%d", i)})
	}
	self := ""
	for _, m := range members {
		if !slices.Contains(replicator.Observers(members), m.ID) {
			self = m.ID
		}
	}
	return &replicator.Source{Self: self, Store: s, Peer: p, Logger: zap.NewNop(), Members: func() []bergamotdale.Member { return members }}
}

// Guards against a follower that calls the store although an observer answers,
// and against one that stays without news when no observer does.
func TestSource(t *testing.T) {
	ctx := context.Background()
	s, p := &store{}, &peers{response: replicator.Response{Usable: true, Revision: 12, AgeMS: 1200}}
	source := newSource(s, p, 60)
	b, err := source.Changes(ctx, "", 11, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, b.Revision, int64(12))
	assert.Equal(t, b.Lag, 1200*time.Millisecond)
	assert.Assert(t, !source.Direct() && s.called == 0)

	p.err = errors.New("down")
	b, err = source.Changes(ctx, "", 11, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, b.Revision, int64(11))
	assert.Assert(t, source.Direct() && s.called == 1)

	p.err, p.response.Revision = nil, 5
	b, err = source.Changes(ctx, "", 11, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, b.Revision, int64(11), "an observer that is behind must not take a follower back")
}

// Guards against a router that starts during an outage of the store knowing
// nothing although its peers do.
func TestStartDuringAnOutage(t *testing.T) {
	s := &store{err: bergamotdale.ErrUnavailable}
	p := &peers{response: replicator.Response{Usable: true, Revision: 9, Entries: []bergamotdale.Entry{entry("a", 1)}}}
	b, err := newSource(s, p, 6).Range(context.Background(), "", 0)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Entries), 1)
	p.response = replicator.Response{}
	_, err = newSource(s, p, 6).Range(context.Background(), "", 0)
	assert.Assert(t, errors.Is(err, bergamotdale.ErrUnavailable))
}

// Guards against a small fleet that depends on observers.
func TestSmallFleetWatchesDirectly(t *testing.T) {
	s, p := &store{}, &peers{}
	_, err := newSource(s, p, 9).Changes(context.Background(), "", 1, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, p.called, 0)
}

// Guards against an observer whose link is filled by its followers: the load
// pattern is a storm of configurations of 100 KB before VMs with slow links.
func TestLargeValuesAreReadFromTheStore(t *testing.T) {
	r := newReplica(time.Second)
	large := bergamotdale.Entry{Key: "config", Value: make([]byte, 100<<10)}
	batch := bergamotdale.Batch{Revision: 20}
	for version := int64(11); version <= 20; version++ {
		large.Version = version
		batch.Changes = append(batch.Changes, bergamotdale.Change{Entry: large})
	}
	r.Apply(batch, true)
	got, err := r.Serve(context.Background(), replicator.Request{After: 4})
	assert.NilError(t, err)
	assert.Equal(t, len(got.Changes), 0)
	assert.DeepEqual(t, got.Large, []string{"config"})
	one, err := r.Serve(context.Background(), replicator.Request{Key: "config"})
	assert.NilError(t, err)
	assert.Equal(t, one.Entries[0].Version, int64(20))
}

// Guards against a follower that drops a large change when it cannot reach the
// store itself.
func TestLargeValueFromTheObserver(t *testing.T) {
	s := &store{err: bergamotdale.ErrUnavailable}
	p := &peers{response: replicator.Response{
		Usable: true, Revision: 12, Large: []string{"a"}, Entries: []bergamotdale.Entry{entry("a", 12)},
	}}
	b, err := newSource(s, p, 60).Changes(context.Background(), "", 11, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(b.Changes), 1)
	assert.Equal(t, b.Changes[0].Version, int64(12))
}

// Guards against a router that refuses requests with keys although the store,
// which turns it away, confirms them to its peers (incident inc-3a26).
func TestStoreTurnsOneRouterAway(t *testing.T) {
	s := &store{err: bergamotdale.ErrUnavailable}
	p := &peers{response: replicator.Response{Usable: true, Revision: 12, AgeMS: 1100}}
	source := newSource(s, p, 6)
	b, err := source.Changes(context.Background(), "", 11, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, b.Revision, int64(12))
	assert.Assert(t, b.Lag <= 1100*time.Millisecond && b.Lag > 0, "%s", b.Lag)
	called := s.called
	_, err = source.Changes(context.Background(), "", 12, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, s.called, called, "a store that just failed is left alone for a moment")
	assert.Assert(t, !source.Direct(), "what was heard from others is not passed on")
	p.response.Usable = false
	_, err = source.Changes(context.Background(), "", 11, time.Second)
	assert.Assert(t, errors.Is(err, bergamotdale.ErrUnavailable))
}
