package relayer

import (
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/dialer"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

const (
	// evacuatedRetryAfter is the time after which a client may retry a request whose
	// service is evacuated. All routers that are connected know of the end of an
	// evacuation within that time, so an earlier return could not find it.
	evacuatedRetryAfter = 1250 * time.Millisecond

	// errEvacuated is the error of a request to an evacuated failure domain.
	errEvacuated = errors.ConstError("the failure domain is evacuated")
)

// isEvacuated reports whether the operators have evacuated the failure domain of the
// endpoint.
func (r *Relayer) isEvacuated(target subscriber.Endpoint) bool {
	return r.Directory.State().IsEvacuated(target.FailureDomain)
}

// checkWrite returns an error if no request may be written to the endpoint over the
// connection now: its failure domain was evacuated meanwhile, or it is cold and this router
// has no turn. It takes the turn.
func (r *Relayer) checkWrite(conn *dialer.Conn, target subscriber.Endpoint) error {
	if r.isEvacuated(target) {
		return errors.Annotatef(errEvacuated, "endpoint %s", target.ID)
	}
	if !r.Rationer.Take(r.content(), target, r.connAge(conn, target)) {
		return errors.Annotatef(errCold, "endpoint %s", target.ID)
	}
	return nil
}

// allEvacuated returns a refusal if endpoints of the service are evacuated and no other one
// is usable, else nil.
func (j *job) allEvacuated() *bergamotdale.Refusal {
	now, evacuated := j.relayer.Clock.Now(), 0
	for _, e := range j.relayer.Directory.State().Endpoints(j.service) {
		if e.Evacuated {
			evacuated++
		} else if e.Usable(now) {
			return nil
		}
	}
	if evacuated == 0 {
		return nil
	}
	return bergamotdale.Refuse(bergamotdale.CodeNoEndpoint, "all endpoints of service %s that could take the request are evacuated: %d",
		j.service, evacuated).After(evacuatedRetryAfter)
}
