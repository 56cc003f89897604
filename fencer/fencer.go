// Package fencer reads and writes the journal of one idempotency shard in the
// store such that only the latest owner can write.
//
// A journal consists of a head, which changes with each commit, and immutable
// segments under keys of their own. Every write of the head is a compare-and-swap
// on the version that this owner wrote last. Once a new owner has written the
// head, all writes of the previous owner fail, even those that reach the store
// late. This is called fencing the previous owner.
//
// If the result of a write is ambiguous, for example after a timeout, the fencer
// reads the key back. Values are unique by the instance (a random ID that each
// Open creates) and the sequence in them, so the value tells whether the write
// took effect.
package fencer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/journaler"
)

const (
	// ErrFenced is returned when another owner has taken the shard over.
	ErrFenced = errors.ConstError("shard taken over by another owner")
	// errNotApplied is returned for a write that had not taken effect when its key
	// was read back. It may still take effect later.
	errNotApplied = errors.ConstError("write has not taken effect yet")
)

// writeAttempts is the maximum number of attempts to write one head. An attempt
// is repeated if it has not taken effect yet, or if it conflicts with an earlier
// write of this owner that reached the store late.
const writeAttempts = 3

// Settings configure a Fencer.
type Settings struct {
	// Shard is the number of the shard.
	Shard int
	// Epoch is the ownership epoch, which grows with each change of owner.
	Epoch int64
	// Owner identifies the owning process: the ID of a router with its
	// incarnation. No two processes have the same.
	Owner string
	Store bergamotdale.Store
	Clock bergamotdale.Clock
	// Lifetime is how long the journal keeps a record.
	Lifetime time.Duration
	// Timeout limits each access to the store except the listing by Open.
	Timeout time.Duration
	// Interval is the minimum average time between two writes, and Burst the
	// number of writes that may follow each other without delay after a pause.
	// NotBefore tells when they allow the next write; the caller waits for it.
	Interval time.Duration
	Burst    int
}

// Stats counts the writes to the store, including failed ones.
type Stats struct {
	HeadWrites, SegmentWrites, Deletes int64
	// Bytes is the total size of the values written.
	Bytes int64
}

// Fencer gives one owner access to the journal of a shard. All methods except
// ReadSegment and Stats must be called from one goroutine.
type Fencer struct {
	settings Settings
	// instance is the random ID of this Fencer.
	instance string
	// version is the version of the last known head written by this owner.
	version int64
	// era is the era of the store in which version was read or written. A version of
	// an earlier era may have been given out again, to a head of another owner.
	era int64
	// previous is the head that this owner replaced when it opened the shard.
	previous journaler.Head
	// garbage holds the stored segments that the committed head does not list,
	// which are to be deleted.
	garbage []bergamotdale.Entry
	// notBefore is the earliest time at which the interval and the burst allow
	// the next write.
	notBefore time.Time

	headWrites, segmentWrites, deletes, bytes atomic.Int64
}

// NotBefore returns the earliest time at which the interval and the burst allow
// the next write.
func (f *Fencer) NotBefore() time.Time {
	return f.notBefore
}

// Stats returns the current counts.
func (f *Fencer) Stats() Stats {
	return Stats{
		HeadWrites:    f.headWrites.Load(),
		SegmentWrites: f.segmentWrites.Load(),
		Deletes:       f.deletes.Load(),
		Bytes:         f.bytes.Load(),
	}
}

// accountWrite counts a write and moves notBefore, as a token bucket of size
// Burst that gains a token each Interval.
func (f *Fencer) accountWrite(writes *atomic.Int64, bytes int) {
	writes.Add(1)
	f.bytes.Add(int64(bytes))
	burstAllowance := time.Duration(f.settings.Burst-1) * f.settings.Interval
	earliest := f.settings.Clock.Now().Add(-burstAllowance)
	if f.notBefore.Before(earliest) {
		f.notBefore = earliest
	}
	f.notBefore = f.notBefore.Add(f.settings.Interval)
}

// StoreSegment stores a sealed segment under its own key and returns it with its
// version. The next head has to list the segment.
func (f *Fencer) StoreSegment(ctx context.Context, s journaler.Segment, lines []byte) (journaler.Segment, error) {
	value, err := s.Encode(lines)
	if err != nil {
		return s, err
	}
	f.accountWrite(&f.segmentWrites, len(value))
	stored, err := f.swapAndVerify(ctx, s.Key(f.settings.Shard), value, 0)
	s.Version = stored.Version
	return s, err
}

