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

// clientStream is a streamed completion as a client reads it.
type clientStream struct {
	status int
	lines  *bufio.Scanner
	text   strings.Builder
	lastID string
	// length is the length that the end of the stream states; -1 before it.
	length int
	// refused holds the error event, if any.
	refused string
}

// open starts a streamed completion of the given length.
func open(ctx context.Context, t *testing.T, url, requestID, lastID string, tokens int) *clientStream {
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
	return &clientStream{status: response.StatusCode, lines: bufio.NewScanner(response.Body), length: -1}
}

// next reads one event and reports whether the stream goes on.
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
		s.event(t, data)
		return true
	}
	return false
}

// event applies the data of one event.
func (s *clientStream) event(t *testing.T, data string) {
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
		s.length = event.Integrity.Length
	}
	if event.Error != nil {
		s.refused = event.Error.Message
	}
}

// readAll reads to the end.
func (s *clientStream) readAll(t *testing.T) {
	t.Helper()
	for s.next(t) {
	}
}

// slow makes engines slow enough that a failure meets a running stream.
func slow(e *engineserver.Server) {
	e.TokenRate = 50
}

const streamTokens = 100

// reference returns the whole text of the stream that every test asks for.
func reference(t *testing.T, f *fleettester.Fleet) string {
	t.Helper()
	s := open(t.Context(), t, f.Router(0).URL, "reference", "", streamTokens)
	s.readAll(t)
	assert.Equal(t, s.length, streamTokens, s.refused)
	return s.text.String()
}

// streamAt opens a stream through a router and returns it after its first event.
func streamAt(t *testing.T, f *fleettester.Fleet, entry int, requestID string) *clientStream {
	t.Helper()
	s := open(t.Context(), t, f.Router(entry).URL, requestID, "", streamTokens)
	assert.Equal(t, s.status, http.StatusOK)
	assert.Assert(t, s.next(t))
	return s
}

// Guards against a planned stop that cuts off a stream (I6), whichever role the
// stopping router has for it, and against a restart that loses service.
func TestPlannedStopsCutNoStream(t *testing.T) {
	fleet := start(t, &fleettester.Fleet{Routers: 3, Engines: 4, Engine: slow})
	want := reference(t, fleet)
	for stopped := range 3 {
		var streams []*clientStream
		for entry := range 3 {
			for i := range 3 {
				streams = append(streams, streamAt(t, fleet, entry, fmt.Sprintf("stop-%d-%d-%d", stopped, entry, i)))
			}
		}
		done := make(chan error, 1)
		go func() { done <- fleet.Router(stopped).Stop() }()
		for _, s := range streams {
			s.readAll(t)
			assert.Equal(t, s.refused, "")
			assert.Equal(t, s.length, streamTokens)
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

// Guards against a client that cannot get the rest of its stream through
// another router after its connection broke (I2).
func TestReconnectThroughAnotherRouter(t *testing.T) {
	fleet := start(t, &fleettester.Fleet{Routers: 3, Engines: 4, Engine: slow})
	want := reference(t, fleet)
	ctx, cut := context.WithCancel(t.Context())
	first := open(ctx, t, fleet.Router(0).URL, "reconnect", "", streamTokens)
	for range 10 {
		assert.Assert(t, first.next(t))
	}
	cut()
	rest := open(t.Context(), t, fleet.Router(1).URL, "reconnect", first.lastID, streamTokens)
	rest.readAll(t)
	assert.Equal(t, rest.length, streamTokens, rest.refused)
	assert.Equal(t, first.text.String()+rest.text.String(), want)
	assert.Equal(t, starts(fleet, "reconnect"), 1)
}

// starts returns how often engines started the request.
func starts(f *fleettester.Fleet, requestID string) int {
	sum := 0
	for i := range f.Engines {
		sum += startsAt(f, i, requestID)
	}
	return sum
}

// startsAt returns how often one engine started the request.
func startsAt(f *fleettester.Fleet, engine int, requestID string) int {
	sum := 0
	for id, n := range f.EngineAt(engine).Counters().Starts {
		if strings.Contains(id, "/"+requestID+"/") {
			sum += n
		}
	}
	return sum
}
