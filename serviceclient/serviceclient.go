// Package serviceclient calls plain services over HTTP. It sends each call at
// most once and reports it as not-run only when no byte of it was written or
// when the service itself refused it.
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

// maxResponse is the longest response accepted, in bytes.
const maxResponse = 1 << 20

// Client implements bergamotdale.Service.
type Client struct {
	// Caller names this process to the service.
	Caller string
	// HTTP sends the requests.
	HTTP requester.Client
}

var _ bergamotdale.Service = (*Client)(nil)

// Call implements bergamotdale.Service. A response of the service with an
// error status is returned as a response unless it states that it refuses
// the call.
func (c *Client) Call(ctx context.Context, address string, r bergamotdale.ServiceRequest) (bergamotdale.ServiceResponse, error) {
	u := url.URL{Scheme: "http", Host: address, Path: "/" + r.Call}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(r.Body))
	if err != nil {
		return bergamotdale.ServiceResponse{}, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "call %q", r.Call).WithCause(err)
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return bergamotdale.ServiceResponse{}, requester.RefusalFromError(ctx, err, "service %s", address)
	}
	if refusal := requester.RefusalFromResponse(resp, body); refusal != nil {
		return bergamotdale.ServiceResponse{}, refusal
	}
	return bergamotdale.ServiceResponse{Status: resp.StatusCode, Body: json.RawMessage(body)}, nil
}
