package fencer

import (
	"context"
	"crypto/rand"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/journaler"
)

const (
	// openAttempts bounds how often Open starts again after another writer
	// changed the journal while it was being read.
	openAttempts = 5
	// listTimeout bounds the listing of all segments, which may be tens of MB.
	listTimeout = 10 * time.Second
	// instanceLength gives 60 random bits. The instance is in every head and in
	// the key of every segment.
	instanceLength = 12
)

// Open takes a shard over: it reads the journal and fences the previous owner
// with one compare-and-swap. It returns ErrFenced if the journal has a later
// epoch, or the same epoch with another owner. After any other error the caller
// may try again under the same epoch.
func Open(ctx context.Context, settings Settings) (*Fencer, *journaler.Journal, error) {
	f := &Fencer{settings: settings, instance: rand.Text()[:instanceLength]}
	for range openAttempts {
		j, err := f.takeOver(ctx)
		if err == nil {
			return f, j, nil
		}
		if !errors.Is(err, bergamotdale.ErrConflict) && !errors.Is(err, errNotLanded) {
			return nil, nil, err
		}
	}
	return nil, nil, errors.Annotatef(bergamotdale.ErrAmbiguous, "shard %d is not taken over", settings.Shard)
}

// takeOver reads the journal once and tries to fence. It returns ErrConflict
// where the journal changed in between, and errNotLanded where the fence has had
// no effect so far.
func (f *Fencer) takeOver(ctx context.Context) (*journaler.Journal, error) {
	// The listing comes before the head. A segment that it holds and the head
	// does not list was never committed, and once the head is fenced it never
	// will be, so it can be deleted.
	listed, err := f.list(ctx)
	if err != nil {
		return nil, err
	}
	previous, err := f.get(ctx, journaler.HeadKey(f.settings.Shard))
	if err != nil && !errors.Is(err, bergamotdale.ErrNotFound) {
		return nil, err
	}
	j, err := f.read(previous, listed)
	if err != nil {
		return nil, err
	}
	now := j.Timestamp(f.settings.Clock.Now())
	j.SetOwner(f.settings.Epoch, f.settings.Owner, f.instance)
	p, err := j.Propose(nil, nil, now)
	if err != nil {
		return nil, err
	}
	written, err := f.swap(ctx, journaler.HeadKey(f.settings.Shard), p.Value, previous.Version)
	if err != nil {
		return nil, err
	}
	f.version = written.Version
	if err := j.Apply(p, now); err != nil {
		return nil, err
	}
	for _, kept := range j.Head().Sealed {
		delete(listed, kept.Key(f.settings.Shard))
	}
	f.garbage = slices.Collect(maps.Values(listed))
	return j, nil
}

// list returns the stored segments by key.
func (f *Fencer) list(ctx context.Context) (map[string]bergamotdale.Entry, error) {
	ctx, cancel := withTimeout(ctx, f.settings.Clock, listTimeout)
	defer cancel()
	entries, err := f.settings.Store.List(ctx, journaler.SegmentPrefix(f.settings.Shard))
	byKey := make(map[string]bergamotdale.Entry, len(entries))
	for _, e := range entries {
		byKey[e.Key] = e
	}
	return byKey, errors.Trace(err)
}

// read builds the journal from the head and the listed segments.
func (f *Fencer) read(previous bergamotdale.Entry, listed map[string]bergamotdale.Entry) (*journaler.Journal, error) {
	if previous.Version == 0 {
		return journaler.Load(journaler.Head{}, nil, nil, f.settings.Lifetime, f.settings.Clock.Now())
	}
	h, lines, err := journaler.DecodeHead(previous.Value)
	if err != nil {
		return nil, err
	}
	if h.Epoch > f.settings.Epoch || (h.Epoch == f.settings.Epoch && h.Owner != f.settings.Owner) {
		return nil, errors.Annotatef(ErrFenced, "shard %d has epoch %d of %s", f.settings.Shard, h.Epoch, h.Owner)
	}
	values := make([][]byte, len(h.Sealed))
	for i, s := range h.Sealed {
		e, ok := listed[s.Key(f.settings.Shard)]
		if !ok {
			// Sealed or deleted after the listing: the head is newer.
			return nil, bergamotdale.ErrConflict
		}
		h.Sealed[i].Version = e.Version
		values[i] = e.Value
	}
	return journaler.Load(h, lines, values, f.settings.Lifetime, f.settings.Clock.Now())
}
