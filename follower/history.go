package follower

import (
	"context"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/validator"
)

// History returns the last revisions, the newest first.
func (f *Follower) History() []Change {
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
	return f.documentAt(ctx, c.head, revision)
}

func (f *Follower) documentAt(ctx context.Context, head *Head, revision int64) (*validator.Document, error) {
	if c := f.current.Load(); c != nil && c.head.Revision == revision && c.head.nonce() == head.nonce() {
		return c.document, nil
	}
	hashes, ok := head.sectionsAt(revision)
	if !ok {
		return nil, errors.NotFoundf("revision %d in the history", revision)
	}
	data, err := f.fetch(ctx, hashes)
	if err != nil {
		return nil, err
	}
	return validator.Join(data)
}
