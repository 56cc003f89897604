package server

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// notRead is the response with which a server that drains ends a connection. It is
	// true also for a request that crosses it: the request is not read. A client may
	// send it again on another connection (RFC 9110, 15.5.9); a client without a
	// request in progress takes it for the end of the connection.
	notRead = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// lingerTime is how long an ended connection waits for its client to close it.
	// Closing it with bytes that are not read would reset it, and the client might
	// lose the response.
	lingerTime = 300 * time.Millisecond
)

// http2Preface begins each HTTP/2 connection.
var http2Preface = []byte("PRI")

// conn is a connection of a client that can be ended between two requests: either a
// request is read and answered, or no byte of it is read and the client learns that.
type conn struct {
	*net.TCPConn
	// excess is set if there were too many connections when this one was accepted.
	excess bool
	// idleTimeout returns how long the connection may be idle between two requests.
	idleTimeout func() time.Duration

	mu sync.Mutex
	// begun is set once a byte of a request was read, or its handler was called because
	// it had been read with the one before it, and reset after the response.
	begun bool
	// answering is set once the handler was called or a response was begun, and reset
	// after the response.
	answering bool
	// answered is set once a response is complete.
	answered bool
	// restSince is the time of the last response, or of the accept before it.
	restSince time.Time
	// ended is set by end, only while begun is false. Nothing is read afterwards.
	ended bool
	// closed is set by the first Close.
	closed bool
	// prefix holds the first bytes of the connection, at most as many as http2Preface.
	prefix []byte
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return 0, io.EOF
	}
	if n > 0 {
		c.begun = true
		c.prefix = append(c.prefix, p[:min(n, len(http2Preface)-len(c.prefix))]...)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.answer()
	return c.TCPConn.Write(p)
}

// SetReadDeadline implements net.Conn. The deadline of an ended connection stays. That of
// one that waits for its next request follows idleTimeout, which may change.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	if c.answered && !c.begun && !t.IsZero() && !c.isHTTP2() {
		t = c.restSince.Add(c.idleTimeout())
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn. If the connection was ended, it tells the client before.
func (c *conn) Close() error {
	c.mu.Lock()
	tell := c.ended && !c.answering && !c.closed
	c.closed = true
	c.mu.Unlock()
	if tell {
		c.tellNotRead()
	}
	return c.TCPConn.Close()
}

// tellNotRead sends notRead and waits until the client closes the connection, for
// lingerTime at most. The errors of a client that is gone do not matter.
func (c *conn) tellNotRead() {
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.TCPConn, notRead); err != nil {
		return
	}
	if err := c.CloseWrite(); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.TCPConn)
}

// answer records that a request is being answered.
func (c *conn) answer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun, c.answering = true, true
}

// rest records that the response is complete.
func (c *conn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun, c.answering, c.answered = false, false, true
	c.restSince = time.Now()
}

// atRestSince returns since when no request has been in progress on the connection. It
// returns false if one is or the first one may be on its way, and for connections that
// end does not end.
func (c *conn) atRestSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.restSince, !c.begun && !c.ended && !c.isHTTP2() && (c.answered || time.Since(c.restSince) > firstRequestTime)
}

// hasBegun reports whether a byte of a request was read that has no response yet.
func (c *conn) hasBegun() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun && !c.isHTTP2()
}

// speaksHTTP2 reports whether the client uses HTTP/2.
func (c *conn) speaksHTTP2() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isHTTP2()
}

func (c *conn) isHTTP2() bool { return bytes.Equal(c.prefix, http2Preface) }

func (c *conn) isEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// end ends the connection if no byte of a request was read since the last response, and
// reports whether it did. HTTP/2 connections stay.
func (c *conn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun || c.ended || c.isHTTP2() {
		return false
	}
	c.ended = true
	// A read that waits returns.
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
	return true
}
