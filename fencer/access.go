package fencer

import (
	"bytes"
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// withTimeout is context.WithTimeout with the given clock, except that the
// context ends with context.Canceled.
func withTimeout(ctx context.Context, clock bergamotdale.Clock, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	expired := clock.After(timeout)
	go func() {
		select {
		case <-expired:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// get reads a key within the timeout of the store.
func (f *Fencer) get(ctx context.Context, key string) (bergamotdale.Entry, error) {
	ctx, cancel := withTimeout(ctx, f.settings.Clock, f.settings.Timeout)
	defer cancel()
	e, err := f.settings.Store.Get(ctx, key)
	return e, errors.Trace(err)
}

// compareAndSwap writes a key within the timeout of the store if the key still
// has the version.
func (f *Fencer) compareAndSwap(ctx context.Context, key string, value []byte, version int64) (bergamotdale.Entry, error) {
	ctx, cancel := withTimeout(ctx, f.settings.Clock, f.settings.Timeout)
	defer cancel()
	return f.settings.Store.CompareAndSwap(ctx, key, value, version)
}

// swapAndVerify writes a value by compare-and-swap. If the result is not certain,
// it reads the key back and compares the values, which are unique by the instance
// and sequence in them. It returns the written entry, or one of these errors:
//
//   - ErrConflict, with the current entry, if the key holds another value,
//   - ErrUnavailable if the store did not execute the write,
//   - errNotApplied if the write has not taken effect so far, and
//   - ErrAmbiguous if the key could not be read back.
func (f *Fencer) swapAndVerify(ctx context.Context, key string, value []byte, version int64) (bergamotdale.Entry, error) {
	e, err := f.compareAndSwap(ctx, key, value, version)
	// Success alone does not identify the entry: a store that returns no version
	// for a write has to be read afterwards, and the entry read may be a write of
	// the next owner.
	if err == nil && e.Version != 0 && bytes.Equal(e.Value, value) {
		return e, nil
	}
	if errors.Is(err, bergamotdale.ErrUnavailable) {
		return e, errors.Trace(err)
	}
	current, readErr := f.get(ctx, key)
	if readErr != nil && !errors.Is(readErr, bergamotdale.ErrNotFound) {
		return current, errors.Annotatef(bergamotdale.ErrAmbiguous, "%s: write result: %v, read error: %v", key, err, readErr)
	}
	if bytes.Equal(current.Value, value) {
		return current, nil
	}
	if current.Version == version && !errors.Is(err, bergamotdale.ErrConflict) {
		return current, errors.Annotatef(errNotApplied, "%s: %v", key, err)
	}
	return current, errors.Annotatef(bergamotdale.ErrConflict, "%s", key)
}
