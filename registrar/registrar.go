// Package registrar tracks the idempotency keys of one shard in memory: the
// committed records, the records that wait to be committed, and the calls in
// progress. It decides whether a request runs its call, waits for a call in
// progress, or gets an earlier response or a refusal. It does no I/O.
//
// An idempotency key names one logical request, whose call must run at most once
// however often the request is repeated. The first request with a key starts a
// Flight and queues an intent, which has to be committed before the call runs.
// Requests with the same key join the flight. The caller, package committer,
// takes batches of records from the queue, writes them to the store and reports
// the result. Each flight ends exactly once, with a response or a refusal.
package registrar

import (
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/journaler"
)

// maxBatchBytes limits the records of one commit. It keeps the head of the
// journal, which holds them, well below the 1 MB that the store accepts.
const maxBatchBytes = 256 << 10

// Settings configure a Registry.
type Settings struct {
	// Shard is the number of the shard, for messages.
	Shard int
	// RetryAfter is the delay after which a client may repeat a request that was
	// refused because the store is unavailable.
	RetryAfter time.Duration
	// StillOwned reports whether it is certain that no other router has claimed
	// the shard since this owner did.
	StillOwned func() bool
}

// Registry is the state of the idempotency keys of a shard. It is not safe for
// concurrent use, except for Wake and the channels of flights.
type Registry struct {
	settings Settings
	journal  *journaler.Journal
	// flights holds the calls in progress by key.
	flights map[journaler.ID]*Flight
	// queue holds the records to commit by key, and queueOrder their keys in the
	// order of commit. A record belongs to the flight of its key if there is one.
	queue      map[journaler.ID]queuedRecord
	queueOrder []journaler.ID
	// committing holds the records of the batch being written by key; it is nil
	// between writes.
	committing map[journaler.ID]queuedRecord
	// storedSegment is a sealed segment that is in the store but not yet listed
	// by a committed head, or nil.
	storedSegment *journaler.Segment
	// storeDown is true from a failed write until a write or a probe succeeds.
	storeDown bool
	// fenced is true once another owner has taken the shard over or cannot be
	// ruled out, stopped once nothing is committed any more, and draining once
	// new keys are refused.
	fenced, stopped, draining bool
	// idle is closed when no call is in progress and no record is uncommitted. It
	// is nil unless Drain waits for that.
	idle chan struct{}
	// wake receives after a record was queued.
	wake chan struct{}
}

// queuedRecord is a record that waits to be committed.
type queuedRecord struct {
	record journaler.Record
	// encoded is the line of the record in the journal.
	encoded []byte
	// flight is the flight that ends or proceeds with the commit. It is nil for a
	// record that only frees a key.
	flight *Flight
}

// New returns the registry of a shard with the given committed journal.
func New(settings Settings, journal *journaler.Journal) *Registry {
	return &Registry{
		settings: settings,
		journal:  journal,
		flights:  map[journaler.ID]*Flight{},
		queue:    map[journaler.ID]queuedRecord{},
		wake:     make(chan struct{}, 1),
	}
}

// Wake returns a channel that receives after a record was queued.
func (r *Registry) Wake() <-chan struct{} {
	return r.wake
}

// Journal returns the journal of committed records.
func (r *Registry) Journal() *journaler.Journal {
	return r.journal
}

// Queued returns the number of records that wait to be committed, without those
// being written.
func (r *Registry) Queued() int {
	return len(r.queue)
}

// StoreDown reports whether the store is considered unavailable.
func (r *Registry) StoreDown() bool {
	return r.storeDown
}

// Fenced reports whether another owner has taken the shard over or cannot be
// ruled out.
func (r *Registry) Fenced() bool {
	return r.fenced
}

// Drain refuses new keys from now on. It returns a channel that is closed when no
// call is in progress and every record is committed.
func (r *Registry) Drain() <-chan struct{} {
	r.draining = true
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	idle := r.idle
	r.signalIdle()
	return idle
}

// signalIdle ends the wait of Drain if no call is in progress and no record is
// uncommitted.
func (r *Registry) signalIdle() {
	if r.idle == nil || len(r.flights) > 0 || len(r.queue) > 0 || len(r.committing) > 0 {
		return
	}
	close(r.idle)
	r.idle = nil
}

