// Package generator implements the client side of a fleet for tests and load
// generation. A Client sends single chat completions and service calls to a router.
// A Load sends many chat completions in several priority classes at random times that
// a seed determines, including further turns of earlier chats.
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

// ChatRequest is a request for a streamed chat completion.
type ChatRequest struct {
	// URL is the base URL of a router.
	URL       string
	Workspace string
	// ChatID identifies the chat, whose turns share a prefix.
	ChatID string
	// Class is the name of the priority class.
	Class     string
	RequestID string
	Model     string
	// Messages holds the messages of the user.
	Messages  []string
	MaxTokens int
	// LastEventID, if not empty, resumes a broken stream after the event with this
	// ID.
	LastEventID string
}

// Result describes the response to a request.
type Result struct {
	// Status is the HTTP status.
	Status    int
	RequestID string
	// Revision is the revision of the configuration that the router reports.
	Revision string
	// Text is the generated text, or the body of the response to a call.
	Text string
	// Complete is set if the whole response was received. For a stream this is once
	// its integrity record has arrived, and Length is the number of tokens that the
	// record states.
	Complete     bool
	Length       int
	PromptTokens int
	CachedTokens int
	// LastEventID is the ID of the last event that was received.
	LastEventID string
	// Refusal is the final response to a request that was not completed.
	Refusal *Refusal
	// FirstToken and Duration are measured from the start of the request.
	FirstToken time.Duration
	Duration   time.Duration
}

// Refusal is the error that a router returns instead of a complete response.
type Refusal struct {
	Code       bergamotdale.Code    `json:"code"`
	Message    string               `json:"message"`
	Outcome    bergamotdale.Outcome `json:"outcome"`
	RetryAfter time.Duration        `json:"-"`
}

// Client sends requests to routers.
type Client struct {
	HTTP  *http.Client
	Clock bergamotdale.Clock
}

// NewClient returns a client without time limits except those of the contexts.
func NewClient() *Client {
	return &Client{HTTP: &http.Client{}, Clock: bergamotdale.SystemClock{}}
}

// event is the data of a server-sent event of a completion stream.
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

// Chat sends a chat completion request and reads its stream to the end. For a broken
// stream, it returns an error together with what it has read.
func (c *Client) Chat(ctx context.Context, chat ChatRequest) (Result, error) {
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

// send sends a chat completion request.
func (c *Client) send(ctx context.Context, chat ChatRequest) (*http.Response, error) {
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
		responder.HeaderChat:        chat.ChatID,
		responder.HeaderPriority:    chat.Class,
		responder.HeaderRequestID:   chat.RequestID,
		responder.HeaderLastEventID: chat.LastEventID,
	})
}

// post sends a JSON body and those of the headers that are not empty.
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

// newResult returns a result with the status and the headers of a response.
func newResult(response *http.Response) Result {
	return Result{
		Status:    response.StatusCode,
		RequestID: response.Header.Get(responder.HeaderRequestID),
		Revision:  response.Header.Get(responder.HeaderRevision),
	}
}

// readRefusal reads the refusal from a response and its Retry-After header.
func readRefusal(response *http.Response) (*Refusal, error) {
	var body struct {
		Err Refusal `json:"error"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return nil, errors.Annotatef(err, "decode the refusal of a response with status %d", response.StatusCode)
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		body.Err.RetryAfter = time.Duration(seconds) * time.Second
	}
	return &body.Err, nil
}

// readEvents reads a stream of server-sent events into the result, up to the end
// marker [DONE] or an error event. A stream that ends before gives
// io.ErrUnexpectedEOF.
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
			return errors.Annotatef(err, "decode stream event %q", data)
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

// apply copies all parts of the event except the text to the result.
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

// CallRequest is a call of a plain service.
type CallRequest struct {
	// URL is the base URL of a router.
	URL       string
	Workspace string
	Service   string
	// Call is the name of the call within the service.
	Call string
	// IdempotencyKey is the idempotency key.
	IdempotencyKey string
	RequestID      string
	Body           json.RawMessage
}

// Call sends a service call and returns the body of its response as Result.Text.
func (c *Client) Call(ctx context.Context, call CallRequest) (Result, error) {
	start := c.Clock.Now()
	response, err := c.post(ctx, call.URL+"/v1/services/"+call.Service+"/"+call.Call, call.Body, map[string]string{
		responder.HeaderWorkspace:      call.Workspace,
		responder.HeaderIdempotencyKey: call.IdempotencyKey,
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
