package reviser

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/differ"
	"github.com/bergamotdale/bergamotdale/splitter"
	"github.com/bergamotdale/bergamotdale/validator"
)

// retryAfter is the delay before a retry that a refusal of Apply advises.
const retryAfter = time.Second

// Store is the part of bergamotdale.Store that a Reviser needs. Each call has to
// return within a bounded time; a write that timed out returns ErrAmbiguous.
type Store interface {
	Get(ctx context.Context, key string) (bergamotdale.Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, version int64) (bergamotdale.Entry, error)
	Delete(ctx context.Context, key string, version int64) error
}

// Local gives access to the configuration in force on the router that the
// Reviser runs on.
type Local interface {
	// CurrentHead returns the head in force, or nil if there is none.
	CurrentHead() *Head
	// ReconstructDocument returns the document of a revision in the history of
	// the head.
	ReconstructDocument(ctx context.Context, head *Head, revision int64) (*validator.Document, error)
	// Adopt puts the revision of an accepted head in force.
	Adopt(ctx context.Context, head *Head) error
}

// Reviser commits new revisions. Its fields are set before Apply.
type Reviser struct {
	Store  Store
	Local  Local
	Clock  bergamotdale.Clock
	Logger *zap.Logger
}

// Request asks for a new revision.
type Request struct {
	// BaseRevision is the revision that the document was made from, or zero for
	// the first configuration.
	BaseRevision int64
	Document     *validator.Document
	Author       string
	Comment      string
}

// Result describes the revision in force after Apply.
type Result struct {
	Revision int64
	// Sections lists the names of the changed sections. It is empty if the
	// document equals the one in force; no revision is then made.
	Sections []string
}

// ConflictError is returned by Apply if the base revision of the request is not
// the revision in force.
type ConflictError struct {
	BaseRevision int64
	// Current is the change that led to the revision in force.
	Current         Change
	CurrentRevision int64
	// BaseKnown is false if the history no longer has the base revision.
	// SinceBase is then empty.
	BaseKnown bool
	// SinceBase lists what changed between the base revision and the revision in
	// force.
	SinceBase []differ.Difference
	// Proposed lists what the rejected document would change in the revision in
	// force. This includes reverting the changes in SinceBase.
	Proposed []differ.Difference
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration is based on revision %d, but %d is in force (%s by %s)",
		e.BaseRevision, e.CurrentRevision, e.Current.Time.Format("2006-01-02 15:04:05"), e.Current.Author)
}

// Apply commits the document as the next revision and puts it in force on this
// router. Its error is a *ConflictError, a *bergamotdale.Refusal, or describes
// what is invalid in the document. A refusal with OutcomeUnknown means that the
// store did not respond when asked whether the write took effect.
func (v *Reviser) Apply(ctx context.Context, r Request) (Result, error) {
	if _, err := validator.Compile(r.Document, r.BaseRevision+1); err != nil {
		return Result{}, err
	}
	sections, err := splitter.Split(r.Document)
	if err != nil {
		return Result{}, err
	}
	b, err := v.readBase(ctx)
	if err != nil {
		return Result{}, err
	}
	if revisionOf(b.head) != r.BaseRevision {
		return Result{}, v.conflict(ctx, r, b.head)
	}
	next := b.head.nextHead(sections, Change{
		Nonce: rand.Text(), Author: r.Author, Time: v.Clock.Now().UTC(), Comment: r.Comment,
	})
	replaced := next.History[0].Replaced
	result := Result{Revision: next.Revision, Sections: sortedKeys(replaced)}
	if len(replaced) == 0 {
		return Result{Revision: r.BaseRevision}, nil
	}
	c := &commit{reviser: v, base: b.head, version: b.version, baseLost: b.lostByStore, next: next}
	accepted, err := c.run(ctx, sections)
	if err != nil {
		return Result{}, err
	}
	if !accepted {
		return v.conflictWithAccepted(ctx, r)
	}
	if err := v.Local.Adopt(ctx, next); err != nil {
		// The revision is accepted, so this is no failure. The long poll of the
		// head puts it in force later.
		v.Logger.Warn("accepted configuration not in force on this router yet", zap.Error(err))
	}
	return result, nil
}

// base is the state that a new revision follows.
type base struct {
	// head is nil if there is no configuration yet.
	head *Head
	// version is the version of the head's key in the store.
	version int64
	// lostByStore is true if the store has lost head, which then comes from this
	// router.
	lostByStore bool
}

// readBase reads the head from the store. If the store has lost revisions or
// holds a malformed head, the head in force on this router is the base instead.
// Revision numbers are thus never used twice, and the Apply writes the lost
// sections and the head again.
func (v *Reviser) readBase(ctx context.Context) (base, error) {
	entry, err := v.Store.Get(ctx, HeadKey)
	if err != nil && !isNotFound(err) {
		return base{}, storeUnavailable(err, bergamotdale.OutcomeNotRun)
	}
	own := v.Local.CurrentHead()
	b := base{version: entry.Version}
	if err == nil {
		b.head, err = DecodeHead(entry.Value)
		if err != nil && own == nil {
			return base{}, err
		}
	}
	if revisionOf(own) <= revisionOf(b.head) {
		return b, nil
	}
	v.Logger.Error("store has lost configuration revisions",
		zap.Int64("revision", own.Revision), zap.Int64("stored", revisionOf(b.head)), zap.Error(err))
	return base{own, entry.Version, true}, nil
}

// conflictWithAccepted returns the conflict with the revision that another writer
// committed during Apply.
func (v *Reviser) conflictWithAccepted(ctx context.Context, r Request) (Result, error) {
	b, err := v.readBase(ctx)
	if err != nil {
		return Result{}, err
	}
	return Result{}, v.conflict(ctx, r, b.head)
}

// conflict returns the *ConflictError of a request whose base revision is not
// that of the head, or a refusal if the document in force cannot be read.
func (v *Reviser) conflict(ctx context.Context, r Request, head *Head) error {
	e := &ConflictError{BaseRevision: r.BaseRevision, CurrentRevision: revisionOf(head)}
	if head == nil {
		return e
	}
	e.Current = head.History[0]
	current, err := v.Local.ReconstructDocument(ctx, head, head.Revision)
	if err != nil {
		return storeUnavailable(errors.Annotatef(err, "%v; reading the document in force", e), bergamotdale.OutcomeNotRun)
	}
	e.Proposed = differ.Compare(current, r.Document)
	if before, err := v.Local.ReconstructDocument(ctx, head, r.BaseRevision); err == nil {
		e.BaseKnown = true
		e.SinceBase = differ.Compare(before, current)
	}
	return e
}

// revisionOf returns the revision of the head, or zero for nil.
func revisionOf(h *Head) int64 {
	if h == nil {
		return 0
	}
	return h.Revision
}

// storeUnavailable returns the refusal of a request that failed because of a
// store error. outcome says whether the write may have taken effect.
func storeUnavailable(err error, outcome bergamotdale.Outcome) error {
	return bergamotdale.Refuse(bergamotdale.CodeStoreUnavailable, "configuration store unavailable").
		WithOutcome(outcome).After(retryAfter).WithCause(err)
}

func isNotFound(err error) bool {
	return errors.Is(err, bergamotdale.ErrNotFound)
}
