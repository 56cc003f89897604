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
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// maxSyncWrite is the size of a request, in bytes, up to which it is written
	// before the response is read. A request of this size fits into the smallest
	// TCP window, so the write does not block. A larger one is written while the
	// response is read.
	maxSyncWrite = 8 << 10
	// maxStrayResponses is how many responses to earlier requests are skipped
	// before the exchange fails.
	maxStrayResponses = 2
	// maxStrayBytes bounds the body of a skipped response, in bytes.
	maxStrayBytes = 1 << 20

	// ErrHeadTooLarge is the error of an exchange whose response has more header
	// bytes than Dialer.MaxHead.
	ErrHeadTooLarge = errors.ConstError("the headers of the response exceed the limit")
	// ErrInvalidStatus is the error of an exchange whose response has a status that no
	// response to it can have.
	ErrInvalidStatus = errors.ConstError("the status of the response is invalid")
	// maxStatus is the largest valid status (RFC 9110, section 15).
	maxStatus = 599
)

// Request is an HTTP request to an endpoint.
type Request struct {
	Method string
	// URI is the request target, sent byte for byte as the client wrote it.
	URI    string
	Host   string
	Header http.Header
	// Body is sent as it is, part after part. It is not changed.
	Body [][]byte
	// MatchesResponse reports whether a response with these headers belongs to
	// this request. Responses that do not match are skipped.
	MatchesResponse func(http.Header) bool
	// OnWritten is called once: when the beginning of the request has been written,
	// or when it is clear that it will not be. Nil for none.
	OnWritten func()
}

// ExchangeError is the error of an exchange that failed before the headers of the
// response had arrived.
type ExchangeError struct {
	// Sent is false only if no byte of the request was written.
	Sent bool
	// TimedOut is set if the endpoint stopped responding: the connection timed
	// out and was neither closed nor reset by the endpoint.
	TimedOut bool
	Err      error
}

