// Package serviceclient is the HTTP client of plain services. It sends each call at
// most once. A failed call is reported as not-run only if no byte of it was written
// or if the service refused it.
package serviceclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/requester"
)

// maxResponseBytes is the maximum size of a response. After a larger one the outcome
// of the call is unknown.
const maxResponseBytes = 1 << 20

// Client implements bergamotdale.Service.
type Client struct {
	// Caller is the name of this process, sent to the service if it is not empty.
	Caller string
	// HTTP sends the requests.
	HTTP requester.Client
}

var _ bergamotdale.Service = (*Client)(nil)

// Call implements bergamotdale.Service. A response with an error status is returned
// as a response, unless its body states that the call was not executed: then Call
// returns a refusal.
func (c *Client) Call(ctx context.Context, address string, r bergamotdale.ServiceRequest) (bergamotdale.ServiceResponse, error) {
	u := url.URL{Scheme: "http", Host: address, Path: "/" + r.Call}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(r.Body))
	if err != nil {
		return bergamotdale.ServiceResponse{}, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "cannot build an HTTP request for call %q", r.Call).WithCause(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", r.RequestID)
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if c.Caller != "" {
		req.Header.Set(requester.CallerHeader, c.Caller)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return bergamotdale.ServiceResponse{}, requester.RefusalFromError(ctx, err, "service %s", address)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return bergamotdale.ServiceResponse{}, requester.RefusalFromError(ctx, err, "service %s", address)
	}
	if len(body) > maxResponseBytes {
		return bergamotdale.ServiceResponse{}, bergamotdale.Refuse(bergamotdale.CodeEndpointFailed,
			"the response of service %s is larger than %d bytes", address, maxResponseBytes).WithOutcome(bergamotdale.OutcomeUnknown)
	}
	if refusal := requester.RefusalFromResponse(resp, body); refusal != nil {
		return bergamotdale.ServiceResponse{}, refusal
	}
	return bergamotdale.ServiceResponse{Status: resp.StatusCode, Body: json.RawMessage(body)}, nil
}
