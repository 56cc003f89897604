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

// retryAfter is the time after which a refused Apply can succeed.
const retryAfter = time.Second

// Store is the part of bergamotdale.Store that a Reviser needs. Each call
// returns within a bounded time; a write that was given up is ErrAmbiguous.
type Store interface {
	Get(ctx context.Context, key string) (bergamotdale.Entry, error)
	CompareAndSwap(ctx context.Context, key string, value []byte, version int64) (bergamotdale.Entry, error)
	Delete(ctx context.Context, key string, version int64) error
}

// Local is the configuration of the router that the Reviser runs on.
type Local interface {
	// InForce returns the head in force, or nil.
	InForce() *Head
	// Reconstruct returns the document of a revision that the head's history
	// reaches.
	Reconstruct(ctx context.Context, head *Head, revision int64) (*validator.Document, error)
	// Adopt brings an accepted head in force.
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
	// Base is the revision that the document was made from; zero for the first
	// configuration.
	Base     int64
	Document *validator.Document
	Author   string
	Comment  string
}

// Result describes the revision in force after Apply.
type Result struct {
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
	Since []differ.Difference
	// Proposed lists what the rejected document would change in the revision
	// in force, which includes undoing Since.
	Proposed []differ.Difference
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
func (v *Reviser) Apply(ctx context.Context, r Request) (Result, error) {
	if _, err := validator.Compile(r.Document, r.Base+1); err != nil {
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
	if revisionOf(b.head) != r.Base {
		return Result{}, v.conflict(ctx, r, b.head)
	}
	next := b.head.next(sections, Change{
		Nonce: rand.Text(), Author: r.Author, Time: v.Clock.Now().UTC(), Comment: r.Comment,
	})
	replaced := next.History[0].Replaced
	result := Result{Revision: next.Revision, Sections: sortedKeys(replaced)}
	if len(replaced) == 0 {
		return Result{Revision: r.Base}, nil
	}
	c := &commit{reviser: v, base: b.head, version: b.version, restore: b.lost, next: next}
	won, err := c.run(ctx, sections)
	if err != nil {
		return Result{}, err
	}
	if !won {
		return v.lost(ctx, r)
	}
	if err := v.Local.Adopt(ctx, next); err != nil {
		// The revision is accepted; the long poll brings it in force here.
		v.Logger.Warn("accepted configuration not in force yet", zap.Error(err))
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

// readBase reads the head. If the store has lost revisions or holds a malformed
// head, the one in force here is the base: revisions never repeat, and the next
// Apply repairs the store.
func (v *Reviser) readBase(ctx context.Context) (base, error) {
	entry, err := v.Store.Get(ctx, HeadKey)
	if err != nil && !isNotFound(err) {
		return base{}, refuse(err, bergamotdale.OutcomeNotRun)
	}
	own := v.Local.InForce()
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

// lost returns the conflict with the revision that was accepted meanwhile.
func (v *Reviser) lost(ctx context.Context, r Request) (Result, error) {
	b, err := v.readBase(ctx)
	if err != nil {
		return Result{}, err
	}
	return Result{}, v.conflict(ctx, r, b.head)
}

// conflict describes the revision in force relative to the request.
func (v *Reviser) conflict(ctx context.Context, r Request, head *Head) error {
	e := &ConflictError{Base: r.Base, Revision: revisionOf(head)}
	if head == nil {
		return e
	}
	e.InForce = head.History[0]
	current, err := v.Local.Reconstruct(ctx, head, head.Revision)
	if err != nil {
		return refuse(errors.Annotatef(err, "%v, and its document", e), bergamotdale.OutcomeNotRun)
	}
	e.Proposed = differ.Compare(current, r.Document)
	if before, err := v.Local.Reconstruct(ctx, head, r.Base); err == nil {
		e.BaseKnown = true
		e.Since = differ.Compare(before, current)
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
	return bergamotdale.Refuse(bergamotdale.CodeStoreUnavailable, "configuration store unavailable").
		WithOutcome(outcome).After(retryAfter).WithCause(err)
}

func isNotFound(err error) bool {
	return errors.Is(err, bergamotdale.ErrNotFound)
}
