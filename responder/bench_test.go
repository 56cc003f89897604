package responder

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/streamer"
)

// benchBackend answers every completion with the same number of tokens.
type benchBackend struct{ tokens int }

func (benchBackend) Authorize(string, string) (Grant, error) {
	return Grant{Workspace: "a", DefaultPriorityClass: "urgent"}, nil
}
func (benchBackend) Models(string) ([]Model, error) { return nil, nil }
func (b benchBackend) Complete(_ context.Context, c bergamotdale.Completion) (bergamotdale.FrameStream, error) {
	return &benchStream{framer: streamer.NewFramer(c.StreamID(), streamer.Position{}), tokens: b.tokens}, nil
}

func (benchBackend) CallService(context.Context, bergamotdale.ServiceCall) (bergamotdale.ServiceResponse, error) {
	return bergamotdale.ServiceResponse{Body: json.RawMessage("{}")}, nil
}
func (benchBackend) Ready() error { return nil }

type benchStream struct {
	framer *streamer.Framer
	tokens int
	ended  bool
}

func (s *benchStream) Next() (bergamotdale.Frame, error) {
	switch {
	case s.ended:
		return bergamotdale.Frame{}, io.EOF
	case s.tokens == 0:
		s.ended = true
		return s.framer.End("stop"), nil
	}
	s.tokens--
	return s.framer.Data("linen "), nil
}

func (s *benchStream) Close() error { return nil }

// netHTTPHandler serves completions with the same handler on net/http, without
// huma.
func (r *Responder) netHTTPHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(req.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		h := req.Header
		in := &completionInput{
			Identity: Identity{
				Workspace: h.Get(HeaderWorkspace), RequestID: h.Get(HeaderRequestID),
				Priority: h.Get(HeaderPriority), Authorization: h.Get("Authorization"),
			},
			Chat: h.Get(HeaderChat), LastEventID: h.Get(HeaderLastEventID), RawBody: body,
		}
		response, err := r.complete(req.Context(), in)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		response.Body(humago.NewContext(&huma.Operation{}, req, w))
	})
	return r.limitBody(mux)
}

// BenchmarkCompletion compares the completions handler on huma with the same
// handler on net/http, without a network. The difference at the same number of
// tokens is the cost of huma; the slope over the number of tokens is the cost of
// writing a stream.
func BenchmarkCompletion(b *testing.B) {
	for _, tokens := range []int{1, 100, 450, 1000} {
		r := &Responder{
			Backend: benchBackend{tokens}, Logger: zap.NewNop(), Clock: bergamotdale.SystemClock{},
			NewID: func() string { return "id" }, MaxBodyBytes: 1 << 20, StatusWait: time.Second,
		}
		for name, handler := range map[string]http.Handler{"huma": r.Handler(), "plain": r.netHTTPHandler()} {
			b.Run(fmt.Sprintf("%s/tokens=%d", name, tokens), func(b *testing.B) {
				body := `{"model":"m","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("apron ", 300) + `"}]}`
				b.ReportAllocs()
				for b.Loop() {
					req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
					req.Header.Set("Content-Type", "application/json")
					req.Header.Set(HeaderWorkspace, "a")
					w := httptest.NewRecorder()
					handler.ServeHTTP(w, req)
					if w.Code != http.StatusOK {
						b.Fatal(w.Code, w.Body)
					}
				}
			})
		}
	}
}
