package engineclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// errIdleTimeout is the cancellation cause of a stream that the watchdog cut.
	errIdleTimeout = errors.ConstError("no byte received within the idle timeout")
	// readBufferBytes is the size of the read buffer; it holds a few events.
	readBufferBytes = 8 << 10
	// defaultFinishReason is reported if the engine sends no finish_reason.
	defaultFinishReason = "stop"
)

// stream converts the server-sent events of a completion to frames. The comments of
// the event stream become heartbeat frames.
type stream struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	// watchdog cancels ctx when no byte arrived for idleTimeout.
	watchdog    *time.Timer
	idleTimeout time.Duration
	body        io.ReadCloser
	lines       *bufio.Reader

	requestID string
	// offset is the number of tokens of the stream up to and including the last
	// data frame, and those that the client had before it resumed.
	offset int
	// eventID is the ID of the event being read, or -1 if it has none. The ID of an
	// event is the offset after its token.
	eventID  int
	endFrame bergamotdale.Frame
	// pending is a frame that was read ahead by appendNextFrame.
	pending *bergamotdale.Frame
	ended   bool
	// failure is the error that ended the stream early.
	failure error
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, watchdog *time.Timer, idleTimeout time.Duration,
	body io.ReadCloser, r bergamotdale.EngineRequest,
) *stream {
	return &stream{
		ctx: ctx, cancel: cancel, watchdog: watchdog, idleTimeout: idleTimeout,
		body: body, lines: bufio.NewReaderSize(body, readBufferBytes),
		requestID: r.RequestID, offset: r.ResumeFrom, eventID: -1,
		endFrame: bergamotdale.Frame{FinishReason: defaultFinishReason},
	}
}

// chunk is the JSON data of an event of the chat completions API.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *bergamotdale.WireRefusal `json:"error"`
}

// Next implements bergamotdale.FrameStream. It combines all tokens that have already
// arrived into one data frame.
func (s *stream) Next() (bergamotdale.Frame, error) {
	f, err := s.readFrame()
	if err != nil || f.Kind != bergamotdale.FrameData {
		return f, err
	}
	for s.hasBufferedEvent() && s.appendNextFrame(&f) {
	}
	return f, nil
}

// appendNextFrame reads the next frame and appends its tokens to f. It returns false
// if the frame carries no tokens or can't be read; the following call of Next then
// returns that frame or error.
func (s *stream) appendNextFrame(f *bergamotdale.Frame) bool {
	next, err := s.readFrame()
	if err != nil {
		return false
	}
	if next.Kind != bergamotdale.FrameData {
		s.pending = &next
		return false
	}
	f.Tokens = append(f.Tokens, next.Tokens...)
	return true
}

// hasBufferedEvent reports whether a complete event can be read without blocking.
func (s *stream) hasBufferedEvent() bool {
	b, err := s.lines.Peek(s.lines.Buffered())
	return err == nil && bytes.Contains(b, []byte("\n\n"))
}

// readFrame returns the next frame, with at most one token.
func (s *stream) readFrame() (bergamotdale.Frame, error) {
	if s.pending != nil {
		f := *s.pending
		s.pending = nil
		return f, nil
	}
	if s.failure != nil {
		return bergamotdale.Frame{}, s.failure
	}
	if s.ended {
		return bergamotdale.Frame{}, io.EOF
	}
	for {
		line, err := s.lines.ReadBytes('\n')
		if err != nil {
			return bergamotdale.Frame{}, s.fail(err)
		}
		s.watchdog.Reset(s.idleTimeout)
		f, ok, err := s.parseLine(bytes.TrimRight(line, "\r\n"))
		if err != nil {
			return bergamotdale.Frame{}, s.fail(err)
		}
		if ok {
			f.RequestID = s.requestID
			return f, nil
		}
	}
}

// parseLine parses one line of the event stream. ok is true if the line completes a
// frame.
func (s *stream) parseLine(line []byte) (f bergamotdale.Frame, ok bool, err error) {
	field, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch {
	case len(line) > 0 && len(field) == 0:
		return bergamotdale.Frame{Kind: bergamotdale.FrameHeartbeat, Offset: s.offset}, true, nil
	case string(field) == "id":
		s.eventID, err = strconv.Atoi(string(value))
		return f, false, errors.Trace(err)
	case string(field) == "data" && string(value) == "[DONE]":
		s.finish()
		return s.endFrame, true, nil
	case string(field) == "data":
		return s.parseEvent(value)
	}
	return f, false, nil
}

// parseEvent parses the data of an event. ok is true if it completes a frame.
func (s *stream) parseEvent(data []byte) (f bergamotdale.Frame, ok bool, err error) {
	c := chunk{}
	if err := json.Unmarshal(data, &c); err != nil {
		return f, false, errors.Annotate(err, "event")
	}
	if c.Error != nil {
		s.finish()
		c.Error.RequestID = s.requestID
		return bergamotdale.Frame{Kind: bergamotdale.FrameRefusal, Offset: s.offset, Refusal: c.Error}, true, nil
	}
	if c.Usage != nil {
		s.endFrame.PromptTokens = c.Usage.PromptTokens
		s.endFrame.CachedTokens = c.Usage.Details.CachedTokens
	}
	if len(c.Choices) == 0 {
		return f, false, nil
	}
	if c.Choices[0].FinishReason != nil {
		s.endFrame.FinishReason = *c.Choices[0].FinishReason
	}
	if c.Choices[0].Delta.Content == "" {
		return f, false, nil
	}
	return s.newDataFrame(c.Choices[0].Delta.Content)
}

// newDataFrame returns the data frame of one token. It returns an error if the event
// ID shows that a token was lost or repeated.
func (s *stream) newDataFrame(token string) (f bergamotdale.Frame, ok bool, err error) {
	f = bergamotdale.Frame{Kind: bergamotdale.FrameData, Offset: s.offset, Tokens: []string{token}}
	s.offset++
	if s.eventID >= 0 && s.eventID != s.offset {
		return f, false, errors.Errorf("event has ID %d, but its token has offset %d: the ID must be the offset plus one", s.eventID, s.offset-1)
	}
	s.eventID = -1
	return f, true, nil
}

// finish ends a stream that the engine completed or refused.
func (s *stream) finish() {
	s.ended = true
	s.endFrame.Kind = bergamotdale.FrameEnd
	s.endFrame.Offset, s.endFrame.Length = s.offset, s.offset
	go s.drainBody()
}

// drainBody reads the rest of the body, so that net/http can reuse the connection.
// The watchdog bounds the time that this takes.
func (s *stream) drainBody() {
	_, _ = io.CopyN(io.Discard, s.lines, readBufferBytes)
	_ = s.release()
}

// fail ends a stream that was cut and returns the error that Next reports from now
// on. A cancellation cause replaces the read error that it led to.
func (s *stream) fail(err error) error {
	if cause := context.Cause(s.ctx); cause != nil {
		err = cause
	}
	_ = s.release()
	r := bergamotdale.Refuse(bergamotdale.CodeStreamLost, "engine stream cut after %d tokens", s.offset)
	s.failure = r.WithOutcome(bergamotdale.OutcomeUnknown).WithCause(err)
	return s.failure
}

// Close implements bergamotdale.FrameStream.
func (s *stream) Close() error {
	if s.ended {
		return nil
	}
	return s.release()
}

// release stops the watchdog, cancels the request and closes the body.
func (s *stream) release() error {
	s.watchdog.Stop()
	s.cancel(nil)
	return errors.Trace(s.body.Close())
}
