package router_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/fleettester"
)

// startFleet starts the fleet, waits until it is ready and closes it at the end of
// the test. The test runs in parallel with others.
func startFleet(t *testing.T, f *fleettester.Fleet) *fleettester.Fleet {
	t.Helper()
	t.Parallel()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	f.Logger = zaptest.NewLogger(t, zaptest.Level(zap.InfoLevel))
	assert.NilError(t, f.Start(ctx))
	t.Cleanup(f.Close)
	assert.NilError(t, f.AwaitReady(ctx))
	return f
}

// post sends a JSON request to a URL and returns the response and its body.
func post(t *testing.T, url string, headers map[string]string, body string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	assert.NilError(t, err)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(got)
}

// Guards against streaming that does not work end to end with an unmodified
// client library, or depends on the router that the client is connected to.
func TestClientLibraryStreamsThroughEveryRouter(t *testing.T) {
	fleet := startFleet(t, &fleettester.Fleet{Routers: 3, Engines: 4})
	var texts []string
	for i := range 3 {
		client := openai.NewClient(option.WithBaseURL(fleet.Router(i).URL+"/v1"), option.WithAPIKey("unused"),
			option.WithHeader("X-Bergamotdale-Workspace", fleettester.Workspace), option.WithMaxRetries(5))
		stream := client.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
			Model:     fleettester.Model,
			MaxTokens: openai.Int(20),
			Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("is the apron clean?")},
		})
		var text strings.Builder
		for stream.Next() {
			for _, c := range stream.Current().Choices {
				text.WriteString(c.Delta.Content)
			}
		}
		assert.NilError(t, stream.Err())
		texts = append(texts, text.String())
	}
	assert.Assert(t, texts[0] != "")
	assert.Equal(t, texts[1], texts[0])
	assert.Equal(t, texts[2], texts[0])
}

// Guards against a chat whose next turn misses the prompt cache of its engine
// because it arrives through another router.
func TestReturningChatReusesItsCache(t *testing.T) {
	fleet := startFleet(t, &fleettester.Fleet{Routers: 3, Engines: 4})
	body := func(turns int) string {
		var messages []string
		for i := range turns {
			messages = append(messages, fmt.Sprintf(`{"role":"user","content":"%s"}`, strings.Repeat(fmt.Sprint("line ", i, " "), 50)))
		}
		return fmt.Sprintf(`{"model":%q,"max_tokens":4,"messages":[%s]}`, fleettester.Model, strings.Join(messages, ","))
	}
	for turn := 1; turn <= 3; turn++ {
		response, got := post(t, fleet.Router(turn%3).URL+"/v1/chat/completions",
			map[string]string{"X-Bergamotdale-Workspace": fleettester.Workspace, "X-Bergamotdale-Chat": "chat-1"}, body(turn))
		assert.Equal(t, response.StatusCode, http.StatusOK, got)
		var completion struct {
			Usage struct {
				Details struct {
					Cached int `json:"cached_tokens"`
				} `json:"prompt_tokens_details"`
			} `json:"usage"`
		}
		assert.NilError(t, json.Unmarshal([]byte(got), &completion))
		assert.Equal(t, completion.Usage.Details.Cached > 0, turn > 1, "turn %d: %s", turn, got)
	}
}

// Guards against a service call that is executed twice when its client repeats
// it with the same idempotency key through several routers, and against
// accepting that key for a different body.
func TestRepeatedBookingRunsOnce(t *testing.T) {
	fleet := startFleet(t, &fleettester.Fleet{Routers: 3, Engines: 1, Services: 2})
	headers := map[string]string{"X-Bergamotdale-Workspace": fleettester.Workspace, "Idempotency-Key": "dock-4"}
	url := func(i int) string {
		return fleet.Router(i%3).URL + "/v1/services/" + fleettester.ServiceName + "/" + fleettester.CallConfirm
	}
	var first string
	assert.NilError(t, fleettester.Await(t.Context(), func() bool {
		response, got := post(t, url(0), headers, `{"dock":4}`)
		first = got
		return response.StatusCode == http.StatusOK
	}))
	for i := range 3 {
		response, got := post(t, url(i), headers, `{"dock":4}`)
		assert.Equal(t, response.StatusCode, http.StatusOK, got)
		assert.Equal(t, got, first)
	}
	response, got := post(t, url(1), headers, `{"dock":5}`)
	assert.Equal(t, response.StatusCode, http.StatusUnprocessableEntity, got)
	assert.Equal(t, executions(fleet, "dock-4"), 1)
}

// executions returns how often the services have executed a call with the
// idempotency key.
func executions(f *fleettester.Fleet, key string) int {
	sum := 0
	for i := range f.Services {
		sum += f.ServiceAt(i).Counters().ByKey[key]
	}
	return sum
}

// replaceValue replaces the value in each line of a YAML document that contains
// the key.
func replaceValue(yaml, key, value string) string {
	lines := strings.Split(yaml, "\n")
	for i, line := range lines {
		if at := strings.Index(line, key); at >= 0 {
			lines[i] = line[:at] + key + " " + value
		}
	}
	return strings.Join(lines, "\n")
}
