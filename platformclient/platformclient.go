// Package platformclient is the HTTP client of the platform that the fleet runs
// on. The platform provides a key-value store, which speaks the published HTTP
// API of Consul, and a list of VMs.
//
// A write whose response is lost fails with bergamotdale.ErrAmbiguous, since it
// may have been executed. A write of which no byte was sent, or which the store
// rejected, fails with bergamotdale.ErrUnavailable. A failed call is sent to the
// next address only if the store has not executed it or if it is idempotent.
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
	"github.com/bergamotdale/bergamotdale/platform"
	"github.com/bergamotdale/bergamotdale/requester"
)

const (
	// defaultTimeout is far above the usual response time of the store, which
	// is a few milliseconds, and below the renewal interval of a lease.
	defaultTimeout = 2 * time.Second
	// maxResponseSize is the maximum size of a response in bytes. It is large
	// enough for a list of many keys.
	maxResponseSize = 256 << 20
	// indexHeader holds the index to pass to the next blocking query.
	indexHeader = "X-Consul-Index"
	// maxErrorTextSize is the maximum size, in bytes, of the text of an error
	// response that is included in an error.
	maxErrorTextSize = 200
	// noLeader and invalidSession are substrings of error responses that the
	// API does not distinguish by status.
	noLeader       = "No cluster leader"
	invalidSession = "invalid session"
)

// Client calls the platform. It implements bergamotdale.Store and
// bergamotdale.VMLister.
type Client struct {
	// Addresses are the host:port addresses of the store's servers. A call
	// first tries the server that responded to the previous one.
	Addresses []string
	// VMAddress is the host:port address of the server of the VM list; if it is
	// empty, the VM list is read from Addresses.
	VMAddress string
	// Caller is the name of this process, sent with each call.
	Caller string
	// Timeout is the maximum time to wait for the response of one server, not
	// counting the time for which a watch blocks. Zero means 2 s.
	Timeout time.Duration
	// HTTP is the client that sends the requests.
	HTTP requester.Client

	// preferred is the index in Addresses of the server that responded last.
	preferred atomic.Int64
	// era is the latest era of the store that a response has stated.
	era atomic.Int64
}

var (
	_ bergamotdale.EraStore = (*Client)(nil)
	_ bergamotdale.VMLister = (*Client)(nil)
)

// apiCall is a call to the HTTP API of the platform.
type apiCall struct {
	method string
	path   string
	query  url.Values
	body   []byte
	// idempotent is true for a write that has the same effect if it is executed
	// several times.
	idempotent bool
	// wait is the time for which the server may block before it responds.
	wait time.Duration
}

// canRetry reports whether the call may be sent to another address after the
// error.
func (call apiCall) canRetry(err error) bool {
	if errors.Is(err, bergamotdale.ErrAmbiguous) {
		return call.idempotent
	}
	return errors.Is(err, bergamotdale.ErrUnavailable)
}

// response is a response of the API that was read completely.
type response struct {
	status int
	index  int64
	body   []byte
}

// do sends the call to the addresses of the store in turn until one responds or
// the call cannot be retried.
func (c *Client) do(ctx context.Context, call apiCall) (response, error) {
	if len(c.Addresses) == 0 {
		return response{}, errors.Annotate(bergamotdale.ErrUnavailable, "no store address configured")
	}
	first := int(c.preferred.Load())
	var lastErr error
	for n := range c.Addresses {
		index := (first + n) % len(c.Addresses)
		r, err := c.send(ctx, call, c.Addresses[index])
		if err == nil {
			c.preferred.Store(int64(index))
			return r, nil
		}
		lastErr = err
		if ctx.Err() != nil || !call.canRetry(err) {
			break
		}
	}
	return response{}, lastErr
}

// send sends the call to one address and waits for the response.
func (c *Client) send(ctx context.Context, call apiCall, address string) (response, error) {
	// Consul adds up to wait/16 of jitter to the time for which a query blocks.
	ctx, cancel := context.WithTimeout(ctx, c.timeout()+call.wait+call.wait/16)
	defer cancel()
	u := url.URL{Scheme: "http", Host: address, Path: call.path, RawQuery: call.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, call.method, u.String(), bytes.NewReader(call.body))
	if err != nil {
		return response{}, errors.Annotatef(bergamotdale.ErrUnavailable, "store %s: %v", address, err)
	}
	if c.Caller != "" {
		req.Header.Set(requester.CallerHeader, c.Caller)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return response{}, call.classifyError(address, err)
	}
	defer resp.Body.Close()
	if era, err := platform.ParseEra(resp.Header); err == nil {
		c.noteEra(era)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
	if err != nil {
		return response{}, call.classifyError(address, err)
	}
	return call.parseResponse(address, resp, body)
}

// noteEra records the era of a response.
func (c *Client) noteEra(era int64) {
	for {
		known := c.era.Load()
		if era <= known || c.era.CompareAndSwap(known, era) {
			return
		}
	}
}

// Era implements bergamotdale.EraStore.
func (c *Client) Era() int64 { return c.era.Load() }

// parseResponse returns the response, or an error if its status means that the
// call failed. The statuses "not found" and "conflict" are no errors here: their
// meaning depends on the call.
func (call apiCall) parseResponse(address string, resp *http.Response, body []byte) (response, error) {
	switch {
	case resp.StatusCode < http.StatusBadRequest,
		resp.StatusCode == http.StatusNotFound,
		resp.StatusCode == http.StatusConflict:
		index, _ := strconv.ParseInt(resp.Header.Get(indexHeader), 10, 64)
		return response{status: resp.StatusCode, index: index, body: body}, nil
	}
	text := strings.TrimSpace(string(body[:min(len(body), maxErrorTextSize)]))
	err := errors.Errorf("status %d: %s", resp.StatusCode, text)
	switch {
	case resp.StatusCode == http.StatusTooManyRequests,
		resp.StatusCode == http.StatusServiceUnavailable,
		strings.Contains(text, noLeader):
		return response{}, errors.Annotatef(bergamotdale.ErrUnavailable, "store %s: %v", address, err)
	case strings.Contains(text, invalidSession):
		return response{}, errors.Annotatef(bergamotdale.ErrNotFound, "store %s: %v", address, err)
	case resp.StatusCode >= http.StatusInternalServerError:
		return response{}, call.classifyError(address, err)
	}
	return response{}, errors.Annotatef(err, "store %s", address)
}

// classifyError converts the error of a call that got no usable response. The
// result is ErrAmbiguous if the call may have changed the store, and
// ErrUnavailable if it is a read or no byte of it was sent.
func (call apiCall) classifyError(address string, err error) error {
	requestErr := &requester.Error{}
	if call.method == http.MethodGet || (errors.As(err, &requestErr) && !requestErr.Written) {
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
	call := apiCall{method: http.MethodGet, path: "/v1/vms"}
	r, err := response{}, error(nil)
	if c.VMAddress != "" {
		r, err = c.send(ctx, call, c.VMAddress)
	} else {
		r, err = c.do(ctx, call)
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	var vms []bergamotdale.VM
	if err := json.Unmarshal(r.body, &vms); err != nil {
		return nil, errors.Annotate(err, "decoding the VM list")
	}
	return vms, nil
}
