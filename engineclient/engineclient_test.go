package engineclient_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/engineclient"
	"github.com/bergamotdale/bergamotdale/engineserver"
	"github.com/bergamotdale/bergamotdale/injector"
)

const body = `{"model":"m","max_tokens":20,"messages":[{"role":"user","content":"how many sheets?"}]}`

func start(t *testing.T, s *engineserver.Server) string {
	h := httptest.NewServer(s.Handler())
	t.Cleanup(h.Close)
	if s.Faults != nil {
		t.Cleanup(s.Faults.CutRequests)
	}
	return strings.TrimPrefix(h.URL, "http://")
}

// readAll returns the tokens and the last frame of a stream.
func readAll(t *testing.T, s bergamotdale.FrameStream) (tokens []string, last bergamotdale.Frame) {
	for {
		f, err := s.Next()
		assert.NilError(t, err)
		tokens = append(tokens, f.Tokens...)
		if f.Kind == bergamotdale.FrameEnd || f.Kind == bergamotdale.FrameRefusal {
			return tokens, f
		}
	}
}

// Guards against a wrong code or outcome of a refused, unanswered or cut completion,
// and of a load report that can't be requested.
func TestFailures(t *testing.T) {
	const request = `{"model":"%s","max_tokens":1000000,"messages":[{"role":"user","content":"x"}]}`
	for _, tc := range []struct {
		name    string
		model   string
		fault   injector.Kind
		code    bergamotdale.Code
		outcome bergamotdale.Outcome
		starts  int
	}{
		{"refused", "m", injector.Refuse, bergamotdale.CodeEndpointRefused, bergamotdale.OutcomeNotRun, 0},
		{"unknown model", "x", "", bergamotdale.CodeUnknownModel, bergamotdale.OutcomeNotRun, 0},
		{"cut before the response", "m", injector.Outage, bergamotdale.CodeEndpointFailed, bergamotdale.OutcomeUnknown, 0},
		{"never answered", "m", injector.Drop, bergamotdale.CodeEndpointFailed, bergamotdale.OutcomeUnknown, 0},
		{"cut in the stream", "m", injector.Cut, bergamotdale.CodeStreamLost, bergamotdale.OutcomeUnknown, 1},
		{"silent in the stream", "m", injector.Silence, bergamotdale.CodeStreamLost, bergamotdale.OutcomeUnknown, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &engineserver.Server{Models: []string{"m"}, Faults: &injector.Injector{}}
			c := &engineclient.Client{IdleTimeout: 200 * time.Millisecond}
			address := start(t, s)
			midStream := tc.fault == injector.Cut || tc.fault == injector.Silence
			if tc.fault != "" && !midStream {
				s.Faults.Add(injector.Fault{Kind: tc.fault})
			}
			r := bergamotdale.EngineRequest{RequestID: "1", Body: json.RawMessage(fmt.Sprintf(request, tc.model))}
			stream, err := c.Complete(context.Background(), address, r)
			if midStream {
				assert.NilError(t, err)
				defer stream.Close()
				for f := (bergamotdale.Frame{}); f.Kind != bergamotdale.FrameData; f, err = stream.Next() {
					assert.NilError(t, err)
				}
				s.Faults.Add(injector.Fault{Kind: tc.fault})
				for err == nil {
					_, err = stream.Next()
				}
			}
			refusal := &bergamotdale.Refusal{}
			assert.Assert(t, errors.As(err, &refusal), "%v", err)
			assert.Equal(t, refusal.Code, tc.code)
			assert.Equal(t, refusal.Outcome, tc.outcome)
			assert.Equal(t, s.Counters().Starts["1"], tc.starts)
		})
	}
	_, err := (&engineclient.Client{}).Load(context.Background(), "127.0.0.1:1")
	refusal := &bergamotdale.Refusal{}
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	assert.Equal(t, refusal.Outcome, bergamotdale.OutcomeNotRun)
}

