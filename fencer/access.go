package fencer

import (
	"bytes"
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// withTimeout is context.WithTimeout on a clock.
func withTimeout(ctx context.Context, c bergamotdale.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	expired := c.After(d)
	go func() {
		select {
		case <-expired:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func (f *Fencer) get(ctx context.Context, key string) (bergamotdale.Entry, error) {
	ctx, cancel := withTimeout(ctx, f.settings.Clock, f.settings.Timeout)
	defer cancel()
	e, err := f.settings.Store.Get(ctx, key)
	return e, errors.Trace(err)
}

func (f *Fencer) compareAndSwap(ctx context.Context, key string, value []byte, version int64) (bergamotdale.Entry, error) {
	ctx, cancel := withTimeout(ctx, f.settings.Clock, f.settings.Timeout)
	defer cancel()
	return f.settings.Store.CompareAndSwap(ctx, key, value, version)
}

// swap writes a value that is unique by its instance and sequence. It settles
// an ambiguous result by reading the key back. It returns the entry written,
// ErrConflict with the present entry where the key holds another value,
// ErrUnavailable where the store did not execute the write, errNotLanded where
// it has had no effect so far, and ErrAmbiguous where the key cannot be read.
func (f *Fencer) swap(ctx context.Context, key string, value []byte, version int64) (bergamotdale.Entry, error) {
	e, err := f.compareAndSwap(ctx, key, value, version)
	// The entry is compared with the value, because a store that reports no
	// version with the write has to be read, and the entry read may be the
	// write of the next owner.
	if err == nil && e.Version != 0 && bytes.Equal(e.Value, value) {
		return e, nil
	}
	if errors.Is(err, bergamotdale.ErrUnavailable) {
		return e, errors.Trace(err)
	}
	present, readErr := f.get(ctx, key)
	if readErr != nil && !errors.Is(readErr, bergamotdale.ErrNotFound) {
		return present, errors.Annotatef(bergamotdale.ErrAmbiguous, "%s: write %v, read %v", key, err, readErr)
	}
	if bytes.Equal(present.Value, value) {
		return present, nil
	}
	if present.Version == version && !errors.Is(err, bergamotdale.ErrConflict) {
		return present, errors.Annotatef(errNotLanded, "%s: %v", key, err)
	}
	return present, errors.Annotatef(bergamotdale.ErrConflict, "%s", key)
}
