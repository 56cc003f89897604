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

// errSealed is returned by writes to a connection whose request has been
// reported as not-run.
const errSealed = errors.ConstError("connection was given up before the first byte")

// conn counts the bytes of one connection.
type conn struct {
	net.Conn
	pool           *pool
	address        string
	sent, received *atomic.Int64

	mu      sync.Mutex
	written int64
	writing bool
	// sealed connections accept no more bytes.
	sealed bool
	// idle is true while no request uses the connection.
	idle bool
	// stale connections are closed as soon as they are idle.
	stale bool
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
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
	c.pool.remove(c)
	return c.Conn.Close()
}

// acquire marks the connection as used and returns its bytes written so far.
func (c *conn) acquire() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	return c.written
}

// seal reports whether nothing was written since the count, and if so lets
// nothing be written later. Closing alone would leave a moment in which the
// transport's writer can still send.
func (c *conn) seal(since int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing || c.written != since {
		return false
	}
	c.sealed = true
	return true
}

// release marks the connection as idle and closes it if it is stale.
func (c *conn) release() {
	c.mu.Lock()
	c.idle = true
	stale := c.stale
	c.mu.Unlock()
	if stale {
		c.Close()
	}
}

// pool knows the open connections of each address.
type pool struct {
	mu    sync.Mutex
	conns map[string]map[*conn]struct{}
}

func newPool() *pool {
	return &pool{conns: map[string]map[*conn]struct{}{}}
}

func (p *pool) add(raw net.Conn, address string, sent, received *atomic.Int64) *conn {
	c := &conn{Conn: raw, pool: p, address: address, sent: sent, received: received, idle: true}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == nil {
		p.conns[address] = map[*conn]struct{}{}
	}
	p.conns[address][c] = struct{}{}
	return c
}

func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns[c.address], c)
	if len(p.conns[c.address]) == 0 {
		delete(p.conns, c.address)
	}
}

// silent drops the connections to the address after a response failed to
// arrive in time: whatever lost the state of one connection lost it for the
// others too. Connections in use are closed once they are idle.
func (p *pool) silent(address string, err error) {
	if !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errSilent) {
		return
	}
	p.mu.Lock()
	all := make([]*conn, 0, len(p.conns[address]))
	for c := range p.conns[address] {
		all = append(all, c)
	}
	p.mu.Unlock()
	for _, c := range all {
		c.mu.Lock()
		c.stale = true
		idle := c.idle
		c.mu.Unlock()
		if idle {
			c.Close()
		}
	}
}

// track knows the connections that one request was given. The transport tries
// a second connection when a kept one turns out to be closed.
type track struct {
	pool *pool

	mu   sync.Mutex
	used []use
}

type use struct {
	conn  *conn
	since int64
}

func (t *track) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*conn)
			if !ok {
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.used = append(t.used, use{c, c.acquire()})
		},
		PutIdleConn: func(err error) {
			t.mu.Lock()
			defer t.mu.Unlock()
			if err == nil && len(t.used) > 0 {
				t.used[len(t.used)-1].conn.release()
			}
		},
	})
}

// unwritten reports whether the request wrote no byte and never will.
func (t *track) unwritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range t.used {
		if !u.conn.seal(u.since) {
			return false
		}
	}
	return true
}
