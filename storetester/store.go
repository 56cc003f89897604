package storetester

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// Op names a method of the store.
type Op string

// The methods of the store.
const (
	OpGet            Op = "get"
	OpList           Op = "list"
	OpCompareAndSwap Op = "compare-and-swap"
	OpDelete         Op = "delete"
	OpWatch          Op = "watch"
	OpGrantLease     Op = "grant-lease"
	OpRenewLease     Op = "renew-lease"
	OpRevokeLease    Op = "revoke-lease"
	OpPutWithLease   Op = "put-with-lease"
)

// MaxValueBytes is the size of the largest value that the platform's store accepts.
const MaxValueBytes = 1 << 20

// Store is an in-memory bergamotdale.Store. It is safe for concurrent use.
type Store struct {
	// BeforeCall, if not nil, runs before each call. The store holds no lock then,
	// so that BeforeCall may call the store itself. If it returns an error, the
	// call returns this error and has no effect. It must be set before the store is
	// used.
	BeforeCall func(op Op, key string) error

	clock bergamotdale.Clock

	mu      sync.Mutex
	entries map[string]record
	leases  map[bergamotdale.LeaseID]lease
	// index is the modification index of the last change.
	index int64
	// era is the number of restores, plus one.
	era int64
	// callCounts holds the number of calls of each method.
	callCounts map[Op]int
	faults
	// changed is closed and replaced after every change of keys or faults.
	changed chan struct{}
}

// record is an entry with the lease that it is attached to, which is empty if there
// is none.
type record struct {
	bergamotdale.Entry
	lease bergamotdale.LeaseID
}

// lease is a lease that has not ended. Its entries are deleted when it ends.
type lease struct {
	ttl    time.Duration
	expiry time.Time
}

var _ bergamotdale.Store = (*Store)(nil)

// New returns an empty store that uses the clock for leases and watches.
func New(c bergamotdale.Clock) *Store {
	return &Store{
		clock:      c,
		era:        1,
		entries:    map[string]record{},
		leases:     map[bergamotdale.LeaseID]lease{},
		callCounts: map[Op]int{},
		changed:    make(chan struct{}),
	}
}

// Count returns how often a method was called. It includes failed calls, but not
// those that BeforeCall failed.
func (s *Store) Count(op Op) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callCounts[op]
}

// Get implements bergamotdale.Store.
func (s *Store) Get(ctx context.Context, key string) (bergamotdale.Entry, error) {
	if err := s.beginCall(ctx, OpGet, key); err != nil {
		return bergamotdale.Entry{}, err
	}
	defer s.mu.Unlock()
	return s.lookup(key)
}

// List implements bergamotdale.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]bergamotdale.Entry, error) {
	if err := s.beginCall(ctx, OpList, prefix); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	var found []bergamotdale.Entry
	for key, r := range s.entries {
		if strings.HasPrefix(key, prefix) {
			found = append(found, r.copy())
		}
	}
	slices.SortFunc(found, func(a, b bergamotdale.Entry) int { return strings.Compare(a.Key, b.Key) })
	return found, nil
}

// CompareAndSwap implements bergamotdale.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, version int64) (bergamotdale.Entry, error) {
	if err := s.beginCall(ctx, OpCompareAndSwap, key); err != nil {
		return bergamotdale.Entry{}, err
	}
	defer s.mu.Unlock()
	if len(value) > MaxValueBytes {
		return bergamotdale.Entry{}, errors.Errorf("value of key %s has %d bytes, but the limit is %d", key, len(value), MaxValueBytes)
	}
	if s.takeLostRequest() {
		return bergamotdale.Entry{}, bergamotdale.ErrAmbiguous
	}
	if s.entries[key].Version != version {
		return bergamotdale.Entry{}, s.respond(bergamotdale.ErrConflict)
	}
	s.put(key, value, s.entries[key].lease)
	return s.entries[key].copy(), s.respond(nil)
}

// Delete implements bergamotdale.Store.
func (s *Store) Delete(ctx context.Context, key string, version int64) error {
	if err := s.beginCall(ctx, OpDelete, key); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if s.takeLostRequest() {
		return bergamotdale.ErrAmbiguous
	}
	r, ok := s.entries[key]
	switch {
	case !ok:
		return s.respond(bergamotdale.ErrNotFound)
	case r.Version != version:
		return s.respond(bergamotdale.ErrConflict)
	}
	s.remove(key)
	return s.respond(nil)
}