// Guards against a stream without heartbeats while no token is ready, and against a
// connection that isn't reused after a complete stream.
func TestHeartbeatsAndReuse(t *testing.T) {
	s := &engineserver.Server{PrefillRate: 100, TokenRate: 1e6, Heartbeat: 5 * time.Millisecond}
	h := httptest.NewUnstartedServer(s.Handler())
	openedConns := atomic.Int64{}
	h.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			openedConns.Add(1)
		}
	}
	h.Start()
	defer h.Close()
	c := &engineclient.Client{}
	pooled := make(chan error, 1)
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{PutIdleConn: func(err error) { pooled <- err }})
	for n := range 3 {
		r := bergamotdale.EngineRequest{RequestID: fmt.Sprint(n), Body: json.RawMessage(body)}
		stream, err := c.Complete(ctx, h.Listener.Addr().String(), r)
		assert.NilError(t, err)
		if n == 0 {
			for range 3 {
				f, err := stream.Next()
				assert.NilError(t, err)
				assert.Equal(t, f.Kind, bergamotdale.FrameHeartbeat)
			}
		}
		tokens, _ := readAll(t, stream)
		assert.Equal(t, len(tokens), 20)
		_, err = stream.Next()
		assert.Assert(t, errors.Is(err, io.EOF))
		assert.NilError(t, stream.Close())
		assert.NilError(t, <-pooled)
	}
	assert.Equal(t, openedConns.Load(), int64(1))
}

// Guards against a stream that, resumed at another engine, differs from the original
// stream.
func TestResumeAtAnotherEngine(t *testing.T) {
	c, ctx := &engineclient.Client{}, context.Background()
	a := start(t, &engineserver.Server{TokenRate: 1e6})
	b := start(t, &engineserver.Server{TokenRate: 1e6})
	s, err := c.Complete(ctx, a, bergamotdale.EngineRequest{RequestID: "1", Body: json.RawMessage(body)})
	assert.NilError(t, err)
	whole, end := readAll(t, s)
	assert.Equal(t, len(whole), 20)
	assert.Equal(t, end.Length, 20)
	// The checksum of a frame covers the tokens, and the owner of the endpoint
	// computes it. The engine's own checksum has another format and must not be
	// copied into the frame.
	assert.Equal(t, end.Checksum, "")
	s, err = c.Complete(ctx, b, bergamotdale.EngineRequest{RequestID: "1", Body: json.RawMessage(body), ResumeFrom: 7, Priority: 2})
	assert.NilError(t, err)
	rest, end2 := readAll(t, s)
	assert.DeepEqual(t, rest, whole[7:])
	assert.Equal(t, end2.Checksum, "")
	assert.Equal(t, end2.Length, 20)
}

// Guards against a completion that is reported as not run after a response that does not
// say so: one with an impossible status, or one below 400 that is no stream.
func TestStatusThatDoesNotTellTheOutcome(t *testing.T) {
	for _, status := range []string{"000", "042", "099", "600", "999", "204", "302"} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\n")
					_, _ = c.Read(make([]byte, 1))
				}
			}()
			_, err = (&engineclient.Client{}).Complete(context.Background(), l.Addr().String(), bergamotdale.EngineRequest{RequestID: "r", Body: []byte(body)})
			refusal := &bergamotdale.Refusal{}
			assert.Assert(t, errors.As(err, &refusal), "%v", err)
			assert.Equal(t, refusal.Outcome, bergamotdale.OutcomeUnknown)
		})
	}
}

// Guards against a control response above the limit that is cut off and taken for a
// complete one.
func TestLargeControlResponse(t *testing.T) {
	const limit = 16 << 20
	for size, ok := range map[int]bool{limit: true, limit + 1: false} {
		h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "{}"+strings.Repeat(" ", size-2))
		}))
		_, err := (&engineclient.Client{}).Load(context.Background(), strings.TrimPrefix(h.URL, "http://"))
		assert.Equal(t, err == nil, ok, "%d bytes: %v", size, err)
		h.Close()
	}
}
