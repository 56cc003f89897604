package serviceclient_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/injector"
	"github.com/bergamotdale/bergamotdale/serviceclient"
	"github.com/bergamotdale/bergamotdale/serviceserver"
)

// Guards against a wrong outcome of a call that is refused or loses its connection
// or its response, and against a repeated request that executes a call twice.
func TestOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name       string
		fault      injector.Kind
		outcome    bergamotdale.Outcome
		executions int
	}{
		{"success", "", "", 1},
		{"refused", injector.Refuse, bergamotdale.OutcomeNotRun, 0},
		{"response lost", injector.LoseResponse, bergamotdale.OutcomeUnknown, 1},
		{"cut before execution", injector.Outage, bergamotdale.OutcomeUnknown, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &serviceserver.Server{Faults: &injector.Injector{}}
			h := httptest.NewServer(s.Handler())
			defer h.Close()
			c := &serviceclient.Client{}
			address := strings.TrimPrefix(h.URL, "http://")
			_, err := c.Call(context.Background(), address, bergamotdale.ServiceRequest{Call: "warm"})
			assert.NilError(t, err)
			if tc.fault != "" {
				s.Faults.Add(injector.Fault{Kind: tc.fault})
			}
			r := bergamotdale.ServiceRequest{RequestID: "1", IdempotencyKey: "k", Call: "book", Body: json.RawMessage(`{"a":1}`)}
			_, err = c.Call(context.Background(), address, r)
			refusal := &bergamotdale.Refusal{}
			assert.Equal(t, errors.As(err, &refusal), tc.fault != "")
			assert.Equal(t, refusal.Outcome, tc.outcome)
			assert.Equal(t, s.Counters().ByKey["k"], tc.executions)
		})
	}
}

// Guards against a response above the limit that is cut off and taken for a complete
// one, and against a response that never ends.
func TestLargeResponse(t *testing.T) {
	for name, size := range map[string]int{"at the limit": 1 << 20, "above it": 1<<20 + 1, "endless": 0} {
		t.Run(name, func(t *testing.T) {
			endless := name == "endless"
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				chunk := []byte(strings.Repeat("x", 1<<10))
				for written := 0; endless || written < size; written += len(chunk) {
					n := len(chunk)
					if !endless {
						n = min(n, size-written)
					}
					if _, err := w.Write(chunk[:n]); err != nil {
						return
					}
				}
			}))
			defer h.Close()
			got, err := (&serviceclient.Client{}).Call(context.Background(), strings.TrimPrefix(h.URL, "http://"), bergamotdale.ServiceRequest{Call: "book"})
			if size == 1<<20 {
				assert.NilError(t, err)
				assert.Equal(t, len(got.Body), size)
				return
			}
			refusal := &bergamotdale.Refusal{}
			assert.Assert(t, errors.As(err, &refusal), "%v", err)
			assert.Equal(t, refusal.Outcome, bergamotdale.OutcomeUnknown)
		})
	}
}

// Guards against an unknown outcome of a call for which no connection could be
// opened, and against an error status of the service being reported as a refusal.
func TestNoConnectionAndErrorStatus(t *testing.T) {
	c := &serviceclient.Client{}
	refusal := &bergamotdale.Refusal{}
	_, err := c.Call(context.Background(), "127.0.0.1:1", bergamotdale.ServiceRequest{Call: "book"})
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Outcome, bergamotdale.OutcomeNotRun)

	h := httptest.NewServer(http.NotFoundHandler())
	defer h.Close()
	resp, err := c.Call(context.Background(), strings.TrimPrefix(h.URL, "http://"), bergamotdale.ServiceRequest{Call: "book"})
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, http.StatusNotFound)
}

// Guards against a response with an impossible status that is passed on: the server of the
// router can't write it, and the client can't read it.
func TestImpossibleStatus(t *testing.T) {
	for _, status := range []string{"000", "042", "099", "600", "999"} {
		address := serveOnce(t, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\n{}")
		_, err := (&serviceclient.Client{}).Call(context.Background(), address, bergamotdale.ServiceRequest{Call: "book"})
		refusal := &bergamotdale.Refusal{}
		assert.Assert(t, errors.As(err, &refusal), "status %s: %v", status, err)
		assert.Equal(t, refusal.Outcome, bergamotdale.OutcomeUnknown)
	}
}

// serveOnce starts a server that answers the first request with the text.
func serveOnce(t *testing.T, text string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, text)
			_, _ = c.Read(make([]byte, 1))
		}
	}()
	return l.Addr().String()
}
