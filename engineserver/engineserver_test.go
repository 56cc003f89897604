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

// fixture is an engine with a client.
type fixture struct {
	*engineserver.Server
	engineclient.Client
	t       *testing.T
	address string
}

func start(t *testing.T, s *engineserver.Server) *fixture {
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	return &fixture{Server: s, t: t, address: strings.TrimPrefix(h.URL, "http://")}
}

// body returns a chat with one user message.
func body(content string, maxTokens int) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"model":"m","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, maxTokens, content))
}

func (f *fixture) open(id string, priority int, b json.RawMessage) bergamotdale.FrameStream {
	s, err := f.Complete(context.Background(), f.address, bergamotdale.EngineRequest{RequestID: id, Priority: priority, Body: b})
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = s.Close() })
	return s
}

// last reads a stream to its last frame.
func last(t *testing.T, s bergamotdale.FrameStream) bergamotdale.Frame {
	f := bergamotdale.Frame{}
	for {
		next, err := s.Next()
		if errors.Is(err, io.EOF) {
			return f
		}
		assert.NilError(t, err)
		f = next
	}
}

func (f *fixture) until(running, queued int) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		c := f.Counters()
		if c.Running == running && c.Queued == queued {
			return poll.Success()
		}
		return poll.Continue("running %d, queued %d", c.Running, c.Queued)
	}, poll.WithDelay(time.Millisecond))
}

func (f *fixture) call(method, path string, request any) string {
	b, err := json.Marshal(request)
	assert.NilError(f.t, err)
	req, err := http.NewRequest(method, "http://"+f.address+path, bytes.NewReader(b))
	assert.NilError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	assert.Assert(f.t, resp.StatusCode < http.StatusBadRequest, "%s", answer)
	return string(answer)
}

// Guards against more running requests than slots, and against a queue that
// ignores the priority.
func TestBatchAndPriority(t *testing.T) {
	f := start(t, &engineserver.Server{Slots: 1, MaxQueue: 3})
	started := map[string]int{"running": 1}
	running := f.open("running", 0, body("a", 1e6))
	f.until(1, 0)
	streams := map[string]bergamotdale.FrameStream{}
	for n, id := range []string{"2", "1", "0"} {
		streams[id] = f.open(id, 2-n, body("b", 1e6))
		f.until(1, n+1)
	}
	_, err := f.Complete(context.Background(), f.address, bergamotdale.EngineRequest{RequestID: "x", Body: body("c", 1)})
	refusal := &bergamotdale.Refusal{}
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Outcome, bergamotdale.OutcomeNotRun)
	assert.Assert(t, refusal.RetryAfter > 0)
	previous, stream := "running", running
	for n, id := range []string{"0", "1", "2"} {
		assert.NilError(t, f.Cancel(context.Background(), f.address, previous))
		assert.Equal(t, last(t, stream).Refusal.Outcome, bergamotdale.OutcomeUnknown)
		f.until(1, 2-n)
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

// Guards against a cancelled request that keeps its place in the queue, or
// that is reported as possibly run although it never started.
func TestCancelQueued(t *testing.T) {
	f := start(t, &engineserver.Server{Slots: 1})
	f.open("running", 0, body("a", 1e6))
	f.until(1, 0)
	queued := f.open("queued", 0, body("a", 1))
	f.until(1, 1)
	assert.NilError(t, f.Cancel(context.Background(), f.address, "queued"))
	assert.Equal(t, last(t, queued).Refusal.Outcome, bergamotdale.OutcomeNotRun)
	f.until(1, 0)
	assert.Equal(t, f.Counters().Starts["queued"], 0)
}

// Guards against a lost client that keeps its slot, and against a resumed
// request that runs beside the one on the silent connection.
func TestSlotOfLostClient(t *testing.T) {
	faults := &injector.Injector{}
	f := start(t, &engineserver.Server{Slots: 2, Faults: faults})
	s := f.open("closed", 0, body("a", 1e6))
	f.until(1, 0)
	assert.NilError(t, s.Close())
	f.until(0, 0)
	f.IdleTimeout = 100 * time.Millisecond
	s = f.open("silent", 0, body("a", 1e6))
	f.until(1, 0)
	faults.Add(injector.Fault{Kind: injector.Silence})
	for {
		if _, err := s.Next(); err != nil {
			refusal := &bergamotdale.Refusal{}
			assert.Assert(t, errors.As(err, &refusal))
			assert.Equal(t, refusal.Code, bergamotdale.CodeStreamLost)
			break
		}
	}
	f.open("silent", 0, body("a", 1e6))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.Counters().Starts["silent"] == 2 {
			return poll.Success()
		}
		return poll.Continue("the request hasn't started again")
	}, poll.WithDelay(time.Millisecond))
	f.until(1, 0)
}

