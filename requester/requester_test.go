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

// server is an HTTP server whose handler writes to the raw connection. The handler
// gets the number of the request, counted from 1 over all connections, and returns
// whether to keep the connection open.
type server struct {
	url           string
	requests      atomic.Int64
	acceptedConns atomic.Int64
	listener      net.Listener
	// openConns counts the connections that are being served; acceptLoopDone is closed
	// when the server has stopped accepting connections.
	openConns      sync.WaitGroup
	acceptLoopDone chan struct{}
}

// stop closes the listener and waits until all accepted connections are served.
func (s *server) stop() {
	s.listener.Close()
	<-s.acceptLoopDone
	s.openConns.Wait()
}

func startServer(t *testing.T, handle func(n int64, c net.Conn) (keep bool)) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	s := &server{url: "http://" + l.Addr().String(), listener: l, acceptLoopDone: make(chan struct{})}
	go func() {
		defer close(s.acceptLoopDone)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.acceptedConns.Add(1)
			s.openConns.Go(func() { s.serve(c, handle) })
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

func writeOK(c net.Conn) {
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
	requestError := &requester.Error{}
	assert.Assert(t, errors.As(err, &requestError), "%v", err)
	return requestError.Written
}

// Guards against net/http sending a request again when the connection is closed
// after the request was written. On a reused connection it does so for requests
// with an Idempotency-Key header and for requests without a body.
func TestWrittenRequestIsNotRepeated(t *testing.T) {
	for _, body := range []string{"{}", ""} {
		s := startServer(t, func(n int64, c net.Conn) bool {
			if n == 1 {
				writeOK(c)
			}
			return n == 1
		})
		c := &requester.Client{}
		assert.NilError(t, post(context.Background(), t, c, s.url, body))
		err := post(context.Background(), t, c, s.url, body)
		assert.Assert(t, written(t, err))
		assert.Equal(t, s.requests.Load(), int64(2))
		assert.Equal(t, s.acceptedConns.Load(), int64(1), "the second request did not use the pooled connection")
	}
}

// Guards against a request that fails as unsent, or is executed twice, because the
// server closed its pooled connection while it was idle.
func TestClosedPooledConnection(t *testing.T) {
	s := startServer(t, func(_ int64, c net.Conn) bool {
		writeOK(c)
		return false
	})
	c := &requester.Client{}
	for n := range 20 {
		err := post(context.Background(), t, c, s.url, "{}")
		if err == nil {
			continue
		}
		// The server's close can arrive after the request was written. Then the
		// outcome is unknown and the request must not be sent again.
		assert.Assert(t, written(t, err))
		assert.Assert(t, s.requests.Load() <= int64(n+1))
	}
}

// Guards against a request that was never sent being reported as written, and
// against the reverse. The first request is cancelled before it starts, the second
// finds no listener, and the third is read by a server that closes the connection.
func TestNotWritten(t *testing.T) {
	s := startServer(t, func(int64, net.Conn) bool { return false })
	cancelledCtx, cancel := context.WithCancel(context.Background())
	cancel()
	c := &requester.Client{}
	assert.Assert(t, !written(t, post(cancelledCtx, t, c, s.url, "{}")))
	assert.Assert(t, !written(t, post(context.Background(), t, c, "http://127.0.0.1:1", "{}")))
	assert.Assert(t, written(t, post(context.Background(), t, c, s.url, "{}")))
}

// Guards against a request that the server receives although it was reported as not
// written. The requests are cancelled at different moments of up to 100 µs.
func TestNotWrittenIsNeverReceived(t *testing.T) {
	s := startServer(t, func(_ int64, c net.Conn) bool {
		writeOK(c)
		return true
	})
	c := &requester.Client{}
	reportedWritten := int64(0)
	for n := range 2000 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n%100)*time.Microsecond)
		err := post(ctx, t, c, s.url, "{}")
		cancel()
		if err == nil || written(t, err) {
			reportedWritten++
		}
	}
	// The server accepts connections in order: it has accepted all earlier ones
	// once a request on a new connection succeeds.
	lastClient := &requester.Client{}
	assert.NilError(t, post(context.Background(), t, lastClient, s.url, "{}"))
	lastClient.Close()
	c.Close()
	s.stop()
	assert.Assert(t, s.requests.Load() <= reportedWritten+1, "%d received, %d reported as written", s.requests.Load(), reportedWritten+1)
}

// Guards against an error response being treated as not-run although it doesn't
// state that outcome.
func TestRefusalFromResponseNeedsOutcome(t *testing.T) {
	resp := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"2"}}}
	assert.Assert(t, requester.RefusalFromResponse(resp, []byte("busy")) == nil)
	assert.Assert(t, requester.RefusalFromResponse(resp, []byte(`{"error":{"outcome":"unknown"}}`)) == nil)
	r := requester.RefusalFromResponse(resp, []byte(`{"error":{"outcome":"not-run"}}`))
	assert.Equal(t, r.Outcome, bergamotdale.OutcomeNotRun)
	assert.Equal(t, r.RetryAfter, 2*time.Second)
}
