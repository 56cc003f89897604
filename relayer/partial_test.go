package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
)

// startUploadEndpoint starts an endpoint that reads the headers of a request and the
// beginning of its body, and leaves the rest to answer.
func startUploadEndpoint(t *testing.T, answer func(r *http.Request, c *net.TCPConn)) *fakeEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.ReadFull(r.Body, make([]byte, 1000))
				answer(r, conn.(*net.TCPConn))
			}()
		}
	}()
	return &fakeEndpoint{listener: l}
}

// routesOfEachKind are the kinds of routes, by name.
var routesOfEachKind = map[string]bergamotdale.Route{
	"at most once": atMostOnceRoute, "idempotent": idempotentRoute,
	"stream": {Kind: bergamotdale.RouteStream, MaxAttempts: 3, Anonymous: true}, "resumable stream": resumableStreamRoute,
}

// assertNotPassedOn checks that the client did not get the response as a complete one, and
// that it is not told that the request was not run.
func assertNotPassedOn(t *testing.T, got response) {
	t.Helper()
	if got.broken {
		return
	}
	assert.Equal(t, got.status, http.StatusBadGateway, "passed on as complete: %q", got.body)
	assert.Assert(t, strings.Contains(got.body, `"outcome":"unknown"`), got.body)
}

// Guards against a part of a response that the client gets as a complete one: the endpoint
// answers a long upload at once and without a length, and resets the connection while the
// upload is being written.
func TestResetDuringUploadIsNotPassedOn(t *testing.T) {
	const rounds = 30
	upload := strings.Repeat("x", 1<<20)
	for kind, route := range routesOfEachKind {
		for contentType, part := range map[string]string{"application/json": `{"a":1`, "text/event-stream": "id: 1\ndata: a\n\n"} {
			t.Run(kind+" "+contentType, func(t *testing.T) {
				answer := func(r *http.Request, c *net.TCPConn) {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Type: %s\r\n\r\n%s", r.Header.Get("X-Id"), contentType, part)
					_ = c.SetLinger(0)
				}
				server := startRelayer(t, route, startUploadEndpoint(t, answer), startUploadEndpoint(t, answer))
				for n := range rounds {
					assertNotPassedOn(t, call(t, server, http.MethodPost, fmt.Sprint("r", n), upload))
				}
			})
		}
	}
}

// Guards against a response with an impossible status that is passed on, or whose body is
// read as the response, and against a request that is reported as not run after one.
func TestImpossibleStatusIsNotPassedOn(t *testing.T) {
	for kind, route := range routesOfEachKind {
		for _, status := range []string{"000", "042", "099", "101", "600", "999", "20", "2000"} {
			t.Run(kind+" "+status, func(t *testing.T) {
				e := startEndpoint(t, func(_ int, r *http.Request, c net.Conn) bool {
					inner := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Length: 5\r\n\r\nstray", r.Header.Get("X-Id"))
					fmt.Fprintf(c, "HTTP/1.1 %s X\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Length: %d\r\n\r\n%s", status, r.Header.Get("X-Id"), len(inner), inner)
					return true
				})
				server := startRelayer(t, route, e)
				for n := range 3 {
					assertNotPassedOn(t, call(t, server, http.MethodPost, fmt.Sprint("r", n), "x"))
				}
				assert.Assert(t, e.accepted.Load() >= int64(e.requestCount()), "a connection was used again")
			})
		}
	}
}
