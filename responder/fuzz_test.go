package responder_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/responder"
)

// Guards against request bodies and headers that crash a router or that get a
// response that is neither a completion nor a refusal.
func FuzzCompletion(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":"a"}]}`, "1:00000000000000ff", "chat")
	f.Add(`{"model":"m","stream":true,"messages":[{"role":"user","content":[{"type":"text"}]}]}`, "", "")
	f.Add(`{"model":"m","max_tokens":-1,"messages":[{}]}`, "-1", "\x00")
	r := &responder.Responder{
		Backend:      &fakeBackend{frames: completeStream()},
		Logger:       zap.NewNop(),
		Clock:        bergamotdale.SystemClock{},
		NewID:        func() string { return "generated" },
		MaxBodyBytes: 4096,
		StatusWait:   time.Second,
	}
	handler := r.Handler()
	f.Fuzz(func(t *testing.T, body, lastEventID, chat string) {
		request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
		request.Header.Set("X-Bergamotdale-Workspace", "a")
		request.Header["Last-Event-Id"] = []string{lastEventID}
		request.Header["X-Bergamotdale-Chat"] = []string{chat}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		response := recorder.Result()
		got, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		if response.Header.Get("Content-Type") == "text/event-stream" {
			assert.Assert(t, strings.HasSuffix(string(got), "data: [DONE]\n\n"), "%s", got)
			return
		}
		assert.Assert(t, json.Valid(got), "%s", got)
		assert.Assert(t, response.StatusCode < http.StatusInternalServerError, "%d %s", response.StatusCode, got)
	})
}
