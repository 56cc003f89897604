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

// responseWriter holds the data for writing one completion response.
type responseWriter struct {
	completion bergamotdale.Completion
	body       *chatBody
	grant      Grant
	stream     bergamotdale.FrameStream
	created    time.Time
	// clientPosition is the position up to which the client has already read.
	clientPosition streamer.Position
	close          func()
}

// frameResult is a frame of a stream, or the error that ended the stream.
type frameResult struct {
	frame bergamotdale.Frame
	err   error
}

// readFrames sends the frames of the stream to a channel until the stream ends or
// done is closed.
func readFrames(stream bergamotdale.FrameStream, done <-chan struct{}) <-chan frameResult {
	frames := make(chan frameResult, 1)
	go func() {
		defer close(frames)
		for {
			frame, err := stream.Next()
			select {
			case frames <- frameResult{frame, err}:
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

// respondStream writes a completion as server-sent events. The status is sent with
// the first frame that is not a heartbeat, or after StatusWait.
func (r *Responder) respondStream(w responseWriter) (*huma.StreamResponse, error) {
	done := make(chan struct{})
	frames := readFrames(w.stream, done)
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
		events := encoder.NewEventWriter(ctx.BodyWriter(), w.encoderCompletion(), w.streamStart(), w.clientPosition.Offset)
		r.writeEvents(&w, events, first, frames)
	}}, nil
}

// streamStart returns the position of the first frame from the backend.
func (w *responseWriter) streamStart() streamer.Position {
	if w.completion.ResumeFrom == 0 {
		return streamer.Position{}
	}
	return w.clientPosition
}

// firstFrame waits for the first frame that is not a heartbeat. It returns neither
// a frame nor a refusal if there is none within StatusWait, and a refusal if the
// stream starts with one or fails.
func (r *Responder) firstFrame(frames <-chan frameResult) (*frameResult, *bergamotdale.Refusal) {
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

// writeEvents writes the frames of the stream as events until the stream ends.
func (r *Responder) writeEvents(w *responseWriter, events *encoder.EventWriter, first *frameResult, frames <-chan frameResult) {
	if first != nil && !r.writeEvent(w, events, *first) {
		return
	}
	for f := range frames {
		if !r.writeEvent(w, events, f) {
			return
		}
	}
}

// writeEvent writes one frame as an event and reports whether more may follow.
func (r *Responder) writeEvent(w *responseWriter, events *encoder.EventWriter, f frameResult) bool {
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
		r.logCompleted(*w, f.frame.Length)
		return false
	default:
		refusal := f.frame.Refusal.Refusal()
		events.WriteError(r.refuse(refusal, w.completion.RequestID, w.grant))
		return false
	}
}

// respondObject reads the whole stream and responds with a single object.
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
			r.logCompleted(w, frame.Length)
			return objectResponse(w, text.String(), frame), nil
		}
	}
}

// objectResponse returns the response that holds a complete text.
func objectResponse(w responseWriter, text string, end bergamotdale.Frame) *huma.StreamResponse {
	return &huma.StreamResponse{Body: func(ctx huma.Context) {
		setHeaders(ctx, w.completion, "application/json")
		_ = json.NewEncoder(ctx.BodyWriter()).Encode(w.encoderCompletion().Object(text, end))
	}}
}

// encoderCompletion returns the fields of the completion that the encoder writes
// or that determine the format of the response.
func (w *responseWriter) encoderCompletion() encoder.Completion {
	return encoder.Completion{
		RequestID:    w.completion.RequestID,
		Model:        w.completion.Model,
		Created:      w.created,
		IncludeUsage: w.body.StreamOptions.IncludeUsage,
	}
}
