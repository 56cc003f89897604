package engineserver_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/engineclient"
	"github.com/bergamotdale/bergamotdale/engineserver"
	"github.com/bergamotdale/bergamotdale/injector"
)

// fixture is an engine that listens on address, with a client for it.
type fixture struct {
	*engineserver.Server
	engineclient.Client
	t       *testing.T
	address string
}

// start serves the engine until the test ends.
func start(t *testing.T, s *engineserver.Server) *fixture {
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return &fixture{Server: s, t: t, address: strings.TrimPrefix(h.URL, "http://")}
}

// chatBody returns the body of a chat request with one user message.
func chatBody(content string, maxTokens int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"model":"m","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, maxTokens, content))
}

// openStream sends a chat request and returns the stream of its response.
func (f *fixture) openStream(id string, priority int, b json.RawMessage) bergamotdale.FrameStream {
	s, err := f.Complete(context.Background(), f.address, bergamotdale.EngineRequest{RequestID: id, Priority: priority, Body: b})
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = s.Close() })
	return s
}

// lastFrame reads the stream to its end and returns the last frame.
func lastFrame(t *testing.T, s bergamotdale.FrameStream) bergamotdale.Frame {
	last := bergamotdale.Frame{}
	for {
		next, err := s.Next()
		if errors.Is(err, io.EOF) {
			return last
		}
		assert.NilError(t, err)
		last = next
	}
}

// waitForCounts waits until the given numbers of requests are running and queued.
func (f *fixture) waitForCounts(running, queued int) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		c := f.Counters()
		if c.Running == running && c.Queued == queued {
			return poll.Success()
		}
		return poll.Continue("running %d, queued %d", c.Running, c.Queued)
	}, poll.WithDelay(time.Millisecond))
}

// request sends an HTTP request with a JSON body and returns the response body.
func (f *fixture) request(method, path string, requestBody any) string {
	b, err := json.Marshal(requestBody)
	assert.NilError(f.t, err)
	req, err := http.NewRequest(method, "http://"+f.address+path, bytes.NewReader(b))
	assert.NilError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	responseBody, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	assert.Assert(f.t, resp.StatusCode < http.StatusBadRequest, "%s", responseBody)
	return string(responseBody)
}

// Guards against more running requests than slots, and against a queue that
// admits requests in an order other than that of their priorities.
func TestBatchAndPriority(t *testing.T) {
	f := start(t, &engineserver.Server{Slots: 1, MaxQueue: 3})
	started := map[string]int{"running": 1}
	running := f.openStream("running", 0, chatBody("a", 1e6))
	f.waitForCounts(1, 0)
	streams := map[string]bergamotdale.FrameStream{}
	for n, id := range []string{"2", "1", "0"} {
		streams[id] = f.openStream(id, 2-n, chatBody("b", 1e6))
		f.waitForCounts(1, n+1)
	}
	_, err := f.Complete(context.Background(), f.address, bergamotdale.EngineRequest{RequestID: "x", Body: chatBody("c", 1)})
	refusal := &bergamotdale.Refusal{}
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Outcome, bergamotdale.OutcomeNotRun)
	assert.Assert(t, refusal.RetryAfter > 0)
	previous, stream := "running", running
	for n, id := range []string{"0", "1", "2"} {
		assert.NilError(t, f.Cancel(context.Background(), f.address, previous))
		assert.Equal(t, lastFrame(t, stream).Refusal.Outcome, bergamotdale.OutcomeUnknown)
		f.waitForCounts(1, 2-n)
		started[id] = 1
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			return poll.Compare(cmp.DeepEqual(f.Counters().Starts, started))
		}, poll.WithDelay(time.Millisecond))
		previous, stream = id, streams[id]
	}
	c := f.Counters()
	assert.Equal(t, c.MaxRunning, 1)
	assert.Equal(t, c.MaxInFlight, 4)
}

// Guards against a cancelled request that stays in the queue, or whose outcome
// is reported as unknown although the request never started.
func TestCancelQueued(t *testing.T) {
	f := start(t, &engineserver.Server{Slots: 1})
	f.openStream("running", 0, chatBody("a", 1e6))
	f.waitForCounts(1, 0)
	queued := f.openStream("queued", 0, chatBody("a", 1))
	f.waitForCounts(1, 1)
	assert.NilError(t, f.Cancel(context.Background(), f.address, "queued"))
	assert.Equal(t, lastFrame(t, queued).Refusal.Outcome, bergamotdale.OutcomeNotRun)
	f.waitForCounts(1, 0)
	assert.Equal(t, f.Counters().Starts["queued"], 0)
}

