// Package registrar holds the state of one idempotency shard in memory: the
// committed journal, the records that wait for a commit, and the calls in
// progress. It decides what a request with a key gets and does no I/O.
//
// A request with a new key starts a Flight, whose intent is queued. The owner
// of the register takes batches from the queue, stores them and reports the
// result. Each flight ends exactly once with a response or a refusal.
package registrar

import (
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/journaler"
)

// maxBatchBytes keeps the head well below the 1 MB that the store accepts.
const maxBatchBytes = 256 << 10

// Settings configure a Register.
type Settings struct {
	Shard int
	// RetryAfter is when a request may come back that was refused because the
	// store is unavailable.
	RetryAfter time.Duration
	// Held reports whether no other router can have claimed the shard since
	// this owner did.
	Held func() bool
}

// Register is the state of a shard. It is not safe for concurrent use, except
// for the channels of flights and Wake.
type Register struct {
	settings Settings
	journal  *journaler.Journal
	// flights holds the calls in progress. A key has at most one.
	flights map[journaler.ID]*Flight
	// queue holds the records to commit by key, and order their sequence. A
	// key has at most one; it belongs to the flight of the key if there is one.
	queue map[journaler.ID]queued
	order []journaler.ID
	// writing is the batch under way; nil between writes.
	writing map[journaler.ID]queued
	// sealed is a stored segment that no committed head lists yet.
	sealed *journaler.Segment
	// down is true after a write failed, until one succeeds.
	down bool
	// fenced is true once another owner has taken over, stopped once nothing is
	// committed any more. draining refuses new keys.
	fenced, stopped, draining bool
	// idle is closed when nothing is in progress; nil while nobody waits.
	idle chan struct{}
	wake chan struct{}
}

// queued is a record that waits for its commit.
type queued struct {
	record journaler.Record
	// text is the encoded record.
	text []byte
	// flight is nil for a record whose client has its response already.
	flight *Flight
}

// New returns the register of a journal.
func New(s Settings, j *journaler.Journal) *Register {
	return &Register{
		settings: s,
		journal:  j,
		flights:  map[journaler.ID]*Flight{},
		queue:    map[journaler.ID]queued{},
		wake:     make(chan struct{}, 1),
	}
}

// Wake receives after a record was queued.
func (r *Register) Wake() <-chan struct{} {
	return r.wake
}

// Journal returns the committed journal.
func (r *Register) Journal() *journaler.Journal {
	return r.journal
}

// Queued returns the number of records that wait for a commit.
func (r *Register) Queued() int {
	return len(r.queue)
}

// Down reports whether the store is unavailable.
func (r *Register) Down() bool {
	return r.down
}

// Fenced reports whether another owner has taken the shard over.
func (r *Register) Fenced() bool {
	return r.fenced
}

// Drain refuses new keys from now on. The channel is closed when no call is in
// progress and every record is committed.
func (r *Register) Drain() <-chan struct{} {
	r.draining = true
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	idle := r.idle
	r.signalIdle()
	return idle
}

func (r *Register) signalIdle() {
	if r.idle == nil || len(r.flights) > 0 || len(r.queue) > 0 || len(r.writing) > 0 {
		return
	}
	close(r.idle)
	r.idle = nil
}

// enqueue adds a record to the next commit. It replaces a queued record of the
// same key.
func (r *Register) enqueue(record journaler.Record, f *Flight) {
	text, err := record.Encode()
	if err != nil {
		// Records hold only strings and numbers.
		panic(err)
	}
	r.requeue(queued{record: record, text: text, flight: f})
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Register) requeue(q queued) {
	id := q.record.ID()
	if _, ok := r.queue[id]; !ok {
		r.order = append(r.order, id)
	}
	r.queue[id] = q
}

func (r *Register) dequeue(id journaler.ID) {
	delete(r.queue, id)
	for i, other := range r.order {
		if other == id {
			r.order = append(r.order[:i], r.order[i+1:]...)
			return
		}
	}
}

// release queues a free record for a committed intent whose call never runs,
// unless a flight of the key is about to replace it.
func (r *Register) release(record journaler.Record, now time.Time) {
	id := record.ID()
	if r.stopped || r.flights[id] != nil || r.journal.State(id) != journaler.NeverRun {
		return
	}
	if _, ok := r.queue[id]; !ok {
		r.enqueue(record.WithState(journaler.Free, r.journal.Timestamp(now)), nil)
	}
}

