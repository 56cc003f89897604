package relayer_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/relayer"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

var (
	once   = bergamotdale.Route{Kind: bergamotdale.RouteAtMostOnce, MaxAttempts: 3}
	often  = bergamotdale.Route{Kind: bergamotdale.RouteIdempotent, MaxAttempts: 3}
	resume = bergamotdale.Route{Kind: bergamotdale.RouteStream, MaxAttempts: 3, Resumable: true}
	single = bergamotdale.Route{Kind: bergamotdale.RouteStream, MaxAttempts: 3}
)

// Guards against changed methods, targets, bodies and headers, and against API
// keys that reach an endpoint.
func TestForwardsUnchanged(t *testing.T) {
	e := startEndpoint(t, func(_ int, r *http.Request, c net.Conn) bool { return answer(c, r, 200, "pong") })
	server := start(t, once, e)
	body := strings.Repeat("0123456789", 5000)
	got := call(t, server, http.MethodPost, "r1", body)
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, "pong")
	assert.Equal(t, got.header.Get("X-Signed"), "1")
	sent := e.requests[0]
	assert.Equal(t, sent.RequestURI, "/a%2Fb?q=1")
	assert.Equal(t, sent.Method, http.MethodPost)
	assert.Equal(t, e.bodies[0], body)
	assert.Equal(t, sent.Header.Get("X-Key"), "")
	assert.Equal(t, sent.Header.Get("X-Workspace"), "w")
}

// Guards against a second execution of a request that may run once: the
// endpoint ran it and its answer was lost.
func TestAtMostOnceIsNotRepeated(t *testing.T) {
	lose := func(_ int, _ *http.Request, _ net.Conn) bool { return false }
	a, b := startEndpoint(t, lose), startEndpoint(t, lose)
	got := call(t, start(t, once, a, b), http.MethodGet, "r1", "")
	assert.Equal(t, got.status, http.StatusBadGateway, "a promise that it was not run would be false")
	assert.Equal(t, a.count()+b.count(), 1)
}

// Guards against an idempotent request that fails although another endpoint can
// answer it: lost answers, refusals, failures, garbage and unsigned successes.
func TestIdempotentGoesElsewhere(t *testing.T) {
	for name, bad := range map[string]script{
		"lost":    func(_ int, _ *http.Request, _ net.Conn) bool { return false },
		"refused": func(_ int, r *http.Request, c net.Conn) bool { return refuse(c, r) },
		"failed":  func(_ int, r *http.Request, c net.Conn) bool { return answer(c, r, 500, "") },
		"garbage": func(_ int, _ *http.Request, c net.Conn) bool { fmt.Fprint(c, "garbage\r\n\r\n"); return false },
		"unsigned": func(_ int, _ *http.Request, c net.Conn) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return true
		},
		"cut": func(_ int, r *http.Request, c net.Conn) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signed: 1\r\nContent-Length: 9\r\n\r\nhalf", r.Header.Get("X-Id"))
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			var total atomic.Int64
			s := func(n int, r *http.Request, c net.Conn) bool {
				if total.Add(1) == 1 {
					return bad(n, r, c)
				}
				return answer(c, r, 200, "good")
			}
			got := call(t, start(t, often, startEndpoint(t, s), startEndpoint(t, s)), http.MethodGet, "r1", "")
			assert.Equal(t, got.status, 200)
			assert.Equal(t, got.body, "good")
			assert.Equal(t, total.Load(), int64(2))
		})
	}
}

// Guards against a false promise: a refusal of every endpoint says truthfully
// that the request was not run, and when to come back.
func TestRefusedEverywhere(t *testing.T) {
	s := func(_ int, r *http.Request, c net.Conn) bool { return refuse(c, r) }
	got := call(t, start(t, once, startEndpoint(t, s), startEndpoint(t, s)), http.MethodPost, "r1", "x")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, strings.Contains(got.body, `"outcome":"not-run"`), got.body)
}

// Guards against a status that promises "not run" being passed on from an
// endpoint that does not say so.
func TestUnmarkedPromiseIsNotPassedOn(t *testing.T) {
	e := startEndpoint(t, func(_ int, r *http.Request, c net.Conn) bool { return answer(c, r, 503, "") })
	got := call(t, start(t, once, e), http.MethodPost, "r1", "x")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.header.Get("X-Signed"), "")
}

