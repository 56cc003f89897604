package follower

import (
	"context"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/reviser"
	"github.com/bergamotdale/bergamotdale/splitter"
	"github.com/bergamotdale/bergamotdale/validator"
)

// History returns the last revisions, the newest first.
func (f *Follower) History() []reviser.Change {
	if c := f.current.Load(); c != nil {
		return c.head.History
	}
	return nil
}

// DocumentAt returns the document of a revision of the history.
func (f *Follower) DocumentAt(ctx context.Context, revision int64) (*validator.Document, error) {
	c := f.current.Load()
	if c == nil {
		return nil, errors.NotFoundf("revision %d", revision)
	}
	return f.Reconstruct(ctx, c.head, revision)
}

// Reconstruct implements reviser.Local.
func (f *Follower) Reconstruct(ctx context.Context, head *reviser.Head, revision int64) (*validator.Document, error) {
	if c := f.current.Load(); c != nil && c.head.Revision == revision && c.head.Nonce() == head.Nonce() {
		return c.document, nil
	}
	hashes, ok := head.SectionsAt(revision)
	if !ok {
		return nil, errors.NotFoundf("revision %d in the history", revision)
	}
	data, err := f.fetch(ctx, hashes)
	if err != nil {
		return nil, err
	}
	return splitter.Join(data)
}

// InForce implements reviser.Local.
func (f *Follower) InForce() *reviser.Head {
	if c := f.current.Load(); c != nil {
		return c.head
	}
	return nil
}

// Apply commits a new revision and brings it in force on this router; see
// reviser.Reviser.Apply.
func (f *Follower) Apply(ctx context.Context, r reviser.Request) (reviser.Result, error) {
	v := &reviser.Reviser{Store: boundedStore{f}, Local: f, Clock: f.Clock, Logger: f.Logger}
	return v.Apply(ctx, r)
}
