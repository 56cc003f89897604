package reviser

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/splitter"
)

// commit writes the sections and the head of one new revision.
//
// Sections are deleted once no revision of the history needs them. A writer
// that is about to reference a section must not lose it to such a deletion:
//
//   - A section that its base head references is safe, because a deletion is
//     preceded by a change of the head, after which the writer's own
//     compare-and-swap of the head fails.
//   - Any other section is written, or touched (written again) if it exists.
//     Both raise its version, and a deletion names the version that the section
//     had before the head stopped referencing it, so it fails.
type commit struct {
	reviser *Reviser
	base    *Head
	// version is the version of the head's key that base was read with.
	version int64
	next    *Head
	// restore is true if the store has lost base; nothing that base references
	// is then taken to exist.
	restore bool
	// created holds the versions of sections that this commit created.
	created map[string]int64
}

// maxAttempts bounds the repetitions of a write with an ambiguous outcome or
// of a touch that races with another writer.
const maxAttempts = 8

// settlePause separates the attempts to find out whether the head was written.
// Eight of them cover a short outage within the time an operator waits.
const settlePause = 250 * time.Millisecond

// run reports whether the new head was accepted; otherwise another one was.
func (c *commit) run(ctx context.Context, sections []splitter.Section) (bool, error) {
	c.created = map[string]int64{}
	referenced := map[string]bool{}
	if !c.restore {
		referenced = c.base.references()
	}
	for _, s := range sections {
		if referenced[s.Hash] {
			continue
		}
		if err := c.putSection(ctx, s); err != nil {
			c.removeCreated(ctx)
			return false, refuse(err, bergamotdale.OutcomeNotRun)
		}
		referenced[s.Hash] = true
	}
	obsolete := c.obsolete(ctx)
	won, err := c.swapHead(ctx)
	switch {
	case err != nil:
		return false, err
	case !won:
		c.removeCreated(ctx)
		return false, nil
	}
	c.remove(ctx, obsolete)
	return true, nil
}

// putSection makes sure that the section exists with a version of this commit.
func (c *commit) putSection(ctx context.Context, s splitter.Section) error {
	key := SectionKey(s.Hash)
	var version int64
	var last error
	for range maxAttempts {
		written, err := c.reviser.Store.CompareAndSwap(ctx, key, s.Data, version)
		switch {
		case err == nil:
			if version == 0 {
				c.created[s.Hash] = written.Version
			}
			return nil
		case !errors.Is(err, bergamotdale.ErrConflict) && !errors.Is(err, bergamotdale.ErrAmbiguous):
			return err
		}
		last = err
		existing, err := c.reviser.Store.Get(ctx, key)
		if err != nil && !isNotFound(err) {
			return err
		}
		version = existing.Version
	}
	return errors.Annotatef(last, "section %s after %d attempts", s.Name, maxAttempts)
}

// swapHead reports whether the new head took effect. While the head is
// unchanged after an ambiguous write the same write is repeated: both carry one
// version and one nonce, so at most one of them takes effect.
func (c *commit) swapHead(ctx context.Context) (bool, error) {
	value, err := c.next.encode()
	if err != nil {
		return false, err
	}
	ambiguous := false
	for range maxAttempts {
		_, err = c.reviser.Store.CompareAndSwap(ctx, HeadKey, value, c.version)
		switch {
		case err == nil:
			return true, nil
		case errors.Is(err, bergamotdale.ErrConflict):
			// An earlier ambiguous attempt of this commit may be the other one.
			won, known := c.settle(ctx)
			if known || !ambiguous {
				return won, nil
			}
		case !errors.Is(err, bergamotdale.ErrAmbiguous) && !ambiguous:
			return false, refuse(err, bergamotdale.OutcomeNotRun)
		default:
			ambiguous = true
			if won, known := c.settle(ctx); known {
				return won, nil
			}
		}
		if bergamotdale.Wait(ctx, c.reviser.Clock, settlePause) != nil {
			break
		}
	}
	return false, refuse(err, bergamotdale.OutcomeUnknown)
}

// settle reads the head back. It reports whether the new head took effect, and
// false for known if the head is unchanged or cannot be read.
func (c *commit) settle(ctx context.Context) (won, known bool) {
	entry, err := c.reviser.Store.Get(ctx, HeadKey)
	if err != nil || entry.Version == c.version {
		return false, false
	}
	head, err := DecodeHead(entry.Value)
	if err != nil {
		return false, false
	}
	change, ok := head.change(c.next.Revision)
	return ok && change.Nonce == c.next.Nonce(), true
}

// obsolete returns the versions of the sections that the new head no longer
// references.
func (c *commit) obsolete(ctx context.Context) map[string]int64 {
	versions := map[string]int64{}
	if c.base == nil || c.restore {
		return versions
	}
	for _, hash := range c.base.dropped(c.next) {
		if entry, err := c.reviser.Store.Get(ctx, SectionKey(hash)); err == nil {
			versions[hash] = entry.Version
		}
	}
	return versions
}

// removeCreated deletes the sections that only a rejected revision needed.
// Sections that it merely touched are left to the writer that created them.
func (c *commit) removeCreated(ctx context.Context) {
	c.remove(ctx, c.created)
}

// remove deletes sections that still have the version. A failure leaves an
// unreferenced section behind, which costs only space.
func (c *commit) remove(ctx context.Context, versions map[string]int64) {
	for hash, version := range versions {
		err := c.reviser.Store.Delete(ctx, SectionKey(hash), version)
		if err != nil && !errors.Is(err, bergamotdale.ErrConflict) {
			c.reviser.Logger.Info("obsolete configuration section left in the store",
				zap.String("section", hash), zap.Error(err))
		}
	}
}

func sortedKeys(m map[string]string) []string {
	return slices.Sorted(maps.Keys(m))
}
