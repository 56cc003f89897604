package subscriber

import (
	"time"

	"github.com/bergamotdale/bergamotdale"
)

// Reading is the record of an endpoint at the moment at which it was read.
type Reading struct {
	bergamotdale.EndpointRecord
	// Revision is that of the record in the store.
	Revision int64
	ReadAt   time.Time
	// WrittenAfter is a time before the record was written: that of which the content is
	// known that did not have it. It is zero if there is none, as in the first content of
	// an era.
	WrittenAfter time.Time
	// Initial is true for the records of the first content that this router has read.
	Initial bool
}

// setWrittenAfter determines Reading.WrittenAfter of the records of a batch.
func (s *Subscriber) setWrittenAfter() {
	s.writtenAfter = time.Time{}
	if age, known := s.Age(); known && !s.isFirstOfEra {
		s.writtenAfter = s.Clock.Now().Add(-age)
	}
}

// reportRecord reports a record to OnRecord.
func (s *Subscriber) reportRecord(e bergamotdale.Entry, record bergamotdale.EndpointRecord) {
	if s.OnRecord != nil {
		s.OnRecord(Reading{
			EndpointRecord: record, Revision: e.Version, ReadAt: s.Clock.Now(), WrittenAfter: s.writtenAfter,
			Initial: s.confirmedAt.Load() == nil,
		})
	}
}
