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

// errSilent is the cause of a stream that carried no frame for too long.
const errSilent = errors.ConstError("no frame within the silence timeout")

// Stream implements bergamotdale.Peer. The peer sends a frame, at least a
// heartbeat, every second. A stream that carries none for the silence timeout
// is cut, and the next one uses a new connection.
func (c *Client) Stream(ctx context.Context, address, path string, request any) (bergamotdale.FrameStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	watchdog := time.AfterFunc(c.SilenceTimeout, func() { cancel(errSilent) })
	resp, err := c.post(ctx, address, path, request) //nolint:bodyclose // stream.Close closes it.
	if err != nil {
		watchdog.Stop()
		c.pool.silent(address, context.Cause(ctx))
		cancel(nil)
		return nil, err
	}
	s := &stream{
		client:   c,
		address:  address,
		ctx:      ctx,
		cancel:   cancel,
		watchdog: watchdog,
		body:     resp.Body,
		lines:    bufio.NewScanner(resp.Body),
	}
	s.lines.Buffer(make([]byte, 0, 4096), MaxResponseBytes)
	if resp.StatusCode == http.StatusOK {
		return s, nil
	}
	defer s.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes))
	if err != nil {
		return nil, lost(address, path, err)
	}
	return nil, decodeRefusal(address, path, resp.StatusCode, body)
}

// stream reads the frames of one response. Next is called by one goroutine;
// Close may be called by another.
type stream struct {
	client   *Client
	address  string
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
	body     io.ReadCloser
	lines    *bufio.Scanner
	// ended is true after the closing frame.
	ended bool
	close sync.Once
}

// Next implements bergamotdale.FrameStream. A cut stream is a *Refusal with
// CodeStreamLost and OutcomeUnknown.
func (s *stream) Next() (bergamotdale.Frame, error) {
	if s.ended {
		return bergamotdale.Frame{}, io.EOF
	}
	if !s.lines.Scan() {
		return bergamotdale.Frame{}, s.cut(s.lines.Err())
	}
	s.watchdog.Reset(s.client.SilenceTimeout)
	var f bergamotdale.Frame
	if err := json.Unmarshal(s.lines.Bytes(), &f); err != nil {
		return f, s.cut(errors.Annotate(err, "decoding a frame"))
	}
	s.ended = f.Kind == bergamotdale.FrameEnd || f.Kind == bergamotdale.FrameRefusal
	if s.ended {
		s.watchdog.Stop()
	}
	return f, nil
}

func (s *stream) cut(err error) error {
	if cause := context.Cause(s.ctx); cause != nil {
		err = cause
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	s.client.pool.silent(s.address, err)
	s.Close()
	return bergamotdale.Refuse(bergamotdale.CodeStreamLost, "stream from %s was cut", s.address).
		WithOutcome(bergamotdale.OutcomeUnknown).WithCause(err)
}

// Close implements bergamotdale.FrameStream.
func (s *stream) Close() error {
	var err error
	s.close.Do(func() {
		s.watchdog.Stop()
		if s.ended {
			// Reading the end of the body lets the connection be used again.
			_, _ = io.CopyN(io.Discard, s.body, 1)
		}
		s.cancel(nil)
		err = s.body.Close()
	})
	return err
}

// FrameWriter writes frames as JSON lines and flushes each of them. It is not
// safe for concurrent use.
type FrameWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
}

// NewFrameWriter returns a writer of the frames of one response. The headers
// are sent with the first frame.
func NewFrameWriter(w http.ResponseWriter) *FrameWriter {
	return &FrameWriter{w: w, control: http.NewResponseController(w)}
}

// Write sends the frame.
func (w *FrameWriter) Write(f bergamotdale.Frame) error {
	if !w.started {
		w.started = true
		w.w.Header().Set("Content-Type", "application/x-ndjson")
		w.w.WriteHeader(http.StatusOK)
	}
	line, err := json.Marshal(f)
	if err != nil {
		return errors.Annotate(err, "encoding a frame")
	}
	if _, err := w.w.Write(append(line, '\n')); err != nil {
		return errors.Annotate(err, "writing a frame")
	}
	return errors.Annotate(w.control.Flush(), "flushing a frame")
}

// Refuse ends the response with a refusal: as the response itself before the
// first frame, as a closing frame after it.
func (w *FrameWriter) Refuse(r *bergamotdale.Refusal, requestID string, offset int) error {
	if !w.started {
		w.started = true
		WriteRefusal(w.w, r, requestID)
		return nil
	}
	return w.Write(bergamotdale.Frame{
		RequestID: requestID,
		Kind:      bergamotdale.FrameRefusal,
		Offset:    offset,
		Refusal:   r.Wire(requestID),
	})
}
