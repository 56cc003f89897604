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
	// errSilent is the cause of a stream that was cut by the watchdog.
	errSilent = errors.ConstError("no byte within the silence limit")
	// readBuffer covers a few events, in bytes.
	readBuffer = 8 << 10
	// finishWithoutReason is used when the engine sends no finish_reason.
	finishWithoutReason = "stop"
)

// stream converts server-sent events to frames. Comments become heartbeat
// frames.
type stream struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
	silence  time.Duration
	body     io.ReadCloser
	lines    *bufio.Reader

	requestID string
	// offset is the number of tokens up to the last data frame.
	offset int
	// eventID is the id of the event being read; -1 if it has none.
	eventID int
	end     bergamotdale.Frame
	// held is a frame that was read while tokens were collected.
	held *bergamotdale.Frame
	done bool
	// failure is the error of a stream that was cut.
	failure error
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, watchdog *time.Timer, silence time.Duration,
	body io.ReadCloser, r bergamotdale.EngineRequest,
) *stream {
	return &stream{
		ctx: ctx, cancel: cancel, watchdog: watchdog, silence: silence,
		body: body, lines: bufio.NewReaderSize(body, readBuffer),
		requestID: r.RequestID, offset: r.ResumeFrom, eventID: -1,
		end: bergamotdale.Frame{FinishReason: finishWithoutReason},
	}
}

// chunk is an event of the API.
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

// Next implements bergamotdale.FrameStream. A data frame holds the tokens that
// have already arrived.
func (s *stream) Next() (bergamotdale.Frame, error) {
	f, err := s.read()
	if err != nil || f.Kind != bergamotdale.FrameData {
		return f, err
	}
	for s.buffered() && s.collect(&f) {
	}
	return f, nil
}

// collect appends the tokens of the next frame to f. It returns false if the
// next frame isn't data; the following call of Next returns that frame, or the
// error that took its place.
func (s *stream) collect(f *bergamotdale.Frame) bool {
	next, err := s.read()
	if err != nil {
		return false
	}
	if next.Kind != bergamotdale.FrameData {
		s.held = &next
		return false
	}
	f.Tokens = append(f.Tokens, next.Tokens...)
	return true
}

// buffered reports whether a whole event can be read without waiting.
func (s *stream) buffered() bool {
	b, err := s.lines.Peek(s.lines.Buffered())
	return err == nil && bytes.Contains(b, []byte("\n\n"))
}

// read returns the next frame as the engine sent it.
func (s *stream) read() (bergamotdale.Frame, error) {
	if s.held != nil {
		f := *s.held
		s.held = nil
		return f, nil
	}
	if s.failure != nil {
		return bergamotdale.Frame{}, s.failure
	}
	if s.done {
		return bergamotdale.Frame{}, io.EOF
	}
	for {
		line, err := s.lines.ReadBytes('\n')
		if err != nil {
			return bergamotdale.Frame{}, s.lost(err)
		}
		s.watchdog.Reset(s.silence)
		f, ok, err := s.parse(bytes.TrimRight(line, "\r\n"))
		if err != nil {
			return bergamotdale.Frame{}, s.lost(err)
		}
		if ok {
			f.RequestID = s.requestID
			return f, nil
		}
	}
}

// parse reads one line; ok is true if it completes a frame.
func (s *stream) parse(line []byte) (f bergamotdale.Frame, ok bool, err error) {
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
		return s.end, true, nil
	case string(field) == "data":
		return s.event(value)
	}
	return f, false, nil
}

func (s *stream) event(data []byte) (f bergamotdale.Frame, ok bool, err error) {
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
		s.end.PromptTokens = c.Usage.PromptTokens
		s.end.CachedTokens = c.Usage.Details.CachedTokens
	}
	if len(c.Choices) == 0 {
		return f, false, nil
	}
	if c.Choices[0].FinishReason != nil {
		s.end.FinishReason = *c.Choices[0].FinishReason
	}
	if c.Choices[0].Delta.Content == "" {
		return f, false, nil
	}
	return s.data(c.Choices[0].Delta.Content)
}

// data returns the frame of one token.
func (s *stream) data(token string) (f bergamotdale.Frame, ok bool, err error) {
	f = bergamotdale.Frame{Kind: bergamotdale.FrameData, Offset: s.offset, Tokens: []string{token}}
	s.offset++
	if s.eventID >= 0 && s.eventID != s.offset {
		return f, false, errors.Errorf("event %d follows token %d", s.eventID, s.offset-1)
	}
	s.eventID = -1
	return f, true, nil
}

// finish marks the end of a stream that the engine closed itself.
func (s *stream) finish() {
	s.done = true
	s.end.Kind = bergamotdale.FrameEnd
	s.end.Offset, s.end.Length = s.offset, s.offset
	go s.drain()
}

// drain reads to the end of the body, so that the connection can be used
// again. The watchdog bounds the time that this takes.
func (s *stream) drain() {
	_, _ = io.CopyN(io.Discard, s.lines, readBuffer)
	_ = s.release()
}

// lost converts the error of a stream that was cut.
func (s *stream) lost(err error) error {
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
	if s.done {
		return nil
	}
	return s.release()
}

func (s *stream) release() error {
	s.watchdog.Stop()
	s.cancel(nil)
	return errors.Trace(s.body.Close())
}