// WriteHead stores a head. It returns ErrFenced if the stored head belongs to
// another owner. After any other error the write may still take effect, until
// another write of the head does.
func (f *Fencer) WriteHead(ctx context.Context, value []byte) error {
	if bergamotdale.StoreEra(f.settings.Store) != f.era {
		// The store was restored from a copy.
		if err := f.ProbeHead(ctx); err != nil {
			return err
		}
	}
	var err error
	for range writeAttempts {
		f.accountWrite(&f.headWrites, len(value))
		var current bergamotdale.Entry
		current, err = f.swapAndVerify(ctx, journaler.HeadKey(f.settings.Shard), value, f.version)
		switch {
		case err == nil:
			f.version = current.Version
			return nil
		case errors.Is(err, bergamotdale.ErrConflict):
			// The conflict may be with an earlier write of this owner that reached
			// the store late.
			if err := f.adoptVersion(current); err != nil {
				return err
			}
		case !errors.Is(err, errNotApplied):
			return err
		}
	}
	return err
}

// ProbeHead checks that the store can be reached and that the stored head belongs
// to this owner. It returns ErrFenced if the head does not.
func (f *Fencer) ProbeHead(ctx context.Context) error {
	era := bergamotdale.StoreEra(f.settings.Store)
	current, err := f.get(ctx, journaler.HeadKey(f.settings.Shard))
	if err != nil && !errors.Is(err, bergamotdale.ErrNotFound) {
		return err
	}
	if err := f.adoptVersion(current); err != nil {
		return err
	}
	f.era = era
	return nil
}

// adoptVersion sets the version for the next write to that of the current head if
// this owner wrote it. It returns ErrFenced for any other head.
func (f *Fencer) adoptVersion(current bergamotdale.Entry) error {
	h, _, err := journaler.DecodeHead(current.Value)
	if f.isRestoredPrevious(current, h, err) {
		f.version = current.Version
		return nil
	}
	if err != nil || h.Instance != f.instance {
		return errors.Annotatef(ErrFenced, "head of shard %d has epoch %d of owner %s", f.settings.Shard, h.Epoch, h.Owner)
	}
	f.version = current.Version
	return nil
}

// isRestoredPrevious reports whether the store was restored to before this owner
// opened the shard. The journal of this owner begins with what such a head holds, so
// that writing it again loses nothing.
func (f *Fencer) isRestoredPrevious(current bergamotdale.Entry, h journaler.Head, decodeErr error) bool {
	if bergamotdale.StoreEra(f.settings.Store) == f.era {
		return false
	}
	if current.Version == 0 {
		return true
	}
	return decodeErr == nil && h.Instance == f.previous.Instance && h.Sequence <= f.previous.Sequence
}

// AddGarbage schedules the deletion of segments that no committed head lists any
// more.
func (f *Fencer) AddGarbage(segments []journaler.Segment) {
	for _, s := range segments {
		f.garbage = append(f.garbage, bergamotdale.Entry{Key: s.Key(f.settings.Shard), Version: s.Version})
	}
}

// GarbageCount returns the number of stored segments that are to be deleted.
func (f *Fencer) GarbageCount() int {
	return len(f.garbage)
}

// CollectGarbage deletes one segment that no head lists. If the deletion fails,
// the segment is tried again after the others.
func (f *Fencer) CollectGarbage(ctx context.Context) {
	if len(f.garbage) == 0 {
		return
	}
	g := f.garbage[0]
	f.garbage = f.garbage[1:]
	f.accountWrite(&f.deletes, 0)
	ctx, cancel := withTimeout(ctx, f.settings.Clock, f.settings.Timeout)
	defer cancel()
	err := f.settings.Store.Delete(ctx, g.Key, g.Version)
	if err != nil && !errors.Is(err, bergamotdale.ErrNotFound) && !errors.Is(err, bergamotdale.ErrConflict) {
		f.garbage = append(f.garbage, g)
	}
}

// ReadSegment returns the value of a sealed segment.
func (f *Fencer) ReadSegment(ctx context.Context, s journaler.Segment) ([]byte, error) {
	stored, err := f.get(ctx, s.Key(f.settings.Shard))
	return stored.Value, err
}
