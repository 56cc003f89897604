package relayer_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/framer"
	"github.com/bergamotdale/bergamotdale/relayer"
	"github.com/bergamotdale/bergamotdale/watchdog"
)

// drip writes the text again and again until the connection fails.
func drip(c net.Conn, text string, pause time.Duration) {
	for {
		if _, err := fmt.Fprint(c, text); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// Guards against a refusal whose body never ends and that holds the request,
// although another endpoint could execute it.
func TestEndlessRefusalIsLeft(t *testing.T) {
	for name, pause := range map[string]time.Duration{"flood": 0, "drip": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			s := func(_ int, r *http.Request, c net.Conn) bool {
				if r.Header.Get("X-Endpoint") == "e0" {
					fmt.Fprintf(c, "HTTP/1.1 503 X\r\nX-Id: %s\r\nX-Refused: 1\r\nContent-Length: 100000000\r\n\r\n", r.Header.Get("X-Id"))
					drip(c, strings.Repeat("x", 100), pause)
					return false
				}
				return writeResponse(c, r, 200, "ok")
			}
			server := startRelayer(t, atMostOnceRoute, startEndpoint(t, s), startEndpoint(t, s))
			started := time.Now()
			for i := range 4 {
				got := call(t, server, http.MethodPost, fmt.Sprint("r", i), "x")
				assert.Equal(t, got.status, 200, got.body)
			}
			assert.Assert(t, time.Since(started) < 2*time.Second, "%s", time.Since(started))
		})
	}
}

// Guards against a response without a stated length that is passed on without end,
// and against a truncated one that looks complete.
func TestEndlessBodyIsAborted(t *testing.T) {
	e := startEndpoint(t, func(_ int, r *http.Request, c net.Conn) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nConnection: close\r\n\r\n", r.Header.Get("X-Id"))
		drip(c, strings.Repeat("x", 4096), 0)
		return false
	})
	r := newRelayer(t, idempotentRoute, e)
	r.SetLimits(relayer.Limits{MaxKeyAge: time.Minute, LoadMultiple: 2, MaxResponse: 1 << 20})
	r.StartupGate.Open()
	server := serve(t, r)
	started := time.Now()
	got := call(t, server, http.MethodGet, "r1", "")
	assert.Assert(t, got.broken)
	assert.Assert(t, len(got.body) <= 1<<20+1)
	assert.Assert(t, time.Since(started) < 2*time.Second, "%s", time.Since(started))
}

// Guards against a stream that never ends because its endpoint sends a byte now and
// then but no event: it is resumed at another endpoint.
func TestDrippingStreamIsResumed(t *testing.T) {
	s := func(_ int, r *http.Request, c net.Conn) bool {
		startStream(c, r)
		if r.Header.Get("X-Resume") == "" {
			writeChunk(c, "id: 1\ndata: a\n\nid: 2\ndata: ")
			drip(c, "1\r\nx\r\n", 100*time.Millisecond)
			return false
		}
		writeChunk(c, "id: 2\ndata: b\n\n")
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
	started := time.Now()
	got := call(t, startRelayer(t, resumableStreamRoute, startEndpoint(t, s), startEndpoint(t, s)), http.MethodPost, "r1", "x")
	assert.Equal(t, got.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	assert.Assert(t, !got.broken)
	assert.Assert(t, time.Since(started) < watchdog.StallTimeout+time.Second, "%s", time.Since(started))
}

// Guards against an event without end that fills the memory of the router.
func TestEndlessEventIsResumed(t *testing.T) {
	s := func(_ int, r *http.Request, c net.Conn) bool {
		startStream(c, r)
		if r.Header.Get("X-Resume") == "" {
			writeChunk(c, "id: 1\ndata: a\n\nid: 2\ndata: ")
			drip(c, fmt.Sprintf("%x\r\n%s\r\n", framer.DefaultMaxEvent/8, strings.Repeat("x", framer.DefaultMaxEvent/8)), 0)
			return false
		}
		writeChunk(c, "id: 2\ndata: b\n\n")
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
	got := call(t, startRelayer(t, resumableStreamRoute, startEndpoint(t, s), startEndpoint(t, s)), http.MethodPost, "r1", "x")
	assert.Equal(t, got.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
	assert.Assert(t, !got.broken)
}

// Guards against a slow but sound stream that is cut: its events come whole, each
// later than the time within which an incomplete one is given up.
func TestSlowStreamIsNotCut(t *testing.T) {
	s := func(_ int, r *http.Request, c net.Conn) bool {
		startStream(c, r)
		writeChunk(c, "id: 1\ndata: a\n\n")
		time.Sleep(watchdog.StallTimeout + 500*time.Millisecond)
		writeChunk(c, ": still here\n\n")
		writeChunk(c, "id: 2\ndata: b\n\n")
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
	a, b := startEndpoint(t, s), startEndpoint(t, s)
	got := call(t, startRelayer(t, resumableStreamRoute, a, b), http.MethodPost, "r1", "x")
	assert.Equal(t, got.body, "id: 1\ndata: a\n\n: still here\n\nid: 2\ndata: b\n\n")
	assert.Equal(t, a.requestCount()+b.requestCount(), 1)
}
