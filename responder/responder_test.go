package responder_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/responder"
)

// fakeBackend answers every completion with the same frames, except those of the
// model "busy", which it refuses.
type fakeBackend struct {
	frames         []bergamotdale.Frame
	lastCompletion bergamotdale.Completion
}

func (f *fakeBackend) Authorize(workspace, apiKey string) (responder.Grant, error) {
	if workspace == "" && apiKey == "key-of-a" {
		workspace = "a"
	}
	if workspace != "a" {
		return responder.Grant{}, bergamotdale.Refuse(bergamotdale.CodeUnknownWorkspace, "workspace %q does not exist", workspace)
	}
	return responder.Grant{Workspace: workspace, DefaultPriorityClass: "urgent", Revision: 7}, nil
}

func (f *fakeBackend) Models(string) ([]responder.Model, error) {
	return []responder.Model{{ID: "m", Object: "model"}}, nil
}

func (f *fakeBackend) Complete(_ context.Context, c bergamotdale.Completion) (bergamotdale.FrameStream, error) {
	f.lastCompletion = c
	if c.Model == "busy" {
		return nil, bergamotdale.Refuse(bergamotdale.CodeWaitTooLong, "queue is full").After(1500 * time.Millisecond)
	}
	return &fakeStream{frames: f.frames}, nil
}

func (f *fakeBackend) CallService(_ context.Context, c bergamotdale.ServiceCall) (bergamotdale.ServiceResponse, error) {
	return bergamotdale.ServiceResponse{Status: http.StatusCreated, Body: json.RawMessage(`{"key":"` + c.Key + `"}`)}, nil
}

func (f *fakeBackend) Ready() error { return nil }

type fakeStream struct {
	frames []bergamotdale.Frame
}

func (s *fakeStream) Next() (bergamotdale.Frame, error) {
	if len(s.frames) == 0 {
		return bergamotdale.Frame{}, io.EOF
	}
	f := s.frames[0]
	s.frames = s.frames[1:]
	return f, nil
}

func (s *fakeStream) Close() error { return nil }

func startServer(t *testing.T, b *fakeBackend) *httptest.Server {
	t.Helper()
	r := &responder.Responder{
		Backend:      b,
		Logger:       zap.NewNop(),
		Clock:        bergamotdale.SystemClock{},
		NewID:        func() string { return "generated" },
		MaxBodyBytes: 2048,
		StatusWait:   time.Second,
	}
	server := httptest.NewServer(r.Handler())
	t.Cleanup(server.Close)
	return server
}

func completeStream() []bergamotdale.Frame {
	return []bergamotdale.Frame{
		{Kind: bergamotdale.FrameHeartbeat},
		{Kind: bergamotdale.FrameData, Tokens: []string{"clean ", "linen"}},
		{Kind: bergamotdale.FrameHeartbeat, Offset: 2},
		{Kind: bergamotdale.FrameData, Offset: 2, Tokens: []string{" today"}},
		{Kind: bergamotdale.FrameEnd, Offset: 3, Length: 3, Checksum: "c", FinishReason: "stop", PromptTokens: 9, CachedTokens: 4},
	}
}

// exchange is a request and its expected response, from testdata/exchanges.yaml.
type exchange struct {
	Name    string            `yaml:"name"`
	Method  string            `yaml:"method"`
	Path    string            `yaml:"path"`
	Headers map[string]string `yaml:"headers"`
	Body    string            `yaml:"body"`
	// Repeat is how often Body is repeated, for long bodies; zero means once.
	Repeat int `yaml:"repeat"`

	Status          int               `yaml:"status"`
	Contains        []string          `yaml:"contains"`
	ResponseHeaders map[string]string `yaml:"response-headers"`
}

// Guards against refusals without a code, outcome, request ID or retry time, and
// against responses that deviate from the chat completions API.
func TestExchanges(t *testing.T) {
	data, err := os.ReadFile("testdata/exchanges.yaml")
	assert.NilError(t, err)
	var exchanges []exchange
	assert.NilError(t, yaml.UnmarshalWithOptions(data, &exchanges, yaml.Strict()))
	for _, e := range exchanges {
		t.Run(e.Name, func(t *testing.T) {
			server := startServer(t, &fakeBackend{frames: completeStream()})
			body := e.Body
			if e.Repeat > 0 {
				body = strings.Repeat(body, e.Repeat)
			}
			request, err := http.NewRequest(e.Method, server.URL+e.Path, strings.NewReader(body))
			assert.NilError(t, err)
			for name, value := range e.Headers {
				request.Header.Set(name, value)
			}
			response, err := http.DefaultClient.Do(request)
			assert.NilError(t, err)
			defer response.Body.Close()
			got, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, e.Status, "%s", got)
			for _, part := range e.Contains {
				assert.Assert(t, strings.Contains(string(got), part), "no %q in %s", part, got)
			}
			for name, value := range e.ResponseHeaders {
				assert.Equal(t, response.Header.Get(name), value, name)
			}
		})
	}
}

// Guards against streams that an unmodified client library cannot read.
func TestClientLibraryReadsStream(t *testing.T) {
	backend := &fakeBackend{frames: completeStream()}
	server := startServer(t, backend)
	client := openai.NewClient(option.WithBaseURL(server.URL+"/v1"), option.WithAPIKey("key-of-a"))
	stream := client.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
		Model:    "m",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	})
	var text strings.Builder
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	assert.NilError(t, stream.Err())
	assert.Equal(t, text.String(), "clean linen today")
	assert.Equal(t, backend.lastCompletion.Workspace, "a")
	assert.Assert(t, backend.lastCompletion.Chat != "")
}
