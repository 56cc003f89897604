package requester_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/requester"
)

// server answers requests on raw connections. It calls handle with the number
// of the request, counted over all connections.
type server struct {
	url      string
	requests atomic.Int64
	accepted atomic.Int64
	listener net.Listener
	// open counts the connections that are being served; accepting is closed
	// when no further one is accepted.
	open      sync.WaitGroup
	accepting chan struct{}
}

// stop waits until everything that has arrived is handled.
func (s *server) stop() {
	s.listener.Close()
	<-s.accepting
	s.open.Wait()
}

func start(t *testing.T, handle func(n int64, c net.Conn) (keep bool)) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	s := &server{url: "http://" + l.Addr().String(), listener: l, accepting: make(chan struct{})}
	go func() {
		defer close(s.accepting)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			s.open.Go(func() { s.serve(c, handle) })
		}
	}()
	return s
}

func (s *server) serve(c net.Conn, handle func(n int64, c net.Conn) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if !handle(s.requests.Add(1), c) {
			return
		}
	}
}

func answer(c net.Conn) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
}

func post(ctx context.Context, t *testing.T, c *requester.Client, url, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Idempotency-Key", "k")
	resp, err := c.Do(req)
	if err == nil {
		resp.Body.Close()
	}
	return err
}

func written(t *testing.T, err error) bool {
	t.Helper()
	failure := &requester.Error{}
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	return failure.Written
}

// Guards against net/http repeating a request whose connection was closed
// after it had been written: it does so for requests with an Idempotency-Key
// on a reused connection, and for ones without a body.
func TestNoRepetition(t *testing.T) {
	for _, body := range []string{"{}", ""} {
		s := start(t, func(n int64, c net.Conn) bool {
			if n == 1 {
				answer(c)
			}
			return n == 1
		})
		c := &requester.Client{}
		assert.NilError(t, post(context.Background(), t, c, s.url, body))
		err := post(context.Background(), t, c, s.url, body)
		assert.Assert(t, written(t, err))
		assert.Equal(t, s.requests.Load(), int64(2))
		assert.Equal(t, s.accepted.Load(), int64(1), "the second request used the pooled connection")
	}
}

// Guards against a request that fails because its pooled connection was
// closed by the server while it was idle.
func TestClosedPooledConnection(t *testing.T) {
	s := start(t, func(_ int64, c net.Conn) bool {
		answer(c)
		return false
	})
	c := &requester.Client{}
	for n := range 20 {
		err := post(context.Background(), t, c, s.url, "{}")
		if err == nil {
			continue
		}
		// The close can arrive after the request was written. Then the outcome
		// is unknown and the request must not have been repeated.
		assert.Assert(t, written(t, err))
		assert.Assert(t, s.requests.Load() <= int64(n+1))
	}
}

// Guards against a call that never left being reported as possibly run.
func TestNotWritten(t *testing.T) {
	s := start(t, func(int64, net.Conn) bool { return false })
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	c := &requester.Client{}
	assert.Assert(t, !written(t, post(cancelled, t, c, s.url, "{}")))
	assert.Assert(t, !written(t, post(context.Background(), t, c, "http://127.0.0.1:1", "{}")))
	assert.Assert(t, written(t, post(context.Background(), t, c, s.url, "{}")))
}

// Guards against a request that is cancelled at any moment, reported as not
// written and received by the server all the same.
func TestNotWrittenIsNeverReceived(t *testing.T) {
	s := start(t, func(_ int64, c net.Conn) bool {
		answer(c)
		return true
	})
	c := &requester.Client{}
	sent := int64(0)
	for n := range 2000 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n%100)*time.Microsecond)
		err := post(ctx, t, c, s.url, "{}")
		cancel()
		if err == nil || written(t, err) {
			sent++
		}
	}
	// A new connection is accepted after all earlier ones.
	after := &requester.Client{}
	assert.NilError(t, post(context.Background(), t, after, s.url, "{}"))
	after.Close()
	c.Close()
	s.stop()
	assert.Assert(t, s.requests.Load() <= sent+1, "%d received, %d reported as written", s.requests.Load(), sent+1)
}

// Guards against an error response that doesn't state an outcome being taken
// as not-run.
func TestExplicit(t *testing.T) {
	resp := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"2"}}}
	assert.Assert(t, requester.RefusalFromResponse(resp, []byte("busy")) == nil)
	assert.Assert(t, requester.RefusalFromResponse(resp, []byte(`{"error":{"outcome":"unknown"}}`)) == nil)
	r := requester.RefusalFromResponse(resp, []byte(`{"error":{"outcome":"not-run"}}`))
	assert.Equal(t, r.Outcome, bergamotdale.OutcomeNotRun)
	assert.Equal(t, r.RetryAfter, 2*time.Second)
}
