package chronicler_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/chronicler"
)

const prefix = "fleet/"

// recordStore is a store in memory.
type recordStore struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]bergamotdale.Entry
	writes   int
	silent   bool
}

func newRecordStore() *recordStore { return &recordStore{entries: map[string]bergamotdale.Entry{}} }

func (s *recordStore) Range(_ context.Context, p string, _ bergamotdale.Position) (bergamotdale.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return bergamotdale.Batch{}, errors.Trace(bergamotdale.ErrUnavailable)
	}
	b := bergamotdale.Batch{Era: 1, Revision: s.revision, Entries: []bergamotdale.Entry{}}
	for key, e := range s.entries {
		if strings.HasPrefix(key, p) {
			b.Entries = append(b.Entries, e)
		}
	}
	return b, nil
}

func (s *recordStore) CompareAndSwap(_ context.Context, key string, value []byte, version int64) (bergamotdale.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return bergamotdale.Entry{}, errors.Trace(bergamotdale.ErrUnavailable)
	}
	s.writes++
	if s.entries[key].Version != version {
		return bergamotdale.Entry{}, errors.Trace(bergamotdale.ErrConflict)
	}
	s.revision++
	s.entries[key] = bergamotdale.Entry{Key: key, Value: value, Version: s.revision}
	return s.entries[key], nil
}

func (s *recordStore) GrantLease(context.Context, time.Duration) (bergamotdale.LeaseID, error) {
	return "1", nil
}

func (s *recordStore) PutWithLease(_ context.Context, key string, value []byte, _ bergamotdale.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return errors.Trace(bergamotdale.ErrUnavailable)
	}
	s.writes++
	s.revision++
	s.entries[key] = bergamotdale.Entry{Key: key, Value: value, Version: s.revision}
	return nil
}

func (s *recordStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *recordStore) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// startRouters starts chroniclers that know each other.
func startRouters(t *testing.T, store *recordStore, count int, first bool) []*chronicler.Chronicler {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var members []bergamotdale.Member
	for n := range count {
		members = append(members, bergamotdale.Member{ID: fmt.Sprint("router-", n), State: bergamotdale.MemberAlive})
	}
	var all []*chronicler.Chronicler
	for _, m := range members {
		c := chronicler.New(m.ID, bergamotdale.SystemClock{})
		c.Store, c.Prefix, c.FirstStart = store, prefix, first
		c.Members = func() []bergamotdale.Member { return members }
		c.Period, c.StreamTime = func() time.Duration { return period }, func() time.Duration { return period }
		c.Pending, c.Recorded = func(int) []chronicler.Stream { return nil }, func([]chronicler.Stream) {}
		go func() { _ = c.Run(ctx) }()
		all = append(all, c)
	}
	return all
}

// apply lets all routers read the store and the endpoints.
func apply(t *testing.T, store *recordStore, routers []*chronicler.Chronicler, versions ...string) {
	batch, err := store.Range(context.Background(), prefix, bergamotdale.Position{})
	assert.NilError(t, err)
	for _, c := range routers {
		c.Apply(batch)
		c.Observe(stateOf(versions...))
	}
}

func awaitListed(t *testing.T, c *chronicler.Chronicler, version string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.IsListed(service, version) {
			return poll.Success()
		}
		return poll.Continue("%s is not listed", version)
	}, poll.WithDelay(5*time.Millisecond))
}

// Guards against a fleet that writes the same change once for each router, and against
// a version that is not listed because the first router has ended.
func TestOneRouterWritesAChange(t *testing.T) {
	store := newRecordStore()
	routers := startRouters(t, store, 3, true)
	apply(t, store, routers, "v1")
	awaitListed(t, routers[0], "v1")
	apply(t, store, routers, "v1")
	assert.Equal(t, store.writeCount(), 1)
	evidence, err := routers[2].Look(context.Background(), "stream", service)
	assert.NilError(t, err)
	assert.DeepEqual(t, evidence.Versions, []string{"v1"})
	assert.Assert(t, evidence.Complete)
	// Only the others see the next version.
	apply(t, store, routers[1:], "v1", "v2")
	awaitListed(t, routers[1], "v2")
	assert.Assert(t, routers[1].IsMixed(service))
	assert.Equal(t, store.writeCount(), 2)
	// The first one has read it, but not yet the other version.
	evidence, err = routers[0].Look(context.Background(), "stream", service)
	assert.NilError(t, err)
	assert.Assert(t, evidence.Complete && routers[0].IsMixed(service))
}

// Guards against a silent store that is taken for one that lists nothing, and against a
// write that is given up.
func TestSilentStoreIsNoWord(t *testing.T) {
	store := newRecordStore()
	routers := startRouters(t, store, 1, true)
	apply(t, store, routers, "v1")
	awaitListed(t, routers[0], "v1")
	store.setSilent(true)
	routers[0].Observe(stateOf("v1", "v2"))
	_, err := routers[0].Look(context.Background(), "stream", service)
	assert.Assert(t, errors.Is(err, bergamotdale.ErrUnavailable), "%v", err)
	store.setSilent(false)
	// The endpoints show a version that the document lacks.
	if evidence, err := routers[0].Look(context.Background(), "stream", service); err == nil && !routers[0].IsListed(service, "v2") {
		assert.Assert(t, !evidence.Complete)
	}
	awaitListed(t, routers[0], "v2")
}

// FuzzDocument feeds documents of another writer.
func FuzzDocument(f *testing.F) {
	f.Add([]byte(`{"era":1,"complete":true,"services":{"s":["v1"]}}`))
	f.Add([]byte(`{"services":{"s":null},"era":1e400}`))
	f.Add([]byte(strings.Repeat(`{"services":`, 20000)))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := chronicler.New("router-0", bergamotdale.SystemClock{})
		c.Prefix = prefix
		c.Apply(bergamotdale.Batch{Era: 1, Entries: []bergamotdale.Entry{{Key: prefix + "versions", Value: data, Version: 1}}})
		if c.IsListed(service, "v1") {
			var d chronicler.Document
			assert.NilError(t, json.Unmarshal(data, &d))
		}
	})
}