// Guards against a slot that stays in use after its client has disconnected, and
// against a request that is sent again while its old connection is silent and
// then runs twice at the same time.
func TestSlotOfLostClient(t *testing.T) {
	faults := &injector.Injector{}
	f := start(t, &engineserver.Server{Slots: 2, Faults: faults})
	s := f.openStream("closed", 0, chatBody("a", 1e6))
	f.waitForCounts(1, 0)
	assert.NilError(t, s.Close())
	f.waitForCounts(0, 0)
	f.IdleTimeout = 100 * time.Millisecond
	s = f.openStream("silent", 0, chatBody("a", 1e6))
	f.waitForCounts(1, 0)
	faults.Add(injector.Fault{Kind: injector.Silence})
	for {
		if _, err := s.Next(); err != nil {
			refusal := &bergamotdale.Refusal{}
			assert.Assert(t, errors.As(err, &refusal))
			assert.Equal(t, refusal.Code, bergamotdale.CodeStreamLost)
			break
		}
	}
	f.openStream("silent", 0, chatBody("a", 1e6))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.Counters().Starts["silent"] == 2 {
			return poll.Success()
		}
		return poll.Continue("the request has not started again")
	}, poll.WithDelay(time.Millisecond))
	f.waitForCounts(1, 0)
}

// Guards against a prefix cache that does not shorten the time to the first
// token, that does not contain the response, which is a part of the next prompt,
// or that exceeds its capacity.
func TestPrefixCache(t *testing.T) {
	const prefill = 2000
	f := start(t, &engineserver.Server{TokenRate: 1e6, PrefillRate: prefill, CacheTokens: 1100})
	timeToFirstToken := func(b json.RawMessage) (time.Duration, bergamotdale.Frame) {
		before := time.Now()
		s := f.openStream("x", 0, b)
		token, err := s.Next()
		for err == nil && token.Kind == bergamotdale.FrameHeartbeat {
			token, err = s.Next()
		}
		assert.NilError(t, err)
		return time.Since(before), lastFrame(t, s)
	}
	question := strings.Repeat("abcd", 1000)
	cold, end := timeToFirstToken(chatBody(question, 3))
	assert.Assert(t, cold >= 1000*time.Second/prefill, "%v", cold)
	assert.Equal(t, end.CachedTokens, 0)

	reply := completeWithoutStream(t, f, question)
	next := fmt.Sprintf(`{"model":"m","max_tokens":3,"messages":[{"role":"user","content":%q},{"role":"assistant","content":%q},{"role":"user","content":"and?"}]}`, question, reply)
	warm, end := timeToFirstToken(json.RawMessage(next))
	assert.Assert(t, warm < cold/2, "warm %v, cold %v", warm, cold)
	assert.Assert(t, end.CachedTokens > 1000 && end.CachedTokens < end.PromptTokens)

	timeToFirstToken(chatBody(strings.Repeat("efgh", 900), 3))
	_, end = timeToFirstToken(chatBody(question, 3))
	assert.Equal(t, end.CachedTokens, 0, "the prefix of the first chat should have been evicted")
	load, err := f.Load(context.Background(), f.address)
	assert.NilError(t, err)
	assert.Assert(t, load.CacheTokens <= load.CacheCapacity)
}

// completeWithoutStream returns the text of the response to a request without a
// stream.
func completeWithoutStream(t *testing.T, f *fixture, question string) string {
	response := struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}{}
	assert.NilError(t, json.Unmarshal([]byte(f.request(http.MethodPost, "/v1/chat/completions", chatBody(question, 3))), &response))
	return response.Choices[0].Message.Content
}

// Guards against an export that lacks cached prefixes, against cache events that
// can be read before the configured lag has passed, and against a
// CacheEventGap that drops no event.
func TestCacheExportAndEvents(t *testing.T) {
	a := start(t, &engineserver.Server{TokenRate: 1e6, CacheEventGap: 2})
	b := start(t, &engineserver.Server{TokenRate: 1e6, CacheEventLag: time.Hour})
	lastFrame(t, a.openStream("1", 0, chatBody("hello", 3)))
	b.request(http.MethodPost, "/v1/cache/import", json.RawMessage(a.request(http.MethodGet, "/v1/cache/export", nil)))
	end := lastFrame(t, b.openStream("1", 0, chatBody("hello", 3)))
	assert.Equal(t, end.CachedTokens, end.PromptTokens)
	events, err := a.CacheEvents(context.Background(), a.address, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 1, "the second of two events should have been dropped")
	events, err = b.CacheEvents(context.Background(), b.address, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 0)
}

