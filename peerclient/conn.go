package peerclient

import (
	"context"
	"net"
	"net/http/httptrace"
	"os"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// errWritesBlocked is returned by writes to a connection whose request was
// reported as not-run.
const errWritesBlocked = errors.ConstError("request was reported as not-run before its first byte was written")

// conn is a connection that counts its bytes and can block further writes.
type conn struct {
	net.Conn
	registry       *connRegistry
	address        string
	sent, received *atomic.Int64

	mu sync.Mutex
	// written is the number of bytes written since the connection was opened.
	written int64
	// writing is true during a Write, whose bytes are not in written yet.
	writing bool
	// writesBlocked makes every further Write fail.
	writesBlocked bool
	// idle is true while no request uses the connection.
	idle bool
	// closeWhenIdle makes release close the connection.
	closeWhenIdle bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing = false
	c.written += int64(n)
	c.mu.Unlock()
	c.sent.Add(int64(n))
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.registry.remove(c)
	return c.Conn.Close()
}

// acquire marks the connection as in use and returns the number of bytes written
// so far.
func (c *conn) acquire() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	return c.written
}

// blockIfUnwritten blocks further writes and returns true if no byte was written
// since the connection had written writtenBefore bytes. Closing the connection
// would not be enough: the transport could still write between the check and the
// close.
func (c *conn) blockIfUnwritten(writtenBefore int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing || c.written != writtenBefore {
		return false
	}
	c.writesBlocked = true
	return true
}

// release marks the connection as idle and closes it if closeWhenIdle is set.
func (c *conn) release() {
	c.mu.Lock()
	c.idle = true
	closeNow := c.closeWhenIdle
	c.mu.Unlock()
	if closeNow {
		c.Close()
	}
}

// connRegistry records the open connections to each address.
type connRegistry struct {
	mu    sync.Mutex
	conns map[string]map[*conn]struct{}
}

func newConnRegistry() *connRegistry {
	return &connRegistry{conns: map[string]map[*conn]struct{}{}}
}

func (r *connRegistry) add(raw net.Conn, address string, sent, received *atomic.Int64) *conn {
	c := &conn{Conn: raw, registry: r, address: address, sent: sent, received: received, idle: true}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns[address] == nil {
		r.conns[address] = map[*conn]struct{}{}
	}
	r.conns[address][c] = struct{}{}
	return c
}

func (r *connRegistry) remove(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns[c.address], c)
	if len(r.conns[c.address]) == 0 {
		delete(r.conns, c.address)
	}
}

// dropAfterTimeout closes the connections to the address if the error is a timeout.
// A device between the routers that lost the state of one connection, such as a
// firewall, has probably lost it for the others too. Connections in use are closed
// when they become idle.
func (r *connRegistry) dropAfterTimeout(address string, err error) {
	if !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errSilenceTimeout) {
		return
	}
	r.mu.Lock()
	all := make([]*conn, 0, len(r.conns[address]))
	for c := range r.conns[address] {
		all = append(all, c)
	}
	r.mu.Unlock()
	for _, c := range all {
		c.mu.Lock()
		c.closeWhenIdle = true
		idle := c.idle
		c.mu.Unlock()
		if idle {
			c.Close()
		}
	}
}

// requestConns records the connections that the transport used for one request.
// The transport retries on another connection if the peer has closed the idle one
// that it chose first.
type requestConns struct {
	registry *connRegistry

	mu   sync.Mutex
	used []connUse
}

// connUse is the use of a connection by one request.
type connUse struct {
	conn *conn
	// writtenBefore is the number of bytes written when the use began.
	writtenBefore int64
}

// withTrace returns a context that records the connections of the request made
// with it.
func (r *requestConns) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*conn)
			if !ok {
				return
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.used = append(r.used, connUse{c, c.acquire()})
		},
		PutIdleConn: func(err error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if err == nil && len(r.used) > 0 {
				r.used[len(r.used)-1].conn.release()
			}
		},
	})
}

// confirmUnsent reports whether the request has written no byte. If so, it blocks
// writes to the connections of the request, so that none is written later.
func (r *requestConns) confirmUnsent() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range r.used {
		if !u.conn.blockIfUnwritten(u.writtenBefore) {
			return false
		}
	}
	return true
}
