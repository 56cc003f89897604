package relayer

import (
	"context"
	"sync/atomic"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/balancer"
)

// admission is what the admission has decided of an attempt.
type admission struct {
	// endpoint is the ID of the endpoint that has room for the attempt, nil if the
	// balancer chooses. The search for a successor reads it beside the attempt.
	endpoint atomic.Pointer[string]
	// reportsLoad is set once the endpoint has reported its load.
	reportsLoad bool
	// misplaced is set if the request was not executed for another reason than a lack of
	// room: another endpoint answered, or the endpoint leaves.
	misplaced bool
}

// prefer returns the index of the endpoint that has room, or index if that one is not
// among the candidates or does not respond.
func (a *admission) prefer(index int, candidates []balancer.Candidate) int {
	endpoint := a.endpoint.Load()
	for i, c := range candidates {
		if endpoint != nil && c.ID == *endpoint && !c.Suspended {
			return i
		}
	}
	return index
}

// admit waits until the next attempt may be sent. It returns a function to call with the
// failure of the attempt, nil for none, or with the refusal of the choice of an endpoint.
func (j *job) admit(ctx context.Context) (func(*failure, *bergamotdale.Refusal), *bergamotdale.Refusal) {
	if j.relayer.Admission == nil {
		return func(*failure, *bergamotdale.Refusal) {}, nil
	}
	j.admission.endpoint.Store(nil)
	j.admission.reportsLoad, j.admission.misplaced = false, false
	release, refusal := j.relayer.Admission.Acquire(ctx, bergamotdale.AdmissionRequest{
		Service:   j.service,
		RequestID: j.envelope.RequestID,
		Workspace: j.verdict.Workspace,
		Priority:  j.verdict.Priority,
		Arrival:   j.arrival,
		Deadline:  j.deadline,
		Objective: j.verdict.Route.Objective,
		Tried:     j.tried,
		// The connection of a successor is open already, and its endpoint is chosen.
		Immediate: j.successor.Load() != nil,
		Choose:    func(endpoint string) { j.admission.endpoint.Store(&endpoint) },
	})
	if refusal != nil {
		return nil, refusal
	}
	return func(f *failure, refused *bergamotdale.Refusal) {
		result := bergamotdale.AdmissionResult{Endpoint: j.choice.target.ID, ReportsLoad: j.admission.reportsLoad}
		switch {
		case refused != nil, f != nil && (!f.sent || j.admission.misplaced):
			result.Outcome = bergamotdale.AdmissionUnsent
		case f != nil && f.refusal.Code == bergamotdale.CodeEndpointRefused:
			result.Outcome = bergamotdale.AdmissionRejected
		case f != nil:
			result.Outcome = bergamotdale.AdmissionLost
		}
		release(result)
	}, nil
}

// isAdmissionRefusal reports whether the refusal comes from the admission, which has
// given its caller a place of its own in the capacity that will be available.
func isAdmissionRefusal(refusal *bergamotdale.Refusal) bool {
	return refusal.Code == bergamotdale.CodeWaitTooLong || refusal.Code == bergamotdale.CodeOverloaded
}
