// Package dialer opens and keeps connections to endpoints and exchanges one
// HTTP/1.1 request on each at a time.
//
// net/http reads and writes the messages, but its Transport is not used: it
// sends some requests again by itself, and it hands the next bytes of a
// connection to whoever asks next. Endpoints sometimes send a second response,
// or one that belongs to an earlier request, so a connection is reused only
// after a complete exchange, if nothing has arrived on it since.
package dialer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/singleflight"
	"golang.org/x/sys/unix"
)

const (
	// DialTimeout bounds the time to open a connection. Endpoints are
	// milliseconds away; a lost opening packet is sent again after a second,
	// and another endpoint answers sooner.
	DialTimeout = 400 * time.Millisecond
	// silenceTimeout closes a connection whose peer no longer acknowledges. It
	// is below the time after which clients give up a stream.
	silenceTimeout = 1500 * time.Millisecond
	// idleTimeout applies where the endpoint does not state one.
	idleTimeout = 4 * time.Second
	// idleMargin is how long before the endpoint's own timeout a connection is
	// no longer used.
	idleMargin = 500 * time.Millisecond
	// maxIdle bounds the idle connections to one endpoint.
	maxIdle = 16
	// bufferSize covers the headers and events of a response, in bytes.
	bufferSize = 2 << 10
)

// keepAlive finds peers that are gone while a response is awaited.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// Conn is a connection to an endpoint. It is used by one request at a time.
type Conn struct {
	net.Conn
	// reader is taken from a pool while an exchange is in progress.
	reader *bufio.Reader
	// address is the key of the connection in the pool.
	address string
	// reused is true after the first exchange.
	reused bool
	// expires is when the endpoint may close the idle connection.
	expires time.Time
}

// Dialer holds the idle connections of a router. The zero value is ready.
type Dialer struct {
	mu   sync.Mutex
	idle map[string][]*Conn

	probes singleflight.Group
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, bufferSize) }}

// Get returns a connection to the address, an idle one if possible. A
// connection that could not be opened carried no byte.
func (d *Dialer) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := d.take(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.quiet() {
			return c, nil
		}
		c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn, address: address}, nil
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	return conn, errors.Annotatef(err, "connecting to %s", address)
}

// Probe returns an error if the address accepts no connection. Probes of the
// same address at the same time are one.
func (d *Dialer) Probe(address string) error {
	_, err, _ := d.probes.Do(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), DialTimeout)
		defer cancel()
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return nil, errors.Trace(conn.Close())
	})
	return err
}

// setUserTimeout makes writes to a peer that is gone fail.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(failed)
}

func (d *Dialer) take(address string) *Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	conns := d.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	d.idle[address] = conns[:len(conns)-1]
	return c
}

// quiet reports whether nothing has arrived on the idle connection, neither its
// end nor bytes that nobody asked for.
func (c *Conn) quiet() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}

// put returns a connection after a complete exchange. The endpoint keeps it
// open for the time, if that is known.
func (d *Dialer) put(c *Conn, keep time.Duration) {
	if keep == 0 {
		keep = idleTimeout
	}
	keep -= idleMargin
	if keep <= 0 {
		c.Close()
		return
	}
	c.reused = true
	c.expires = time.Now().Add(keep)
	if c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idle == nil {
		d.idle = map[string][]*Conn{}
	}
	if len(d.idle[c.address]) >= maxIdle {
		c.Close()
		return
	}
	d.idle[c.address] = append(d.idle[c.address], c)
}

// Forget closes the idle connections to the address, after one of them went
// silent or the endpoint is gone.
func (d *Dialer) Forget(address string) {
	d.mu.Lock()
	conns := d.idle[address]
	delete(d.idle, address)
	d.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// Sweep closes the idle connections that have expired.
func (d *Dialer) Sweep() {
	now := time.Now()
	var expired []*Conn
	d.mu.Lock()
	for address, conns := range d.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.expires) {
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
	d.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}
