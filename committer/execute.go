package committer

import (
	"bytes"
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// repeatAfter is when a client may ask again for a call in progress.
const repeatAfter = time.Second

// Execute runs the call at most once for the key of the request, however often
// and on however many owners the request is repeated. The error is always a
// *bergamotdale.Refusal; its outcome is about the key, not only about this
// request.
//
// The call runs after its intent is committed, and without the cancellation of
// ctx: where the client leaves, the call is finished and its response recorded
// for a repeat. A client that leaves before the call starts gets not-run, and
// the key is free again.
func (s *Shard) Execute(ctx context.Context, r Request, call CallFunc) (Response, error) {
	if refusal := r.validate(); refusal != nil {
		return Response{}, refusal
	}
	for {
		f, leader, response, err := s.join(ctx, r)
		if f == nil {
			return response, err
		}
		if leader {
			return s.lead(ctx, f, call)
		}
		response, again, err := s.follow(ctx, f)
		if !again {
			return response, err
		}
	}
}

// join returns the flight of the request, and true where the caller has to
// run it. It returns no flight where the response is known at once.
func (s *Shard) join(ctx context.Context, r Request) (*flight, bool, Response, error) {
	wanted := newRecord(r)
	id, hash := wanted.id, wanted.hash
	s.lock.Lock()
	if f := s.flights[id]; f != nil {
		defer s.lock.Unlock()
		if f.record.hash != hash {
			return nil, false, Response{}, keyReused()
		}
		return f, false, Response{}, nil
	}
	if q, ok := s.unrecorded(id); ok {
		defer s.lock.Unlock()
		if q.record.hash != hash {
			return nil, false, Response{}, keyReused()
		}
		response, err := repeated(q.record, false)
		return nil, false, response, err
	}
	e := s.journal.lookup(id, s.now())
	switch e.state {
	case absent, free, unused:
		defer s.lock.Unlock()
		if refusal := s.closed(ctx); refusal != nil {
			return nil, false, Response{}, refusal
		}
		return s.start(wanted), true, Response{}, nil
	}
	if e.hash != hash {
		defer s.lock.Unlock()
		return nil, false, Response{}, keyReused()
	}
	text, sealed := s.find(id, e)
	s.lock.Unlock()
	response, err := s.recorded(ctx, id, e, text, sealed)
	return nil, false, response, err
}

// unrecorded returns the record of an executed call that is not committed.
func (s *Shard) unrecorded(id recordID) (queued, bool) {
	q, ok := s.queue[id]
	if !ok {
		q, ok = s.writing[id]
	}
	return q, ok && (q.record.State == done || q.record.State == notKept)
}

// closed returns the refusal of a new key, or nil where it may start.
func (s *Shard) closed(ctx context.Context) *bergamotdale.Refusal {
	switch {
	case s.fenced, s.stopped, s.draining:
		return s.handedOver()
	case s.down:
		return s.storeUnavailable(nil)
	case ctx.Err() != nil:
		return s.tooLate(ctx)
	}
	return nil
}

// handedOver returns the refusal of a shard that has stopped or is draining.
func (s *Shard) handedOver() *bergamotdale.Refusal {
	if s.fenced {
		return s.refuse(bergamotdale.CodeNotOwner, "shard %d has another owner", s.settings.Number).
			After(repeatAfter)
	}
	return s.refuse(bergamotdale.CodeStopping, "shard %d is being handed over", s.settings.Number).
		After(repeatAfter)
}

func (s *Shard) storeUnavailable(cause error) *bergamotdale.Refusal {
	return s.refuse(bergamotdale.CodeStoreUnavailable, "the store is unavailable").
		WithCause(cause).
		After(s.settings.ProbeInterval)
}

func (s *Shard) tooLate(ctx context.Context) *bergamotdale.Refusal {
	return s.refuse(bergamotdale.CodeDeadlineExceeded, "the request ended before the call started").
		WithCause(ctx.Err())
}

func keyReused() *bergamotdale.Refusal {
	return bergamotdale.Refuse(bergamotdale.CodeKeyReused, "the idempotency key was used with another request")
}

func unknown(message string) *bergamotdale.Refusal {
	return bergamotdale.Refuse(bergamotdale.CodeOutcomeUnknown, "%s", message).
		WithOutcome(bergamotdale.OutcomeUnknown)
}

func inProgress() *bergamotdale.Refusal {
	return bergamotdale.Refuse(bergamotdale.CodeInProgress, "the call is in progress").
		WithOutcome(bergamotdale.OutcomeUnknown).
		After(repeatAfter)
}

// start creates the flight of a key and queues its intent.
func (s *Shard) start(r record) *flight {
	f := &flight{
		record: r,
		grant:  make(chan struct{}),
		done:   make(chan struct{}),
	}
	s.flights[r.id] = f
	s.enqueue(r.in(intent, s.now()), f)
	return f
}

// lead waits for the commit of the intent, runs the call and waits for the
// commit of its record.
func (s *Shard) lead(ctx context.Context, f *flight, call CallFunc) (Response, error) {
	select {
	case <-f.grant:
	case <-ctx.Done():
	}
	if !s.begin(ctx, f) {
		return f.result()
	}
	go s.run(context.WithoutCancel(ctx), f, call)
	select {
	case <-f.done:
		return f.result()
	case <-ctx.Done():
		return s.leave(f)
	}
}

// begin moves a granted flight to running. It returns false where the call
// must not run; the flight has ended then.
func (s *Shard) begin(ctx context.Context, f *flight) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if f.ended {
		return false
	}
	if ctx.Err() != nil {
		s.abandon(ctx, f)
		return false
	}
	if f.phase != granted || s.journal.index[f.record.id].state != intent {
		panic("committer: call without a committed intent, or started twice")
	}
	f.phase = running
	s.stats.Calls++
	return true
}

