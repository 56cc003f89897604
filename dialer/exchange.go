package dialer

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// smallRequest is the size up to which a request is written before the
	// response is awaited, in bytes. It fits into the smallest window.
	smallRequest = 8 << 10
	// maxStrayResponses bounds the responses to earlier requests that are
	// skipped on one connection.
	maxStrayResponses = 2
	// maxStrayBytes bounds the body of a skipped response.
	maxStrayBytes = 1 << 20
)

// Request is a request as it is sent to an endpoint.
type Request struct {
	Method string
	// URI is the request target as the client sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Owns reports whether the headers of a response belong to this request.
	Owns func(http.Header) bool
}

// ExchangeError is a failure before the headers of a response have arrived.
type ExchangeError struct {
	// Sent is false only if no byte of the request was written.
	Sent bool
	// Silent states that the peer did not respond, not even with a reset.
	Silent bool
	Err    error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("exchange failed (sent: %t): %v", e.Sent, e.Err)
}

// Unwrap returns the underlying error.
func (e *ExchangeError) Unwrap() error { return e.Err }

// Exchange is a response whose body is being read.
type Exchange struct {
	Response *http.Response

	dialer *Dialer
	conn   *Conn
	stop   func() bool
	// written receives the outcome of writing the request.
	written chan error
	// ended is set once the body was read to its end.
	ended bool
}

// Reused reports whether the connection had carried a request before.
func (x *Exchange) Reused() bool { return x.conn.reused }

// Send writes the request on the connection and reads the headers of the
// response. The connection belongs to the exchange from here on, and closes
// when the context ends. Every error is an *ExchangeError.
func (d *Dialer) Send(ctx context.Context, c *Conn, r Request) (*Exchange, error) {
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(c.Conn)
	x := &Exchange{dialer: d, conn: c, written: make(chan error, 1)}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	message, err := r.encode()
	if err != nil {
		x.Close()
		return nil, &ExchangeError{Err: err}
	}
	if len(message) <= smallRequest {
		x.write(message)
	} else {
		// The endpoint may respond before it has read the whole request.
		go x.write(message)
	}
	//nolint:bodyclose // Closing the exchange ends the body with its connection.
	response, err := x.read(r)
	if err != nil {
		x.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &ExchangeError{Sent: true, Silent: isTimeout(err), Err: err}
	}
	x.Response = response
	return x, nil
}

func (x *Exchange) write(message []byte) {
	_, err := x.conn.Write(message)
	x.written <- err
}

// encode returns the bytes of the request.
func (r Request) encode() ([]byte, error) {
	if strings.HasPrefix(r.URI, "//") {
		return nil, errors.Errorf("request target %q has no path", r.URI)
	}
	header := r.Header
	if header.Get("User-Agent") == "" {
		// An empty value keeps net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	req := &http.Request{
		Method: r.Method,
		URL:    &url.URL{Opaque: r.URI},
		Host:   r.Host,
		Header: header,
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
		req.ContentLength = int64(len(r.Body))
	}
	var buffer bytes.Buffer
	buffer.Grow(len(r.Body) + 1<<10)
	if err := req.Write(&buffer); err != nil {
		return nil, errors.Annotate(err, "encoding the request")
	}
	return buffer.Bytes(), nil
}

// read returns the response to the request. Responses to earlier requests are
// skipped.
func (x *Exchange) read(r Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	for range maxStrayResponses + 1 {
		response, err := x.readFinal(req)
		if err != nil {
			return nil, err
		}
		if r.Owns(response.Header) {
			return response, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes))
		if err != nil {
			return nil, errors.Annotate(err, "skipping the response to another request")
		}
		if n == maxStrayBytes || response.Close {
			break
		}
	}
	return nil, errors.New("the connection carries responses to other requests")
}

// readFinal skips informational responses.
func (x *Exchange) readFinal(req *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(x.conn.reader, req)
		if err != nil {
			return nil, errors.Annotate(err, "reading the response")
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// Read reads the body of the response. It returns io.EOF only at the stated
// end of the body, or at the orderly end of the connection where none is
// stated.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.Response.Body.Read(p)
	if err == io.EOF {
		x.ended = true
	}
	return n, err
}

// Framed reports whether the response states where its body ends.
func (x *Exchange) Framed() bool {
	return x.Response.ContentLength >= 0 || len(x.Response.TransferEncoding) > 0
}

// SetReadDeadline bounds the next reads.
func (x *Exchange) SetReadDeadline(t time.Time) error {
	return errors.Trace(x.conn.SetReadDeadline(t))
}

// Close ends the exchange. The connection is kept for another one if both
// messages are complete; otherwise it closes, and the endpoint drops the
// request.
func (x *Exchange) Close() {
	stopped := x.stop()
	reusable := x.ended && stopped && x.Response != nil && !x.Response.Close && x.Framed() && x.isWritten() &&
		x.conn.reader.Buffered() == 0
	reader := x.conn.reader
	x.conn.reader = nil
	if reusable {
		x.dialer.put(x.conn, keepTime(x.Response.Header))
	} else {
		x.conn.Close()
	}
	if reader != nil {
		reader.Reset(nil)
		readers.Put(reader)
	}
}

// isWritten reports whether the whole request has been written.
func (x *Exchange) isWritten() bool {
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// keepTime returns how long the endpoint keeps an idle connection, or zero if
// it does not say.
func keepTime(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}

// isTimeout reports whether the peer stopped to respond.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
