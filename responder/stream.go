package responder

import (
	"encoding/json"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/encoder"
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
		events := encoder.NewEventWriter(ctx.BodyWriter(), w.encoded(), w.start(), w.last.Offset)
		r.copyStream(&w, events, first, frames)
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
func (r *Responder) copyStream(w *responseWriter, events *encoder.EventWriter, first *received, frames <-chan received) {
	if first != nil && !r.copyFrame(w, events, *first) {
		return
	}
	for f := range frames {
		if !r.copyFrame(w, events, f) {
			return
		}
	}
}

// copyFrame writes one frame and reports whether more may follow.
func (r *Responder) copyFrame(w *responseWriter, events *encoder.EventWriter, f received) bool {
	if errors.Is(f.err, io.EOF) {
		return false
	}
	if f.err != nil {
		events.WriteError(r.refuse(f.err, w.completion.RequestID, w.grant))
		return false
	}
	switch f.frame.Kind {
	case bergamotdale.FrameHeartbeat:
		return events.WriteHeartbeat()
	case bergamotdale.FrameData:
		return events.WriteData(f.frame)
	case bergamotdale.FrameEnd:
		events.WriteEnd(f.frame)
		r.logDone(*w, f.frame.Length)
		return false
	default:
		refusal := f.frame.Refusal.Refusal()
		events.WriteError(r.refuse(refusal, w.completion.RequestID, w.grant))
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
	return &huma.StreamResponse{Body: func(ctx huma.Context) {
		setHeaders(ctx, w.completion, "application/json")
		_ = json.NewEncoder(ctx.BodyWriter()).Encode(w.encoded().Object(text, end))
	}}
}

// encoded returns what the format of the response depends on.
func (w *responseWriter) encoded() encoder.Completion {
	return encoder.Completion{
		RequestID:    w.completion.RequestID,
		Model:        w.completion.Model,
		Created:      w.created,
		IncludeUsage: w.body.StreamOptions.IncludeUsage,
	}
}
