// Package requester sends HTTP requests that may not be repeated. It sends
// each request at most once and tells after a failure whether any byte of the
// request was written.
//
// net/http by itself repeats some requests on a reused connection, among them
// each one with an Idempotency-Key header. Client prevents that for every
// method but GET by giving net/http a body that it can't rewind. It repeats a
// request itself only if a pooled connection turned out to be closed before a
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
	// maxAttempts bounds the pooled connections that a request may find
	// closed.
	maxAttempts = 3
)

// keepAlive finds a connection that a device on the path has forgotten after
// 8 s. A blocked watch of the store has no heartbeat that would show it.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

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
	for attempt := 1; ; attempt++ {
		t := &tracker{}
		resp, err := c.attempt(req, t)
		if err == nil {
			return resp, nil
		}
		written, reused := t.seal()
		stale := !written && reused && req.Context().Err() == nil
		if !stale || attempt == maxAttempts {
			return nil, &Error{Written: written, Err: err}
		}
	}
}

// attempt sends the request once.
func (c *Client) attempt(req *http.Request, t *tracker) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: t.gotConn})
	if req.Method == http.MethodGet {
		return c.http.Do(req.WithContext(ctx))
	}
	once, err := singleUse(req.WithContext(ctx))
	if err != nil {
		return nil, errors.Trace(err)
	}
	return c.http.Do(once)
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.once.Do(c.init)
	c.http.CloseIdleConnections()
}

func (c *Client) init() {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
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
func singleUse(req *http.Request) (*http.Request, error) {
	once := req.Clone(req.Context())
	once.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		once.Body = io.NopCloser(eofReader{})
		once.ContentLength = 0
		return once, nil
	}
	if req.GetBody == nil {
		return nil, errors.NotValidf("request body that can't be read again")
	}
	body, err := req.GetBody()
	once.Body = body
	return once, errors.Trace(err)
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
	// reused is true if the last connection came from the pool.
	reused bool
}

func (t *tracker) gotConn(info httptrace.GotConnInfo) {
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

// seal stops further writes of the request. It reports whether a write of it
// was started, and whether its last connection came from the pool.
func (t *tracker) seal() (written, reused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		if c.seal() {
			written = true
		}
	}
	return written, t.reused
}