// Error implements error.
func (e *ExchangeError) Error() string {
	return fmt.Sprintf("HTTP exchange with the endpoint failed (request sent: %t): %v", e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Err }

// Exchange is one request and its response on a connection. It is a reader
// of the response body and must be closed.
type Exchange struct {
	Response *http.Response

	dialer *Dialer
	conn   *Conn
	// stopAutoClose keeps the end of the context from closing the connection. It
	// returns false if the context has ended already.
	stopAutoClose func() bool
	// writeResult receives the outcome of writing the request.
	writeResult chan error
	// bodyComplete is set once the body has been read to its end.
	bodyComplete bool
	// discarded is set if the connection must not be reused.
	discarded bool
}

// Reused reports whether the connection had carried another exchange before.
func (x *Exchange) Reused() bool { return x.conn.reused }

// Conn returns the connection of the exchange.
func (x *Exchange) Conn() *Conn { return x.conn }

// Send writes the request to the connection and reads the headers of the
// response. The exchange owns the connection from then on, and closes it when the
// context ends. Every error is an *ExchangeError.
func (d *Dialer) Send(ctx context.Context, c *Conn, r Request) (*Exchange, error) {
	c.limiter = &readLimiter{Reader: c.Conn}
	c.reader = readerPool.Get().(*bufio.Reader)
	c.reader.Reset(c.limiter)
	x := &Exchange{dialer: d, conn: c, writeResult: make(chan error, 1)}
	x.stopAutoClose = context.AfterFunc(ctx, func() { _ = c.Close() })
	message, err := r.encodeHead()
	if err != nil {
		r.reportWritten()
		x.Close()
		return nil, &ExchangeError{Err: err}
	}
	if len(message)+r.bodySize() <= maxSyncWrite {
		x.writeRequest(message, r)
	} else {
		// The endpoint may respond before it has read the whole request.
		go x.writeRequest(message, r)
	}
	//nolint:bodyclose // Exchange.Close releases the body along with the connection.
	response, err := x.readResponse(r)
	if err != nil {
		x.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &ExchangeError{Sent: true, TimedOut: isTimeout(err), Err: err}
	}
	x.Response = response
	return x, nil
}

// reportWritten calls OnWritten.
func (r Request) reportWritten() {
	if r.OnWritten != nil {
		r.OnWritten()
	}
}

// writeRequest writes the encoded head and the body, and passes the outcome to
// writeResult. It calls OnWritten after the first part, which does not block. Only as much
// of the body is copied as fits into one packet with the head.
func (x *Exchange) writeRequest(head []byte, r Request) {
	first, rest := head, r.Body
	for len(rest) > 0 && len(first)+len(rest[0]) <= maxSyncWrite {
		first, rest = append(first, rest[0]...), rest[1:]
	}
	n := min(len(first), maxSyncWrite)
	_, err := x.conn.Write(first[:n])
	r.reportWritten()
	if err == nil && n < len(first) {
		_, err = x.conn.Write(first[n:])
	}
	for _, part := range rest {
		if err != nil {
			break
		}
		_, err = x.conn.Write(part)
	}
	x.writeResult <- err
}

// bodySize returns the size of the body in bytes.
func (r Request) bodySize() int {
	size := 0
	for _, part := range r.Body {
		size += len(part)
	}
	return size
}

// headEnd is the body of a request that is encoded only up to the end of its headers: it
// fails when it is read.
type headEnd struct{ reached bool }

// errHeadEnd is the error of a read of headEnd.
const errHeadEnd = errors.ConstError("the body is written separately")

// Read implements io.Reader.
func (e *headEnd) Read([]byte) (int, error) {
	e.reached = true
	return 0, errHeadEnd
}

// encodeHead returns the request in the HTTP/1.1 wire format, without its body.
func (r Request) encodeHead() ([]byte, error) {
	if strings.HasPrefix(r.URI, "//") {
		return nil, errors.Errorf("request target %q would be read as a host", r.URI)
	}
	header := r.Header
	if header.Get("User-Agent") == "" {
		// An empty value keeps net/http from sending its default User-Agent.
		header["User-Agent"] = []string{""}
	}
	req := &http.Request{
		Method: r.Method,
		URL:    &url.URL{Opaque: r.URI},
		Host:   r.Host,
		Header: header,
	}
	end := &headEnd{}
	if size := r.bodySize(); size > 0 {
		req.Body = io.NopCloser(end)
		req.ContentLength = int64(size)
	}
	var buffer bytes.Buffer
	buffer.Grow(1 << 10)
	// net/http writes the whole head before it reads the body.
	if err := req.Write(&buffer); err != nil && !end.reached {
		return nil, errors.Annotate(err, "encoding the HTTP request")
	}
	return buffer.Bytes(), nil
}

// readLimiter is a reader that fails with ErrHeadTooLarge after a number of bytes.
// http.ReadResponse has no limit of its own.
type readLimiter struct {
	io.Reader
	// limited is true while remaining applies.
	limited   bool
	remaining int
}

// Read implements io.Reader.
func (l *readLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.Reader.Read(p)
	}
	if l.remaining <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.Reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// readResponse returns the response to the request. It skips up to
// maxStrayResponses responses to earlier requests.
func (x *Exchange) readResponse(r Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	limiter := x.conn.limiter
	for range maxStrayResponses + 1 {
		limiter.limited, limiter.remaining = true, x.dialer.maxHead()
		response, err := x.readFinal(req)
		limiter.limited = false
		if err != nil {
			return nil, err
		}
		if r.MatchesResponse(response.Header) {
			return response, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes))
		if err != nil {
			return nil, errors.Annotate(err, "skipping a response to an earlier request")
		}
		if n == maxStrayBytes || response.Close {
			break
		}
	}
	return nil, errors.New("the connection carries only responses to other requests")
}

