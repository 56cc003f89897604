package follower

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/validator"
)

// ApplyRequest asks for a new revision.
type ApplyRequest struct {
	// Base is the revision that the document was made from; zero for the first
	// configuration.
	Base     int64
	Document *validator.Document
	Author   string
	Comment  string
}

// ApplyResult describes the revision in force after Apply.
type ApplyResult struct {
	Revision int64
	// Sections names what changed; it is empty if the document equals the one
	// in force, and then no revision was made.
	Sections []string
}

// ConflictError is returned by Apply if the base is not the revision in force.
type ConflictError struct {
	Base     int64
	InForce  Change
	Revision int64
	// BaseKnown is false if the history no longer has the base; Since is then
	// empty.
	BaseKnown bool
	// Since lists what changed between the base and the revision in force.
	Since []validator.Difference
	// Proposed lists what the rejected document would change in the revision
	// in force, which includes undoing Since.
	Proposed []validator.Difference
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration is based on revision %d, but %d is in force (%s by %s)",
		e.Base, e.Revision, e.InForce.Time.Format("2006-01-02 15:04:05"), e.InForce.Author)
}

// Apply commits the document as the next revision and brings it in force on
// this router. It returns a *ConflictError, a *bergamotdale.Refusal, or the
// errors of the document. A refusal with OutcomeUnknown means that the store
// could not be asked any more whether the write took effect.
func (f *Follower) Apply(ctx context.Context, r ApplyRequest) (ApplyResult, error) {
	if _, err := validator.Compile(r.Document, r.Base+1); err != nil {
		return ApplyResult{}, err
	}
	sections, err := r.Document.Split()
	if err != nil {
		return ApplyResult{}, err
	}
	b, err := f.readBase(ctx)
	if err != nil {
		return ApplyResult{}, refuse(err, bergamotdale.OutcomeNotRun)
	}
	if revisionOf(b.head) != r.Base {
		return ApplyResult{}, f.conflict(ctx, r, b.head)
	}
	next := b.head.next(sections, Change{
		Nonce: rand.Text(), Author: r.Author, Time: f.Clock.Now().UTC(), Comment: r.Comment,
	})
	replaced := next.History[0].Replaced
	result := ApplyResult{Revision: next.Revision, Sections: sortedKeys(replaced)}
	if len(replaced) == 0 {
		return ApplyResult{Revision: r.Base}, nil
	}
	c := &commit{follower: f, base: b.head, version: b.version, restore: b.lost, next: next}
	won, err := c.run(ctx, sections)
	if err != nil {
		return ApplyResult{}, err
	}
	if !won {
		return f.lost(ctx, r)
	}
	if err := f.adopt(ctx, next); err != nil {
		// The revision is accepted; the long poll brings it in force here.
		f.Logger.Warn("accepted configuration not in force yet", zap.Error(err))
	}
	return result, nil
}

// base is what a new revision follows.
type base struct {
	// head is nil if there is no configuration yet.
	head *Head
	// version is the version of the head's key in the store.
	version int64
	// lost is true if the store has lost the head.
	lost bool
}

// readBase reads the head. If the store has lost revisions, the one in force
// here is the base, so that revisions never repeat.
func (f *Follower) readBase(ctx context.Context) (base, error) {
	entry, err := f.get(ctx, HeadKey)
	if err != nil && !isNotFound(err) {
		return base{}, err
	}
	b := base{version: entry.Version}
	if err == nil {
		if b.head, err = decodeHead(entry.Value); err != nil {
			return base{}, err
		}
	}
	if c := f.current.Load(); c != nil && c.head.Revision > revisionOf(b.head) {
		f.Logger.Error("store has lost configuration revisions",
			zap.Int64("revision", c.head.Revision), zap.Int64("stored", revisionOf(b.head)))
		return base{c.head, entry.Version, true}, nil
	}
	return b, nil
}

// lost returns the conflict with the revision that was accepted meanwhile.
func (f *Follower) lost(ctx context.Context, r ApplyRequest) (ApplyResult, error) {
	b, err := f.readBase(ctx)
	if err != nil {
		return ApplyResult{}, refuse(err, bergamotdale.OutcomeNotRun)
	}
	return ApplyResult{}, f.conflict(ctx, r, b.head)
}

// conflict describes the revision in force relative to the request.
func (f *Follower) conflict(ctx context.Context, r ApplyRequest, head *Head) error {
	e := &ConflictError{Base: r.Base, Revision: revisionOf(head)}
	if head == nil {
		return e
	}
	e.InForce = head.History[0]
	current, err := f.documentAt(ctx, head, head.Revision)
	if err != nil {
		return refuse(err, bergamotdale.OutcomeNotRun)
	}
	e.Proposed = validator.Compare(current, r.Document)
	if before, err := f.documentAt(ctx, head, r.Base); err == nil {
		e.BaseKnown = true
		e.Since = validator.Compare(before, current)
	}
	return e
}

func revisionOf(h *Head) int64 {
	if h == nil {
		return 0
	}
	return h.Revision
}

// refuse turns a failure of the store into the final response of a request.
func refuse(err error, outcome bergamotdale.Outcome) error {
	if errors.Is(err, context.Canceled) && outcome == bergamotdale.OutcomeNotRun {
		err = errors.Annotate(err, "store did not respond")
	}
	return bergamotdale.Refuse(bergamotdale.CodeStoreUnavailable, "configuration store unavailable").
		WithOutcome(outcome).After(retryPause).WithCause(err)
}
