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
// A section is deleted once no revision in the history references it. Another
// writer may be about to reference the same section again. Two rules prevent
// that the deletion takes it from that writer:
//
//   - A section that the writer's base head references needs no protection: a
//     deletion is preceded by a change of the head, so the writer's own
//     compare-and-swap of the head fails.
//   - Any other section is written, or rewritten with the same data if it
//     exists. Both raise its version. A deletion names the version that the
//     section had before the head stopped referencing it, so it fails.
type commit struct {
	reviser *Reviser
	base    *Head
	// version is the version of the head's key that base was read with.
	version int64
	next    *Head
	// baseLost is true if the store has lost base. The commit then assumes that
	// no section referenced by base exists and writes all sections.
	baseLost bool
	// created maps the hashes of sections that this commit created to their
	// versions.
	created map[string]int64
}

// maxAttempts bounds the attempts at a write that has an ambiguous outcome or
// races with another writer of the same section.
const maxAttempts = 8

// outcomeCheckPause separates the attempts to find out whether the head was
// written. Eight of them (maxAttempts) last long enough for a short outage of
// the store, but no longer than an operator waits.
const outcomeCheckPause = 250 * time.Millisecond

// run writes the sections and the head and then deletes obsolete sections. It
// reports false if another writer committed a head first.
func (c *commit) run(ctx context.Context, sections []splitter.Section) (bool, error) {
	c.created = map[string]int64{}
	referenced := map[string]bool{}
	if !c.baseLost {
		referenced = c.base.referencedHashes()
	}
	for _, s := range sections {
		if referenced[s.Hash] {
			continue
		}
		if err := c.putSection(ctx, s); err != nil {
			c.deleteCreated(ctx)
			return false, storeUnavailable(err, bergamotdale.OutcomeNotRun)
		}
		referenced[s.Hash] = true
	}
	obsolete := c.obsoleteVersions(ctx)
	accepted, err := c.swapHead(ctx)
	switch {
	case err != nil:
		return false, err
	case !accepted:
		c.deleteCreated(ctx)
		return false, nil
	}
	c.deleteSections(ctx, obsolete)
	return true, nil
}

// putSection creates the section, or rewrites it if it exists, so that its
// version comes from this commit.
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
	return errors.Annotatef(last, "section %s not written in %d attempts", s.Name, maxAttempts)
}

// swapHead writes the new head and reports whether it took effect. While the
// head is unchanged after an ambiguous write, the same write is repeated. Both
// carry the same nonce and expect the same version of the key, so at most one of
// them takes effect.
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
			// The conflicting write may be an earlier ambiguous attempt of this
			// commit.
			accepted, known := c.readOutcome(ctx)
			if known || !ambiguous {
				return accepted, nil
			}
		case !errors.Is(err, bergamotdale.ErrAmbiguous) && !ambiguous:
			return false, storeUnavailable(err, bergamotdale.OutcomeNotRun)
		default:
			ambiguous = true
			if accepted, known := c.readOutcome(ctx); known {
				return accepted, nil
			}
		}
		if bergamotdale.Wait(ctx, c.reviser.Clock, outcomeCheckPause) != nil {
			break
		}
	}
	return false, storeUnavailable(err, bergamotdale.OutcomeUnknown)
}

// readOutcome reads the head from the store and reports whether the new head
// took effect. known is false if the head is unchanged or cannot be read.
func (c *commit) readOutcome(ctx context.Context) (accepted, known bool) {
	entry, err := c.reviser.Store.Get(ctx, HeadKey)
	if err != nil || entry.Version == c.version {
		return false, false
	}
	head, err := DecodeHead(entry.Value)
	if err != nil {
		return false, false
	}
	change, ok := head.changeOf(c.next.Revision)
	return ok && change.Nonce == c.next.Nonce(), true
}

// obsoleteVersions returns the versions, by hash, of the sections that base
// references and the new head does not. Sections that cannot be read are left
// out.
func (c *commit) obsoleteVersions(ctx context.Context) map[string]int64 {
	versions := map[string]int64{}
	if c.base == nil || c.baseLost {
		return versions
	}
	for _, hash := range c.base.unreferencedBy(c.next) {
		if entry, err := c.reviser.Store.Get(ctx, SectionKey(hash)); err == nil {
			versions[hash] = entry.Version
		}
	}
	return versions
}

// deleteCreated deletes the sections that this commit created, after its
// revision was rejected. Sections that it only rewrote are left to the writer
// that created them.
func (c *commit) deleteCreated(ctx context.Context) {
	c.deleteSections(ctx, c.created)
}

// deleteSections deletes the sections whose version is still the given one.
// versions is keyed by hash. A failure is only logged: an unreferenced section
// takes space but does no other harm.
func (c *commit) deleteSections(ctx context.Context, versions map[string]int64) {
	for hash, version := range versions {
		err := c.reviser.Store.Delete(ctx, SectionKey(hash), version)
		if err != nil && !errors.Is(err, bergamotdale.ErrConflict) {
			c.reviser.Logger.Info("obsolete configuration section not deleted from the store",
				zap.String("section", hash), zap.Error(err))
		}
	}
}

func sortedKeys(m map[string]string) []string {
	return slices.Sorted(maps.Keys(m))
}
