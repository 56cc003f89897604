// Package platformclient reaches the platform over HTTP: the key-value store
// through the API of Consul as published, and the VM list.
//
// If the response to a write is lost the error is ErrAmbiguous; if no byte of
// it was written, or the store refused it, the error is ErrUnavailable. A call
// moves on to the next address if the store didn't execute it or if a second
// execution changes nothing.
package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/requester"
)

const (
	// defaultTimeout is far above the store's usual response time of
	// milliseconds and below the renewal interval of a lease.
	defaultTimeout = 2 * time.Second
	// maxResponse covers a list of many keys, in bytes.
	maxResponse = 256 << 20
	// indexHeader carries the index to pass to the next blocking query.
	indexHeader = "X-Consul-Index"
	// maxErrorText is the part of an error response that is kept, in bytes.
	maxErrorText = 200
	// noLeader and invalidSession are parts of the text of error responses,
	// which the API doesn't tell apart by status.
	noLeader       = "No cluster leader"
	invalidSession = "invalid session"
)

// Client implements bergamotdale.Store and bergamotdale.VMLister.
type Client struct {
	// Addresses are host:port of the store's servers. A call starts at the
	// server that answered last.
	Addresses []string
	// VMAddress is host:port of the VM list; empty selects Addresses.
	VMAddress string
	// Caller names this process to the platform.
	Caller string
	// Timeout bounds the time that one server gets for a response, without
	// the waiting time of a watch. Zero selects 2 s.
	Timeout time.Duration
	// HTTP sends the requests.
	HTTP requester.Client

	// preferred is the index of the server that answered last.
	preferred atomic.Int64
}

var (
	_ bergamotdale.Store    = (*Client)(nil)
	_ bergamotdale.VMLister = (*Client)(nil)
)

// call is one call of the API.
type call struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// repeatable marks a write that may be executed several times.
	repeatable bool
	// wait is the time that the server may block.
	wait time.Duration
}

// mayRepeat reports whether another address may be tried after the error.
func (k call) mayRepeat(err error) bool {
	if errors.Is(err, bergamotdale.ErrAmbiguous) {
		return k.repeatable
	}
	return errors.Is(err, bergamotdale.ErrUnavailable)
}

// response is a complete response of the API.
type response struct {
	status int
	index  int64
	body   []byte
}

// do sends the call to the store's addresses in turn until one answers.
func (c *Client) do(ctx context.Context, k call) (response, error) {
	if len(c.Addresses) == 0 {
		return response{}, errors.Annotate(bergamotdale.ErrUnavailable, "no store address")
	}
	first := int(c.preferred.Load())
	var last error
	for n := range c.Addresses {
		at := (first + n) % len(c.Addresses)
		r, err := c.send(ctx, k, c.Addresses[at])
		if err == nil {
			c.preferred.Store(int64(at))
			return r, nil
		}
		last = err
		if ctx.Err() != nil || !k.mayRepeat(err) {
			break
		}
	}
	return response{}, last
}

// send sends the call to one address.
func (c *Client) send(ctx context.Context, k call, address string) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout()+k.wait+k.wait/16)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: k.path, RawQuery: k.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, k.method, u.String(), bytes.NewReader(k.body))
	if err != nil {
		return response{}, errors.Annotatef(bergamotdale.ErrUnavailable, "store %s: %v", address, err)
	}
	if c.Caller != "" {
		req.Header.Set(requester.CallerHeader, c.Caller)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return response{}, k.failure(address, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse))
	if err != nil {
		return response{}, k.failure(address, err)
	}
	return k.check(address, resp, body)
}

// check converts statuses by which the store refuses a call. Not found and
// conflict are left to the caller.
func (k call) check(address string, resp *http.Response, body []byte) (response, error) {
	switch {
	case resp.StatusCode < http.StatusBadRequest,
		resp.StatusCode == http.StatusNotFound,
		resp.StatusCode == http.StatusConflict:
		index, _ := strconv.ParseInt(resp.Header.Get(indexHeader), 10, 64)
		return response{status: resp.StatusCode, index: index, body: body}, nil
	}
	text := strings.TrimSpace(string(body[:min(len(body), maxErrorText)]))
	err := errors.Errorf("status %d: %s", resp.StatusCode, text)
	switch {
	case resp.StatusCode == http.StatusTooManyRequests,
		resp.StatusCode == http.StatusServiceUnavailable,
		strings.Contains(text, noLeader):
		return response{}, errors.Annotatef(bergamotdale.ErrUnavailable, "store %s: %v", address, err)
	case strings.Contains(text, invalidSession):
		return response{}, errors.Annotatef(bergamotdale.ErrNotFound, "store %s: %v", address, err)
	case resp.StatusCode >= http.StatusInternalServerError:
		return response{}, k.failure(address, err)
	}
	return response{}, errors.Annotatef(err, "store %s", address)
}

// failure converts a missing response.
func (k call) failure(address string, err error) error {
	unsent := &requester.Error{}
	if k.method == http.MethodGet || (errors.As(err, &unsent) && !unsent.Written) {
		return errors.Annotatef(bergamotdale.ErrUnavailable, "store %s: %v", address, err)
	}
	return errors.Annotatef(bergamotdale.ErrAmbiguous, "store %s: %v", address, err)
}

func (c *Client) timeout() time.Duration {
	if c.Timeout > 0 {
		return c.Timeout
	}
	return defaultTimeout
}

// ListVMs implements bergamotdale.VMLister.
func (c *Client) ListVMs(ctx context.Context) ([]bergamotdale.VM, error) {
	k := call{method: http.MethodGet, path: "/v1/vms"}
	r, err := response{}, error(nil)
	if c.VMAddress != "" {
		r, err = c.send(ctx, k, c.VMAddress)
	} else {
		r, err = c.do(ctx, k)
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	var vms []bergamotdale.VM
	if err := json.Unmarshal(r.body, &vms); err != nil {
		return nil, errors.Annotate(err, "VM list")
	}
	return vms, nil
}
