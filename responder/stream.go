package responder

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/streamer"
)

// responseWriter holds what is needed to write one completion response.
type responseWriter struct {
	completion bergamotdale.Completion
	body       *chatBody
	grant      Grant
	stream     bergamotdale.FrameStream
	created    time.Time
	// last is the position up to which the client has read already.
	last  streamer.Position
	close func()
}

// chunk is an object of the chat completions API: a chunk of a stream or a
// whole completion.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	// Integrity is an extension; clients that know it can check that nothing
	// is missing.
	Integrity *integrity `json:"bergamotdale,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// integrity closes a response: the number of its tokens and their checksum.
type integrity struct {
	Length   int    `json:"length"`
	Checksum string `json:"checksum"`
}

// newChunk returns a chunk with the fields that all chunks of w share.
func (w *responseWriter) newChunk(object string, choices ...choice) chunk {
	if choices == nil {
		choices = []choice{}
	}
	return chunk{
		ID:      "chatcmpl-" + w.completion.RequestID,
		Object:  object,
		Created: w.created.Unix(),
		Model:   w.completion.Model,
		Choices: choices,
	}
}

// usageOf returns the token counts of a complete stream.
func usageOf(end bergamotdale.Frame) *usage {
	return &usage{
		PromptTokens:        end.PromptTokens,
		CompletionTokens:    end.Length,
		TotalTokens:         end.PromptTokens + end.Length,
		PromptTokensDetails: promptDetails{CachedTokens: end.CachedTokens},
	}
}

// received is a frame, or the error that ended the stream.
type received struct {
	frame bergamotdale.Frame
	err   error
}

// receive reads frames into a channel until the stream ends or done is closed.
func receive(stream bergamotdale.FrameStream, done <-chan struct{}) <-chan received {
	frames := make(chan received, 1)
	go func() {
		defer close(frames)
		for {
			frame, err := stream.Next()
			select {
			case frames <- received{frame, err}:
			case <-done:
				return
			}
			if err != nil {
				return
			}
		}
	}()
	return frames
}

// respondStream writes a completion as server-sent events. The status is
// committed with the first data frame, or after StatusWait.
func (r *Responder) respondStream(w responseWriter) (*huma.StreamResponse, error) {
	done := make(chan struct{})
	frames := receive(w.stream, done)
	first, refusal := r.firstFrame(frames)
	if refusal != nil {
		close(done)
		w.close()
		return nil, r.refuse(refusal, w.completion.RequestID, w.grant)
	}
	return &huma.StreamResponse{Body: func(ctx huma.Context) {
		defer w.close()
		defer close(done)
		setHeaders(ctx, w.completion, "text/event-stream")
		ctx.SetHeader("Cache-Control", "no-store")
		events := &eventWriter{writer: ctx.BodyWriter(), response: &w, position: w.start()}
		r.copyStream(events, first, frames)
	}}, nil
}

// start returns the position of the first frame from the backend.
func (w *responseWriter) start() streamer.Position {
	if w.completion.ResumeFrom == 0 {
		return streamer.Position{}
	}
	return w.last
}

// firstFrame waits for the first frame that is not a heartbeat. It returns no
// frame after StatusWait, and a refusal if the stream starts with one.
func (r *Responder) firstFrame(frames <-chan received) (*received, *bergamotdale.Refusal) {
	timeout := r.Clock.After(r.StatusWait)
	for {
		select {
		case f := <-frames:
			if f.err != nil {
				return nil, bergamotdale.AsRefusal(f.err)
			}
			switch f.frame.Kind {
			case bergamotdale.FrameHeartbeat:
			case bergamotdale.FrameRefusal:
				return nil, f.frame.Refusal.Refusal()
			default:
				return &f, nil
			}
		case <-timeout:
			return nil, nil
		}
	}
}

// copyStream writes frames as events until the stream ends.
func (r *Responder) copyStream(events *eventWriter, first *received, frames <-chan received) {
	if first != nil && !r.copyFrame(events, *first) {
		return
	}
	for f := range frames {
		if !r.copyFrame(events, f) {
			return
		}
	}
}

// copyFrame writes one frame and reports whether more may follow.
func (r *Responder) copyFrame(events *eventWriter, f received) bool {
	if errors.Is(f.err, io.EOF) {
		return false
	}
	if f.err != nil {
		events.writeRefusal(r.refuse(f.err, events.response.completion.RequestID, events.response.grant))
		return false
	}
	switch f.frame.Kind {
	case bergamotdale.FrameHeartbeat:
		return events.writeHeartbeat()
	case bergamotdale.FrameData:
		return events.writeData(f.frame)
	case bergamotdale.FrameEnd:
		events.writeEnd(f.frame)
		r.logDone(*events.response, f.frame.Length)
		return false
	default:
		refusal := f.frame.Refusal.Refusal()
		events.writeRefusal(r.refuse(refusal, events.response.completion.RequestID, events.response.grant))
		return false
	}
}

// respondObject collects the tokens and answers with one object.
func (r *Responder) respondObject(w responseWriter) (*huma.StreamResponse, error) {
	defer w.close()
	var text strings.Builder
	for {
		frame, err := w.stream.Next()
		if err != nil {
			return nil, r.refuse(err, w.completion.RequestID, w.grant)
		}
		switch frame.Kind {
		case bergamotdale.FrameHeartbeat:
		case bergamotdale.FrameData:
			for _, token := range frame.Tokens {
				text.WriteString(token)
			}
		case bergamotdale.FrameRefusal:
			return nil, r.refuse(frame.Refusal.Refusal(), w.completion.RequestID, w.grant)
		case bergamotdale.FrameEnd:
			r.logDone(w, frame.Length)
			return objectResponse(w, text.String(), frame), nil
		}
	}
}

// objectResponse writes a whole completion.
func objectResponse(w responseWriter, text string, end bergamotdale.Frame) *huma.StreamResponse {
	object := w.newChunk("chat.completion", choice{
		Message:      &chatMessage{Role: "assistant", Content: text},
		FinishReason: &end.FinishReason,
	})
	object.Usage = usageOf(end)
	object.Integrity = &integrity{Length: end.Length, Checksum: end.Checksum}
	return &huma.StreamResponse{Body: func(ctx huma.Context) {
		setHeaders(ctx, w.completion, "application/json")
		_ = json.NewEncoder(ctx.BodyWriter()).Encode(object)
	}}
}

// eventWriter writes server-sent events. The event id is the position after the
// event, which a reconnecting client sends as Last-Event-ID.
type eventWriter struct {
	writer   io.Writer
	response *responseWriter
	started  bool
	// position follows the tokens of the backend, which may start before the
	// tokens that the client still needs.
	position streamer.Position
}

// writeHeartbeat writes a comment without an empty line after it: some client
// libraries treat an empty line as an event without data.
func (e *eventWriter) writeHeartbeat() bool {
	_, err := io.WriteString(e.writer, ": heartbeat\n")
	e.flush()
	return err == nil
}

func (e *eventWriter) writeData(f bergamotdale.Frame) bool {
	e.position = e.position.Add(f.Tokens...)
	known := min(max(e.response.last.Offset-f.Offset, 0), len(f.Tokens))
	if known == len(f.Tokens) {
		return true
	}
	delta := &chatMessage{Content: strings.Join(f.Tokens[known:], "")}
	if !e.started {
		delta.Role = "assistant"
		e.started = true
	}
	return e.write(e.response.newChunk("chat.completion.chunk", choice{Delta: delta}))
}

func (e *eventWriter) writeEnd(f bergamotdale.Frame) {
	last := e.response.newChunk("chat.completion.chunk", choice{Delta: &chatMessage{}, FinishReason: &f.FinishReason})
	last.Integrity = &integrity{Length: f.Length, Checksum: f.Checksum}
	e.write(last)
	if e.response.body.StreamOptions.IncludeUsage {
		counts := e.response.newChunk("chat.completion.chunk")
		counts.Usage = usageOf(f)
		e.write(counts)
	}
	_, _ = io.WriteString(e.writer, "data: [DONE]\n\n")
	e.flush()
}

// writeRefusal ends a stream whose status has already been sent.
func (e *eventWriter) writeRefusal(body *refusalBody) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(e.writer, "event: error\ndata: %s\n\n", data)
	e.flush()
}

func (e *eventWriter) write(c chunk) bool {
	data, err := json.Marshal(c)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(e.writer, "id: %s\ndata: %s\n\n", eventID(e.position), data)
	e.flush()
	return err == nil
}

func (e *eventWriter) flush() {
	if f, ok := e.writer.(http.Flusher); ok {
		f.Flush()
	}
}
