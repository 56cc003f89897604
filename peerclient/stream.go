package peerclient

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// errSilenceTimeout cancels the context of a stream that received no frame within
// Client.SilenceTimeout.
const errSilenceTimeout = errors.ConstError("no frame within the silence timeout")

// Stream implements bergamotdale.Peer. The peer sends a frame, at least a heartbeat,
// every second. A stream that receives none within SilenceTimeout is closed, and
// the next call or stream to the address uses a new connection.
func (c *Client) Stream(ctx context.Context, address, path string, request any) (bergamotdale.FrameStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	silenceTimer := time.AfterFunc(c.SilenceTimeout, func() { cancel(errSilenceTimeout) })
	resp, err := c.post(ctx, address, path, request) //nolint:bodyclose // stream.Close closes it.
	if err != nil {
		silenceTimer.Stop()
		c.registry.dropAfterTimeout(address, context.Cause(ctx))
		cancel(nil)
		return nil, err
	}
	s := &stream{
		client:       c,
		address:      address,
		ctx:          ctx,
		cancel:       cancel,
		silenceTimer: silenceTimer,
		body:         resp.Body,
		lines:        bufio.NewScanner(resp.Body),
	}
	s.lines.Buffer(make([]byte, 0, 4096), MaxResponseBytes)
	if resp.StatusCode == http.StatusOK {
		return s, nil
	}
	defer s.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes))
	if err != nil {
		return nil, lostResponse(address, path, err)
	}
	return nil, decodeRefusal(address, path, resp.StatusCode, body)
}

// stream is a FrameStream that reads the frames of one response. Only one goroutine
// may call Next; another one may call Close.
type stream struct {
	client       *Client
	address      string
	ctx          context.Context
	cancel       context.CancelCauseFunc
	silenceTimer *time.Timer
	body         io.ReadCloser
	lines        *bufio.Scanner
	// ended is true after the final frame.
	ended     bool
	closeOnce sync.Once
}

// Next implements bergamotdale.FrameStream. If the stream ends before its final
// frame, the error is a *Refusal with CodeStreamLost and OutcomeUnknown.
func (s *stream) Next() (bergamotdale.Frame, error) {
	if s.ended {
		return bergamotdale.Frame{}, io.EOF
	}
	if !s.lines.Scan() {
		return bergamotdale.Frame{}, s.fail(s.lines.Err())
	}
	s.silenceTimer.Reset(s.client.SilenceTimeout)
	var f bergamotdale.Frame
	if err := json.Unmarshal(s.lines.Bytes(), &f); err != nil {
		return f, s.fail(errors.Annotate(err, "decoding a frame"))
	}
	s.ended = f.Kind == bergamotdale.FrameEnd || f.Kind == bergamotdale.FrameRefusal
	if s.ended {
		s.silenceTimer.Stop()
	}
	return f, nil
}

// fail closes the stream and returns the refusal for a stream that ended before its
// final frame.
func (s *stream) fail(err error) error {
	if cause := context.Cause(s.ctx); cause != nil {
		err = cause
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	s.client.registry.dropAfterTimeout(s.address, err)
	s.Close()
	return bergamotdale.Refuse(bergamotdale.CodeStreamLost, "stream from %s ended before its final frame", s.address).
		WithOutcome(bergamotdale.OutcomeUnknown).WithCause(err)
}

// Close implements bergamotdale.FrameStream.
func (s *stream) Close() error {
	var err error
	s.closeOnce.Do(func() {
		s.silenceTimer.Stop()
		if s.ended {
			// The transport reuses the connection only if the body was read to its end.
			_, _ = io.CopyN(io.Discard, s.body, 1)
		}
		s.cancel(nil)
		err = s.body.Close()
	})
	return err
}

// FrameWriter writes the frames of one response as JSON lines and flushes each
// frame. It is not safe for concurrent use.
type FrameWriter struct {
	response http.ResponseWriter
	control  *http.ResponseController
	// started is true once the headers were sent.
	started bool
}

// NewFrameWriter returns a FrameWriter that writes to w. The headers are sent with
// the first frame.
func NewFrameWriter(w http.ResponseWriter) *FrameWriter {
	return &FrameWriter{response: w, control: http.NewResponseController(w)}
}

// Write writes and flushes the frame.
func (w *FrameWriter) Write(f bergamotdale.Frame) error {
	if !w.started {
		w.started = true
		w.response.Header().Set("Content-Type", "application/x-ndjson")
		w.response.WriteHeader(http.StatusOK)
	}
	line, err := json.Marshal(f)
	if err != nil {
		return errors.Annotate(err, "encoding a frame")
	}
	if _, err := w.response.Write(append(line, '\n')); err != nil {
		return errors.Annotate(err, "writing a frame")
	}
	return errors.Annotate(w.control.Flush(), "flushing a frame")
}

// Refuse ends the response with a refusal. Before the first frame the refusal is
// the whole HTTP response; after it, it is sent as the final frame.
func (w *FrameWriter) Refuse(r *bergamotdale.Refusal, requestID string, offset int) error {
	if !w.started {
		w.started = true
		WriteRefusal(w.response, r, requestID)
		return nil
	}
	return w.Write(bergamotdale.Frame{
		RequestID: requestID,
		Kind:      bergamotdale.FrameRefusal,
		Offset:    offset,
		Refusal:   r.Wire(requestID),
	})
}