// Guards against the answer to another request: an endpoint sends an extra
// response on a kept connection.
func TestStrayResponseIsSkipped(t *testing.T) {
	e := startEndpoint(t, func(n int, r *http.Request, c net.Conn) bool {
		if n == 1 {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: 1\r\nContent-Length: 5\r\n\r\nstray")
		}
		return answer(c, r, 200, "own "+r.Header.Get("X-Id"))
	})
	server := start(t, often, e)
	for _, id := range []string{"r1", "r2", "r3"} {
		got := call(t, server, http.MethodGet, id, "")
		assert.Equal(t, got.body, "own "+id)
	}
}

// Guards against a stream that breaks in the middle of an event ending there,
// losing a piece or repeating one.
func TestStreamResumes(t *testing.T) {
	var total atomic.Int64
	s := func(_ int, r *http.Request, c net.Conn) bool {
		stream(c, r)
		if total.Add(1) == 1 {
			chunk(c, "id: 1\ndata: a\n\nid: 2\nda")
			return false
		}
		assert.Check(t, r.Header.Get("X-Resume") == "1")
		chunk(c, "id: 2\ndata: b\n\n")
		chunk(c, "id: 3\ndata: c\n\n")
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	}
	got := call(t, start(t, resume, startEndpoint(t, s), startEndpoint(t, s)), http.MethodPost, "r1", "x")
	assert.Equal(t, got.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	assert.Assert(t, !got.broken)
}

// Guards against a part of a stream that looks complete, and against a second
// run of a stream that may not be resumed.
func TestBrokenStreamLooksBroken(t *testing.T) {
	s := func(_ int, r *http.Request, c net.Conn) bool {
		stream(c, r)
		chunk(c, "id: 1\ndata: a\n\n")
		return false
	}
	a, b := startEndpoint(t, s), startEndpoint(t, s)
	got := call(t, start(t, single, a, b), http.MethodPost, "r1", "x")
	assert.Assert(t, got.broken)
	assert.Equal(t, a.count()+b.count(), 1)
}

// Guards against work that goes on after its client has left.
func TestClientLeaves(t *testing.T) {
	closed := make(chan struct{})
	e := startEndpoint(t, func(_ int, r *http.Request, c net.Conn) bool {
		stream(c, r)
		chunk(c, "id: 1\ndata: a\n\n")
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	server := start(t, single, e)
	req, err := http.NewRequest(http.MethodPost, server.URL+"/", http.NoBody)
	assert.NilError(t, err)
	req.Host = "h"
	req.Header.Set("X-Id", "r1")
	req.Header.Set("X-Key", "key")
	resp, err := server.Client().Do(req)
	assert.NilError(t, err)
	resp.Body.Close()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the endpoint still works on the request")
	}
}

// Guards against a request that is held beyond the time of its route.
func TestTimeout(t *testing.T) {
	route := once
	route.Timeout = 100 * time.Millisecond
	release := make(chan struct{})
	defer close(release)
	e := startEndpoint(t, func(_ int, _ *http.Request, _ net.Conn) bool { <-release; return false })
	begun := time.Now()
	got := call(t, start(t, route, e), http.MethodPost, "r1", "x")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(begun) < 2*time.Second)
}

// Guards against a request that is refused although it only met an endpoint
// that accepts no connection.
func TestUnreachableEndpointIsPassedOver(t *testing.T) {
	gone := startEndpoint(t, nil)
	gone.listener.Close()
	e := startEndpoint(t, func(_ int, r *http.Request, c net.Conn) bool { return answer(c, r, 200, "good") })
	server := start(t, once, gone, e)
	for i := range 20 {
		assert.Equal(t, call(t, server, http.MethodPost, fmt.Sprint(i), "x").status, 200)
	}
}

// Guards against one packet for each event of a fast stream: on a path that loses
// packets each of them is a chance of a stall. It also guards against events that
// wait although the stream is slow.
func TestFastEventsShareAPacket(t *testing.T) {
	const events = 40
	e := startEndpoint(t, func(_ int, r *http.Request, c net.Conn) bool {
		stream(c, r)
		for i := range events {
			chunk(c, fmt.Sprintf("id: %d\ndata: x\n\n", i))
		}
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	server := start(t, single, e)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: key\r\nContent-Length: 0\r\n\r\n")
	data, err := io.ReadAll(&untilEnd{conn: conn})
	assert.NilError(t, err)
	// net/http makes one chunk of what is sent at once.
	chunks := strings.Count(string(data), "\r\n")
	assert.Equal(t, strings.Count(string(data), "data: x"), events)
	assert.Assert(t, chunks < events, "%d lines for %d events", chunks, events)
}

// untilEnd reads a response in chunks up to its last one.
type untilEnd struct {
	conn net.Conn
	seen string
}

func (u *untilEnd) Read(p []byte) (int, error) {
	if strings.HasSuffix(u.seen, "0\r\n\r\n") {
		return 0, io.EOF
	}
	n, err := u.conn.Read(p)
	u.seen += string(p[:n])
	return n, err
}

// Guards against streams that wait for an endpoint that lost power: its
// connections stay open and silent, but it accepts no new ones.
func TestSilentEndpointIsLeft(t *testing.T) {
	var dark *endpoint
	begun := make(chan struct{})
	dark = startEndpoint(t, func(_ int, r *http.Request, c net.Conn) bool {
		stream(c, r)
		chunk(c, "id: 1\ndata: a\n\n")
		dark.listener.Close()
		close(begun)
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	server := start(t, resume, dark)
	answered := make(chan response, 1)
	go func() { answered <- call(t, server, http.MethodPost, "r1", "x") }()
	<-begun
	select {
	case got := <-answered:
		// There is no other endpoint: the stream must end as broken, not wait.
		assert.Assert(t, got.broken)
	case <-time.After(3 * time.Second):
		t.Fatal("the stream waits for an endpoint that is gone")
	}
}

// Guards against an idempotent request that waits until its deadline for an
// endpoint that never answers.
func TestMuteEndpointIsLeft(t *testing.T) {
	route := often
	route.Objective = 100 * time.Millisecond
	var total atomic.Int64
	s := func(_ int, r *http.Request, c net.Conn) bool {
		if total.Add(1) == 1 {
			_, _ = c.Read(make([]byte, 1))
			return false
		}
		return answer(c, r, 200, "good")
	}
	got := call(t, start(t, route, startEndpoint(t, s), startEndpoint(t, s)), http.MethodGet, "r1", "")
	assert.Equal(t, got.body, "good")
}

// unread is a directory before and after its first read.
type unread struct {
	relayer.Directory
	read atomic.Bool
}

func (u *unread) State() *subscriber.State {
	if !u.read.Load() {
		return &subscriber.State{}
	}
	return u.Directory.State()
}

// Guards against refusals in the moment between the start of a process and its
// first configuration, and against requests that are held beyond that.
func TestFirstRequestsWaitForTheConfiguration(t *testing.T) {
	e := startEndpoint(t, func(_ int, r *http.Request, c net.Conn) bool { return answer(c, r, 200, "pong") })
	r := newRelayer(t, often, e)
	directory := &unread{Directory: r.Directory}
	r.Directory = directory
	server := serve(t, r)
	answered := make(chan response)
	go func() { answered <- call(t, server, http.MethodGet, "r1", "") }()
	select {
	case got := <-answered:
		t.Fatalf("answered with %d before the configuration was read", got.status)
	case <-time.After(50 * time.Millisecond):
	}
	directory.read.Store(true)
	r.Start.End()
	assert.Equal(t, (<-answered).status, 200)

	directory.read.Store(false)
	r.Start = relayer.NewStart(10 * time.Millisecond)
	assert.Equal(t, call(t, server, http.MethodGet, "r2", "").status, http.StatusServiceUnavailable)
}

// Guards against failed requests whose lines are left out with those of good
// ones, or do not name the cause.
func TestLinesOfFailedRequests(t *testing.T) {
	for name, c := range map[string]struct {
		script script
		route  bergamotdale.Route
		want   string
	}{
		"endpoint-error": {func(_ int, r *http.Request, c net.Conn) bool { return answer(c, r, 500, "") }, once, "answered with status 500"},
		"broken": {func(_ int, r *http.Request, c net.Conn) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: 1\r\nContent-Type: text/event-stream\r\nContent-Length: 100\r\n\r\nid: 1\ndata: a\n\n")
			return false
		}, single, "endpoint-failed (502): endpoint e0 broke off its stream after 1 events"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRelayer(t, c.route, startEndpoint(t, c.script))
			core, lines := observer.New(zap.WarnLevel)
			r.Logger = zap.New(core)
			reported := make(chan struct{})
			r.Finished = func(relayer.Report) { close(reported) }
			r.Start.End()
			call(t, serve(t, r), http.MethodGet, "r1", "")
			<-reported
			found := lines.FilterMessage("request").All()
			assert.Equal(t, len(found), 1)
			fields := found[0].ContextMap()
			assert.Equal(t, fields["outcome"], name)
			assert.Equal(t, fields["request-id"], "r1")
			assert.Assert(t, strings.Contains(fmt.Sprint(fields["error"]), c.want), "%v", fields["error"])
		})
	}
}
