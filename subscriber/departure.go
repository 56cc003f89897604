package subscriber

import (
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// departureMemory is how long an endpoint is remembered that is known to be gone.
	// A copy from which the store is restored is some seconds old.
	departureMemory = time.Minute
	// DoubtPeriod is how long after a restore of the store a record is not believed
	// that contradicts what is known. By its end, the store has removed the records of
	// endpoints that do not write to it.
	DoubtPeriod = 10 * time.Second
)

// departure is an endpoint that is known to be gone.
type departure struct {
	record bergamotdale.EndpointRecord
	at     time.Time
}

// recordDeparture remembers that the endpoint is gone.
func (s *Subscriber) recordDeparture(e Endpoint) {
	s.departures[e.ID] = departure{record: e.EndpointRecord, at: s.Clock.Now()}
}

// isDoubted reports whether the record is one that a restored store has from before
// the endpoint left or was started again. Its own sign ends the doubt: another incarnation, or a record that
// it has written since the restore, with a higher sequence than the last known one.
// The first content of an era does not tell when a record was written; a record that
// it does not have and that comes later is a sign of life.
func (s *Subscriber) isDoubted(e bergamotdale.Entry, record bergamotdale.EndpointRecord) bool {
	if known, ok := s.endpoints[record.ID]; ok {
		return !s.doubtUntil.IsZero() && record.Incarnation < known.Incarnation
	}
	d, departed := s.departures[record.ID]
	if s.doubtUntil.IsZero() || !departed || record.Incarnation > d.record.Incarnation {
		return false
	}
	inCopy, doubted := s.doubted[record.ID]
	if !doubted && !s.isFirstOfEra {
		return false
	}
	writtenAgain := !s.isFirstOfEra && inCopy.Version != e.Version
	isLater := record.Sequence > d.record.Sequence || record.Sequence == 0
	return record.Incarnation < d.record.Incarnation || !writtenAgain || !isLater
}

// doubt keeps a record that is not believed.
func (s *Subscriber) doubt(e bergamotdale.Entry, record bergamotdale.EndpointRecord) {
	if known, ok := s.doubted[record.ID]; ok && known.Version == e.Version {
		return
	}
	s.doubted[record.ID] = e
	s.Logger.Info("restored record of an endpoint doubted", zap.String("endpoint", record.ID),
		zap.Int64("incarnation", record.Incarnation), zap.Int64("sequence", record.Sequence), zap.Int64("revision", e.Version))
}

// endDoubts believes the records that are still in the store after DoubtPeriod, and
// reports whether there are any.
func (s *Subscriber) endDoubts() bool {
	now := s.Clock.Now()
	if s.doubtUntil.IsZero() || now.Before(s.doubtUntil) {
		return false
	}
	s.doubtUntil, s.writtenAfter = time.Time{}, time.Time{}
	doubted := s.doubted
	s.doubted = map[string]bergamotdale.Entry{}
	for id, e := range doubted {
		s.Logger.Warn("restored record of an endpoint believed, as nothing else was written", zap.String("endpoint", id))
		s.applyEntry(e)
	}
	return len(doubted) > 0
}

// dropLapsed removes the endpoints whose grace period is over.
func (s *Subscriber) dropLapsed(now time.Time) {
	for id, e := range s.endpoints {
		if !e.LapsedAt.IsZero() && !now.Before(e.lapseEnd) {
			delete(s.endpoints, id)
			s.recordDeparture(e)
		}
	}
	for id, d := range s.departures {
		if s.doubtUntil.IsZero() && now.Sub(d.at) >= departureMemory {
			delete(s.departures, id)
		}
	}
}
