package router_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/engineserver"
	"github.com/bergamotdale/bergamotdale/fleettester"
)

// clientStream is a streamed completion that the test reads as a client.
type clientStream struct {
	status int
	lines  *bufio.Scanner
	text   strings.Builder
	lastID string
	// statedLength is the number of tokens that the end of the stream states,
	// and -1 before the end.
	statedLength int
	// errorMessage is the message of the error event, if any.
	errorMessage string
}

// openStream starts a streamed completion of the given number of tokens. With a
// lastID the stream resumes after that event.
func openStream(ctx context.Context, t *testing.T, url, requestID, lastID string, tokens int) *clientStream {
	t.Helper()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"count the linen"}]}`,
		fleettester.Model, tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("X-Bergamotdale-Workspace", fleettester.Workspace)
	request.Header.Set("X-Bergamotdale-Chat", "chat-of-"+requestID)
	request.Header.Set("X-Request-Id", requestID)
	if lastID != "" {
		request.Header.Set("Last-Event-ID", lastID)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	t.Cleanup(func() { response.Body.Close() })
	return &clientStream{status: response.StatusCode, lines: bufio.NewScanner(response.Body), statedLength: -1}
}

// next reads one event and reports whether there was one before the end of the
// stream.
func (s *clientStream) next(t *testing.T) bool {
	t.Helper()
	for s.lines.Scan() {
		line := s.lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			s.lastID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			return false
		}
		s.applyEvent(t, data)
		return true
	}
	return false
}

// applyEvent records the data of one event.
func (s *clientStream) applyEvent(t *testing.T, data string) {
	t.Helper()
	var event struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Integrity *struct {
			Length int `json:"length"`
		} `json:"bergamotdale"`
		Error *struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	assert.NilError(t, json.Unmarshal([]byte(data), &event), data)
	for _, c := range event.Choices {
		s.text.WriteString(c.Delta.Content)
	}
	if event.Integrity != nil {
		s.statedLength = event.Integrity.Length
	}
	if event.Error != nil {
		s.errorMessage = event.Error.Message
	}
}

// readAll reads the stream to its end.
func (s *clientStream) readAll(t *testing.T) {
	t.Helper()
	for s.next(t) {
	}
}

// slowEngine makes engines so slow that streams are still running when a test
// injects a failure.
func slowEngine(e *engineserver.Server) {
	e.TokenRate = 50
}

// streamTokens is the length of the streams of the tests.
const streamTokens = 100

// referenceText returns the whole text of the stream that the tests request.
func referenceText(t *testing.T, f *fleettester.Fleet) string {
	t.Helper()
	s := openStream(t.Context(), t, f.Router(0).URL, "reference", "", streamTokens)
	s.readAll(t)
	assert.Equal(t, s.statedLength, streamTokens, s.errorMessage)
	return s.text.String()
}

// startStream opens a stream through a router and returns it after its first
// event.
func startStream(t *testing.T, f *fleettester.Fleet, entry int, requestID string) *clientStream {
	t.Helper()
	s := openStream(t.Context(), t, f.Router(entry).URL, requestID, "", streamTokens)
	assert.Equal(t, s.status, http.StatusOK)
	assert.Assert(t, s.next(t))
	return s
}

// Guards against a planned stop that cuts off a stream (I6), no matter whether
// the stopping router is the entry router of the stream or owns its engine, and
// against a router that does not become ready after a restart.
func TestPlannedStopsCutNoStream(t *testing.T) {
	fleet := startFleet(t, &fleettester.Fleet{Routers: 3, Engines: 4, AdjustEngine: slowEngine})
	want := referenceText(t, fleet)
	for stopped := range 3 {
		var streams []*clientStream
		for entry := range 3 {
			for i := range 3 {
				streams = append(streams, startStream(t, fleet, entry, fmt.Sprintf("stop-%d-%d-%d", stopped, entry, i)))
			}
		}
		done := make(chan error, 1)
		go func() { done <- fleet.Router(stopped).Stop() }()
		for _, s := range streams {
			s.readAll(t)
			assert.Equal(t, s.errorMessage, "")
			assert.Equal(t, s.statedLength, streamTokens)
			assert.Equal(t, s.text.String(), want)
		}
		assert.NilError(t, <-done)
		_, err := fleet.StartRouter(stopped)
		assert.NilError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		assert.NilError(t, fleet.AwaitReady(ctx))
		cancel()
	}
}

// Guards against a client that cannot resume its stream through another router
// after its connection broke, or whose request is started again by that (I2).
func TestReconnectThroughAnotherRouter(t *testing.T) {
	fleet := startFleet(t, &fleettester.Fleet{Routers: 3, Engines: 4, AdjustEngine: slowEngine})
	want := referenceText(t, fleet)
	ctx, cut := context.WithCancel(t.Context())
	first := openStream(ctx, t, fleet.Router(0).URL, "reconnect", "", streamTokens)
	for range 10 {
		assert.Assert(t, first.next(t))
	}
	cut()
	rest := openStream(t.Context(), t, fleet.Router(1).URL, "reconnect", first.lastID, streamTokens)
	rest.readAll(t)
	assert.Equal(t, rest.statedLength, streamTokens, rest.errorMessage)
	assert.Equal(t, first.text.String()+rest.text.String(), want)
	assert.Equal(t, starts(fleet, "reconnect"), 1)
}

// starts returns how often all engines together have started the request.
func starts(f *fleettester.Fleet, requestID string) int {
	sum := 0
	for i := range f.Engines {
		sum += startsAt(f, i, requestID)
	}
	return sum
}

// startsAt returns how often one engine has started the request.
func startsAt(f *fleettester.Fleet, engine int, requestID string) int {
	sum := 0
	for id, n := range f.EngineAt(engine).Counters().Starts {
		if strings.Contains(id, "/"+requestID+"/") {
			sum += n
		}
	}
	return sum
}
