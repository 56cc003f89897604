package committer

import (
	"context"
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

// Shard is a shard owned by this process. Its methods may be called
// concurrently. Run must run for calls to make progress.
type Shard struct {
	settings Settings
	// wake tells the loop that there is work.
	wake chan struct{}
	// done is closed when the shard has stopped.
	done chan struct{}

	// The fields up to lock belong to the loop.

	// version is the version of the committed head.
	version int64
	// sealing is a stored segment that no committed head lists yet.
	sealing *segment
	// garbage holds stored segments that the committed head does not list.
	garbage []bergamotdale.Entry
	// notBefore is the time of the next write that the interval allows.
	notBefore time.Time
	// nextProbe is the time of the next write or read while the store is down.
	nextProbe time.Time

	lock    sync.Mutex
	journal *journal
	// flights holds the calls in progress. A key has at most one.
	flights map[recordID]*flight
	// queue holds the records to commit by key, and order their sequence. A
	// key has at most one; it belongs to the flight of the key if there is one.
	queue map[recordID]queued
	order []recordID
	// writing is the batch under way; nil between writes.
	writing map[recordID]queued
	// down is true after a write failed, until one succeeds.
	down bool
	// fenced is true once another owner has taken over, stopped once Run has
	// returned. draining refuses new keys.
	fenced, stopped, draining bool
	// idle is closed when nothing is in progress; nil while nobody waits.
	idle  chan struct{}
	stats Stats
	// fetched is the sealed segment that was read last, for repeats.
	fetched fetched
}

// fetched is the value of a sealed segment, which never changes.
type fetched struct {
	number int64
	value  []byte
}

// queued is a record that waits for its commit.
type queued struct {
	record record
	// text is the encoded record.
	text []byte
	// flight is nil for a record whose client has its response already.
	flight *flight
}

// phase is the progress of a flight.
type phase int

const (
	// waiting means that the intent is not committed.
	waiting phase = iota
	// granted means that the intent is committed and the call may start.
	granted
	// running means that the call has started.
	running
	// recording means that the call has ended and its record is not committed.
	recording
)

// flight is a call in progress. The lock of the shard guards it.
type flight struct {
	// record is the record of the request without state and time.
	record record
	phase  phase
	// grant is closed when the phase leaves waiting, done at the end.
	grant, done chan struct{}
	// ended is true once done is closed; the result does not change then.
	ended    bool
	response Response
	refusal  *bergamotdale.Refusal
	// abandoned is true where the client left before the call started. A
	// repeat may start its own flight.
	abandoned bool
}

// Stats counts the work of a shard.
type Stats struct {
	// HeadWrites, SegmentWrites and Deletes are calls of the store, failed ones
	// included.
	HeadWrites, SegmentWrites, Deletes int64
	// Bytes is the size of the values written.
	Bytes int64
	// Calls is the number of calls that were started.
	Calls int64
	// Records is the number of records in memory and Segments the number of
	// sealed segments.
	Records, Segments int
	// Down reports whether the store is unavailable.
	Down bool
}

func newShard(settings Settings) *Shard {
	return &Shard{
		settings: settings,
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		flights:  map[recordID]*flight{},
		queue:    map[recordID]queued{},
	}
}

// Done is closed when the shard has stopped.
func (s *Shard) Done() <-chan struct{} {
	return s.done
}

// Number returns the number of the shard.
func (s *Shard) Number() int {
	return s.settings.Number
}

// Epoch returns the epoch under which the shard was opened.
func (s *Shard) Epoch() int64 {
	return s.settings.Epoch
}

// Fenced reports whether another owner has taken the shard over.
func (s *Shard) Fenced() bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.fenced
}

// Stats returns the present counts.
func (s *Shard) Stats() Stats {
	s.lock.Lock()
	defer s.lock.Unlock()
	stats := s.stats
	stats.Records = len(s.journal.index)
	stats.Segments = len(s.journal.head.Sealed)
	stats.Down = s.down
	return stats
}

// Drain refuses new keys from now on and waits until no call is in progress
// and every record is committed.
func (s *Shard) Drain(ctx context.Context) error {
	s.lock.Lock()
	s.draining = true
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.signalIdle()
	s.lock.Unlock()
	select {
	case <-idle:
		return nil
	case <-s.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// signalIdle wakes Drain where nothing is in progress.
func (s *Shard) signalIdle() {
	if s.idle == nil || len(s.flights) > 0 || len(s.queue) > 0 || len(s.writing) > 0 {
		return
	}
	close(s.idle)
	s.idle = nil
}

// notify wakes the loop.
func (s *Shard) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// enqueue adds a record to the next commit. It replaces a queued record of the
// same key.
func (s *Shard) enqueue(r record, f *flight) {
	text, err := encodeLine(r)
	if err != nil {
		// Records hold only strings and numbers.
		panic(err)
	}
	s.requeue(queued{record: r, text: text, flight: f})
	s.notify()
}

// release queues a free record for a committed intent whose call never runs,
// unless a flight of the key is about to replace it.
func (s *Shard) release(r record) {
	if s.stopped || s.flights[r.id] != nil || s.journal.index[r.id].state != unused {
		return
	}
	if _, ok := s.queue[r.id]; ok {
		return
	}
	s.enqueue(r.in(free, s.now()), nil)
}

// finish ends a flight with its result.
func (s *Shard) finish(f *flight) {
	if f.ended {
		return
	}
	f.ended = true
	if s.flights[f.record.id] == f {
		delete(s.flights, f.record.id)
	}
	if f.phase == waiting {
		close(f.grant)
	}
	close(f.done)
	s.signalIdle()
}

func (s *Shard) now() int64 {
	return s.journal.now(s.settings.Clock.Now())
}

// refuse returns a refusal of a request whose call did not start. Its outcome
// is not-run only where no other owner can have executed the key.
func (s *Shard) refuse(code bergamotdale.Code, format string, args ...any) *bergamotdale.Refusal {
	r := bergamotdale.Refuse(code, format, args...)
	if s.fenced || s.stopped || !s.settings.Held() {
		r.Outcome = bergamotdale.OutcomeUnknown
	}
	return r
}
