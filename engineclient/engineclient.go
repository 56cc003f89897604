// Package engineclient is the HTTP client of model engines. It calls the chat
// completions API, which streams tokens as server-sent events, and the engine's
// control API: load reports, cache events, cancellation and commands.
//
// Each call is sent at most once. A failed completion is reported as not-run only if
// no byte of it was written or if the engine refused it.
package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/requester"
)

const (
	// defaultIdleTimeout is the time of three missed heartbeats of an engine.
	defaultIdleTimeout = 3 * time.Second
	// defaultControlTimeout bounds control calls, which an engine answers without
	// delay.
	defaultControlTimeout = 2 * time.Second
	// maxResponseBytes is the maximum size of a control or error response.
	maxResponseBytes = 16 << 20
)

// Client implements bergamotdale.Engine.
type Client struct {
	// Caller is the name of this process, sent to the engines if it is not empty.
	Caller string
	// IdleTimeout is the time without a received byte after which a stream is cut.
	// It also bounds the wait for the response headers. Zero selects 3 s.
	IdleTimeout time.Duration
	// ControlTimeout bounds each call other than a completion. Zero selects 2 s.
	ControlTimeout time.Duration
	// HTTP sends the requests.
	HTTP requester.Client
}

var _ bergamotdale.Engine = (*Client)(nil)

// Complete implements bergamotdale.Engine.
func (c *Client) Complete(ctx context.Context, address string, r bergamotdale.EngineRequest) (bergamotdale.FrameStream, error) {
	body, err := withEngineFields(r)
	if err != nil {
		return nil, bergamotdale.Refuse(bergamotdale.CodeInvalidJSON, "request body is not a JSON object: %v", err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(c.idleTimeout(), func() { cancel(errIdleTimeout) })
	resp, err := c.post(ctx, address, "/v1/chat/completions", r.RequestID, body)
	if err != nil {
		watchdog.Stop()
		refusal := requester.RefusalFromError(ctx, err, "engine %s", address)
		cancel(nil)
		return nil, refusal
	}
	if resp.StatusCode != http.StatusOK {
		refusal := refusalFromResponse(ctx, address, resp)
		watchdog.Stop()
		cancel(nil)
		return nil, refusal
	}
	return newStream(ctx, cancel, watchdog, c.idleTimeout(), resp.Body, r), nil
}

// withEngineFields returns the body of the client with the parameters that the fleet
// sets: streaming, usage, priority and the offset at which to resume.
func withEngineFields(r bergamotdale.EngineRequest) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return nil, errors.Trace(err)
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["priority"] = json.RawMessage(strconv.Itoa(r.Priority))
	fields["resume_from"] = json.RawMessage(strconv.Itoa(r.ResumeFrom))
	return json.Marshal(fields)
}

// refusalFromResponse converts an error response of the completions API. An engine
// sends the statuses 400 to 499 and 503 before it starts to generate, so these count
// as not-run. Any other status leaves the outcome unknown unless the body states it.
func refusalFromResponse(ctx context.Context, address string, resp *http.Response) *bergamotdale.Refusal {
	defer resp.Body.Close()
	body, err := readBody(resp)
	if err != nil {
		return requester.RefusalFromError(ctx, err, "engine %s", address)
	}
	if r := requester.RefusalFromResponse(resp, body); r != nil {
		r.Code = codeForStatus(resp.StatusCode)
		return r
	}
	r := bergamotdale.Refuse(codeForStatus(resp.StatusCode), "engine %s responded with status %d", address, resp.StatusCode)
	r.RetryAfter = requester.ParseRetryAfter(resp)
	isClientError := resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError
	if !isClientError && resp.StatusCode != http.StatusServiceUnavailable {
		return r.WithOutcome(bergamotdale.OutcomeUnknown)
	}
	return r
}

// readBody reads the body of a control or error response. It returns an error for one that
// is larger than maxResponseBytes.
func readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errors.Errorf("the response is larger than %d bytes", maxResponseBytes)
	}
	return body, errors.Trace(err)
}

// codeForStatus returns the code of a refusal by an engine with the HTTP status.
func codeForStatus(status int) bergamotdale.Code {
	switch status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return bergamotdale.CodeInvalidRequest
	case http.StatusNotFound:
		return bergamotdale.CodeUnknownModel
	case http.StatusRequestEntityTooLarge:
		return bergamotdale.CodeBodyTooLarge
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return bergamotdale.CodeEndpointRefused
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return bergamotdale.CodeEndpointRefused
	}
	return bergamotdale.CodeEndpointFailed
}

// Cancel implements bergamotdale.Engine. A request that is unknown to the engine
// (status 404) has ended already, so this is no error.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	_, err := c.callControl(ctx, http.MethodPost, address, "/v1/requests/"+url.PathEscape(requestID)+"/cancel", nil, http.StatusNotFound)
	return err
}

// Load implements bergamotdale.Engine.
func (c *Client) Load(ctx context.Context, address string) (bergamotdale.EngineLoad, error) {
	load := bergamotdale.EngineLoad{}
	return load, c.getJSON(ctx, address, "/load", &load)
}

// CacheEvents implements bergamotdale.Engine.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) ([]bergamotdale.CacheEvent, error) {
	var events []bergamotdale.CacheEvent
	err := c.getJSON(ctx, address, "/v1/cache/events?after="+strconv.FormatInt(after, 10), &events)
	return events, err
}

// Send implements bergamotdale.Engine.
func (c *Client) Send(ctx context.Context, address string, command bergamotdale.Command) error {
	body, err := json.Marshal(command)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = c.callControl(ctx, http.MethodPost, address, "/v1/commands", body, 0)
	return err
}

// getJSON sends a control call with GET and decodes the JSON response into target.
func (c *Client) getJSON(ctx context.Context, address, path string, target any) error {
	body, err := c.callControl(ctx, http.MethodGet, address, path, nil, 0)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, target); err != nil {
		return errors.Annotatef(err, "engine %s: decoding the response of %s", address, path)
	}
	return nil
}

// callControl sends a call other than a completion and returns the response body.
// acceptedStatus is an error status that counts as success; zero for none.
func (c *Client) callControl(ctx context.Context, method, address, path string, body []byte, acceptedStatus int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.ControlTimeout, defaultControlTimeout))
	defer cancel()
	resp, err := c.request(ctx, method, address, path, "", body)
	if err != nil {
		return nil, requester.RefusalFromError(ctx, err, "engine %s", address)
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode != acceptedStatus {
		return nil, refusalFromResponse(ctx, address, resp)
	}
	defer resp.Body.Close()
	responseBody, err := readBody(resp)
	if err != nil {
		return nil, requester.RefusalFromError(ctx, err, "engine %s", address)
	}
	return responseBody, nil
}

func (c *Client) post(ctx context.Context, address, path, requestID string, body []byte) (*http.Response, error) {
	return c.request(ctx, http.MethodPost, address, path, requestID, body)
}

func (c *Client) request(ctx context.Context, method, address, path, requestID string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, &requester.Error{Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	if requestID != "" {
		req.Header.Set("X-Request-Id", requestID)
	}
	if c.Caller != "" {
		req.Header.Set(requester.CallerHeader, c.Caller)
	}
	return c.HTTP.Do(req)
}

func (c *Client) idleTimeout() time.Duration {
	return orDefault(c.IdleTimeout, defaultIdleTimeout)
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
