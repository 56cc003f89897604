package subscriber

import (
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

// beginEra prepares for a batch with all keys. If it is the first one of a later era,
// the store was restored from a copy, which counts as an outage: what was written
// since the copy is gone and will be written again.
func (s *Subscriber) beginEra(batch bergamotdale.Batch) {
	if s.confirmedAt.Load() == nil || batch.Era == s.position.Era {
		return
	}
	s.Logger.Warn("store was restored from a copy", zap.Int64("era", batch.Era), zap.Int64("former-era", s.position.Era),
		zap.Int64("revision", batch.Revision))
	now := s.Clock.Now()
	s.dropLapsed(now)
	s.outageEndedAt, s.wasRestored = now, true
	s.doubtUntil, s.isFirstOfEra = now.Add(DoubtPeriod), true
	s.doubted = map[string]bergamotdale.Entry{}
}

// keepDraining returns the record of a known endpoint as it is applied. A restored
// store has the record from before the endpoint reported that it leaves, and that
// report may be written again late or never: the incarnation stays draining until it
// reports otherwise itself, with a higher sequence.
func (s *Subscriber) keepDraining(known, record bergamotdale.EndpointRecord) bergamotdale.EndpointRecord {
	if !s.wasRestored || !known.Draining || record.Draining ||
		record.Incarnation != known.Incarnation || record.Sequence > known.Sequence {
		return record
	}
	s.Logger.Info("endpoint stays draining against a restored record", zap.String("endpoint", known.ID),
		zap.Int64("sequence", record.Sequence), zap.Int64("known-sequence", known.Sequence))
	record.Draining, record.Sequence = true, known.Sequence
	return record
}

// isUnchanged reports whether nothing but the sequence differs.
func isUnchanged(a, b bergamotdale.EndpointRecord) bool {
	a.Sequence = b.Sequence
	return a == b
}
