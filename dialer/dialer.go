// Package dialer is an HTTP/1.1 client with a pool of keep-alive connections to
// endpoints. A connection carries one request and its response at a time.
//
// net/http encodes the requests and parses the responses, but its Transport is
// not used: it resends some requests on its own, which may execute them twice,
// and it takes the next bytes on a connection as the response to the next
// request. Endpoints sometimes send a second response, or one that belongs to an
// earlier request, so a connection is reused only after a complete exchange, and
// only if nothing has arrived on it since.
package dialer

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/singleflight"
	"golang.org/x/sys/unix"

	"github.com/bergamotdale/bergamotdale/verifier"
)

const (
	// DialTimeout bounds the time to open a connection. Endpoints are
	// milliseconds away. TCP retransmits a lost SYN only after a second, and
	// another endpoint responds sooner than that.
	DialTimeout = 400 * time.Millisecond
	// userTimeout is the TCP_USER_TIMEOUT of connections: how long sent data may
	// stay unacknowledged before the kernel closes the connection. It is above the
	// time for which a sound endpoint may be silent, and low enough that a stream can
	// be resumed before its client gives up.
	userTimeout = 2500 * time.Millisecond
	// idleTimeout is how long an endpoint is assumed to keep an idle connection
	// open if it does not say so in a Keep-Alive header.
	idleTimeout = 4 * time.Second
	// idleMargin is how long before the endpoint's idle timeout a connection is
	// no longer reused, because the endpoint may close it at any moment then.
	idleMargin = 500 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to one endpoint.
	maxIdlePerEndpoint = 16
	// DefaultMaxHead is the default of Dialer.MaxHead in bytes.
	DefaultMaxHead = 16 << 10
	// maxUnsent bounds how much of a request the kernel copies, in bytes, beyond what it
	// has sent already.
	maxUnsent = 64 << 10
	// bufferSize is the size of a read buffer in bytes. It is large enough for
	// the headers of a response and for its events.
	bufferSize = 2 << 10
)

// keepAlive configures the TCP keep-alive probes, which detect within userTimeout
// that the endpoint is gone while the router waits for a response.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// Conn is a TCP connection to an endpoint. It carries one request at a time.
type Conn struct {
	net.Conn
	// reader buffers the response. It comes from readerPool and is nil while no
	// exchange is in progress.
	reader *bufio.Reader
	// limiter bounds what reader reads while the headers of a response arrive. It
	// is nil while no exchange is in progress.
	limiter *readLimiter
	// address is the address of the endpoint, the key in Dialer.idle.
	address string
	// reused is set once the connection has carried a complete exchange.
	reused bool
	// openedAt is the time on Dialer.Elapsed at which the connection was opened.
	openedAt time.Duration
	// incarnation is that of the endpoint, as far as it has been asked on this connection;
	// zero if not.
	incarnation int64
	// replaces is set if it was opened because the endpoint had closed an idle one early.
	replaces bool
	// expires is the time on Dialer.Elapsed from which the idle connection is not
	// reused, because the endpoint may close it.
	expires time.Duration
}

// Reused reports whether the connection has carried a complete exchange.
func (c *Conn) Reused() bool { return c.reused }

// Incarnation returns the value of the last SetIncarnation, or zero.
func (c *Conn) Incarnation() int64 { return c.incarnation }

// SetIncarnation records the incarnation of the endpoint process at the other end, which
// is the same for as long as the connection is open.
func (c *Conn) SetIncarnation(incarnation int64) { c.incarnation = incarnation }

// Dialer opens connections to endpoints and keeps idle ones for reuse. The zero
// value is ready. Its methods may be called concurrently. Exported fields are set
// before the first call.
type Dialer struct {
	// MaxHead is the largest size in bytes of the headers of a response, with the
	// informational responses before it. Zero selects DefaultMaxHead.
	MaxHead int
	// MaxIdle bounds the idle connections to all endpoints. Zero means no bound.
	MaxIdle int
	// ReceiveBuffer is the size of the receive buffer of new connections, in bytes. It
	// bounds what endpoints have sent while clients do not read. Zero leaves it to the
	// system, which lets it grow to several MiB.
	ReceiveBuffer int
	// Elapsed returns a monotonic time. It should advance while the VM is suspended:
	// an endpoint that closed an idle connection meanwhile would lose the next
	// request on it. Nil selects the monotonic clock of package time.
	Elapsed func() time.Duration

	mu sync.Mutex
	// idle holds the idle connections by address, the last used one at the end.
	idle map[string][]*Conn
	// idleCount is the number of connections in idle.
	idleCount int

	// probes merges concurrent probes of the same address.
	probes singleflight.Group

	// invalidResponses counts the responses with an invalid status and those without a
	// length whose connection was reset.
	invalidResponses atomic.Int64
}

// InvalidResponses returns the number of responses with an invalid status, and of those
// without a length whose connection was reset before their end.
func (d *Dialer) InvalidResponses() int64 { return d.invalidResponses.Load() }

// processStart is the origin of the default of Dialer.Elapsed.
var processStart = time.Now()

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}

