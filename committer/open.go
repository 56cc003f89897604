package committer

import (
	"bytes"
	"context"
	"crypto/rand"
	"maps"
	"slices"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// openAttempts bounds how often Open starts again after another writer changed
// the journal while it was being read.
const openAttempts = 5

// Open takes the shard over: it reads the journal and fences the previous
// owner with one compare-and-swap. It returns ErrFenced if the journal has a
// later epoch, or the same epoch with another owner. After any other error the
// caller may try again under the same epoch.
func Open(ctx context.Context, settings Settings) (*Shard, error) {
	settings = settings.withDefaults()
	if settings.Lifetime <= settings.CallTimeout {
		return nil, errors.Errorf("lifetime %v of records is not above the call timeout %v",
			settings.Lifetime, settings.CallTimeout)
	}
	s := newShard(settings)
	// 60 random bits, in every head and in the key of every segment.
	instance := rand.Text()[:12]
	for range openAttempts {
		err := s.takeOver(ctx, instance)
		if err == nil {
			return s, nil
		}
		if !errors.Is(err, bergamotdale.ErrConflict) && !errors.Is(err, errNotLanded) {
			return nil, err
		}
	}
	return nil, errors.Annotatef(bergamotdale.ErrAmbiguous, "shard %d is not taken over", settings.Number)
}

// takeOver reads the journal once and tries to fence. It returns ErrConflict
// where the journal changed in between, and errNotLanded where the fence has had
// no effect so far.
func (s *Shard) takeOver(ctx context.Context, instance string) error {
	// The listing comes before the head. A segment that it holds and the head
	// does not list was never committed, and once the head is fenced it never
	// will be, so it can be deleted.
	listed, err := s.list(ctx)
	if err != nil {
		return err
	}
	previous, err := s.get(ctx, headKey(s.settings.Number))
	if err != nil && !errors.Is(err, bergamotdale.ErrNotFound) {
		return err
	}
	j, err := s.read(previous, listed)
	if err != nil {
		return err
	}
	j.head.Epoch = s.settings.Epoch
	j.head.Owner = s.settings.Owner
	j.head.Instance = instance
	j.head.Sequence = 0
	p, err := j.propose(nil, nil, j.now(s.settings.Clock.Now()))
	if err != nil {
		return err
	}
	written, err := s.swap(ctx, headKey(s.settings.Number), p.value, previous.Version)
	if err != nil {
		return err
	}
	if err := j.apply(p, j.now(s.settings.Clock.Now())); err != nil {
		return err
	}
	s.journal = j
	s.version = written.Version
	s.garbage = s.orphans(listed)
	return nil
}

// read builds the journal from the head and the listed segments.
func (s *Shard) read(previous bergamotdale.Entry, listed map[string]bergamotdale.Entry) (*journal, error) {
	j := newJournal(s.settings.Lifetime)
	if previous.Version == 0 {
		return j, nil
	}
	h, lines, err := decodeHead(previous.Value)
	if err != nil {
		return nil, err
	}
	if h.Epoch > s.settings.Epoch || (h.Epoch == s.settings.Epoch && h.Owner != s.settings.Owner) {
		return nil, errors.Annotatef(ErrFenced, "shard %d has epoch %d of %s", s.settings.Number, h.Epoch, h.Owner)
	}
	j.head = h
	now := s.settings.Clock.Now().UnixMilli()
	for i, sealed := range h.Sealed {
		e, ok := listed[segmentKey(s.settings.Number, sealed)]
		if !ok {
			// Sealed or deleted after the listing: the head is newer.
			return nil, bergamotdale.ErrConflict
		}
		h.Sealed[i].version = e.Version
		_, body, ok := bytes.Cut(e.Value, []byte("\n"))
		if !ok {
			return nil, errors.Annotatef(ErrCorrupt, "segment %s", e.Key)
		}
		if err := j.load(sealed.Number, body, now); err != nil {
			return nil, errors.Annotatef(err, "segment %s", e.Key)
		}
	}
	if err := j.load(h.Number, lines, now); err != nil {
		return nil, errors.Annotatef(err, "head of shard %d", s.settings.Number)
	}
	return j, nil
}

// orphans returns the listed segments that the journal does not hold: expired
// ones, and those whose writer was fenced before it could commit them.
func (s *Shard) orphans(listed map[string]bergamotdale.Entry) []bergamotdale.Entry {
	for _, kept := range s.journal.head.Sealed {
		delete(listed, segmentKey(s.settings.Number, kept))
	}
	return slices.Collect(maps.Values(listed))
}
