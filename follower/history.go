package follower

import (
	"context"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/reviser"
	"github.com/bergamotdale/bergamotdale/splitter"
	"github.com/bergamotdale/bergamotdale/validator"
)

// History returns the changes that led to the last revisions, the newest first.
func (f *Follower) History() []reviser.Change {
	if c := f.current.Load(); c != nil {
		return c.head.History
	}
	return nil
}

// DocumentAt returns the document of a revision that the history still has.
func (f *Follower) DocumentAt(ctx context.Context, revision int64) (*validator.Document, error) {
	c := f.current.Load()
	if c == nil {
		return nil, errors.NotFoundf("revision %d", revision)
	}
	return f.ReconstructDocument(ctx, c.head, revision)
}

// ReconstructDocument implements reviser.Local.
func (f *Follower) ReconstructDocument(ctx context.Context, head *reviser.Head, revision int64) (*validator.Document, error) {
	if c := f.current.Load(); c != nil && c.head.Revision == revision && c.head.Nonce() == head.Nonce() {
		return c.document, nil
	}
	hashes, ok := head.SectionsAt(revision)
	if !ok {
		return nil, errors.NotFoundf("revision %d in the configuration history", revision)
	}
	data, err := f.fetchSections(ctx, hashes)
	if err != nil {
		return nil, err
	}
	return splitter.Join(data)
}

// CurrentHead implements reviser.Local.
func (f *Follower) CurrentHead() *reviser.Head {
	if c := f.current.Load(); c != nil {
		return c.head
	}
	return nil
}

// Apply commits a new revision and puts it in force on this router, as
// reviser.Reviser.Apply describes.
func (f *Follower) Apply(ctx context.Context, r reviser.Request) (reviser.Result, error) {
	v := &reviser.Reviser{Store: storeWithTimeouts{f}, Local: f, Clock: f.Clock, Logger: f.Logger}
	return v.Apply(ctx, r)
}
