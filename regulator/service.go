package regulator

import (
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/apportioner"
	"github.com/bergamotdale/bergamotdale/delayer"
	"github.com/bergamotdale/bergamotdale/queuer"
)

const (
	// pollInterval is the longest time between two looks at a queue. Requests become
	// late, and loads of other routers expire, without an event.
	pollInterval = 50 * time.Millisecond
	// bindingPeriod is how long no request has had to wait when the share is reported
	// as no longer binding.
	bindingPeriod = 5 * time.Second
	// objectivePeriod is how long the objective of a route counts after its last request.
	objectivePeriod = time.Minute
	// fallbackRetryAfter is the Retry-After time of a refusal while the service has no
	// capacity.
	fallbackRetryAfter = time.Second
)

// waiter is a request in admission.
type waiter struct {
	request bergamotdale.AdmissionRequest
	ticket  *queuer.Ticket[*waiter]
	// flight is set once the request may be sent, and refusal once it is refused.
	flight  *apportioner.Flight
	refusal *bergamotdale.Refusal
	// decided is closed after one of them has been set.
	decided chan struct{}
}

// service holds the admission of one service. It does no I/O and is not safe for
// concurrent use.
type service struct {
	name     string
	share    *apportioner.Share
	queue    *queuer.Queue[*waiter]
	schedule delayer.Schedule
	// endpoints and fleet are the latest known.
	endpoints []apportioner.Endpoint
	fleet     apportioner.Fleet
	// objective is the shortest objective of the requests of the last minute.
	objective   time.Duration
	objectiveAt time.Time
	maxWaiting  int
	// waitedAt is the time of the last request that had to wait, and binding is set
	// from the first one on until none has for bindingPeriod. waited and refused count
	// the requests meanwhile.
	waitedAt        time.Time
	binding         bool
	waited, refused int64
}

func newService(name string, seed uint64, maxWaiting int) *service {
	return &service{name: name, share: apportioner.New(seed), queue: queuer.New[*waiter](), maxWaiting: maxWaiting}
}

// observe takes over what is known of the endpoints and of the other routers.
func (s *service) observe(now time.Time, endpoints []apportioner.Endpoint, fleet apportioner.Fleet) {
	s.endpoints, s.fleet = endpoints, fleet
	s.update(now, 0)
}

// update computes the share. extra is the number of requests that are about to wait.
func (s *service) update(now time.Time, extra int) {
	s.share.Update(now, s.endpoints, s.fleet, s.queue.OnTime(now, s.pace(now))+extra, s.objective)
}

// pace returns how fast the queue is served. The reserve of one processing time covers
// requests that take twice as long as the mean.
func (s *service) pace(now time.Time) queuer.Pace {
	return queuer.Pace{Rate: s.share.Rate(), Arrivals: s.share.Arrivals(now), Duration: s.share.Duration() + s.share.Work()}
}

// submit lets a request go, queues or refuses it.
func (s *service) submit(now time.Time, w *waiter) {
	s.recordObjective(now, w.request.Objective)
	if len(w.request.Tried) == 0 {
		// Another attempt of a request is no further demand.
		s.share.Arrive(now)
	}
	s.update(now, 0)
	if s.queue.Len() == 0 || w.request.Immediate {
		if f := s.share.Start(now, w.request.Tried, w.request.Immediate); f != nil {
			s.queue.Charge(now, w.request.Workspace)
			w.flight = f
			return
		}
	}
	s.update(now, 1)
	pace := s.pace(now)
	s.waitedAt = now
	if s.queue.Len() >= s.maxWaiting {
		s.refuse(now, w, bergamotdale.Refuse(bergamotdale.CodeOverloaded, "%d requests wait for service %s", s.queue.Len(), s.name))
		return
	}
	r := queuer.Request{Workspace: w.request.Workspace, Priority: w.request.Priority, Deadline: w.request.Deadline}
	if w.request.Objective > 0 {
		r.Objective = w.request.Arrival.Add(w.request.Objective)
	}
	ticket, wait := s.queue.Push(now, r, w, pace)
	if ticket == nil {
		s.refuse(now, w, s.tooLong(wait))
		return
	}
	w.ticket = ticket
	s.waited++
}

// tooLong returns the refusal of a request that would not be served in its time.
func (s *service) tooLong(wait time.Duration) *bergamotdale.Refusal {
	return bergamotdale.Refuse(bergamotdale.CodeWaitTooLong, "%d requests wait for service %s, the wait would be %s",
		s.queue.Len(), s.name, wait.Round(time.Millisecond))
}

// recordObjective takes over the shortest objective of the requests of the last minute.
func (s *service) recordObjective(now time.Time, objective time.Duration) {
	if objective > 0 && (s.objective == 0 || objective <= s.objective || now.Sub(s.objectiveAt) > objectivePeriod) {
		s.objective, s.objectiveAt = objective, now
	}
}

// refuse refuses a request, with the time at which there is room for its return.
func (s *service) refuse(now time.Time, w *waiter, refusal *bergamotdale.Refusal) {
	s.refused++
	left := time.Duration(0)
	if !w.request.Deadline.IsZero() {
		left = max(0, w.request.Deadline.Sub(now))
	}
	caller := delayer.Caller{RequestID: w.request.RequestID, Priority: w.request.Priority, TimeLeft: left}
	s.update(now, 0)
	delay := s.schedule.Book(now, caller, []delayer.Opening{{At: now, Rate: s.share.Rate()}}, s.share.Arrivals(now))
	if delay <= 0 {
		delay = fallbackRetryAfter
	}
	w.refusal = refusal.After(delay)
}

// dispatch lets requests go as far as the share allows and refuses those that will not
// be served in their time. It returns the requests that have been decided.
func (s *service) dispatch(now time.Time) []*waiter {
	var decided []*waiter
	if s.queue.Len() == 0 {
		return nil
	}
	s.update(now, 0)
	for _, t := range s.queue.Expire(now, s.pace(now)) {
		s.refuse(now, t.Value, s.tooLong(s.queue.Wait(now, t.Request, s.pace(now))))
		decided = append(decided, t.Value)
	}
	for {
		t := s.queue.Next(now, s.pace(now))
		if t == nil {
			return decided
		}
		f := s.share.Start(now, t.Value.request.Tried, false)
		if f == nil {
			return decided
		}
		s.queue.Take(now, t)
		t.Value.flight = f
		decided = append(decided, t.Value)
	}
}

// leave removes a request whose client no longer waits.
func (s *service) leave(w *waiter) { s.queue.Remove(w.ticket) }

// next returns the time until the queue has to be looked at again, or a negative time
// if no request waits.
func (s *service) next(now time.Time) time.Duration {
	if s.queue.Len() == 0 {
		return -1
	}
	return max(time.Millisecond, s.share.Next(now, pollInterval))
}

// changesBinding reports whether the share has begun or ceased to hold requests back.
func (s *service) changesBinding(now time.Time) bool {
	recent := !s.waitedAt.IsZero() && now.Sub(s.waitedAt) < bindingPeriod
	if recent == s.binding {
		return false
	}
	s.binding = recent
	return true
}
