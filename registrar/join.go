package registrar

import (
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/journaler"
)

// repeatAfter is when a client may ask again for a call in progress.
const repeatAfter = time.Second

// Answer is what a request with a key gets. Exactly one of Flight, Refusal,
// Record and Segment is set.
type Answer struct {
	// Flight is a call in progress. Leader is true where the request has
	// started it and has to run the call.
	Flight *Flight
	Leader bool
	// Refusal is the final response.
	Refusal *bergamotdale.Refusal
	// Record is the record of an executed call. Recorded is true where it is
	// committed.
	Record   *journaler.Record
	Recorded bool
	// Segment is the sealed segment that holds the record.
	Segment *journaler.Segment
}

// Join returns what the request of the record gets. cause is the error of a
// client that has left already, or nil.
func (r *Register) Join(record journaler.Record, cause error, now time.Time) Answer {
	id := record.ID()
	if f := r.flights[id]; f != nil {
		if f.record.Hash() != record.Hash() {
			return Answer{Refusal: keyReused()}
		}
		return Answer{Flight: f}
	}
	if q, ok := r.unrecorded(id); ok {
		if q.record.Hash() != record.Hash() {
			return Answer{Refusal: keyReused()}
		}
		return answerOf(q.record, false)
	}
	e := r.journal.Lookup(id, r.journal.Timestamp(now))
	switch e.State {
	case journaler.Absent, journaler.Free, journaler.NeverRun:
		if refusal := r.closed(cause); refusal != nil {
			return Answer{Refusal: refusal}
		}
		return Answer{Flight: r.start(record, now), Leader: true}
	}
	if e.Hash != record.Hash() {
		return Answer{Refusal: keyReused()}
	}
	switch e.State {
	case journaler.Intent:
		return Answer{Refusal: unknown()}
	case journaler.NotKept:
		return Answer{Refusal: NotKept(record.WithState(e.State, e.At))}
	}
	line, segment := r.journal.Locate(id)
	if line == nil {
		return Answer{Segment: &segment}
	}
	found, err := journaler.Decode(line)
	if err != nil {
		return Answer{Refusal: Unreadable(bergamotdale.CodeInternal, err)}
	}
	return answerOf(found, true)
}

// unrecorded returns the record of an executed call that is not committed.
func (r *Register) unrecorded(id journaler.ID) (queued, bool) {
	q, ok := r.queue[id]
	if !ok {
		q, ok = r.writing[id]
	}
	return q, ok && (q.record.State == journaler.Done || q.record.State == journaler.NotKept)
}

func answerOf(record journaler.Record, recorded bool) Answer {
	if refusal := NotKept(record); refusal != nil {
		return Answer{Refusal: refusal}
	}
	return Answer{Record: &record, Recorded: recorded}
}

// closed returns the refusal of a new key, or nil where it may start.
func (r *Register) closed(cause error) *bergamotdale.Refusal {
	switch {
	case r.fenced, r.stopped, r.draining:
		return r.handedOver()
	case r.down:
		return r.storeUnavailable(nil)
	case cause != nil:
		return r.tooLate(cause)
	}
	return nil
}

// refuse returns a refusal of a request whose call did not start. Its outcome
// is not-run only where no other owner can have executed the key.
func (r *Register) refuse(code bergamotdale.Code, format string, args ...any) *bergamotdale.Refusal {
	refusal := bergamotdale.Refuse(code, format, args...)
	if r.fenced || r.stopped || !r.settings.Held() {
		refusal.Outcome = bergamotdale.OutcomeUnknown
	}
	return refusal
}

// handedOver returns the refusal of a shard that has stopped or is draining.
func (r *Register) handedOver() *bergamotdale.Refusal {
	if r.fenced {
		return r.refuse(bergamotdale.CodeNotOwner, "shard %d has another owner", r.settings.Shard).
			After(repeatAfter)
	}
	return r.refuse(bergamotdale.CodeStopping, "shard %d is being handed over", r.settings.Shard).
		After(repeatAfter)
}

func (r *Register) storeUnavailable(cause error) *bergamotdale.Refusal {
	return r.refuse(bergamotdale.CodeStoreUnavailable, "the store is unavailable").
		WithCause(cause).
		After(r.settings.RetryAfter)
}

func (r *Register) tooLate(cause error) *bergamotdale.Refusal {
	return r.refuse(bergamotdale.CodeDeadlineExceeded, "the request ended before the call started").
		WithCause(cause)
}

func keyReused() *bergamotdale.Refusal {
	return bergamotdale.Refuse(bergamotdale.CodeKeyReused, "the idempotency key was used with another request")
}

func unknown() *bergamotdale.Refusal {
	return bergamotdale.Refuse(bergamotdale.CodeOutcomeUnknown,
		"an earlier request with this key ended without a response").
		WithOutcome(bergamotdale.OutcomeUnknown)
}

// InProgress returns the refusal of a request that does not wait any longer for
// the call of its key.
func InProgress() *bergamotdale.Refusal {
	return bergamotdale.Refuse(bergamotdale.CodeInProgress, "the call is in progress").
		WithOutcome(bergamotdale.OutcomeUnknown).
		After(repeatAfter)
}

// NotKept returns the refusal of a repeat whose response was not kept, or nil
// where the record holds the response.
func NotKept(record journaler.Record) *bergamotdale.Refusal {
	if record.State == journaler.Done {
		return nil
	}
	return bergamotdale.Refuse(bergamotdale.CodeAnswerNotKept,
		"the call was executed; its response was not kept").
		WithOutcome(bergamotdale.OutcomeRun)
}

// Unreadable returns the refusal of a repeat whose record cannot be read.
func Unreadable(code bergamotdale.Code, cause error) *bergamotdale.Refusal {
	return bergamotdale.Refuse(code, "the call was executed; its response cannot be read").
		WithOutcome(bergamotdale.OutcomeRun).
		WithCause(cause).
		After(repeatAfter)
}
