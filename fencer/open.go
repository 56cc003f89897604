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
	// openAttempts is the maximum number of takeovers that Open attempts. It
	// starts again if another writer changed the journal while it was being read,
	// or if its write has not taken effect yet.
	openAttempts = 5
	// listTimeout limits the listing of all segments, which may be tens of MB.
	listTimeout = 10 * time.Second
	// instanceLength is the length of an instance ID in base32 characters. 12
	// characters hold 60 random bits; the ID is kept short because every head and
	// the key of every segment contain it.
	instanceLength = 12
)

// Open takes ownership of a shard: it reads the journal and fences the previous
// owner with one compare-and-swap of the head. It returns ErrFenced if the
// journal has a later epoch, or the same epoch with another owner. After any
// other error the caller may try again with the same epoch.
func Open(ctx context.Context, settings Settings) (*Fencer, *journaler.Journal, error) {
	f := &Fencer{settings: settings, instance: rand.Text()[:instanceLength]}
	for range openAttempts {
		journal, err := f.takeOver(ctx)
		if err == nil {
			return f, journal, nil
		}
		if !errors.Is(err, bergamotdale.ErrConflict) && !errors.Is(err, errNotApplied) {
			return nil, nil, err
		}
	}
	return nil, nil, errors.Annotatef(bergamotdale.ErrAmbiguous, "shard %d was not taken over after several attempts", settings.Shard)
}

// takeOver reads the journal and tries to fence the previous owner once. It
// returns ErrConflict if the journal changed in between, and errNotApplied if the
// write of the head has not taken effect so far.
func (f *Fencer) takeOver(ctx context.Context) (*journaler.Journal, error) {
	// The segments are listed before the head is read. A stored segment that the
	// head does not list is not committed, and it cannot be once the previous
	// owner is fenced, so it can be deleted.
	listed, err := f.listSegments(ctx)
	if err != nil {
		return nil, err
	}
	era := bergamotdale.StoreEra(f.settings.Store)
	previous, err := f.get(ctx, journaler.HeadKey(f.settings.Shard))
	if err != nil && !errors.Is(err, bergamotdale.ErrNotFound) {
		return nil, err
	}
	journal, err := f.loadJournal(previous, listed)
	if err != nil {
		return nil, err
	}
	f.previous = journal.Head()
	now := journal.Timestamp(f.settings.Clock.Now())
	journal.SetOwner(f.settings.Epoch, f.settings.Owner, f.instance)
	proposal, err := journal.Propose(nil, nil, now)
	if err != nil {
		return nil, err
	}
	written, err := f.swapAndVerify(ctx, journaler.HeadKey(f.settings.Shard), proposal.Value, previous.Version)
	if err != nil {
		return nil, err
	}
	f.version, f.era = written.Version, era
	if err := journal.Apply(proposal, now); err != nil {
		return nil, err
	}
	for _, kept := range journal.Head().Sealed {
		delete(listed, kept.Key(f.settings.Shard))
	}
	f.garbage = slices.Collect(maps.Values(listed))
	return journal, nil
}

// listSegments returns the stored segments of the shard by key.
func (f *Fencer) listSegments(ctx context.Context) (map[string]bergamotdale.Entry, error) {
	ctx, cancel := withTimeout(ctx, f.settings.Clock, listTimeout)
	defer cancel()
	entries, err := f.settings.Store.List(ctx, journaler.SegmentPrefix(f.settings.Shard))
	byKey := make(map[string]bergamotdale.Entry, len(entries))
	for _, e := range entries {
		byKey[e.Key] = e
	}
	return byKey, errors.Trace(err)
}

// loadJournal builds the journal from the head and the listed segments. It
// returns ErrFenced if the head forbids this owner to take over, and ErrConflict
// if a segment of the head is not listed.
func (f *Fencer) loadJournal(previous bergamotdale.Entry, listed map[string]bergamotdale.Entry) (*journaler.Journal, error) {
	if previous.Version == 0 {
		return journaler.Load(journaler.Head{}, nil, nil, f.settings.Lifetime, f.settings.Clock.Now())
	}
	h, lines, err := journaler.DecodeHead(previous.Value)
	if err != nil {
		return nil, err
	}
	if h.Epoch > f.settings.Epoch || (h.Epoch == f.settings.Epoch && h.Owner != f.settings.Owner) {
		return nil, errors.Annotatef(ErrFenced, "head of shard %d has epoch %d of owner %s", f.settings.Shard, h.Epoch, h.Owner)
	}
	values := make([][]byte, len(h.Sealed))
	for i, s := range h.Sealed {
		e, ok := listed[s.Key(f.settings.Shard)]
		if !ok {
			// The segment was sealed or deleted after the listing, so the head is
			// newer than the listing.
			return nil, bergamotdale.ErrConflict
		}
		h.Sealed[i].Version = e.Version
		values[i] = e.Value
	}
	return journaler.Load(h, lines, values, f.settings.Lifetime, f.settings.Clock.Now())
}
