package registrar

import (
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/journaler"
)

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

// Flight is a call in progress.
type Flight struct {
	// record is the record of the request without state and time.
	record journaler.Record
	phase  phase
	// grant is closed when the phase leaves waiting, done at the end.
	grant, done chan struct{}
	// ended is true once done is closed. The fields below do not change then.
	ended    bool
	response bergamotdale.ServiceResponse
	refusal  *bergamotdale.Refusal
	// recorded is true where the response was committed.
	recorded bool
	// abandoned is true where the client left before the call started.
	abandoned bool
}

// Granted is closed when the call may start or the flight has ended.
func (f *Flight) Granted() <-chan struct{} {
	return f.grant
}

// Done is closed when the flight has ended.
func (f *Flight) Done() <-chan struct{} {
	return f.done
}

// Abandoned reports of an ended flight that its client left before the call
// started. A request that waited for it may start its own.
func (f *Flight) Abandoned() bool {
	return f.abandoned
}

// Result returns the result of a flight: the response, whether it is recorded,
// and the refusal instead of a response.
func (f *Flight) Result() (bergamotdale.ServiceResponse, bool, *bergamotdale.Refusal) {
	return f.response, f.recorded, f.refusal
}

// RepeatResult returns the result of an ended flight for another request with
// its key.
func (f *Flight) RepeatResult() (bergamotdale.ServiceResponse, bool, *bergamotdale.Refusal) {
	if f.refusal != nil && f.refusal.Outcome == bergamotdale.OutcomeUnknown && f.phase == recording {
		return bergamotdale.ServiceResponse{}, false, unknown()
	}
	return f.Result()
}

// start creates the flight of a key and queues its intent.
func (r *Register) start(record journaler.Record, now time.Time) *Flight {
	f := &Flight{
		record: record,
		grant:  make(chan struct{}),
		done:   make(chan struct{}),
	}
	r.flights[record.ID()] = f
	r.enqueue(record.WithState(journaler.Intent, r.journal.Timestamp(now)), f)
	return f
}

// Begin moves a granted flight to running. It returns false where the flight
// has ended. It panics where the call could run a second time.
func (r *Register) Begin(f *Flight) bool {
	if f.ended {
		return false
	}
	if f.phase != granted || r.journal.State(f.record.ID()) != journaler.Intent {
		panic("registrar: call without a committed intent, or started twice")
	}
	f.phase = running
	return true
}

// Abandon ends a flight whose call has not started, because its client left.
func (r *Register) Abandon(f *Flight, cause error, now time.Time) {
	if f.ended {
		return
	}
	id := f.record.ID()
	f.refusal = r.tooLate(cause)
	f.abandoned = true
	if q, ok := r.queue[id]; ok && q.flight == f {
		r.dequeue(id)
	}
	if f.phase == granted {
		r.journal.SetState(id, journaler.NeverRun)
	}
	r.finish(f)
	r.release(f.record, now)
}

// Ran reports the result of the call and queues its record. Where nothing can
// be recorded at present the flight ends at once.
func (r *Register) Ran(f *Flight, response bergamotdale.ServiceResponse, err error, now time.Time) {
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
		// The committed intent states what is known.
		r.finish(f)
		return
	}
	if f.refusal != nil && f.refusal.Outcome == bergamotdale.OutcomeNotRun {
		r.journal.SetState(f.record.ID(), journaler.NeverRun)
		record = f.record.WithState(journaler.Free, at)
	}
	r.enqueue(record, f)
	if r.stopped || r.down {
		r.finish(f)
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

// Leave returns what a client learns that leaves after the call started.
func (r *Register) Leave(f *Flight) (bergamotdale.ServiceResponse, bool, *bergamotdale.Refusal) {
	if f.phase != recording {
		return bergamotdale.ServiceResponse{}, false, InProgress()
	}
	return f.Result()
}

// finish ends a flight.
func (r *Register) finish(f *Flight) {
	if f.ended {
		return
	}
	f.ended = true
	if id := f.record.ID(); r.flights[id] == f {
		delete(r.flights, id)
	}
	if f.phase == waiting {
		close(f.grant)
	}
	close(f.done)
	r.signalIdle()
}
