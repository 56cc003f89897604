// Package fencer writes the journal of one shard to the store. Every write of
// the head is a compare-and-swap on the version that this owner wrote last, so
// a second owner ends the first one, however late a write of it arrives.
//
// A write whose result is ambiguous is settled by reading the key back: values
// are unique by the instance and the sequence in them.
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
	// ErrFenced is returned where another owner has taken the shard over.
	ErrFenced = errors.ConstError("shard taken over")
	// errNotLanded is returned for a write that has had no effect when its key
	// was read back. It may still take effect.
	errNotLanded = errors.ConstError("write without effect so far")
)

// writeAttempts bounds the writes of one head whose effect is not there yet or
// that meet an earlier write of this owner.
const writeAttempts = 3

// Settings configure a Fencer.
type Settings struct {
	Shard int
	Epoch int64
	// Owner is the router with its incarnation. Two processes never share it.
	Owner string
	Store bergamotdale.Store
	Clock bergamotdale.Clock
	// Lifetime is how long records are kept.
	Lifetime time.Duration
	// Timeout bounds each call of the store except the listing by Open.
	Timeout time.Duration
	// Interval is the least average time between two writes, and Burst the
	// number of writes that may follow each other after a pause.
	Interval time.Duration
	Burst    int
}

// Stats counts calls of the store, failed ones included.
type Stats struct {
	HeadWrites, SegmentWrites, Deletes int64
	// Bytes is the size of the values written.
	Bytes int64
}

// Fencer is the access of one owner to the journal of a shard. All methods but
// Fetch and Stats belong to one goroutine.
type Fencer struct {
	settings Settings
	instance string
	// version is the version of the last head of this owner that was seen.
	version int64
	// garbage holds stored segments that the committed head does not list.
	garbage []bergamotdale.Entry
	// notBefore is the time of the next write that the interval allows.
	notBefore time.Time

	headWrites, segmentWrites, deletes, bytes atomic.Int64
}

// NotBefore returns the time of the next write that the interval allows.
func (f *Fencer) NotBefore() time.Time {
	return f.notBefore
}

// Stats returns the present counts.
func (f *Fencer) Stats() Stats {
	return Stats{
		HeadWrites:    f.headWrites.Load(),
		SegmentWrites: f.segmentWrites.Load(),
		Deletes:       f.deletes.Load(),
		Bytes:         f.bytes.Load(),
	}
}

// charge accounts for a write under the interval and the burst.
func (f *Fencer) charge(writes *atomic.Int64, bytes int) {
	writes.Add(1)
	f.bytes.Add(int64(bytes))
	saved := time.Duration(f.settings.Burst-1) * f.settings.Interval
	earliest := f.settings.Clock.Now().Add(-saved)
	if f.notBefore.Before(earliest) {
		f.notBefore = earliest
	}
	f.notBefore = f.notBefore.Add(f.settings.Interval)
}

// Seal stores a sealed segment and returns it with its version. The next head
// has to list it.
func (f *Fencer) Seal(ctx context.Context, s journaler.Segment, lines []byte) (journaler.Segment, error) {
	value, err := s.Encode(lines)
	if err != nil {
		return s, err
	}
	f.charge(&f.segmentWrites, len(value))
	stored, err := f.swap(ctx, s.Key(f.settings.Shard), value, 0)
	s.Version = stored.Version
	return s, err
}

// Write stores a head. It returns ErrFenced where the head belongs to another
// owner. After any other error the write may still take effect until another
// one does.
func (f *Fencer) Write(ctx context.Context, value []byte) error {
	var err error
	for range writeAttempts {
		f.charge(&f.headWrites, len(value))
		var present bergamotdale.Entry
		present, err = f.swap(ctx, journaler.HeadKey(f.settings.Shard), value, f.version)
		switch {
		case err == nil:
			f.version = present.Version
			return nil
		case errors.Is(err, bergamotdale.ErrConflict):
			// An earlier write of this owner may have arrived late.
			if err := f.adopt(present); err != nil {
				return err
			}
		case !errors.Is(err, errNotLanded):
			return err
		}
	}
	return err
}

// Probe reads the head. It returns ErrFenced where it belongs to another owner.
func (f *Fencer) Probe(ctx context.Context) error {
	present, err := f.get(ctx, journaler.HeadKey(f.settings.Shard))
	if err != nil && !errors.Is(err, bergamotdale.ErrNotFound) {
		return err
	}
	return f.adopt(present)
}

// adopt takes over the version of a head that this owner wrote. It returns
// ErrFenced for any other head.
func (f *Fencer) adopt(present bergamotdale.Entry) error {
	h, _, err := journaler.DecodeHead(present.Value)
	if err != nil || h.Instance != f.instance {
		return errors.Annotatef(ErrFenced, "shard %d by epoch %d of %s", f.settings.Shard, h.Epoch, h.Owner)
	}
	f.version = present.Version
	return nil
}

// Discard hands over segments that no committed head lists any more.
func (f *Fencer) Discard(segments []journaler.Segment) {
	for _, s := range segments {
		f.garbage = append(f.garbage, bergamotdale.Entry{Key: s.Key(f.settings.Shard), Version: s.Version})
	}
}

// Garbage returns the number of stored segments that are to be deleted.
func (f *Fencer) Garbage() int {
	return len(f.garbage)
}

// Collect deletes one segment that no head lists. A failed one is tried again
// later.
func (f *Fencer) Collect(ctx context.Context) {
	if len(f.garbage) == 0 {
		return
	}
	g := f.garbage[0]
	f.garbage = f.garbage[1:]
	f.charge(&f.deletes, 0)
	ctx, cancel := withTimeout(ctx, f.settings.Clock, f.settings.Timeout)
	defer cancel()
	err := f.settings.Store.Delete(ctx, g.Key, g.Version)
	if err != nil && !errors.Is(err, bergamotdale.ErrNotFound) && !errors.Is(err, bergamotdale.ErrConflict) {
		f.garbage = append(f.garbage, g)
	}
}

// Fetch returns the value of a sealed segment.
func (f *Fencer) Fetch(ctx context.Context, s journaler.Segment) ([]byte, error) {
	stored, err := f.get(ctx, s.Key(f.settings.Shard))
	return stored.Value, err
}
