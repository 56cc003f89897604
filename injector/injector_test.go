package injector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/bergamotdale/bergamotdale/injector"
)

const (
	// shortWait is far longer than a response over loopback takes.
	shortWait = 200 * time.Millisecond
	longWait  = 20 * time.Second
)

// fixture is a server that counts executions and streams a line per tick.
type fixture struct {
	*injector.Injector
	url        string
	executions atomic.Int64
	tick       chan struct{}
}

func start(t *testing.T, i *injector.Injector) *fixture {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fixture{Injector: i, url: "http://" + l.Addr().String(), tick: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- f.Serve(ctx, l, "", http.HandlerFunc(f.serve)) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-stopped)
	})
	return f
}

func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	f.executions.Add(1)
	body, _ := io.ReadAll(r.Body)
	f.Execute(body)
	for r.URL.Path == "/stream" {
		_, _ = io.WriteString(w, "line\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-f.tick:
		case <-r.Context().Done():
			return
		}
	}
}

// post sends a request on a connection of its own.
func (f *fixture) post(path, body string, timeout time.Duration) (*http.Response, error) {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: timeout}
	return c.Post(f.url+path, "text/plain", strings.NewReader(body))
}

// lines opens a stream and returns its lines; the channel is closed when the
// stream is cut.
func (f *fixture) lines(t *testing.T) <-chan string {
	resp, err := f.post("/stream", "", 0)
	assert.NilError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	lines := make(chan string)
	go func() {
		defer close(lines)
		for s := bufio.NewScanner(resp.Body); s.Scan(); {
			lines <- s.Text()
		}
	}()
	assert.Equal(t, <-lines, "line")
	return lines
}

func assertSilent(t *testing.T, lines <-chan string) {
	t.Helper()
	select {
	case l, open := <-lines:
		t.Fatalf("received %q, open %v", l, open)
	case <-time.After(shortWait):
	}
}

func (f *fixture) assertWorks(t *testing.T) {
	t.Helper()
	resp, err := f.post("/call", "", longWait)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// Guards against a silent connection that closes or still carries data, and
// against the fault reaching new connections or stopping the server's work.
func TestSilence(t *testing.T) {
	f := start(t, &injector.Injector{})
	lines := f.lines(t)
	f.Add(injector.Fault{Kind: injector.Silence})
	f.tick <- struct{}{}
	f.tick <- struct{}{}
	assertSilent(t, lines)
	f.assertWorks(t)
	f.Clear()
	f.tick <- struct{}{}
	assertSilent(t, lines)
}

// Guards against a freeze that loses what it holds back, or that stops the
// control path.
func TestFreeze(t *testing.T) {
	f := start(t, &injector.Injector{})
	lines := f.lines(t)
	resp, err := f.post("/faults", `{"kind":"freeze"}`, longWait)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	f.tick <- struct{}{}
	assertSilent(t, lines)
	_, err = f.post("/call", "", shortWait)
	assert.ErrorContains(t, err, "Timeout")
	assert.Equal(t, f.executions.Load(), int64(1))
	f.Clear()
	assert.Equal(t, <-lines, "line")
	f.assertWorks(t)
}

// Guards against a dropped connection that executes or answers its request.
func TestDrop(t *testing.T) {
	f := start(t, &injector.Injector{})
	lines := f.lines(t)
	f.Add(injector.Fault{Kind: injector.Drop})
	_, err := f.post("/call", "", shortWait)
	assert.ErrorContains(t, err, "Timeout")
	assert.Equal(t, f.executions.Load(), int64(1))
	f.tick <- struct{}{}
	assert.Equal(t, <-lines, "line")
	f.Clear()
	f.assertWorks(t)
}

// Guards against an outage that keeps the listener or a running stream open,
// and against a server that doesn't come back at the same address.
func TestOutage(t *testing.T) {
	f := start(t, &injector.Injector{})
	lines := f.lines(t)
	resp, err := f.post("/faults", `{"kind":"outage"}`, longWait)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest, "without a duration nothing could end this outage")
	id := f.Add(injector.Fault{Kind: injector.Outage})
	_, open := <-lines
	assert.Assert(t, !open)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := f.post("/call", "", longWait)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return poll.Success()
		}
		return poll.Continue("%v", err)
	}, poll.WithTimeout(longWait))
	f.Remove(id)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := f.post("/call", "", longWait); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(longWait))
	assert.Equal(t, f.executions.Load(), int64(2))
}

// Guards against faults that apply to other requests or more of them than
// they name.
func TestMatching(t *testing.T) {
	f := start(t, &injector.Injector{})
	f.Add(injector.Fault{Kind: injector.Refuse, Path: "/call", Count: 1})
	f.Add(injector.Fault{Kind: injector.LoseResponse, Path: "/lost"})
	f.Add(injector.Fault{Kind: injector.Delay, Path: "/late", DelayMS: shortWait.Milliseconds()})
	f.Add(injector.Fault{Kind: injector.Refuse, Caller: "r1"})
	resp, err := f.post("/call", "", longWait)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, f.executions.Load(), int64(0))
	f.assertWorks(t)
	_, err = f.post("/lost", "", longWait)
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	assert.Equal(t, f.executions.Load(), int64(2))
	before := time.Now()
	_, err = f.post("/late", "", longWait)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(before) >= shortWait)
}

// Guards against a crash that spares the other requests of the process.
func TestCrash(t *testing.T) {
	crashed := make(chan struct{})
	f := start(t, &injector.Injector{OnCrash: func() { close(crashed) }})
	lines := f.lines(t)
	f.Add(injector.Fault{Kind: injector.Crash, Mark: "poison", Count: 1})
	f.assertWorks(t)
	_, err := f.post("/call", "a poison b", longWait)
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	<-crashed
	_, open := <-lines
	assert.Assert(t, !open)
}
