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
	// silencePeriod is how long a test waits to conclude that no response
	// arrives. A response over loopback takes far less.
	silencePeriod = 200 * time.Millisecond
	// responseTimeout bounds the wait for a response that must arrive.
	responseTimeout = 20 * time.Second
)

// testServer is a server with an injector. It counts executed requests and, on
// /stream, sends one line at the start and one for each tick.
type testServer struct {
	*injector.Injector
	url        string
	executions atomic.Int64
	tick       chan struct{}
}

func startServer(t *testing.T, i *injector.Injector) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &testServer{Injector: i, url: "http://" + l.Addr().String(), tick: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- f.Serve(ctx, l, "", http.HandlerFunc(f.serve)) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-stopped)
	})
	return f
}

func (f *testServer) serve(w http.ResponseWriter, r *http.Request) {
	f.executions.Add(1)
	body, _ := io.ReadAll(r.Body)
	f.CrashIfMarked(body)
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

// post sends a request on a new connection.
func (f *testServer) post(path, body string, timeout time.Duration) (*http.Response, error) {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: timeout}
	return c.Post(f.url+path, "text/plain", strings.NewReader(body))
}

// openStream opens a stream, waits for its first line and returns the following
// ones. The channel is closed when the stream ends.
func (f *testServer) openStream(t *testing.T) <-chan string {
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

// assertSilent fails if the stream delivers a line or ends within silencePeriod.
func assertSilent(t *testing.T, lines <-chan string) {
	t.Helper()
	select {
	case line, open := <-lines:
		t.Fatalf("the silent stream delivered the line %q, open: %v", line, open)
	case <-time.After(silencePeriod):
	}
}

// assertWorks fails unless the server answers a request on a new connection.
func (f *testServer) assertWorks(t *testing.T) {
	t.Helper()
	resp, err := f.post("/call", "", responseTimeout)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// Guards against a silent connection that is closed or still sends data, and
// against a Silence fault that affects new connections or stops the execution of
// requests.
func TestSilence(t *testing.T) {
	f := startServer(t, &injector.Injector{})
	lines := f.openStream(t)
	f.Add(injector.Fault{Kind: injector.Silence})
	f.tick <- struct{}{}
	f.tick <- struct{}{}
	assertSilent(t, lines)
	f.assertWorks(t)
	f.Clear()
	f.tick <- struct{}{}
	assertSilent(t, lines)
}

// Guards against a freeze that loses the responses it holds back, that executes
// requests, or that blocks the control path.
func TestFreeze(t *testing.T) {
	f := startServer(t, &injector.Injector{})
	lines := f.openStream(t)
	resp, err := f.post("/faults", `{"kind":"freeze"}`, responseTimeout)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	f.tick <- struct{}{}
	assertSilent(t, lines)
	_, err = f.post("/call", "", silencePeriod)
	assert.ErrorContains(t, err, "Timeout")
	assert.Equal(t, f.executions.Load(), int64(1))
	f.Clear()
	assert.Equal(t, <-lines, "line")
	f.assertWorks(t)
}

// Guards against a Drop fault that executes or answers a new request, or that
// affects a stream opened before it.
func TestDrop(t *testing.T) {
	f := startServer(t, &injector.Injector{})
	lines := f.openStream(t)
	f.Add(injector.Fault{Kind: injector.Drop})
	_, err := f.post("/call", "", silencePeriod)
	assert.ErrorContains(t, err, "Timeout")
	assert.Equal(t, f.executions.Load(), int64(1))
	f.tick <- struct{}{}
	assert.Equal(t, <-lines, "line")
	f.Clear()
	f.assertWorks(t)
}

// Guards against an outage that leaves the listener or a running stream open,
// and against a server that does not return at the same address afterwards.
func TestOutage(t *testing.T) {
	f := startServer(t, &injector.Injector{})
	lines := f.openStream(t)
	resp, err := f.post("/faults", `{"kind":"outage"}`, responseTimeout)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest, "an outage without a duration and a control address was accepted")
	id := f.Add(injector.Fault{Kind: injector.Outage})
	_, open := <-lines
	assert.Assert(t, !open)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := f.post("/call", "", responseTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return poll.Success()
		}
		return poll.Continue("%v", err)
	}, poll.WithTimeout(responseTimeout))
	f.Remove(id)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := f.post("/call", "", responseTimeout); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(responseTimeout))
	assert.Equal(t, f.executions.Load(), int64(2))
}

// Guards against faults that apply to requests that they do not match, or to
// more requests than their Count.
func TestMatching(t *testing.T) {
	f := startServer(t, &injector.Injector{})
	f.Add(injector.Fault{Kind: injector.Refuse, Path: "/call", Count: 1})
	f.Add(injector.Fault{Kind: injector.LoseResponse, Path: "/lost"})
	f.Add(injector.Fault{Kind: injector.Delay, Path: "/late", DelayMS: silencePeriod.Milliseconds()})
	f.Add(injector.Fault{Kind: injector.Refuse, Caller: "r1"})
	resp, err := f.post("/call", "", responseTimeout)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, f.executions.Load(), int64(0))
	f.assertWorks(t)
	_, err = f.post("/lost", "", responseTimeout)
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	assert.Equal(t, f.executions.Load(), int64(2))
	start := time.Now()
	_, err = f.post("/late", "", responseTimeout)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(start) >= silencePeriod)
}

// Guards against a crash that is triggered by an unmarked request, or that
// leaves other requests of the process running.
func TestCrash(t *testing.T) {
	crashed := make(chan struct{})
	f := startServer(t, &injector.Injector{OnCrash: func() { close(crashed) }})
	lines := f.openStream(t)
	f.Add(injector.Fault{Kind: injector.Crash, Mark: "poison", Count: 1})
	f.assertWorks(t)
	_, err := f.post("/call", "a poison b", responseTimeout)
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	<-crashed
	_, open := <-lines
	assert.Assert(t, !open)
}
