// Package verifier tells the orderly end of a TCP stream from a reset that looks like one.
//
// The kernel reports the error of a socket once. If a connection is reset while data is
// being written to it, the write fails with that error, and the next read returns 0 as at
// the end of the stream. An HTTP response without a length ends with its connection, so a
// part of one would be taken for the whole.
//
// The state of the socket tells the two apart (tcp(7), TCP_INFO): after a FIN it waits to be
// closed, and after a reset it is closed.
package verifier

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// resetWait is how long a read waits at the end of the stream while the peer has not
	// confirmed all that was written. A socket that the peer has closed answers data with a
	// reset within a round trip; a peer that has only ended its own direction does not. It is
	// longer than the smallest retransmission timeout of TCP, 200 ms, and a round trip, and
	// shorter than the 500 ms after which a server of net/http closes a connection whose
	// request it has not read.
	resetWait = 400 * time.Millisecond
	// pollInterval is the time between two looks at the state of the socket.
	pollInterval = 2 * time.Millisecond
)

// Conn is a TCP connection whose Read returns io.EOF only if the peer has ended the stream
// with a FIN and the connection has not been reset since. Otherwise it returns the error of a
// reset, ECONNRESET.
type Conn struct {
	net.Conn
	raw syscall.RawConn
	// writing is the number of calls of Write in progress.
	writing atomic.Int32
}

// New returns a Conn over a TCP connection.
func New(conn net.Conn) (*Conn, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil, errors.NotSupportedf("connection of type %T", conn)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Conn{Conn: conn, raw: raw}, nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	return c.Conn.Write(p)
}

// Read implements net.Conn. At the end of the stream it waits for up to resetWait while
// written data has not been confirmed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	for end := time.Now().Add(resetWait); ; time.Sleep(pollInterval) {
		s, err := c.state()
		switch {
		case err != nil:
			return 0, err
		case !s.isOrderly:
			return 0, c.resetError()
		case s.isConfirmed || time.Now().After(end):
			return 0, io.EOF
		}
		// A deadline that has passed, or Close, ends the wait.
		if _, err := c.Conn.Read(p); !errors.Is(err, io.EOF) {
			return 0, err
		}
	}
}

// state is that of a connection at the end of its stream.
type state struct {
	// isOrderly is true if the peer has sent a FIN and no reset.
	isOrderly bool
	// isConfirmed is true if the peer has confirmed all that was written.
	isConfirmed bool
}

// state returns the state of the connection at this moment.
func (c *Conn) state() (state, error) {
	var info *unix.TCPInfo
	var sockoptErr error
	// A write that is in progress may have nothing in the buffers of the socket yet.
	writing := c.writing.Load() > 0
	err := c.raw.Control(func(fd uintptr) {
		info, sockoptErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err == nil {
		err = sockoptErr
	}
	if err != nil {
		return state{}, errors.Annotate(err, "reading the state of the connection")
	}
	return state{
		isOrderly:   info.State == unix.BPF_TCP_CLOSE_WAIT,
		isConfirmed: !writing && info.Unacked == 0 && info.Notsent_bytes == 0,
	}, nil
}

// resetError returns the error that a read returns after a reset.
func (c *Conn) resetError() error {
	return &net.OpError{
		Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET),
	}
}
