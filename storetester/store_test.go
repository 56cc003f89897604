package storetester_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/storetester"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

// Guards against a write that has no effect although only its response is lost, and
// against one that has an effect although its request is lost. Tests of ambiguous
// writes depend on this difference.
func TestAmbiguousWrites(t *testing.T) {
	ctx := context.Background()
	s := storetester.New(storetester.NewClock(start))

	s.LoseResponses(1)
	_, err := s.CompareAndSwap(ctx, "a", []byte("1"), 0)
	assert.ErrorIs(t, err, bergamotdale.ErrAmbiguous)
	e, err := s.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, string(e.Value), "1")

	s.LoseRequests(1)
	_, err = s.CompareAndSwap(ctx, "b", []byte("1"), 0)
	assert.ErrorIs(t, err, bergamotdale.ErrAmbiguous)
	_, err = s.Get(ctx, "b")
	assert.ErrorIs(t, err, bergamotdale.ErrNotFound)
}

// Guards against a key that remains after its lease has ended, and against a lease
// that ends although it was renewed.
func TestLeaseExpiry(t *testing.T) {
	ctx := context.Background()
	c := storetester.NewClock(start)
	s := storetester.New(c)
	id, err := s.GrantLease(ctx, 10*time.Second)
	assert.NilError(t, err)
	assert.NilError(t, s.PutWithLease(ctx, "router/a", nil, id))
	c.Advance(9 * time.Second)
	assert.NilError(t, s.RenewLease(ctx, id))
	c.Advance(9 * time.Second)
	_, err = s.Get(ctx, "router/a")
	assert.NilError(t, err)
	c.Advance(2 * time.Second)
	_, err = s.Get(ctx, "router/a")
	assert.ErrorIs(t, err, bergamotdale.ErrNotFound)
	assert.ErrorIs(t, s.RenewLease(ctx, id), bergamotdale.ErrNotFound)
}

// Guards against a watch that does not return on a change, at its timeout or in an
// outage.
func TestWatch(t *testing.T) {
	ctx := context.Background()
	c := storetester.NewClock(start)
	s := storetester.New(c)
	first, err := s.CompareAndSwap(ctx, "k", []byte("1"), 0)
	assert.NilError(t, err)

	type result struct {
		entry bergamotdale.Entry
		err   error
	}
	results := make(chan result, 1)
	watch := func(after int64) {
		go func() {
			e, err := s.Watch(ctx, "k", after, time.Minute)
			results <- result{e, err}
		}()
	}

	watch(first.Version)
	c.BlockUntil(1)
	second, err := s.CompareAndSwap(ctx, "k", []byte("2"), first.Version)
	assert.NilError(t, err)
	r := <-results
	assert.NilError(t, r.err)
	assert.Equal(t, r.entry.Version, second.Version)

	watch(second.Version)
	c.BlockUntil(2)
	c.Advance(time.Minute)
	r = <-results
	assert.NilError(t, r.err)
	assert.Equal(t, string(r.entry.Value), "2")

	watch(second.Version)
	c.BlockUntil(1)
	s.SetOutage(true)
	r = <-results
	assert.ErrorIs(t, r.err, bergamotdale.ErrUnavailable)
	assert.Equal(t, s.Count(storetester.OpWatch), 3)
}

// Guards against a swap or deletion that succeeds with a stale version.
func TestConflict(t *testing.T) {
	ctx := context.Background()
	s := storetester.New(storetester.NewClock(start))
	e, err := s.CompareAndSwap(ctx, "k", []byte("1"), 0)
	assert.NilError(t, err)
	_, err = s.CompareAndSwap(ctx, "k", []byte("2"), 0)
	assert.ErrorIs(t, err, bergamotdale.ErrConflict)
	assert.ErrorIs(t, s.Delete(ctx, "k", e.Version+1), bergamotdale.ErrConflict)
	assert.NilError(t, s.Delete(ctx, "k", e.Version))
}
