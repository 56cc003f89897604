// Package generator plays the clients of a fleet: single chats and calls, and
// seeded load with returning chats in several priority classes.
package generator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/responder"
)

// Chat is a streamed completion request.
type Chat struct {
	// URL is the base URL of a router.
	URL       string
	Workspace string
	Chat      string
	Class     string
	RequestID string
	Model     string
	Messages  []string
	MaxTokens int
	// LastEventID resumes a stream that broke.
	LastEventID string
}

// Result is how a request ended.
type Result struct {
	Status    int
	RequestID string
	Revision  string
	Text      string
	// Complete is true once the end of the stream was received, and Length is
	// the number of tokens that it states.
	Complete     bool
	Length       int
	PromptTokens int
	CachedTokens int
	LastEventID  string
	// Refusal is the final response to a request that was not completed.
	Refusal *Refusal
	// FirstToken and Duration are measured from the start of the request.
	FirstToken time.Duration
	Duration   time.Duration
}

// Refusal is the error of a response.
type Refusal struct {
	Code       bergamotdale.Code    `json:"code"`
	Message    string               `json:"message"`
	Outcome    bergamotdale.Outcome `json:"outcome"`
	RetryAfter time.Duration        `json:"-"`
}

// Client sends requests.
type Client struct {
	HTTP  *http.Client
	Clock bergamotdale.Clock
}

// NewClient returns a client that waits for streams as long as its context.
func NewClient() *Client {
	return &Client{HTTP: &http.Client{}, Clock: bergamotdale.SystemClock{}}
}

// event is the data of a server-sent event.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Integrity *struct {
		Length int `json:"length"`
	} `json:"bergamotdale"`
	Error *Refusal `json:"error"`
}

// Chat sends a completion request and reads its stream to the end. A broken
// stream is returned with the error and what has been read.
func (c *Client) Chat(ctx context.Context, chat Chat) (Result, error) {
	start := c.Clock.Now()
	response, err := c.send(ctx, chat)
	if err != nil {
		return Result{}, errors.Trace(err)
	}
	defer response.Body.Close()
	result := newResult(response)
	if response.StatusCode != http.StatusOK {
		result.Refusal, err = readRefusal(response)
		result.Duration = c.Clock.Now().Sub(start)
		return result, err
	}
	err = c.readEvents(response.Body, &result, start)
	result.Duration = c.Clock.Now().Sub(start)
	return result, err
}

// send sends the request of a chat.
func (c *Client) send(ctx context.Context, chat Chat) (*http.Response, error) {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	body := struct {
		Model         string    `json:"model"`
		Messages      []message `json:"messages"`
		MaxTokens     int       `json:"max_tokens"`
		Stream        bool      `json:"stream"`
		StreamOptions struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
	}{Model: chat.Model, MaxTokens: chat.MaxTokens, Stream: true}
	body.StreamOptions.IncludeUsage = true
	for _, m := range chat.Messages {
		body.Messages = append(body.Messages, message{Role: "user", Content: m})
	}
	return c.post(ctx, chat.URL+"/v1/chat/completions", body, map[string]string{
		responder.HeaderWorkspace:   chat.Workspace,
		responder.HeaderChat:        chat.Chat,
		responder.HeaderPriority:    chat.Class,
		responder.HeaderRequestID:   chat.RequestID,
		responder.HeaderLastEventID: chat.LastEventID,
	})
}

// post sends a JSON body with the headers that are set.
func (c *Client) post(ctx context.Context, url string, body any, headers map[string]string) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	response, err := c.HTTP.Do(request)
	return response, errors.Trace(err)
}

// newResult returns what the headers of a response say.
func newResult(response *http.Response) Result {
	return Result{
		Status:    response.StatusCode,
		RequestID: response.Header.Get(responder.HeaderRequestID),
		Revision:  response.Header.Get(responder.HeaderRevision),
	}
}

// readRefusal reads the body of a refused request.
func readRefusal(response *http.Response) (*Refusal, error) {
	var body struct {
		Err Refusal `json:"error"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return nil, errors.Annotatef(err, "status %d without a refusal", response.StatusCode)
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		body.Err.RetryAfter = time.Duration(seconds) * time.Second
	}
	return &body.Err, nil
}

// readEvents reads a stream of server-sent events.
func (c *Client) readEvents(body io.Reader, result *Result, start time.Time) error {
	var text strings.Builder
	defer func() { result.Text = text.String() }()
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			result.LastEventID = id
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return errors.Annotatef(err, "event %q", data)
		}
		for _, choice := range e.Choices {
			if result.FirstToken == 0 {
				result.FirstToken = c.Clock.Now().Sub(start)
			}
			text.WriteString(choice.Delta.Content)
		}
		e.apply(result)
		if e.Error != nil {
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return errors.Trace(err)
	}
	return io.ErrUnexpectedEOF
}

// apply takes over everything but the text.
func (e *event) apply(result *Result) {
	if e.Usage != nil {
		result.PromptTokens = e.Usage.PromptTokens
		result.CachedTokens = e.Usage.Details.CachedTokens
	}
	if e.Integrity != nil {
		result.Complete = true
		result.Length = e.Integrity.Length
	}
	if e.Error != nil {
		result.Refusal = e.Error
	}
}

// Call is a call of a plain service.
type Call struct {
	URL       string
	Workspace string
	Service   string
	Call      string
	Key       string
	RequestID string
	Body      json.RawMessage
}

// Call sends a call and returns the body of its response as Text.
func (c *Client) Call(ctx context.Context, call Call) (Result, error) {
	start := c.Clock.Now()
	response, err := c.post(ctx, call.URL+"/v1/services/"+call.Service+"/"+call.Call, call.Body, map[string]string{
		responder.HeaderWorkspace:      call.Workspace,
		responder.HeaderIdempotencyKey: call.Key,
		responder.HeaderRequestID:      call.RequestID,
	})
	if err != nil {
		return Result{}, errors.Trace(err)
	}
	defer response.Body.Close()
	result := newResult(response)
	if response.StatusCode >= http.StatusBadRequest {
		result.Refusal, err = readRefusal(response)
	} else {
		var body []byte
		body, err = io.ReadAll(response.Body)
		result.Text, result.Complete = string(body), err == nil
	}
	result.Duration = c.Clock.Now().Sub(start)
	return result, errors.Trace(err)
}
