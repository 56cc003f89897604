package registrar

import (
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/journaler"
)

// defaultRetryAfter is the delay after which a client may repeat a refused
// request, except during an outage of the store.
const defaultRetryAfter = time.Second

// JoinResult tells a request how to get its response. Exactly one of Flight,
// Refusal, Record and Segment is set.
type JoinResult struct {
	// Flight is the call in progress for the key. Leader reports whether this
	// request started the flight and has to run the call.
	Flight *Flight
	Leader bool
	// Refusal is the final result of the request.
	Refusal *bergamotdale.Refusal
	// Record holds the response of an executed call. Recorded reports whether it
	// is committed.
	Record   *journaler.Record
	Recorded bool
	// Segment is the sealed segment in the store that holds the record of an
	// executed call.
	Segment *journaler.Segment
}

// Join looks up the key of a request: it returns the call in progress or the
// recorded outcome of the key, or starts a flight if the key is new or free.
// record describes the request. cause is the context error of a client that has
// already disconnected, or nil.
func (r *Registry) Join(record journaler.Record, cause error, now time.Time) JoinResult {
	id := record.ID()
	if f := r.flights[id]; f != nil {
		if f.record.Hash() != record.Hash() {
			return JoinResult{Refusal: keyReusedRefusal()}
		}
		return JoinResult{Flight: f}
	}
	if q, ok := r.uncommittedRecord(id); ok {
		if q.record.Hash() != record.Hash() {
			return JoinResult{Refusal: keyReusedRefusal()}
		}
		return joinResultOf(q.record, false)
	}
	e := r.journal.Lookup(id, r.journal.Timestamp(now))
	switch e.State {
	case journaler.Absent, journaler.Free, journaler.NeverRun:
		if refusal := r.newKeyRefusal(cause); refusal != nil {
			return JoinResult{Refusal: refusal}
		}
		return JoinResult{Flight: r.startFlight(record, now), Leader: true}
	}
	if e.Hash != record.Hash() {
		return JoinResult{Refusal: keyReusedRefusal()}
	}
	switch e.State {
	case journaler.Intent:
		return JoinResult{Refusal: outcomeUnknownRefusal()}
	case journaler.NotKept:
		return JoinResult{Refusal: NotKeptRefusal(record.WithState(e.State, e.At))}
	}
	line, segment := r.journal.Locate(id)
	if line == nil {
		return JoinResult{Segment: &segment}
	}
	found, err := journaler.Decode(line)
	if err != nil {
		return JoinResult{Refusal: UnreadableRefusal(bergamotdale.CodeInternal, err)}
	}
	return joinResultOf(found, true)
}

// uncommittedRecord returns the record of an executed call that is queued or
// being written.
func (r *Registry) uncommittedRecord(id journaler.ID) (queuedRecord, bool) {
	q, ok := r.queue[id]
	if !ok {
		q, ok = r.committing[id]
	}
	return q, ok && (q.record.State == journaler.Done || q.record.State == journaler.NotKept)
}

// joinResultOf returns the response in the record, or a refusal if the record
// does not hold one.
func joinResultOf(record journaler.Record, recorded bool) JoinResult {
	if refusal := NotKeptRefusal(record); refusal != nil {
		return JoinResult{Refusal: refusal}
	}
	return JoinResult{Record: &record, Recorded: recorded}
}

// newKeyRefusal returns the refusal of a request with a new key, or nil if its
// call may start.
func (r *Registry) newKeyRefusal(cause error) *bergamotdale.Refusal {
	switch {
	case r.fenced, r.stopped, r.draining:
		return r.handoverRefusal()
	case r.storeDown:
		return r.storeUnavailableRefusal(nil)
	case cause != nil:
		return r.clientGoneRefusal(cause)
	}
	return nil
}

// newRefusal returns the refusal of a request whose call did not start. It
// leaves the outcome of the code unless another owner may have executed the
// call, which makes the outcome unknown.
func (r *Registry) newRefusal(code bergamotdale.Code, format string, args ...any) *bergamotdale.Refusal {
	refusal := bergamotdale.Refuse(code, format, args...)
	if r.fenced || r.stopped || !r.settings.StillOwned() {
		refusal.Outcome = bergamotdale.OutcomeUnknown
	}
	return refusal
}

// handoverRefusal returns the refusal of a request to a shard that is draining,
// has stopped or has another owner.
func (r *Registry) handoverRefusal() *bergamotdale.Refusal {
	if r.fenced {
		return r.newRefusal(bergamotdale.CodeNotOwner, "idempotency shard %d has another owner", r.settings.Shard).
			After(defaultRetryAfter)
	}
	return r.newRefusal(bergamotdale.CodeStopping, "idempotency shard %d is being handed over to another owner", r.settings.Shard).
		After(defaultRetryAfter)
}

// storeUnavailableRefusal returns the refusal of a request whose intent cannot be
// committed.
func (r *Registry) storeUnavailableRefusal(cause error) *bergamotdale.Refusal {
	return r.newRefusal(bergamotdale.CodeStoreUnavailable, "the store of idempotency records is unavailable").
		WithCause(cause).
		After(r.settings.RetryAfter)
}

// clientGoneRefusal returns the refusal of a request whose client disconnected
// before the call started.
func (r *Registry) clientGoneRefusal(cause error) *bergamotdale.Refusal {
	return r.newRefusal(bergamotdale.CodeDeadlineExceeded, "the request was canceled or timed out before the call started").
		WithCause(cause)
}

// keyReusedRefusal returns the refusal of a request whose key belongs to a
// request with other content.
func keyReusedRefusal() *bergamotdale.Refusal {
	return bergamotdale.Refuse(bergamotdale.CodeKeyReused, "the idempotency key was already used for a different request")
}

// outcomeUnknownRefusal returns the refusal of a repeat whose key has an intent
// but no recorded outcome.
func outcomeUnknownRefusal() *bergamotdale.Refusal {
	return bergamotdale.Refuse(bergamotdale.CodeOutcomeUnknown,
		"an earlier request with this idempotency key ended without a response").
		WithOutcome(bergamotdale.OutcomeUnknown)
}

// InProgressRefusal returns the refusal of a request that stops waiting for the
// call of its key while it is in progress.
func InProgressRefusal() *bergamotdale.Refusal {
	return bergamotdale.Refuse(bergamotdale.CodeInProgress, "the call is still in progress").
		WithOutcome(bergamotdale.OutcomeUnknown).
		After(defaultRetryAfter)
}

// NotKeptRefusal returns the refusal of a repeat if the record of the executed
// call does not hold the response, or nil if it does.
func NotKeptRefusal(record journaler.Record) *bergamotdale.Refusal {
	if record.State == journaler.Done {
		return nil
	}
	return bergamotdale.Refuse(bergamotdale.CodeAnswerNotKept,
		"the call was executed, but its response was not kept").
		WithOutcome(bergamotdale.OutcomeRun)
}

// UnreadableRefusal returns the refusal of a repeat if the record of the executed
// call cannot be read or decoded.
func UnreadableRefusal(code bergamotdale.Code, cause error) *bergamotdale.Refusal {
	return bergamotdale.Refuse(code, "the call was executed, but its response cannot be read").
		WithOutcome(bergamotdale.OutcomeRun).
		WithCause(cause).
		After(defaultRetryAfter)
}
