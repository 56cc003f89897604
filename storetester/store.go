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

// MaxValueBytes is the largest value that the platform's store accepts.
const MaxValueBytes = 1 << 20

// Store is an in-memory bergamotdale.Store. It is safe for concurrent use.
type Store struct {
	// BeforeCall runs before each call, without any lock held, so that it may
	// call the store itself. A non-nil error is returned to the caller and the
	// call has no effect. It is set before the store is used.
	BeforeCall func(op Op, key string) error

	clock bergamotdale.Clock

	mu      sync.Mutex
	entries map[string]record
	leases  map[bergamotdale.LeaseID]lease
	// index is the modification index of the last change.
	index  int64
	counts map[Op]int
	faults
	// changed is closed and replaced after every change of keys or faults.
	changed chan struct{}
}

type record struct {
	bergamotdale.Entry
	lease bergamotdale.LeaseID
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

var _ bergamotdale.Store = (*Store)(nil)

// New returns an empty store whose leases and waits run on the clock.
func New(c bergamotdale.Clock) *Store {
	return &Store{
		clock:   c,
		entries: map[string]record{},
		leases:  map[bergamotdale.LeaseID]lease{},
		counts:  map[Op]int{},
		changed: make(chan struct{}),
	}
}

// Count returns how often a method was called, failed calls included.
func (s *Store) Count(op Op) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[op]
}

// Get implements bergamotdale.Store.
func (s *Store) Get(ctx context.Context, key string) (bergamotdale.Entry, error) {
	if err := s.begin(ctx, OpGet, key); err != nil {
		return bergamotdale.Entry{}, err
	}
	defer s.mu.Unlock()
	return s.entry(key)
}

// List implements bergamotdale.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]bergamotdale.Entry, error) {
	if err := s.begin(ctx, OpList, prefix); err != nil {
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
	if err := s.begin(ctx, OpCompareAndSwap, key); err != nil {
		return bergamotdale.Entry{}, err
	}
	defer s.mu.Unlock()
	if len(value) > MaxValueBytes {
		return bergamotdale.Entry{}, errors.Errorf("value of %s has %d bytes, more than %d", key, len(value), MaxValueBytes)
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
	if err := s.begin(ctx, OpDelete, key); err != nil {
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

// Watch implements bergamotdale.Store. A key that does not exist and was not
// seen before (after is zero) blocks like an unchanged one; a key that was
// deleted returns ErrNotFound at once.
func (s *Store) Watch(ctx context.Context, key string, after int64, wait time.Duration) (bergamotdale.Entry, error) {
	if err := s.begin(ctx, OpWatch, key); err != nil {
		return bergamotdale.Entry{}, err
	}
	timeout := s.clock.After(wait)
	for {
		e, err := s.entry(key)
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
	}
}

// GrantLease implements bergamotdale.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (bergamotdale.LeaseID, error) {
	if err := s.begin(ctx, OpGrantLease, ""); err != nil {
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
	if err := s.begin(ctx, OpRenewLease, string(id)); err != nil {
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
	if err := s.begin(ctx, OpRevokeLease, string(id)); err != nil {
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
	if err := s.begin(ctx, OpPutWithLease, key); err != nil {
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

// begin counts the call and applies the faults. It returns with the lock held
// unless it returns an error.
func (s *Store) begin(ctx context.Context, op Op, key string) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if s.BeforeCall != nil {
		if err := s.BeforeCall(op, key); err != nil {
			return err
		}
	}
	s.mu.Lock()
	s.counts[op]++
	s.expire()
	if s.outage {
		s.mu.Unlock()
		return bergamotdale.ErrUnavailable
	}
	return nil
}

// expire ends the leases that are past their expiry.
func (s *Store) expire() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if now.After(l.expiry) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id bergamotdale.LeaseID) {
	delete(s.leases, id)
	for key, r := range s.entries {
		if r.lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) put(key string, value []byte, id bergamotdale.LeaseID) {
	s.index++
	s.entries[key] = record{
		Entry: bergamotdale.Entry{Key: key, Value: slices.Clone(value), Version: s.index},
		lease: id,
	}
	s.notify()
}

func (s *Store) remove(key string) {
	s.index++
	delete(s.entries, key)
	s.notify()
}

func (s *Store) entry(key string) (bergamotdale.Entry, error) {
	r, ok := s.entries[key]
	if !ok {
		return bergamotdale.Entry{}, bergamotdale.ErrNotFound
	}
	return r.copy(), nil
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (r record) copy() bergamotdale.Entry {
	e := r.Entry
	e.Value = slices.Clone(e.Value)
	return e
}
