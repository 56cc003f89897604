package replicator

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

// isOfEarlierEra reports whether the follower has content of an earlier era. A
// request without an era is that of a router of an earlier version, which takes
// changes by their revision alone.
func (r Request) isOfEarlierEra(era int64) bool { return r.Era != 0 && r.Era < era }

// askedAfter returns the revision after which this router asks another one for
// changes: zero if the caller's content is of an earlier era than one that this
// router has seen, so that the other router responds at once when it has that era.
func (s *Source) askedAfter(after bergamotdale.Position) int64 {
	if after.Era < s.position.Era {
		return 0
	}
	return after.Revision
}

// checkEra returns the error of a call to the store, or an error if the response is
// of an era before one that this router has seen. It records the era of the response.
func (s *Source) checkEra(batch bergamotdale.Batch, err error) error {
	if err == nil && batch.Era < s.position.Era {
		return errors.Annotatef(bergamotdale.ErrUnavailable, "the store responded with the former era %d, not %d", batch.Era, s.position.Era)
	}
	s.position = s.position.Latest(bergamotdale.Position{Era: batch.Era})
	return err
}

// noteRestored records that a router has content of a later era, and returns
// ErrCompacted.
func (s *Source) noteRestored(m bergamotdale.Member, era int64) error {
	err := errors.Annotatef(bergamotdale.ErrCompacted, "%s has era %d of the store, not %d", m.ID, era, s.position.Era)
	s.restored, s.position = &m, bergamotdale.Position{Era: era}
	return err
}

// readRestored reads the whole content from the router that showed a later era, and
// reports whether it is recent enough to be followed.
func (s *Source) readRestored(ctx context.Context, started time.Time) (bergamotdale.Batch, bool) {
	if s.restored == nil {
		return bergamotdale.Batch{}, false
	}
	m := *s.restored
	s.restored = nil
	batch, err := s.fetchBatch(ctx, m, Request{Everything: true}, fullReadTimeout, started)
	if err != nil || batch.Lag > s.asker.bounds.servedAge() {
		s.Logger.Info("content of the new era not available from a peer, asking the store",
			zap.String("peer", m.ID), zap.Int64("era", s.position.Era), zap.Error(err))
		return bergamotdale.Batch{}, false
	}
	s.position = batch.Position()
	s.asker.confirm(started.Add(-batch.Lag))
	return batch, true
}