// Batch is a group of records that one head commits.
type Batch struct {
	// Proposal is the head with the records.
	Proposal journaler.Proposal
	records  []queued
}

// Due returns the open segment with its lines where it has to be stored under
// its own key before the next batch.
func (r *Register) Due(segmentBytes int) (journaler.Segment, []byte, bool) {
	if r.sealed != nil {
		return journaler.Segment{}, nil, false
	}
	return r.journal.SegmentToSeal(segmentBytes)
}

// Sealed reports that the segment of Due was stored.
func (r *Register) Sealed(s journaler.Segment) {
	r.sealed = &s
}

// Take moves queued records to a batch. Each batch ends with Committed or
// Failed before the next one.
func (r *Register) Take(now time.Time) (Batch, error) {
	var b Batch
	var additions []journaler.Addition
	r.writing = map[journaler.ID]queued{}
	bytes, n := 0, 0
	for _, id := range r.order {
		q := r.queue[id]
		if bytes += len(q.text); bytes > maxBatchBytes && n > 0 {
			break
		}
		b.records = append(b.records, q)
		additions = append(additions, journaler.Addition{
			Line:  journaler.Line{ID: id, At: q.record.At, Text: q.text},
			Hash:  q.record.Hash(),
			State: q.record.State,
		})
		r.writing[id] = q
		delete(r.queue, id)
		n++
	}
	r.order = r.order[n:]
	var err error
	b.Proposal, err = r.journal.Propose(additions, r.sealed, r.journal.Timestamp(now))
	return b, err
}

// Committed reports that the batch was stored. An error means that the shard
// must stop, because a call could run twice.
func (r *Register) Committed(b Batch, now time.Time) error {
	if err := r.journal.Apply(b.Proposal, r.journal.Timestamp(now)); err != nil {
		return err
	}
	r.sealed = nil
	r.writing = nil
	r.down = false
	for _, q := range b.records {
		r.recordCommitted(q, now)
	}
	r.signalIdle()
	return nil
}

func (r *Register) recordCommitted(q queued, now time.Time) {
	f := q.flight
	switch {
	case q.record.State != journaler.Intent:
		if f != nil && !f.ended {
			f.recorded = true
			r.finish(f)
		}
	case f.ended:
		r.journal.SetState(f.record.ID(), journaler.NeverRun)
		r.release(f.record, now)
	default:
		f.phase = granted
		close(f.grant)
	}
}

// Failed reports that the batch was not stored, or not for certain. Intents are
// refused, because their calls never start, and responses are passed on
// unrecorded. Records of executed calls stay queued.
func (r *Register) Failed(cause error, now time.Time) {
	r.down = true
	r.refuseWaiting(func() *bergamotdale.Refusal { return r.storeUnavailable(cause) }, now)
	r.signalIdle()
}

// Recovered reports that the store can be reached again.
func (r *Register) Recovered() {
	r.down = false
}

// Stop refuses what waits. Nothing is committed any more. fenced states that
// another owner has taken over.
func (r *Register) Stop(fenced bool, now time.Time) {
	r.fenced = fenced
	r.refuseWaiting(r.handedOver, now)
	r.stopped = true
}

// refuseWaiting ends the flights of the batch under way and of the queue.
func (r *Register) refuseWaiting(refusal func() *bergamotdale.Refusal, now time.Time) {
	all := make([]queued, 0, len(r.writing)+len(r.order))
	for _, q := range r.writing {
		all = append(all, q)
	}
	for _, id := range r.order {
		all = append(all, r.queue[id])
	}
	r.writing, r.order = nil, nil
	r.queue = map[journaler.ID]queued{}
	for _, q := range all {
		if q.record.State != journaler.Intent {
			r.requeue(q)
		}
	}
	for _, q := range all {
		f := q.flight
		if f == nil || f.ended {
			continue
		}
		if q.record.State == journaler.Intent {
			f.refusal = refusal()
		}
		r.finish(f)
		r.release(f.record, now)
	}
}