// Guards against a cache without effect on the time to first token, without
// the response as part of the next prompt, or beyond its capacity.
func TestPrefixCache(t *testing.T) {
	const prefill = 2000
	f := start(t, &engineserver.Server{TokenRate: 1e6, PrefillRate: prefill, CacheTokens: 1100})
	first := func(b json.RawMessage) (time.Duration, bergamotdale.Frame) {
		before := time.Now()
		s := f.open("x", 0, b)
		token, err := s.Next()
		for err == nil && token.Kind == bergamotdale.FrameHeartbeat {
			token, err = s.Next()
		}
		assert.NilError(t, err)
		return time.Since(before), last(t, s)
	}
	question := strings.Repeat("abcd", 1000)
	cold, end := first(body(question, 3))
	assert.Assert(t, cold >= 1000*time.Second/prefill, "%v", cold)
	assert.Equal(t, end.CachedTokens, 0)

	reply := engineReply(t, f, question)
	next := fmt.Sprintf(`{"model":"m","max_tokens":3,"messages":[{"role":"user","content":%q},{"role":"assistant","content":%q},{"role":"user","content":"and?"}]}`, question, reply)
	warm, end := first(json.RawMessage(next))
	assert.Assert(t, warm < cold/2, "warm %v, cold %v", warm, cold)
	assert.Assert(t, end.CachedTokens > 1000 && end.CachedTokens < end.PromptTokens)

	first(body(strings.Repeat("efgh", 900), 3))
	_, end = first(body(question, 3))
	assert.Equal(t, end.CachedTokens, 0, "the first chat is evicted")
	load, err := f.Load(context.Background(), f.address)
	assert.NilError(t, err)
	assert.Assert(t, load.CacheTokens <= load.CacheCapacity)
}

// engineReply returns the whole response to a question, without a stream.
func engineReply(t *testing.T, f *fixture, question string) string {
	answer := struct {
		Choices []struct {
			Message struct{ Content string }
		}
	}{}
	assert.NilError(t, json.Unmarshal([]byte(f.call(http.MethodPost, "/v1/chat/completions", body(question, 3))), &answer))
	return answer.Choices[0].Message.Content
}

// Guards against lost cache contents in an export, and against cache events
// that come at once or without gaps.
func TestCacheExportAndEvents(t *testing.T) {
	a := start(t, &engineserver.Server{TokenRate: 1e6, CacheEventGap: 2})
	b := start(t, &engineserver.Server{TokenRate: 1e6, CacheEventLag: time.Hour})
	last(t, a.open("1", 0, body("hello", 3)))
	b.call(http.MethodPost, "/v1/cache/import", json.RawMessage(a.call(http.MethodGet, "/v1/cache/export", nil)))
	end := last(t, b.open("1", 0, body("hello", 3)))
	assert.Equal(t, end.CachedTokens, end.PromptTokens)
	events, err := a.CacheEvents(context.Background(), a.address, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 1, "the second of two events is lost")
	events, err = b.CacheEvents(context.Background(), b.address, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(events), 0)
}

// Guards against a stale command that is applied by an engine that checks
// fencing tokens, or rejected by one that doesn't.
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

// Guards against a draining engine that accepts new work or cuts running
// work, and against a load report that doesn't lag.
func TestDrainAndLoadLag(t *testing.T) {
	f := start(t, &engineserver.Server{TokenRate: 200, LoadLag: time.Hour})
	s := f.open("1", 0, body("a", 20))
	f.until(1, 0)
	f.Drain()
	_, err := f.Complete(context.Background(), f.address, bergamotdale.EngineRequest{RequestID: "2", Body: body("a", 1)})
	refusal := &bergamotdale.Refusal{}
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Outcome, bergamotdale.OutcomeNotRun)
	assert.Equal(t, last(t, s).Kind, bergamotdale.FrameEnd)
	l, err := f.Load(context.Background(), f.address)
	assert.NilError(t, err)
	assert.Equal(t, l.Running, 0)
	assert.Assert(t, !l.Draining)
	assert.Equal(t, l.AgeMS, time.Hour.Milliseconds())
}

// Guards against a cancelled stream whose tokens have to be generated again
// before it can be resumed at the same engine.
func TestResumeAfterCancel(t *testing.T) {
	const prefill = 20
	f := start(t, &engineserver.Server{PrefillRate: prefill, TokenRate: 2000})
	s := f.open("1", 0, body("a", 1e6))
	received := 0
	for received < 20*prefill {
		next, err := s.Next()
		assert.NilError(t, err)
		received += len(next.Tokens)
	}
	assert.NilError(t, f.Cancel(context.Background(), f.address, "1"))
	last(t, s)
	f.until(0, 0)
	r := bergamotdale.EngineRequest{RequestID: "1", Body: body("a", 1e6), ResumeFrom: received}
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
	assert.Assert(t, time.Since(before) < 10*time.Second, "the tokens take 20 s to generate again")
	assert.DeepEqual(t, f.Counters().Resumes, map[string]int{"1": 1})
}

// Guards against a marked request that crashes the engine while it is queued,
// or that spares the requests that run beside it.
func TestCrashWhenStarted(t *testing.T) {
	crashed := make(chan struct{})
	faults := &injector.Injector{OnCrash: func() { close(crashed) }}
	faults.Add(injector.Fault{Kind: injector.Crash, Mark: "poison", Count: 1})
	f := start(t, &engineserver.Server{Slots: 2, Faults: faults})
	long, beside := f.open("long", 0, body("a", 1e6)), f.open("beside", 0, body("a", 1e6))
	f.until(2, 0)
	poison := f.open("poison", 0, body("poison", 1))
	f.until(2, 1)
	select {
	case <-crashed:
		t.Fatal("crashed by a queued request")
	default:
	}
	// The end of the connection frees the slot. The response to a cancel call
	// could be cut by the crash.
	assert.NilError(t, long.Close())
	<-crashed
	for _, s := range []bergamotdale.FrameStream{beside, poison} {
		err := error(nil)
		for err == nil {
			_, err = s.Next()
		}
		refusal := &bergamotdale.Refusal{}
		assert.Assert(t, errors.As(err, &refusal), "%v", err)
		assert.Equal(t, refusal.Code, bergamotdale.CodeStreamLost)
	}
}