// abandon ends a flight whose call has not started.
func (s *Shard) abandon(ctx context.Context, f *flight) {
	f.refusal = s.tooLate(ctx)
	f.abandoned = true
	if q, ok := s.queue[f.record.id]; ok && q.flight == f {
		s.dequeue(f.record.id)
	}
	if f.phase == granted {
		s.journal.setState(f.record.id, unused)
	}
	s.finish(f)
	s.release(f.record)
}

func (s *Shard) dequeue(id recordID) {
	delete(s.queue, id)
	for i, queuedID := range s.order {
		if queuedID == id {
			s.order = append(s.order[:i], s.order[i+1:]...)
			return
		}
	}
}

// run executes the call and queues the record of its result.
func (s *Shard) run(ctx context.Context, f *flight, call CallFunc) {
	ctx, cancel := withTimeout(ctx, s.settings.Clock, s.settings.CallTimeout)
	defer cancel()
	response, err := call(ctx)
	s.lock.Lock()
	defer s.lock.Unlock()
	f.phase = recording
	outcome := bergamotdale.OutcomeRun
	if err != nil {
		f.refusal = refusalOf(err)
		outcome = f.refusal.Outcome
	} else {
		f.response = Response{ServiceResponse: response}
	}
	r := f.record.in(notKept, s.now())
	switch {
	case err == nil:
		r = r.withResponse(response)
	case outcome == bergamotdale.OutcomeNotRun:
		r.State = free
		s.journal.setState(f.record.id, unused)
	case outcome != bergamotdale.OutcomeRun:
		// The committed intent states what is known.
		s.finish(f)
		return
	}
	s.enqueue(r, f)
	if s.stopped || s.down {
		// The client does not wait for a store that is not there.
		s.finish(f)
	}
}

// refusalOf returns the refusal in err. Where it states no outcome, or err is
// no refusal, the outcome is unknown.
func refusalOf(err error) *bergamotdale.Refusal {
	var refusal *bergamotdale.Refusal
	if errors.As(err, &refusal) {
		stated := *refusal
		if stated.Outcome != bergamotdale.OutcomeRun && stated.Outcome != bergamotdale.OutcomeNotRun {
			stated.Outcome = bergamotdale.OutcomeUnknown
		}
		return &stated
	}
	return bergamotdale.Refuse(bergamotdale.CodeEndpointFailed, "the endpoint failed").
		WithOutcome(bergamotdale.OutcomeUnknown).
		WithCause(err)
}

// result returns the result of an ended flight.
func (f *flight) result() (Response, error) {
	if f.refusal != nil {
		return Response{}, f.refusal
	}
	return f.response, nil
}

