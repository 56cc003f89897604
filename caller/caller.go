// Package caller sends calls to plain services, which are endpoints other than model
// engines. It orders the endpoints of a service by rendezvous hashing of the call, so
// that repeats of a call are sent to the same endpoint first. It retries a failed
// call at the next endpoint only if the call was certainly not executed or may be
// executed more than once.
package caller

import (
	"context"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/retrier"
)

// DefaultTimeout is the timeout of one attempt of a call.
const DefaultTimeout = 30 * time.Second

// Endpoint is an endpoint of a plain service that accepts new calls.
type Endpoint struct {
	Name    string
	Address string
}

// Caller calls plain services. Its exported fields are set before the first call.
type Caller struct {
	Service  bergamotdale.Service
	Clock    bergamotdale.Clock
	Recorder bergamotdale.Recorder
	// Endpoints returns the endpoints of a service that accept new calls.
	Endpoints func(service string) []Endpoint
	// Timeout is the timeout of one attempt.
	Timeout time.Duration
	// Budget limits the retries of this router.
	Budget *retrier.Budget
}

// Call sends the call to the endpoints of its service, one after another, until one
// of them succeeds or a retry is not allowed. If idempotent is false, the call is
// retried only after a failure with OutcomeNotRun.
func (c *Caller) Call(ctx context.Context, call bergamotdale.ServiceCall, idempotent bool) (bergamotdale.ServiceResponse, error) {
	endpoints := c.rankEndpoints(call)
	if len(endpoints) == 0 {
		return bergamotdale.ServiceResponse{}, bergamotdale.Refuse(bergamotdale.CodeNoEndpoint,
			"no endpoint of service %s accepts calls at present", call.Service).After(time.Second)
	}
	var err error
	for attempt, endpoint := range endpoints {
		if attempt > 0 && !c.Budget.Take() {
			break
		}
		var response bergamotdale.ServiceResponse
		response, err = c.callEndpoint(ctx, endpoint, call)
		if err == nil {
			return response, nil
		}
		if retrier.Classify(err, idempotent) != retrier.Elsewhere || ctx.Err() != nil {
			break
		}
	}
	return bergamotdale.ServiceResponse{}, err
}

// rankEndpoints returns the endpoints of the service, ordered by rendezvous hashing
// of the call, so that repeats of a call reach the same endpoint.
func (c *Caller) rankEndpoints(call bergamotdale.ServiceCall) []Endpoint {
	byName := map[string]Endpoint{}
	var names []string
	for _, e := range c.Endpoints(call.Service) {
		byName[e.Name] = e
		names = append(names, e.Name)
	}
	var ranked []Endpoint
	for _, name := range hasher.Order(call.Workspace+"/"+call.Key+"/"+call.Fingerprint, names) {
		ranked = append(ranked, byName[name])
	}
	return ranked
}

// callEndpoint sends the call to one endpoint and records the attempt.
func (c *Caller) callEndpoint(ctx context.Context, endpoint Endpoint, call bergamotdale.ServiceCall) (bergamotdale.ServiceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	c.recordEvent("service-call-sent", call, endpoint, "")
	response, err := c.Service.Call(ctx, endpoint.Address, bergamotdale.ServiceRequest{
		RequestID:      call.RequestID,
		IdempotencyKey: call.Key,
		Call:           call.Call,
		Body:           call.Body,
	})
	if err != nil {
		c.recordEvent("service-call-failed", call, endpoint, err.Error())
		return response, err
	}
	c.recordEvent("service-call-completed", call, endpoint, "")
	return response, nil
}

// recordEvent adds an event of the call to the timeline of events.
func (c *Caller) recordEvent(kind string, call bergamotdale.ServiceCall, endpoint Endpoint, detail string) {
	c.Recorder.Record(call.Event(c.Clock.Now(), kind, endpoint.Name, detail))
}
