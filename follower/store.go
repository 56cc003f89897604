package follower

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/reviser"
)

// withTimeout returns a context that is cancelled after d on the follower's
// clock. context.WithTimeout would use the system clock, which tests replace.
func (f *Follower) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
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

// getFromStore reads a key of the store with callTimeout.
func (f *Follower) getFromStore(ctx context.Context, key string) (bergamotdale.Entry, error) {
	ctx, cancel := f.withTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := f.Store.Get(ctx, key)
	f.noteStoreResponse(err)
	return entry, err
}

// noteStoreResponse updates lastStoreResponse if the error of a call shows that
// the store responded to it.
func (f *Follower) noteStoreResponse(err error) {
	if err == nil || isNotFound(err) || errors.Is(err, bergamotdale.ErrConflict) {
		now := f.Clock.Now()
		f.lastStoreResponse.Store(&now)
	}
}

// storeWithTimeouts applies callTimeout to each call to the store. A write that
// times out may still take effect, so it returns ErrAmbiguous.
type storeWithTimeouts struct{ f *Follower }

var _ reviser.Store = storeWithTimeouts{}

// Get implements reviser.Store.
func (s storeWithTimeouts) Get(ctx context.Context, key string) (bergamotdale.Entry, error) {
	return s.f.getFromStore(ctx, key)
}

// CompareAndSwap implements reviser.Store.
func (s storeWithTimeouts) CompareAndSwap(ctx context.Context, key string, value []byte, version int64) (bergamotdale.Entry, error) {
	ctx, cancel := s.f.withTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := s.f.Store.CompareAndSwap(ctx, key, value, version)
	s.f.noteStoreResponse(err)
	if err != nil && ctx.Err() != nil {
		err = bergamotdale.ErrAmbiguous
	}
	return entry, err
}

// Delete implements reviser.Store.
func (s storeWithTimeouts) Delete(ctx context.Context, key string, version int64) error {
	ctx, cancel := s.f.withTimeout(ctx, callTimeout)
	defer cancel()
	return s.f.Store.Delete(ctx, key, version)
}
