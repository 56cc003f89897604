package relayer

import (
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/delayer"
)

// returns decides when refused callers return. The zero value is ready.
type returns struct {
	mu sync.Mutex
	// services holds the state of each service, by name.
	services map[string]*serviceReturns
}

// serviceReturns is the state of one service.
type serviceReturns struct {
	demand   delayer.Demand
	schedule delayer.Schedule
}

// update calls f with the state of a service, which is created on first use.
func (r *returns) update(service string, f func(*serviceReturns)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.services = map[string]*serviceReturns{}
	}
	s := r.services[service]
	if s == nil {
		s = &serviceReturns{}
		r.services[service] = s
	}
	f(s)
}

// recordArrival records the request in the demand for its service.
func (j *job) recordArrival() {
	j.relayer.returns.update(j.service, func(s *serviceReturns) { s.demand.AddRequest(j.arrival) })
}

// recordDuration records how long the endpoint that completed the request was busy.
func (j *job) recordDuration() {
	d := j.relayer.Clock.Now().Sub(j.enteredAt)
	j.relayer.returns.update(j.service, func(s *serviceReturns) { s.demand.AddDuration(d) })
}

// returnDelay returns after which time the client may send the refused request again.
// While endpoints of its service have named a time, that depends on when they take
// requests again and on the callers that return before.
func (j *job) returnDelay(refusal *bergamotdale.Refusal) time.Duration {
	if isAdmissionRefusal(refusal) {
		return refusal.RetryAfter
	}
	now := j.relayer.Clock.Now()
	left := j.envelope.TimeLeft
	if left > 0 {
		left = max(0, left-now.Sub(j.arrival))
	}
	delay := delayer.RetryDelay(j.envelope.RequestID, refusal.RetryAfter, j.verdict.Priority, left)
	if next, ok := j.turnAfter(refusal, now); ok {
		// Callers that were refused together return spread over the usual time.
		delay = max(delay, next.Sub(now)+delayer.RetryDelay(j.envelope.RequestID, refusedRetryAfter, j.verdict.Priority, left))
		refusal.RetryAfter = delay
	}
	if openings := j.openings(refusal, now); openings != nil {
		caller := delayer.Caller{RequestID: j.envelope.RequestID, Priority: j.verdict.Priority, TimeLeft: left}
		j.relayer.returns.update(j.service, func(s *serviceReturns) {
			rate := 1 / s.demand.Duration(j.usualDuration()).Seconds() / float64(max(1, j.relayer.Routers()))
			for i := range openings {
				openings[i].Rate *= rate
			}
			delay = max(delay, s.schedule.Book(now, caller, openings, s.demand.Rate(now)))
		})
		refusal.RetryAfter = delay
	}
	return delay
}

// usualDuration is assumed to be the duration of a request until one has ended.
func (j *job) usualDuration() time.Duration {
	if objective := j.verdict.Route.Objective; objective > 0 {
		return objective
	}
	return time.Second
}

// openings returns when the endpoints of the service take requests, with the number of
// their slots as rate. It returns nil if none has named a time or if the request was
// refused for another reason than a lack of endpoints.
func (j *job) openings(refusal *bergamotdale.Refusal, now time.Time) []delayer.Opening {
	switch refusal.Code {
	case bergamotdale.CodeNoEndpoint, bergamotdale.CodeEndpointRefused, bergamotdale.CodeRetryBudgetSpent:
	default:
		return nil
	}
	if refusal.Outcome != bergamotdale.OutcomeNotRun {
		return nil
	}
	anyClosed := false
	var openings []delayer.Opening
	for _, e := range j.relayer.Directory.State().Endpoints(j.service) {
		if !e.Usable(now) || j.relayer.Gatekeeper.Leaving(e) || !j.isOfPin(e) {
			continue
		}
		until, closed := j.relayer.Gatekeeper.ClosedUntil(e)
		if !closed {
			until = now
		}
		anyClosed = anyClosed || closed
		openings = append(openings, delayer.Opening{At: until, Rate: float64(max(1, e.Slots))})
	}
	if !anyClosed {
		return nil
	}
	return openings
}
