package peerclient_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/peerclient"
)

type message struct {
	Text string `json:"text"`
}

func address(s *httptest.Server) string {
	return strings.TrimPrefix(s.URL, "http://")
}

// asRefusal returns the refusal in the chain of err and fails the test if there is
// none.
func asRefusal(t assert.TestingT, err error) *bergamotdale.Refusal {
	var r *bergamotdale.Refusal
	assert.Assert(t, errors.As(err, &r), "%v", err)
	return r
}

// connBehaviour describes how faultyServer handles one connection.
type connBehaviour struct {
	// read is the number of bytes that it reads before it closes the connection.
	read int
	// respond, if not zero, makes it read a whole request instead and send this
	// number of bytes of a response.
	respond int
	// serve is the number of requests that it answers correctly before that.
	serve int
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"text\":\"ok\"}"

// faultyServer is an HTTP server that fails as next tells it for each connection.
// It records in seen the paths of the requests that reached it.
type faultyServer struct {
	net.Listener
	mu    sync.Mutex
	next  func() connBehaviour
	seen  map[string]bool
	conns sync.WaitGroup
}

func (s *faultyServer) run() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		b := s.next()
		s.mu.Unlock()
		s.conns.Go(func() { s.serve(c, b) })
	}
}

func (s *faultyServer) serve(c net.Conn, b connBehaviour) {
	defer c.Close()
	r := bufio.NewReader(c)
	for range b.serve {
		if !s.readRequest(r) {
			return
		}
		io.WriteString(c, okResponse)
	}
	if b.respond == 0 {
		buffer := make([]byte, b.read)
		n, _ := io.ReadFull(r, buffer)
		s.recordPath(string(buffer[:n]))
		return
	}
	if s.readRequest(r) {
		io.WriteString(c, okResponse[:min(b.respond, len(okResponse))])
	}
}

// readRequest reads a whole request and reports whether that succeeded.
func (s *faultyServer) readRequest(r *bufio.Reader) bool {
	line, _ := r.Peek(24)
	s.recordPath(string(line))
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// recordPath records the path of a request if the text, the beginning of the
// request, includes the whole path. Paths have 8 characters.
func (s *faultyServer) recordPath(text string) {
	if path, ok := strings.CutPrefix(text, "POST /peer/v1/"); ok && len(path) >= 8 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.seen[path[:8]] = true
	}
}

// Guards against a call that is reported as not-run although the peer has received
// a part of it. Calls use new, reused and closed connections, and their deadlines
// pass at any moment.
func TestNotRunMeansNotSent(t *testing.T) {
	counts := map[bergamotdale.Outcome]int{}
	rapid.Check(t, func(t *rapid.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		behaviours := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) connBehaviour {
			return connBehaviour{
				read:    rapid.IntRange(0, 60).Draw(t, "read"),
				respond: rapid.IntRange(0, 80).Draw(t, "respond"),
				serve:   rapid.IntRange(0, 2).Draw(t, "serve"),
			}
		}), 1, 6).Draw(t, "connections")
		s := &faultyServer{Listener: l, seen: map[string]bool{}}
		i := 0
		s.next = func() connBehaviour { i++; return behaviours[(i-1)%len(behaviours)] }
		s.conns.Go(s.run)
		c := peerclient.New()
		outcomes := map[string]bergamotdale.Outcome{}
		for n := range rapid.IntRange(1, 8).Draw(t, "calls") {
			path := fmt.Sprintf("call%04d", n)
			limit := time.Duration(rapid.IntRange(1, 3000).Draw(t, "deadline-us")) * time.Microsecond
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			var response message
			if err := c.Call(ctx, l.Addr().String(), path, message{"hello"}, &response); err != nil {
				r := asRefusal(t, err)
				assert.Equal(t, r.Code, bergamotdale.CodePeer)
				outcomes[path] = r.Outcome
				counts[r.Outcome]++
			} else {
				counts[bergamotdale.OutcomeRun]++
			}
			cancel()
		}
		c.Close()
		l.Close()
		s.conns.Wait()
		for path, outcome := range outcomes {
			assert.Assert(t, outcome != bergamotdale.OutcomeNotRun || !s.seen[path], "%s was sent", path)
		}
	})
	t.Logf("outcomes: %v", counts)
	assert.Assert(t, counts[bergamotdale.OutcomeUnknown] > 0 && counts[bergamotdale.OutcomeRun] > 0)
}

// Guards against reporting calls to an unreachable peer with an unknown outcome:
// they could then not be retried.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l.Close()
	c := peerclient.New()
	r := asRefusal(t, c.Call(context.Background(), l.Addr().String(), "ping", message{}, nil))
	assert.Equal(t, r.Outcome, bergamotdale.OutcomeNotRun)
	assert.Equal(t, r.Code, bergamotdale.CodePeer)
	_, err = c.Stream(context.Background(), l.Addr().String(), "forward", message{})
	assert.Equal(t, asRefusal(t, err).Outcome, bergamotdale.OutcomeNotRun)
}

// silenceableProxy forwards connections to a server. Its method silence makes it
// discard all further bytes of the connections that are open at that time, like a
// firewall that lost their state.
type silenceableProxy struct {
	net.Listener
	mu sync.Mutex
	// silent is closed to silence the connections opened so far.
	silent chan struct{}
	// opened is the number of connections accepted.
	opened int
}

func newSilenceableProxy(t *testing.T, target string) *silenceableProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &silenceableProxy{Listener: l, silent: make(chan struct{})}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			s.mu.Lock()
			silent := s.silent
			s.opened++
			s.mu.Unlock()
			go forward(out, in, silent)
			go forward(in, out, silent)
		}
	}()
	return s
}

