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

func refusal(t assert.TestingT, err error) *bergamotdale.Refusal {
	var r *bergamotdale.Refusal
	assert.Assert(t, errors.As(err, &r), "%v", err)
	return r
}

// behaviour is what the faulty server does with one connection.
type behaviour struct {
	// read is the number of bytes that it reads before it closes.
	read int
	// respond makes it read a whole request and send that part of a response.
	respond int
	// serve is the number of requests served correctly before that.
	serve int
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"text\":\"ok\"}"

// faultyServer records the paths of which it has seen any byte.
type faultyServer struct {
	net.Listener
	mu    sync.Mutex
	next  func() behaviour
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

func (s *faultyServer) serve(c net.Conn, b behaviour) {
	defer c.Close()
	r := bufio.NewReader(c)
	for range b.serve {
		if !s.request(r) {
			return
		}
		io.WriteString(c, okResponse)
	}
	if b.respond == 0 {
		some := make([]byte, b.read)
		n, _ := io.ReadFull(r, some)
		s.see(string(some[:n]))
		return
	}
	if s.request(r) {
		io.WriteString(c, okResponse[:min(b.respond, len(okResponse))])
	}
}

func (s *faultyServer) request(r *bufio.Reader) bool {
	line, _ := r.Peek(24)
	s.see(string(line))
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// see records the path if the first line of the request has got so far. Paths
// have a fixed length.
func (s *faultyServer) see(text string) {
	if path, ok := strings.CutPrefix(text, "POST /peer/v1/"); ok && len(path) >= 8 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.seen[path[:8]] = true
	}
}

// Guards against a call that is reported as not-run although the peer has
// received a part of it, over fresh, reused and closed connections and with
// deadlines at any moment.
func TestNotRunMeansNotSent(t *testing.T) {
	counts := map[bergamotdale.Outcome]int{}
	rapid.Check(t, func(t *rapid.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		behaviours := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) behaviour {
			return behaviour{
				read:    rapid.IntRange(0, 60).Draw(t, "read"),
				respond: rapid.IntRange(0, 80).Draw(t, "respond"),
				serve:   rapid.IntRange(0, 2).Draw(t, "serve"),
			}
		}), 1, 6).Draw(t, "connections")
		s := &faultyServer{Listener: l, seen: map[string]bool{}}
		i := 0
		s.next = func() behaviour { i++; return behaviours[(i-1)%len(behaviours)] }
		s.conns.Go(s.run)
		c := peerclient.New()
		outcomes := map[string]bergamotdale.Outcome{}
		for n := range rapid.IntRange(1, 8).Draw(t, "calls") {
			path := fmt.Sprintf("call%04d", n)
			limit := time.Duration(rapid.IntRange(1, 3000).Draw(t, "deadline-us")) * time.Microsecond
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			var response message
			if err := c.Call(ctx, l.Addr().String(), path, message{"hello"}, &response); err != nil {
				r := refusal(t, err)
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

// Guards against an unreachable peer whose calls count as unknown: they could
// then not be retried.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l.Close()
	c := peerclient.New()
	r := refusal(t, c.Call(context.Background(), l.Addr().String(), "ping", message{}, nil))
	assert.Equal(t, r.Outcome, bergamotdale.OutcomeNotRun)
	assert.Equal(t, r.Code, bergamotdale.CodePeer)
	_, err = c.Stream(context.Background(), l.Addr().String(), "forward", message{})
	assert.Equal(t, refusal(t, err).Outcome, bergamotdale.OutcomeNotRun)
}

// silencer forwards connections until it is told to drop all bytes of those
// that are open, as a firewall does that lost their state.
type silencer struct {
	net.Listener
	mu     sync.Mutex
	silent chan struct{}
	opened int
}

func newSilencer(t *testing.T, target string) *silencer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &silencer{Listener: l, silent: make(chan struct{})}
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

func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.silent)
	s.silent = make(chan struct{})
}

// Guards against calls that go on using connections that went silent: after
// one lost response the next call must use a new connection, although other
// idle ones are left.
func TestNewConnectionAfterSilence(t *testing.T) {
	var together sync.WaitGroup
	together.Add(3)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "together") {
			together.Done()
			together.Wait()
		}
		peerclient.WriteJSON(w, message{"ok"})
	}))
	defer server.Close()
	proxy := newSilencer(t, address(server))
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
	r := refusal(t, call("ping", 100*time.Millisecond))
	assert.Equal(t, r.Outcome, bergamotdale.OutcomeUnknown)
	for range 3 {
		assert.NilError(t, call("ping", 5*time.Second))
	}
	assert.Equal(t, proxy.opened, 4)
}

// Guards against frames that are held back, an end that is not reported, and
// streams without an end or without heartbeats that are taken for complete.
func TestStream(t *testing.T) {
	frame := func(kind bergamotdale.FrameKind, offset int) bergamotdale.Frame {
		return bergamotdale.Frame{RequestID: "r", Kind: kind, Offset: offset, Tokens: []string{"a"}}
	}
	step := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out := peerclient.NewFrameWriter(w)
		if strings.HasSuffix(r.URL.Path, "refused") {
			assert.NilError(t, out.Refuse(bergamotdale.Refuse(bergamotdale.CodeNotOwner, "not the owner").WithRedirect(bergamotdale.Redirect{Owner: "router-2", Epoch: 7}).After(time.Second), "r", 0))
			return
		}
		assert.NilError(t, out.Write(frame(bergamotdale.FrameData, 0)))
		switch r.URL.Path[len(peerclient.BasePath):] {
		case "whole":
			<-step
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
	// The first frame has arrived while the server waits here.
	step <- struct{}{}
	f, err := whole.Next()
	assert.NilError(t, err)
	assert.Equal(t, f.Kind, bergamotdale.FrameEnd)
	_, err = whole.Next()
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, whole.Close())

	_, err = open("refused")
	r := refusal(t, err)
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
		r = refusal(t, err)
		assert.Equal(t, r.Code, bergamotdale.CodeStreamLost, path)
		assert.Equal(t, r.Outcome, bergamotdale.OutcomeUnknown, path)
	}
}

// Guards against an error response that is no refusal, for example of
// something between the routers, and counts as not-run.
func TestForeignErrorIsUnknown(t *testing.T) {
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
		assert.Equal(t, refusal(t, err).Outcome, bergamotdale.OutcomeUnknown, path)
	}
}

// Guards against a refusal that loses a field on the way.
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