// elapsed returns the current time on Elapsed.
func (d *Dialer) elapsed() time.Duration {
	if d.Elapsed != nil {
		return d.Elapsed()
	}
	return time.Since(processStart)
}

// maxHead returns the limit of the headers of a response.
func (d *Dialer) maxHead() int {
	if d.MaxHead > 0 {
		return d.MaxHead
	}
	return DefaultMaxHead
}

// Get returns a connection to the address: an idle one if there is one, else a
// new one. If it returns an error, nothing was sent to the endpoint.
func (d *Dialer) Get(ctx context.Context, address string) (*Conn, error) {
	replaces := false
	for {
		c := d.popIdle(address)
		if c == nil {
			break
		}
		if d.elapsed() < c.expires {
			if c.quiet() {
				return c, nil
			}
			replaces = true
		}
		c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	openedAt := d.elapsed()
	conn, err := d.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, address: address, openedAt: openedAt, replaces: replaces}, nil
}

// Age returns the time since the connection was opened, or a little more.
func (d *Dialer) Age(c *Conn) time.Duration { return d.elapsed() - c.openedAt }

// dial opens a TCP connection that detects a dead peer, and whose end is not mistaken for
// that of a response.
func (d *Dialer) dial(ctx context.Context, address string) (*verifier.Conn, error) {
	netDialer := net.Dialer{KeepAliveConfig: keepAlive, Control: d.setOptions}
	conn, err := netDialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "connecting to %s", address)
	}
	verified, err := verifier.New(conn)
	if err != nil {
		conn.Close()
		return nil, errors.Trace(err)
	}
	return verified, nil
}

// Probe opens and closes a connection to the address, and returns an error if
// the address accepts none. Concurrent probes of an address share one attempt.
func (d *Dialer) Probe(address string) error {
	_, err, _ := d.probes.Do(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
		defer cancel()
		conn, err := d.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return nil, errors.Trace(conn.Close())
	})
	return err
}

// setOptions sets TCP_USER_TIMEOUT on a socket, so that writes to a peer that is gone
// fail, and bounds its buffers.
func (d *Dialer) setOptions(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		if sockoptErr == nil && d.ReceiveBuffer > 0 {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, d.ReceiveBuffer)
		}
		if sockoptErr == nil {
			sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsent)
		}
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(sockoptErr)
}

// popIdle removes the idle connection to the address that was used last and
// returns it, or nil if there is none.
func (d *Dialer) popIdle(address string) *Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	conns := d.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	d.idle[address] = conns[:len(conns)-1]
	d.idleCount--
	return c
}

// quiet reports whether nothing has arrived on the idle connection: neither the
// end of the stream nor bytes that belong to no request. It peeks at the socket
// without blocking; EAGAIN means that there is nothing to read.
func (c *Conn) quiet() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}

// putIdle keeps a connection for reuse after a complete exchange, or closes it if
// there are maxIdlePerEndpoint to its endpoint already. At MaxIdle it closes another one,
// which would expire first. timeout is how long the endpoint keeps
// an idle connection open, or zero if it does not say.
func (d *Dialer) putIdle(c *Conn, timeout time.Duration) {
	if timeout == 0 {
		timeout = idleTimeout
	}
	timeout -= idleMargin
	if timeout <= 0 {
		c.Close()
		return
	}
	c.reused = true
	c.expires = d.elapsed() + timeout
	if c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idle == nil {
		d.idle = map[string][]*Conn{}
	}
	if len(d.idle[c.address]) >= maxIdlePerEndpoint {
		c.Close()
		return
	}
	d.idle[c.address] = append(d.idle[c.address], c)
	if d.idleCount++; d.MaxIdle > 0 && d.idleCount > d.MaxIdle {
		d.closeFirstToExpire()
	}
}

// closeFirstToExpire closes the idle connection that expires first. The lock is held.
func (d *Dialer) closeFirstToExpire() {
	var first *Conn
	for _, conns := range d.idle {
		for _, c := range conns {
			if first == nil || c.expires < first.expires {
				first = c
			}
		}
	}
	d.idle[first.address] = slices.DeleteFunc(d.idle[first.address], func(c *Conn) bool { return c == first })
	d.idleCount--
	first.Close()
}

// Release keeps a connection for reuse that was used only by Fetch.
func (d *Dialer) Release(c *Conn) { d.putIdle(c, 0) }

// CloseIdle closes the idle connections to the address. It is called when the
// endpoint stopped responding or is gone.
func (d *Dialer) CloseIdle(address string) {
	d.mu.Lock()
	conns := d.idle[address]
	delete(d.idle, address)
	d.idleCount -= len(conns)
	d.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// CloseExpired closes the idle connections that are too old to be reused. Callers
// call it periodically.
func (d *Dialer) CloseExpired() {
	now := d.elapsed()
	var expired []*Conn
	d.mu.Lock()
	for address, conns := range d.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now < c.expires {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(d.idle, address)
		} else {
			d.idle[address] = kept
		}
	}
	d.idleCount -= len(expired)
	d.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}