// forward copies bytes between connections and discards them once silent is closed.
func forward(to, from net.Conn, silent <-chan struct{}) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			to.Close()
			return
		}
		select {
		case <-silent:
		default:
			to.Write(buffer[:n])
		}
	}
}

// silence discards all further bytes of the open connections.
func (s *silenceableProxy) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.silent)
	s.silent = make(chan struct{})
}

// Guards against calls that keep using connections on which bytes are lost. After
// one lost response the next call must use a new connection, although other idle
// connections exist.
func TestNewConnectionAfterSilence(t *testing.T) {
	var barrier sync.WaitGroup
	barrier.Add(3)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "together") {
			barrier.Done()
			barrier.Wait()
		}
		peerclient.WriteJSON(w, message{"ok"})
	}))
	defer server.Close()
	proxy := newSilenceableProxy(t, address(server))
	c := peerclient.New()
	defer c.Close()
	call := func(path string, limit time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		return c.Call(ctx, proxy.Addr().String(), path, message{}, nil)
	}
	var calls sync.WaitGroup
	for range 3 {
		calls.Go(func() { assert.NilError(t, call("together", 5*time.Second)) })
	}
	calls.Wait()
	proxy.silence()
	r := asRefusal(t, call("ping", 100*time.Millisecond))
	assert.Equal(t, r.Outcome, bergamotdale.OutcomeUnknown)
	for range 3 {
		assert.NilError(t, call("ping", 5*time.Second))
	}
	assert.Equal(t, proxy.opened, 4)
}

// Guards against frames that are buffered instead of flushed, against an end of the
// stream that is not reported, and against accepting a stream as complete that
// broke off or went silent.
func TestStream(t *testing.T) {
	frame := func(kind bergamotdale.FrameKind, offset int) bergamotdale.Frame {
		return bergamotdale.Frame{RequestID: "r", Kind: kind, Offset: offset, Tokens: []string{"a"}}
	}
	sendEnd := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := peerclient.NewFrameWriter(w)
		if strings.HasSuffix(r.URL.Path, "refused") {
			assert.NilError(t, out.Refuse(bergamotdale.Refuse(bergamotdale.CodeNotOwner, "not the owner").WithRedirect(bergamotdale.Redirect{Owner: "router-2", Epoch: 7}).After(time.Second), "r", 0))
			return
		}
		assert.NilError(t, out.Write(frame(bergamotdale.FrameData, 0)))
		switch r.URL.Path[len(peerclient.BasePath):] {
		case "whole":
			<-sendEnd
			assert.NilError(t, out.Write(frame(bergamotdale.FrameEnd, 1)))
		case "refused-later":
			assert.NilError(t, out.Refuse(bergamotdale.Refuse(bergamotdale.CodeQuarantined, "no"), "r", 1))
		case "silent":
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	c := peerclient.New()
	c.SilenceTimeout = 300 * time.Millisecond
	defer c.Close()
	open := func(path string) (bergamotdale.FrameStream, error) {
		return c.Stream(context.Background(), address(server), path, message{})
	}
	first := func(path string) bergamotdale.FrameStream {
		s, err := open(path)
		assert.NilError(t, err)
		f, err := s.Next()
		assert.NilError(t, err)
		assert.Equal(t, f.Kind, bergamotdale.FrameData)
		return s
	}

	whole := first("whole")
	// The first frame has arrived although the server has not sent the end frame.
	sendEnd <- struct{}{}
	f, err := whole.Next()
	assert.NilError(t, err)
	assert.Equal(t, f.Kind, bergamotdale.FrameEnd)
	_, err = whole.Next()
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, whole.Close())

	_, err = open("refused")
	r := asRefusal(t, err)
	assert.Equal(t, r.Outcome, bergamotdale.OutcomeNotRun)
	assert.Equal(t, r.RetryAfter, time.Second)
	assert.Equal(t, *r.Redirect, bergamotdale.Redirect{Owner: "router-2", Epoch: 7})

	later := first("refused-later")
	f, err = later.Next()
	assert.NilError(t, err)
	assert.Equal(t, f.Refusal.Refusal().Code, bergamotdale.CodeQuarantined)
	_, err = later.Next()
	assert.Equal(t, err, io.EOF)

	for _, path := range []string{"cut", "silent"} {
		_, err = first(path).Next()
		r = asRefusal(t, err)
		assert.Equal(t, r.Code, bergamotdale.CodeStreamLost, path)
		assert.Equal(t, r.Outcome, bergamotdale.OutcomeUnknown, path)
	}
}

// Guards against reporting a call as not-run after an error response that is no
// refusal, for example from a proxy between the routers.
func TestErrorWithoutRefusalIsUnknown(t *testing.T) {
	bodies := map[string]string{"/peer/v1/page": "<html>", "/peer/v1/empty": "{}", "/peer/v1/outcome": `{"code":601}`}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		io.WriteString(w, bodies[r.URL.Path])
	}))
	defer server.Close()
	c := peerclient.New()
	defer c.Close()
	for path := range bodies {
		err := c.Call(context.Background(), address(server), strings.TrimPrefix(path, peerclient.BasePath), message{}, nil)
		assert.Equal(t, asRefusal(t, err).Outcome, bergamotdale.OutcomeUnknown, path)
	}
}

// Guards against a refusal that loses a field in its JSON form.
func TestRefusalOnTheWire(t *testing.T) {
	w := httptest.NewRecorder()
	sent := bergamotdale.Refuse(bergamotdale.CodeWaitTooLong, "wait").After(1500 * time.Millisecond)
	peerclient.WriteRefusal(w, sent, "id-1")
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Header().Get("Retry-After"), "2")
	var wire bergamotdale.WireRefusal
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &wire))
	assert.Equal(t, wire.RequestID, "id-1")
	assert.DeepEqual(t, *wire.Refusal(), *sent)
}