// leave returns what a client learns that leaves while the call is running.
func (s *Shard) leave(f *flight) (Response, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if f.phase != recording {
		return Response{}, inProgress()
	}
	return f.result()
}

// follow waits for the flight of another request with the same key. It returns
// true where that request left before the call started.
func (s *Shard) follow(ctx context.Context, f *flight) (Response, bool, error) {
	select {
	case <-f.done:
	case <-ctx.Done():
		return Response{}, false, inProgress()
	case <-s.settings.Clock.After(s.settings.RepeatWait):
		return Response{}, false, inProgress()
	}
	if f.abandoned {
		return Response{}, true, nil
	}
	response, err := f.result()
	if err == nil {
		response.Repeated = true
		return response, false, nil
	}
	if f.refusal.Outcome == bergamotdale.OutcomeUnknown && f.phase == recording {
		return Response{}, false, unknown("the first request with this key ended without a response")
	}
	return Response{}, false, err
}

// find returns the line of a committed record in the open segment, or the
// sealed segment that holds it.
func (s *Shard) find(id recordID, e entry) ([]byte, segment) {
	if text, ok := s.journal.openLine(id); ok {
		return text, segment{}
	}
	sealed, _ := s.journal.sealed(e.segment)
	return nil, sealed
}

// recorded returns what the journal says about an earlier call.
func (s *Shard) recorded(ctx context.Context, id recordID, e entry, text []byte, sealed segment) (Response, error) {
	if e.state == intent {
		return Response{}, unknown("an earlier request with this key ended without a response")
	}
	if e.state == notKept {
		return repeated(record{State: notKept}, true)
	}
	if text == nil {
		var err error
		if text, err = s.fetch(ctx, id, sealed); err != nil {
			return Response{}, bergamotdale.Refuse(bergamotdale.CodeStoreUnavailable,
				"the call was executed; its response cannot be read").
				WithOutcome(bergamotdale.OutcomeRun).
				WithCause(err).
				After(s.settings.ProbeInterval)
		}
	}
	var r record
	err := eachRecord(text, func(found record, _ []byte) error {
		r = found
		return nil
	})
	if err != nil || r.State != done {
		return Response{}, bergamotdale.Refuse(bergamotdale.CodeInternal, "record unreadable").
			WithOutcome(bergamotdale.OutcomeRun).
			WithCause(err)
	}
	return repeated(r, true)
}

// fetch reads the line of a record from a sealed segment.
func (s *Shard) fetch(ctx context.Context, id recordID, sealed segment) ([]byte, error) {
	value, err := s.sealedValue(ctx, sealed)
	if err != nil {
		return nil, err
	}
	_, lines, _ := bytes.Cut(value, []byte("\n"))
	var text []byte
	err = eachRecord(lines, func(r record, line []byte) error {
		if r.id == id {
			text = line
		}
		return nil
	})
	if err == nil && text == nil {
		err = errors.Annotatef(ErrCorrupt, "record missing from segment %d", sealed.Number)
	}
	return text, err
}

// sealedValue returns the value of a sealed segment. The last one read is kept,
// so a client that repeats one key often costs one read.
func (s *Shard) sealedValue(ctx context.Context, sealed segment) ([]byte, error) {
	s.lock.Lock()
	kept, down := s.fetched, s.down
	s.lock.Unlock()
	if kept.value != nil && kept.number == sealed.Number {
		return kept.value, nil
	}
	if down {
		return nil, bergamotdale.ErrUnavailable
	}
	stored, err := s.get(ctx, segmentKey(s.settings.Number, sealed))
	if err != nil {
		return nil, err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.fetched = fetched{number: sealed.Number, value: stored.Value}
	return stored.Value, nil
}

// repeated returns the response to a repeat of an executed call.
func repeated(r record, recorded bool) (Response, error) {
	if r.State == notKept {
		return Response{}, bergamotdale.Refuse(bergamotdale.CodeAnswerNotKept,
			"the call was executed; its response was not kept").
			WithOutcome(bergamotdale.OutcomeRun)
	}
	return Response{ServiceResponse: r.serviceResponse(), Repeated: true, Recorded: recorded}, nil
}