// Guards against an engine that checks fencing tokens and applies a command with
// a stale token, and against one that does not check them and rejects it.
func TestFencing(t *testing.T) {
	for _, check := range []bool{true, false} {
		f := start(t, &engineserver.Server{CheckFencing: check, Models: []string{"m"}})
		ctx := context.Background()
		load := func(version string, token int64) error {
			c := bergamotdale.Command{Kind: bergamotdale.CommandLoad, Target: "m", Version: version, FencingToken: token}
			return f.Send(ctx, f.address, c)
		}
		assert.NilError(t, load("2", 7))
		assert.Equal(t, load("1", 6) != nil, check)
		l, err := f.Load(ctx, f.address)
		assert.NilError(t, err)
		assert.DeepEqual(t, l.Models, []string{map[bool]string{true: "m@2", false: "m@1"}[check]})
	}
}

// Guards against a draining engine that accepts a new request or ends a running
// one early, and against a load report without the configured lag.
func TestDrainAndLoadLag(t *testing.T) {
	f := start(t, &engineserver.Server{TokenRate: 200, LoadLag: time.Hour})
	s := f.openStream("1", 0, chatBody("a", 20))
	f.waitForCounts(1, 0)
	f.Drain()
	_, err := f.Complete(context.Background(), f.address, bergamotdale.EngineRequest{RequestID: "2", Body: chatBody("a", 1)})
	refusal := &bergamotdale.Refusal{}
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Outcome, bergamotdale.OutcomeNotRun)
	assert.Equal(t, lastFrame(t, s).Kind, bergamotdale.FrameEnd)
	l, err := f.Load(context.Background(), f.address)
	assert.NilError(t, err)
	assert.Equal(t, l.Running, 0)
	assert.Assert(t, !l.Draining)
	assert.Equal(t, l.AgeMS, time.Hour.Milliseconds())
}

// Guards against an engine that generates the tokens of a cancelled stream again
// before it resumes the stream.
func TestResumeAfterCancel(t *testing.T) {
	const prefill = 20
	f := start(t, &engineserver.Server{PrefillRate: prefill, TokenRate: 2000})
	s := f.openStream("1", 0, chatBody("a", 1e6))
	received := 0
	for received < 20*prefill {
		next, err := s.Next()
		assert.NilError(t, err)
		received += len(next.Tokens)
	}
	assert.NilError(t, f.Cancel(context.Background(), f.address, "1"))
	lastFrame(t, s)
	f.waitForCounts(0, 0)
	r := bergamotdale.EngineRequest{RequestID: "1", Body: chatBody("a", 1e6), ResumeFrom: received}
	before := time.Now()
	s, err := f.Complete(context.Background(), f.address, r)
	assert.NilError(t, err)
	defer s.Close()
	next := bergamotdale.Frame{}
	for next.Kind != bergamotdale.FrameData {
		next, err = s.Next()
		assert.NilError(t, err)
	}
	assert.Equal(t, next.Offset, received)
	assert.Assert(t, time.Since(before) < 10*time.Second, "resumed too late: generating the received tokens again takes 20 s")
	assert.DeepEqual(t, f.Counters().Resumes, map[string]int{"1": 1})
}

// Guards against a request matched by a crash fault that crashes the engine while
// it is still queued, or that leaves the streams of other requests open.
func TestCrashWhenStarted(t *testing.T) {
	crashed := make(chan struct{})
	faults := &injector.Injector{OnCrash: func() { close(crashed) }}
	faults.Add(injector.Fault{Kind: injector.Crash, Mark: "poison", Count: 1})
	f := start(t, &engineserver.Server{Slots: 2, Faults: faults})
	running, other := f.openStream("long", 0, chatBody("a", 1e6)), f.openStream("beside", 0, chatBody("a", 1e6))
	f.waitForCounts(2, 0)
	poison := f.openStream("poison", 0, chatBody("poison", 1))
	f.waitForCounts(2, 1)
	select {
	case <-crashed:
		t.Fatal("the engine crashed while the request was queued")
	default:
	}
	// Closing the connection frees the slot. A cancel call would free it too, but
	// the crash could cut off its response.
	assert.NilError(t, running.Close())
	<-crashed
	for _, s := range []bergamotdale.FrameStream{other, poison} {
		err := error(nil)
		for err == nil {
			_, err = s.Next()
		}
		refusal := &bergamotdale.Refusal{}
		assert.Assert(t, errors.As(err, &refusal), "%v", err)
		assert.Equal(t, refusal.Code, bergamotdale.CodeStreamLost)
	}
}
