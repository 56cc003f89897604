// Package caller calls plain services. It chooses an endpoint of the service
// in rendezvous order and goes on to the next one only where the call was
// certainly not executed, or may be executed again.
package caller

import (
	"context"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/retrier"
)

// DefaultTimeout bounds one attempt of a call.
const DefaultTimeout = 30 * time.Second

// Endpoint is an endpoint of a plain service that takes new work.
type Endpoint struct {
	Name    string
	Address string
}

// Caller calls plain services. Exported fields are set before the first call.
type Caller struct {
	Service  bergamotdale.Service
	Clock    bergamotdale.Clock
	Recorder bergamotdale.Recorder
	// Endpoints returns the endpoints of a service that take new work.
	Endpoints func(service string) []Endpoint
	// Timeout bounds one attempt.
	Timeout time.Duration
	// Budget is the retry budget of this router.
	Budget *retrier.Budget
}

// Call executes the call at one endpoint. With idempotent false, another
// endpoint is tried only after an outcome of not-run.
func (c *Caller) Call(ctx context.Context, call bergamotdale.ServiceCall, idempotent bool) (bergamotdale.ServiceResponse, error) {
	order := c.order(call)
	if len(order) == 0 {
		return bergamotdale.ServiceResponse{}, bergamotdale.Refuse(bergamotdale.CodeNoEndpoint,
			"no endpoint of %s takes calls now", call.Service).After(time.Second)
	}
	var err error
	for attempt, endpoint := range order {
		if attempt > 0 && !c.Budget.Take() {
			break
		}
		var response bergamotdale.ServiceResponse
		response, err = c.attempt(ctx, endpoint, call)
		if err == nil {
			return response, nil
		}
		if retrier.Classify(err, idempotent) != retrier.Elsewhere || ctx.Err() != nil {
			break
		}
	}
	return bergamotdale.ServiceResponse{}, err
}

// order returns the endpoints in rendezvous order for the call, so that repeats
// of one call meet the same endpoint.
func (c *Caller) order(call bergamotdale.ServiceCall) []Endpoint {
	byName := map[string]Endpoint{}
	var names []string
	for _, e := range c.Endpoints(call.Service) {
		byName[e.Name] = e
		names = append(names, e.Name)
	}
	var order []Endpoint
	for _, name := range hasher.Order(call.Workspace+"/"+call.Key+"/"+call.Fingerprint, names) {
		order = append(order, byName[name])
	}
	return order
}

// attempt calls one endpoint.
func (c *Caller) attempt(ctx context.Context, e Endpoint, call bergamotdale.ServiceCall) (bergamotdale.ServiceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	c.record("service-call-sent", call, e, "")
	response, err := c.Service.Call(ctx, e.Address, bergamotdale.ServiceRequest{
		RequestID:      call.RequestID,
		IdempotencyKey: call.Key,
		Call:           call.Call,
		Body:           call.Body,
	})
	if err != nil {
		c.record("service-call-failed", call, e, err.Error())
		return response, err
	}
	c.record("service-call-completed", call, e, "")
	return response, nil
}

// record adds an event of the call to the timeline.
func (c *Caller) record(kind string, call bergamotdale.ServiceCall, e Endpoint, detail string) {
	c.Recorder.Record(call.Event(c.Clock.Now(), kind, e.Name, detail))
}