// enqueue adds a record to the queue in place of a queued record of the same key,
// and signals Wake.
func (r *Registry) enqueue(record journaler.Record, f *Flight) {
	encoded, err := record.Encode()
	if err != nil {
		// Unreachable: records hold only strings and numbers, which can always
		// be encoded.
		panic(err)
	}
	r.requeue(queuedRecord{record: record, encoded: encoded, flight: f})
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// requeue adds an encoded record to the queue. A record of a key that is queued
// already takes the place of the earlier one.
func (r *Registry) requeue(q queuedRecord) {
	id := q.record.ID()
	if _, ok := r.queue[id]; !ok {
		r.queueOrder = append(r.queueOrder, id)
	}
	r.queue[id] = q
}

// dequeue removes the queued record of a key.
func (r *Registry) dequeue(id journaler.ID) {
	delete(r.queue, id)
	for i, other := range r.queueOrder {
		if other == id {
			r.queueOrder = append(r.queueOrder[:i], r.queueOrder[i+1:]...)
			return
		}
	}
}

// queueFreeRecord queues a record that frees a key whose intent is committed but
// whose call never runs. It does nothing if a new flight of the key is about to
// replace the intent.
func (r *Registry) queueFreeRecord(record journaler.Record, now time.Time) {
	id := record.ID()
	if r.stopped || r.flights[id] != nil || r.journal.State(id) != journaler.NeverRun {
		return
	}
	if _, ok := r.queue[id]; !ok {
		r.enqueue(record.WithState(journaler.Free, r.journal.Timestamp(now)), nil)
	}
}

// Batch is a group of records that are committed by one write of the head.
type Batch struct {
	// Proposal is the next head, which includes the records.
	Proposal journaler.Proposal
	records  []queuedRecord
}

// SegmentToSeal returns the open segment with its lines. The last result is false
// unless the segment has to be stored under its own key before the next batch,
// because it has outgrown segmentBytes.
func (r *Registry) SegmentToSeal(segmentBytes int) (journaler.Segment, []byte, bool) {
	if r.storedSegment != nil {
		return journaler.Segment{}, nil, false
	}
	return r.journal.SegmentToSeal(segmentBytes)
}

// SegmentStored records that the segment returned by SegmentToSeal is stored.
func (r *Registry) SegmentStored(s journaler.Segment) {
	r.storedSegment = &s
}

// TakeBatch moves queued records to a batch. Each batch has to be ended by
// BatchCommitted, BatchFailed or Stop before the next one is taken.
func (r *Registry) TakeBatch(now time.Time) (Batch, error) {
	var b Batch
	var additions []journaler.Addition
	r.committing = map[journaler.ID]queuedRecord{}
	bytes, n := 0, 0
	for _, id := range r.queueOrder {
		q := r.queue[id]
		if bytes += len(q.encoded); bytes > maxBatchBytes && n > 0 {
			break
		}
		b.records = append(b.records, q)
		additions = append(additions, journaler.Addition{
			Line:  journaler.Line{ID: id, At: q.record.At, Text: q.encoded},
			Hash:  q.record.Hash(),
			State: q.record.State,
		})
		r.committing[id] = q
		delete(r.queue, id)
		n++
	}
	r.queueOrder = r.queueOrder[n:]
	var err error
	b.Proposal, err = r.journal.Propose(additions, r.storedSegment, r.journal.Timestamp(now))
	return b, err
}

// BatchCommitted records that the batch was stored. After an error the shard must
// stop, because a call could otherwise run twice.
func (r *Registry) BatchCommitted(b Batch, now time.Time) error {
	if err := r.journal.Apply(b.Proposal, r.journal.Timestamp(now)); err != nil {
		return err
	}
	r.storedSegment = nil
	r.committing = nil
	r.storeDown = false
	for _, q := range b.records {
		r.handleCommitted(q, now)
	}
	r.signalIdle()
	return nil
}

// handleCommitted advances the flight of a committed record: a committed intent
// makes the call ready to start, and any other record ends the flight. If the
// flight of an intent has ended meanwhile, it frees the key.
func (r *Registry) handleCommitted(q queuedRecord, now time.Time) {
	f := q.flight
	switch {
	case q.record.State != journaler.Intent:
		if f != nil && !f.ended {
			f.recorded = true
			r.endFlight(f)
		}
	case f.ended:
		r.journal.SetState(f.record.ID(), journaler.NeverRun)
		r.queueFreeRecord(f.record, now)
	default:
		f.phase = readyToCall
		close(f.ready)
	}
}

// BatchFailed records that the batch was not stored or may not have been. It
// refuses the requests whose intents are not committed, since their calls never
// start, and ends the flights of executed calls with unrecorded responses. The
// records of executed calls stay queued.
func (r *Registry) BatchFailed(cause error, now time.Time) {
	r.storeDown = true
	r.refusePending(func() *bergamotdale.Refusal { return r.storeUnavailableRefusal(cause) }, now)
	r.signalIdle()
}

// StoreRecovered records that the store is available again.
func (r *Registry) StoreRecovered() {
	r.storeDown = false
}

// Stop refuses the requests whose intents are not committed; nothing is committed
// any more. fenced is true if another owner has taken the shard over, or if this
// owner cannot rule out that one has.
func (r *Registry) Stop(fenced bool, now time.Time) {
	r.fenced = fenced
	r.refusePending(r.handoverRefusal, now)
	r.stopped = true
}

// refusePending ends the flights of all records that are queued or being written,
// refuses those that wait for an intent, and queues the other records again.
func (r *Registry) refusePending(refusal func() *bergamotdale.Refusal, now time.Time) {
	pending := make([]queuedRecord, 0, len(r.committing)+len(r.queueOrder))
	for _, q := range r.committing {
		pending = append(pending, q)
	}
	for _, id := range r.queueOrder {
		pending = append(pending, r.queue[id])
	}
	r.committing, r.queueOrder = nil, nil
	r.queue = map[journaler.ID]queuedRecord{}
	for _, q := range pending {
		if q.record.State != journaler.Intent {
			r.requeue(q)
		}
	}
	for _, q := range pending {
		f := q.flight
		if f == nil || f.ended {
			continue
		}
		if q.record.State == journaler.Intent {
			f.refusal = refusal()
		}
		r.endFlight(f)
		r.queueFreeRecord(f.record, now)
	}
}