// Watch implements bergamotdale.Store. With after zero, which means that the caller
// has not seen the key, it waits for a missing key as for an unchanged one. With
// another value, a missing key was deleted since, and Watch returns ErrNotFound at
// once.
func (s *Store) Watch(ctx context.Context, key string, after int64, wait time.Duration) (bergamotdale.Entry, error) {
	if err := s.beginCall(ctx, OpWatch, key); err != nil {
		return bergamotdale.Entry{}, err
	}
	timeout := s.clock.After(wait)
	era := s.era
	for {
		e, err := s.lookup(key)
		changed := s.changed
		s.mu.Unlock()
		if e.Version > after || (err != nil && after > 0) {
			return e, err
		}
		select {
		case <-ctx.Done():
			return bergamotdale.Entry{}, ctx.Err()
		case <-timeout:
			return e, err
		case <-changed:
		}
		s.mu.Lock()
		if s.outage {
			s.mu.Unlock()
			return bergamotdale.Entry{}, bergamotdale.ErrUnavailable
		}
		if s.era != era {
			s.mu.Unlock()
			return bergamotdale.Entry{}, errRestored
		}
	}
}

// GrantLease implements bergamotdale.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (bergamotdale.LeaseID, error) {
	if err := s.beginCall(ctx, OpGrantLease, ""); err != nil {
		return "", err
	}
	defer s.mu.Unlock()
	if s.takeLostRequest() {
		return "", bergamotdale.ErrAmbiguous
	}
	s.index++
	id := bergamotdale.LeaseID(fmt.Sprintf("lease-%d", s.index))
	s.leases[id] = lease{ttl, s.clock.Now().Add(ttl)}
	if err := s.respond(nil); err != nil {
		return "", err
	}
	return id, nil
}

// RenewLease implements bergamotdale.Store.
func (s *Store) RenewLease(ctx context.Context, id bergamotdale.LeaseID) error {
	if err := s.beginCall(ctx, OpRenewLease, string(id)); err != nil {
		return err
	}
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return bergamotdale.ErrNotFound
	}
	l.expiry = s.clock.Now().Add(l.ttl)
	s.leases[id] = l
	return s.respond(nil)
}

// RevokeLease implements bergamotdale.Store.
func (s *Store) RevokeLease(ctx context.Context, id bergamotdale.LeaseID) error {
	if err := s.beginCall(ctx, OpRevokeLease, string(id)); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return bergamotdale.ErrNotFound
	}
	s.endLease(id)
	return s.respond(nil)
}

// PutWithLease implements bergamotdale.Store.
func (s *Store) PutWithLease(ctx context.Context, key string, value []byte, id bergamotdale.LeaseID) error {
	if err := s.beginCall(ctx, OpPutWithLease, key); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if s.takeLostRequest() {
		return bergamotdale.ErrAmbiguous
	}
	if _, ok := s.leases[id]; !ok {
		return s.respond(bergamotdale.ErrNotFound)
	}
	s.put(key, value, id)
	return s.respond(nil)
}

// beginCall starts a call: it runs BeforeCall, counts the call, ends expired leases and
// fails during an outage. It returns with s.mu locked unless it returns an error.
func (s *Store) beginCall(ctx context.Context, op Op, key string) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if s.BeforeCall != nil {
		if err := s.BeforeCall(op, key); err != nil {
			return err
		}
	}
	s.mu.Lock()
	s.callCounts[op]++
	s.expireLeases()
	if s.outage {
		s.mu.Unlock()
		return bergamotdale.ErrUnavailable
	}
	return nil
}

// expireLeases ends the leases whose time has passed.
func (s *Store) expireLeases() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if now.After(l.expiry) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and the entries attached to it.
func (s *Store) endLease(id bergamotdale.LeaseID) {
	delete(s.leases, id)
	for key, r := range s.entries {
		if r.lease == id {
			s.remove(key)
		}
	}
}

// put writes an entry with the next modification index and wakes the watches.
func (s *Store) put(key string, value []byte, id bergamotdale.LeaseID) {
	s.index++
	s.entries[key] = record{
		Entry: bergamotdale.Entry{Key: key, Value: slices.Clone(value), Version: s.index},
		lease: id,
	}
	s.notify()
}

// remove deletes an entry and wakes the watches.
func (s *Store) remove(key string) {
	s.index++
	delete(s.entries, key)
	s.notify()
}

// lookup returns a copy of the entry of the key, or ErrNotFound.
func (s *Store) lookup(key string) (bergamotdale.Entry, error) {
	r, ok := s.entries[key]
	if !ok {
		return bergamotdale.Entry{}, bergamotdale.ErrNotFound
	}
	return r.copy(), nil
}

// notify wakes the blocked watches, which check for changes and an outage.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copy returns the entry with a value that the caller may modify.
func (r record) copy() bergamotdale.Entry {
	e := r.Entry
	e.Value = slices.Clone(e.Value)
	return e
}
