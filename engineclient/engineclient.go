// Package engineclient reaches model engines over HTTP: the chat completions
// API with server-sent events, and the engine's control calls.
//
// Each call is sent at most once. A completion counts as not-run only when no
// byte of it was written or when the engine refused it.
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
	// defaultSilence is three missed heartbeats of an engine.
	defaultSilence = 3 * time.Second
	// defaultTimeout bounds control calls, which an engine answers at once.
	defaultTimeout = 2 * time.Second
	// maxResponse is the longest response of a control call, in bytes.
	maxResponse = 16 << 20
)

// Client implements bergamotdale.Engine.
type Client struct {
	// Caller names this process to the engines.
	Caller string
	// IdleTimeout is the time without a byte after which a stream is lost, also
	// while its headers are awaited. Zero selects 3 s.
	IdleTimeout time.Duration
	// ControlTimeout bounds each other call. Zero selects 2 s.
	ControlTimeout time.Duration
	// HTTP sends the requests.
	HTTP requester.Client
}

var _ bergamotdale.Engine = (*Client)(nil)

// Complete implements bergamotdale.Engine.
func (c *Client) Complete(ctx context.Context, address string, r bergamotdale.EngineRequest) (bergamotdale.FrameStream, error) {
	body, err := withFields(r)
	if err != nil {
		return nil, bergamotdale.Refuse(bergamotdale.CodeInvalidJSON, "request body: %v", err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(c.silence(), func() { cancel(errSilent) })
	resp, err := c.post(ctx, address, "/v1/chat/completions", r.RequestID, body)
	if err != nil {
		watchdog.Stop()
		refusal := requester.RefusalFromError(ctx, err, "engine %s", address)
		cancel(nil)
		return nil, refusal
	}
	if resp.StatusCode != http.StatusOK {
		refusal := refused(ctx, address, resp)
		watchdog.Stop()
		cancel(nil)
		return nil, refusal
	}
	return newStream(ctx, cancel, watchdog, c.silence(), resp.Body, r), nil
}

// withFields adds the engine's parameters to the body of the client.
func withFields(r bergamotdale.EngineRequest) ([]byte, error) {
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

// refused converts an error response. By the API an engine answers 429, 503
// and the other statuses from 400 to 499 before it starts to generate.
func refused(ctx context.Context, address string, resp *http.Response) *bergamotdale.Refusal {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return requester.RefusalFromError(ctx, err, "engine %s", address)
	}
	if r := requester.RefusalFromResponse(resp, body); r != nil {
		r.Code = codeOf(resp.StatusCode)
		return r
	}
	r := bergamotdale.Refuse(codeOf(resp.StatusCode), "engine %s: status %d", address, resp.StatusCode)
	r.RetryAfter = requester.ParseRetryAfter(resp)
	if resp.StatusCode >= http.StatusInternalServerError && resp.StatusCode != http.StatusServiceUnavailable {
		return r.WithOutcome(bergamotdale.OutcomeUnknown)
	}
	return r
}

func codeOf(status int) bergamotdale.Code {
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
	if status < http.StatusInternalServerError {
		return bergamotdale.CodeEndpointRefused
	}
	return bergamotdale.CodeEndpointFailed
}

// Cancel implements bergamotdale.Engine. A request that the engine doesn't
// know has ended and counts as cancelled.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	_, err := c.control(ctx, http.MethodPost, address, "/v1/requests/"+url.PathEscape(requestID)+"/cancel", nil, http.StatusNotFound)
	return err
}

// Load implements bergamotdale.Engine.
func (c *Client) Load(ctx context.Context, address string) (bergamotdale.EngineLoad, error) {
	l := bergamotdale.EngineLoad{}
	return l, c.get(ctx, address, "/load", &l)
}

// CacheEvents implements bergamotdale.Engine.
func (c *Client) CacheEvents(ctx context.Context, address string, after int64) ([]bergamotdale.CacheEvent, error) {
	var events []bergamotdale.CacheEvent
	err := c.get(ctx, address, "/v1/cache/events?after="+strconv.FormatInt(after, 10), &events)
	return events, err
}

// Send implements bergamotdale.Engine.
func (c *Client) Send(ctx context.Context, address string, command bergamotdale.Command) error {
	body, err := json.Marshal(command)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = c.control(ctx, http.MethodPost, address, "/v1/commands", body, 0)
	return err
}

func (c *Client) get(ctx context.Context, address, path string, v any) error {
	body, err := c.control(ctx, http.MethodGet, address, path, nil, 0)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return errors.Annotatef(err, "engine %s: %s", address, path)
	}
	return nil
}

// control sends a call that is answered at once. The accepted status counts
// as success besides 2xx.
func (c *Client) control(ctx context.Context, method, address, path string, body []byte, accepted int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.ControlTimeout, defaultTimeout))
	defer cancel()
	resp, err := c.request(ctx, method, address, path, "", body)
	if err != nil {
		return nil, requester.RefusalFromError(ctx, err, "engine %s", address)
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode != accepted {
		return nil, refused(ctx, address, resp)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return nil, requester.RefusalFromError(ctx, err, "engine %s", address)
	}
	return answer, nil
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

func (c *Client) silence() time.Duration {
	return orDefault(c.IdleTimeout, defaultSilence)
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return otherwise
}
