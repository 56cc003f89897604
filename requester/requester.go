// Package requester sends HTTP requests that may not be repeated. It sends
// each request at most once and tells after a failure whether any byte of the
// request was written.
//
// net/http by itself repeats some requests on a reused connection, among them
// each one with an Idempotency-Key header. Client prevents that for every
// method but GET by giving net/http a body that it can't rewind.
package requester

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/juju/errors"
)

// CallerHeader names the process that sends a request. The fakes count calls
// and apply faults by its value.
const CallerHeader = "X-Caller"

const (
	// dialTimeout is short because an endpoint is milliseconds away.
	dialTimeout = 2 * time.Second
	// idleTimeout is below the usual idle timeout of servers, so that a
	// connection is rarely reused while its server closes it.
	idleTimeout = 30 * time.Second
	// maxIdlePerHost covers the concurrent requests to one endpoint.
	maxIdlePerHost = 64
)

// Error is a request without a complete response.
type Error struct {
	// Written is false only if no byte of the request was or will be written.
	Written bool
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Written {
		return "response lost: " + e.Err.Error()
	}
	return "request not sent: " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error {
	return e.Err
}

// Client sends requests over its own connection pool. The zero value works.
type Client struct {
	once sync.Once
	http *http.Client
}

// Do sends the request and returns the response once its headers have
// arrived. Every error is an *Error.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	c.once.Do(c.init)
	if req.Method != http.MethodGet {
		req = singleUse(req)
	}
	t := &tracker{}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: t.gotConn})
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		return nil, &Error{Written: t.seal(), Err: err}
	}
	return resp, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.once.Do(c.init)
	c.http.CloseIdleConnections()
}

func (c *Client) init() {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c.http = &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, errors.Trace(err)
				}
				return &trackedConn{Conn: conn}, nil
			},
			DisableCompression:  true,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: maxIdlePerHost,
		},
	}
}

// singleUse returns the request with a body that net/http can't rewind. An
// empty body is replaced too, because net/http takes a request without a body
// as one that it can repeat.
func singleUse(req *http.Request) *http.Request {
	req = req.Clone(req.Context())
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(eofReader{})
		req.ContentLength = 0
		return req
	}
	req.Body = struct{ io.ReadCloser }{req.Body}
	return req
}

// eofReader is an empty body.
type eofReader struct{}

func (eofReader) Read([]byte) (int, error) {
	return 0, io.EOF
}

// tracker collects the connections that a request was given.
type tracker struct {
	mu    sync.Mutex
	conns []*trackedConn
}

func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	conn.reset()
	t.conns = append(t.conns, conn)
}

// seal stops further writes of the request and reports whether a write of it
// was started.
func (t *tracker) seal() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	written := false
	for _, c := range t.conns {
		if c.seal() {
			written = true
		}
	}
	return written
}
