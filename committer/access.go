package committer

import (
	"bytes"
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// listTimeout bounds the listing of all segments, which may be tens of MB.
const listTimeout = 10 * time.Second

// errNotLanded is returned for a write that has had no effect when its key was
// read back. It may still take effect.
const errNotLanded = errors.ConstError("write without effect so far")

// bounded runs a call of the store with a time limit on the clock.
func (s *Shard) bounded(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, cancel := withTimeout(ctx, s.settings.Clock, s.settings.StoreTimeout)
	defer cancel()
	return f(ctx)
}

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

func (s *Shard) get(ctx context.Context, key string) (bergamotdale.Entry, error) {
	var e bergamotdale.Entry
	err := s.bounded(ctx, func(ctx context.Context) error {
		var err error
		e, err = s.settings.Store.Get(ctx, key)
		return err
	})
	return e, errors.Trace(err)
}

// list returns the stored segments by key.
func (s *Shard) list(ctx context.Context) (map[string]bergamotdale.Entry, error) {
	ctx, cancel := withTimeout(ctx, s.settings.Clock, listTimeout)
	defer cancel()
	entries, err := s.settings.Store.List(ctx, segmentPrefix(s.settings.Number))
	byKey := make(map[string]bergamotdale.Entry, len(entries))
	for _, e := range entries {
		byKey[e.Key] = e
	}
	return byKey, errors.Trace(err)
}

// swap writes a value that is unique by its instance and sequence. It settles
// an ambiguous result by reading the key back. It returns the entry written,
// ErrConflict with the present entry where the key holds another value,
// ErrUnavailable where the store did not execute the write, errNotLanded where
// it has had no effect so far, and ErrAmbiguous where the key cannot be read.
func (s *Shard) swap(ctx context.Context, key string, value []byte, version int64) (bergamotdale.Entry, error) {
	var e bergamotdale.Entry
	err := s.bounded(ctx, func(ctx context.Context) error {
		var err error
		e, err = s.settings.Store.CompareAndSwap(ctx, key, value, version)
		return err
	})
	// The entry is compared with the value, because a store that reports no
	// version with the write has to be read, and the entry read may be the
	// write of the next owner.
	if err == nil && e.Version != 0 && bytes.Equal(e.Value, value) {
		return e, nil
	}
	if errors.Is(err, bergamotdale.ErrUnavailable) {
		return e, errors.Trace(err)
	}
	present, readErr := s.get(ctx, key)
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