// readFinal returns the next response that is final: it skips informational (1xx)
// ones. The limit of the headers applies to all of them together. An invalid status is an
// error, and so is 101 Switching Protocols, because no request asks for another protocol:
// where such a response ends is not known.
func (x *Exchange) readFinal(req *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(x.conn.reader, req)
		if err != nil {
			return nil, errors.Annotate(err, "reading the HTTP response headers")
		}
		switch status := response.StatusCode; {
		case status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols:
			x.dialer.invalidResponses.Add(1)
			return nil, errors.Annotatef(ErrInvalidStatus, "status %q", response.Status)
		case status >= http.StatusOK:
			return response, nil
		}
	}
}

// Read reads the body of the response. It returns io.EOF only at the end of the
// body: where Content-Length or chunked encoding says that it ends, or where the
// endpoint ends the connection without a reset if the response has neither.
func (x *Exchange) Read(p []byte) (int, error) {
	n, err := x.Response.Body.Read(p)
	switch {
	case err == io.EOF:
		x.bodyComplete = true
	case !x.HasBodyLength() && errors.Is(err, syscall.ECONNRESET):
		x.dialer.invalidResponses.Add(1)
	}
	return n, err
}

// HasBodyLength reports whether the response says where its body ends, by a
// Content-Length or a transfer encoding.
func (x *Exchange) HasBodyLength() bool {
	return x.Response.ContentLength >= 0 || len(x.Response.TransferEncoding) > 0
}

// SetReadDeadline sets the time after which reads of the body fail.
func (x *Exchange) SetReadDeadline(t time.Time) error {
	return errors.Trace(x.conn.SetReadDeadline(t))
}

// Discard makes Close close the connection instead of keeping it for reuse.
func (x *Exchange) Discard() { x.discarded = true }

// Close ends the exchange. The connection is kept for reuse if the request was
// written and the response read completely; otherwise it is closed, on which the
// endpoint abandons the request.
func (x *Exchange) Close() {
	if x.finish() {
		x.dialer.putIdle(x.conn, keepAliveTimeout(x.Response.Header))
	} else {
		x.conn.Close()
	}
}

// finish ends the exchange and reports whether the connection can be reused.
func (x *Exchange) finish() bool {
	stopped := x.stopAutoClose()
	reusable := !x.discarded && x.bodyComplete && stopped && x.Response != nil && !x.Response.Close && x.HasBodyLength() && x.isRequestWritten() &&
		x.conn.reader.Buffered() == 0
	reader := x.conn.reader
	x.conn.reader, x.conn.limiter = nil, nil
	if reader != nil {
		reader.Reset(nil)
		readerPool.Put(reader)
	}
	return reusable
}

// Fetch gets a document of at most limit bytes over the connection. The caller keeps the
// connection, which is closed if Fetch returns an error.
func (d *Dialer) Fetch(ctx context.Context, c *Conn, r Request, limit int64) ([]byte, error) {
	x, err := d.Send(ctx, c, r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	document, err := io.ReadAll(io.LimitReader(x, limit))
	status := x.Response.StatusCode
	switch reusable := x.finish(); {
	case err != nil:
	case status != http.StatusOK:
		err = errors.Errorf("%s %s: status %d", r.Method, r.URI, status)
	case !reusable:
		err = errors.Errorf("%s %s: the connection cannot be used again", r.Method, r.URI)
	}
	if err != nil {
		c.Close()
		return nil, errors.Trace(err)
	}
	c.reused, c.expires = true, d.elapsed()+idleTimeout-idleMargin
	return document, errors.Trace(c.SetDeadline(time.Time{}))
}

// isRequestWritten reports whether the whole request has been written. It consumes
// the write result, so it is called once.
func (x *Exchange) isRequestWritten() bool {
	select {
	case err := <-x.writeResult:
		return err == nil
	default:
		return false
	}
}

// keepAliveTimeout returns the timeout of a Keep-Alive header: how long the
// endpoint keeps an idle connection open. It is zero if the header is missing.
func keepAliveTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout="); ok {
			if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}

// isTimeout reports whether the error is a timeout: the endpoint stopped
// responding without closing the connection.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
