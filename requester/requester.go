// Package requester sends HTTP requests that must not be executed twice. It writes
// each request at most once and reports after a failure whether any byte of it may
// have been written.
//
// When a reused connection fails, net/http sends some requests again, for example
// every request with an Idempotency-Key header. Client prevents this for all
// methods but GET by replacing the body with one that net/http can't rewind. Client
// sends a request again only if a pooled connection was already closed before a
// byte was written to it.
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

	"github.com/bergamotdale/bergamotdale/verifier"
)

// CallerHeader names the process that sends a request. The fake engines and
// services of the tests count calls and inject faults by its value.
const CallerHeader = "X-Caller"

const (
	// maxResponseHeaderBytes limits the headers of a response.
	maxResponseHeaderBytes = 64 << 10
	// dialTimeout is short because the round trip to an endpoint takes
	// milliseconds.
	dialTimeout = 2 * time.Second
	// idleTimeout is shorter than the usual idle timeout of servers, so that a
	// connection is rarely reused while the server closes it.
	idleTimeout = 30 * time.Second
	// maxIdleConnsPerHost is large enough for the concurrent requests to one
	// endpoint.
	maxIdleConnsPerHost = 64
	// maxSendAttempts bounds how often a request is sent if each pooled
	// connection was already closed.
	maxSendAttempts = 3
)

// ErrInvalidStatus is the cause of an Error after a response with a status that no response
// to the request can have.
const ErrInvalidStatus = errors.ConstError("the status of the response is invalid")

// maxStatus is the largest valid status (RFC 9110, section 15).
const maxStatus = 599

// keepAlive detects within 8 s a connection whose state a network device on the path
// has dropped. A blocking watch of the store has no heartbeats that would detect it.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// Error is the error of a request that got no valid response.
type Error struct {
	// Written is false only if no byte of the request was written and none will
	// be.
	Written bool
	// Err is the error of net/http.
	Err error
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

// Client sends requests over its own connection pool. The zero value is ready to
// use.
type Client struct {
	initOnce   sync.Once
	httpClient *http.Client
}

// Do sends the request and returns the response when its headers have arrived. A response
// with an invalid status is an error. Every error is an *Error.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	c.initOnce.Do(c.init)
	for attempt := 1; ; attempt++ {
		tracker := &connTracker{}
		resp, err := c.send(req, tracker)
		if err == nil && isFinalStatus(resp.StatusCode) {
			return resp, nil
		}
		if err == nil {
			// The connection may be in the pool already if the response has no body.
			tracker.closeConns()
			resp.Body.Close()
			return nil, &Error{Written: true, Err: errors.Annotatef(ErrInvalidStatus, "status %q", resp.Status)}
		}
		written, onReusedConn := tracker.disableWrites()
		connWasClosed := !written && onReusedConn && req.Context().Err() == nil
		if !connWasClosed || attempt == maxSendAttempts {
			return nil, &Error{Written: written, Err: err}
		}
	}
}

// isFinalStatus reports whether a final response can have the status. net/http skips
// informational responses but 101 Switching Protocols, for which no request asks.
func isFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// send sends the request once.
func (c *Client) send(req *http.Request, tracker *connTracker) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: tracker.recordConn})
	if req.Method == http.MethodGet {
		return c.httpClient.Do(req.WithContext(ctx))
	}
	singleUse, err := withSingleUseBody(req.WithContext(ctx))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return c.httpClient.Do(singleUse)
}

// Close closes the idle connections of the pool.
func (c *Client) Close() {
	c.initOnce.Do(c.init)
	c.httpClient.CloseIdleConnections()
}

func (c *Client) init() {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	c.httpClient = &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, errors.Trace(err)
				}
				verified, err := verifier.New(conn)
				if err != nil {
					conn.Close()
					return nil, errors.Trace(err)
				}
				return &trackedConn{Conn: verified}, nil
			},
			DisableCompression: true,
			// The default of 10 MB is more than a small VM can spare.
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			IdleConnTimeout:        idleTimeout,
			MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		},
	}
}

// withSingleUseBody returns a copy of the request whose body net/http can't rewind,
// so that net/http does not send it again. An empty body is replaced too, because
// net/http may repeat a request without a body.
func withSingleUseBody(req *http.Request) (*http.Request, error) {
	singleUse := req.Clone(req.Context())
	singleUse.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		singleUse.Body = io.NopCloser(eofReader{})
		singleUse.ContentLength = 0
		return singleUse, nil
	}
	if req.GetBody == nil {
		return nil, errors.NotValidf("request body without GetBody")
	}
	body, err := req.GetBody()
	singleUse.Body = body
	return singleUse, errors.Trace(err)
}

// eofReader is an empty body that net/http does not recognize as empty.
type eofReader struct{}

func (eofReader) Read([]byte) (int, error) {
	return 0, io.EOF
}

// connTracker records the connections that net/http used for a request.
type connTracker struct {
	mu    sync.Mutex
	conns []*trackedConn
	// reused is true if the last connection was taken from the pool.
	reused bool
}

// recordConn is the GotConn hook of httptrace.
func (t *connTracker) recordConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	conn.reset()
	t.reused = info.Reused
	t.conns = append(t.conns, conn)
}

// disableWrites makes later writes of the request fail. It reports whether a write
// was started, and whether the last connection was taken from the pool.
func (t *connTracker) disableWrites() (written, reused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		if c.disableWrites() {
			written = true
		}
	}
	return written, t.reused
}

// closeConns closes the connections that the request has used.
func (t *connTracker) closeConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		c.Close()
	}
}
