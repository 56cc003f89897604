package follower

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/reviser"
)

// bounded returns a context that is done after d on the follower's clock.
func (f *Follower) bounded(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	expired := f.Clock.After(d)
	go func() {
		select {
		case <-expired:
			cancel()
		case <-bounded.Done():
		}
	}()
	return bounded, cancel
}

// get reads a key of the store within callTimeout.
func (f *Follower) get(ctx context.Context, key string) (bergamotdale.Entry, error) {
	ctx, cancel := f.bounded(ctx, callTimeout)
	defer cancel()
	entry, err := f.Store.Get(ctx, key)
	f.noteStore(err)
	return entry, err
}

func (f *Follower) noteStore(err error) {
	if err == nil || isNotFound(err) || errors.Is(err, bergamotdale.ErrConflict) {
		now := f.Clock.Now()
		f.storeSeen.Store(&now)
	}
}

// boundedStore is the store with callTimeout on each call. A write that is
// given up may be on its way, so its outcome is ambiguous.
type boundedStore struct{ f *Follower }

var _ reviser.Store = boundedStore{}

// Get implements reviser.Store.
func (s boundedStore) Get(ctx context.Context, key string) (bergamotdale.Entry, error) {
	return s.f.get(ctx, key)
}

// CompareAndSwap implements reviser.Store.
func (s boundedStore) CompareAndSwap(ctx context.Context, key string, value []byte, version int64) (bergamotdale.Entry, error) {
	ctx, cancel := s.f.bounded(ctx, callTimeout)
	defer cancel()
	entry, err := s.f.Store.CompareAndSwap(ctx, key, value, version)
	s.f.noteStore(err)
	if err != nil && ctx.Err() != nil {
		err = bergamotdale.ErrAmbiguous
	}
	return entry, err
}

// Delete implements reviser.Store.
func (s boundedStore) Delete(ctx context.Context, key string, version int64) error {
	ctx, cancel := s.f.bounded(ctx, callTimeout)
	defer cancel()
	return s.f.Store.Delete(ctx, key, version)
}
