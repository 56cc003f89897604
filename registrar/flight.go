package registrar

import (
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/journaler"
)

// phase is the progress of a flight. A flight passes through the phases in order
// and may end in any of them but running.
type phase int

const (
	// committingIntent means that the intent is queued but not committed.
	committingIntent phase = iota
	// readyToCall means that the intent is committed and the call may start.
	readyToCall
	// running means that the call has started.
	running
	// recording means that the call has returned. Its record, if it needs one,
	// waits to be committed.
	recording
)

// Flight is a call in progress, which all concurrent requests with its key share.
type Flight struct {
	// record describes the request; its state and time are not set.
	record journaler.Record
	phase  phase
	// ready is closed when the phase leaves committingIntent or the flight ends,
	// done when the flight ends.
	ready, done chan struct{}
	// ended is true once done is closed. The fields below do not change after
	// that.
	ended    bool
	response bergamotdale.ServiceResponse
	refusal  *bergamotdale.Refusal
	// recorded reports whether the outcome of the call is committed.
	recorded bool
	// abandoned reports whether the client disconnected before the call started.
	abandoned bool
}

// Ready returns a channel that is closed when the call may start or the flight
// has ended.
func (f *Flight) Ready() <-chan struct{} {
	return f.ready
}

// Done returns a channel that is closed when the flight has ended.
func (f *Flight) Done() <-chan struct{} {
	return f.done
}

// Abandoned reports whether an ended flight ended because its client
// disconnected before the call started. A request that waited for the flight may
// start its own.
func (f *Flight) Abandoned() bool {
	return f.abandoned
}

// Result returns the result of a flight: the response, whether it is committed,
// and, if there is no response, the refusal.
func (f *Flight) Result() (bergamotdale.ServiceResponse, bool, *bergamotdale.Refusal) {
	return f.response, f.recorded, f.refusal
}

// RepeatResult returns the result of an ended flight for another request with
// the same key. If the call returned without a known outcome, that is a refusal
// that names the earlier request instead of the failure of the endpoint.
func (f *Flight) RepeatResult() (bergamotdale.ServiceResponse, bool, *bergamotdale.Refusal) {
	if f.refusal != nil && f.refusal.Outcome == bergamotdale.OutcomeUnknown && f.phase == recording {
		return bergamotdale.ServiceResponse{}, false, outcomeUnknownRefusal()
	}
	return f.Result()
}

// startFlight creates the flight of a key and queues its intent.
func (r *Registry) startFlight(record journaler.Record, now time.Time) *Flight {
	f := &Flight{
		record: record,
		ready:  make(chan struct{}),
		done:   make(chan struct{}),
	}
	r.flights[record.ID()] = f
	r.enqueue(record.WithState(journaler.Intent, r.journal.Timestamp(now)), f)
	return f
}

// BeginCall marks the call of a ready flight as running. It returns false if the
// flight has ended. It panics if the call could run a second time: without a
// committed intent, or when it has been started before.
func (r *Registry) BeginCall(f *Flight) bool {
	if f.ended {
		return false
	}
	if f.phase != readyToCall || r.journal.State(f.record.ID()) != journaler.Intent {
		panic("registrar: call started without a committed intent or started twice")
	}
	f.phase = running
	return true
}

// Abandon ends a flight whose client disconnected before the call started, and
// frees its key. cause is the error of the client's context.
func (r *Registry) Abandon(f *Flight, cause error, now time.Time) {
	if f.ended {
		return
	}
	id := f.record.ID()
	f.refusal = r.clientGoneRefusal(cause)
	f.abandoned = true
	if q, ok := r.queue[id]; ok && q.flight == f {
		r.dequeue(id)
	}
	if f.phase == readyToCall {
		r.journal.SetState(id, journaler.NeverRun)
	}
	r.endFlight(f)
	r.queueFreeRecord(f.record, now)
}

// EndCall takes the result of the call and queues its record. If records cannot
// be committed at present, the flight ends at once without a recorded response.
func (r *Registry) EndCall(f *Flight, response bergamotdale.ServiceResponse, err error, now time.Time) {
	f.phase = recording
	at := r.journal.Timestamp(now)
	record := f.record.WithState(journaler.NotKept, at)
	if err == nil {
		f.response = response
		record = record.WithResponse(response)
	} else {
		f.refusal = refusalOf(err)
	}
	if f.refusal != nil && f.refusal.Outcome == bergamotdale.OutcomeUnknown {
		// The committed intent already records an unknown outcome.
		r.endFlight(f)
		return
	}
	if f.refusal != nil && f.refusal.Outcome == bergamotdale.OutcomeNotRun {
		r.journal.SetState(f.record.ID(), journaler.NeverRun)
		record = f.record.WithState(journaler.Free, at)
	}
	r.enqueue(record, f)
	if r.stopped || r.storeDown {
		r.endFlight(f)
	}
}

// refusalOf returns the refusal that err wraps, or else one that says that the
// endpoint failed. The outcome is unknown unless err states that the call was or
// was not executed.
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

// ResultOnDisconnect returns the result for a client that disconnects after the
// call started: the result of the call if it has returned, or else a refusal.
func (r *Registry) ResultOnDisconnect(f *Flight) (bergamotdale.ServiceResponse, bool, *bergamotdale.Refusal) {
	if f.phase != recording {
		return bergamotdale.ServiceResponse{}, false, InProgressRefusal()
	}
	return f.Result()
}

// endFlight ends a flight, unless it has ended already, and wakes the requests
// that wait for it.
func (r *Registry) endFlight(f *Flight) {
	if f.ended {
		return
	}
	f.ended = true
	if id := f.record.ID(); r.flights[id] == f {
		delete(r.flights, id)
	}
	if f.phase == committingIntent {
		close(f.ready)
	}
	close(f.done)
	r.signalIdle()
}
