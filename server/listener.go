package server

import (
	"context"
	"math"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// backlog is the number of accepted connections that may wait to be served.
	backlog = 1024
	// handshakeTime is how long a listener that drains still accepts connections whose
	// handshake has begun. A client may send its request before the last packet of the
	// handshake arrives. TCP retransmits a lost one after 0.2 to 0.4 s.
	handshakeTime = 500 * time.Millisecond
	// minAcceptPause and maxAcceptPause bound the pause after a transient error of
	// accept(2), which doubles each time.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 100 * time.Millisecond
	// noInterface is the index of a network interface that does not exist.
	noInterface = math.MaxInt32
)

// tcpListener is the part of *net.TCPListener that drainingListener needs.
type tcpListener interface {
	net.Listener
	SetDeadline(time.Time) error
	SyscallConn() (syscall.RawConn, error)
}

// drainingListener is a TCP listener that can hand out the connections of its
// backlog before it closes.
type drainingListener struct {
	tcpListener
	// admit is called with each accepted connection and returns the one to serve, or nil if
	// it has closed it.
	admit func(*net.TCPConn) net.Conn
	// onError is called when the system has no resources for a connection.
	onError  func(error)
	accepted chan net.Conn
	// done is closed when no further connection follows, with the reason in err.
	done chan struct{}
	err  error
}

// newDrainingListener starts to accept connections from the listener.
func newDrainingListener(l tcpListener, admit func(*net.TCPConn) net.Conn, onError func(error)) *drainingListener {
	d := &drainingListener{tcpListener: l, admit: admit, onError: onError, accepted: make(chan net.Conn, backlog), done: make(chan struct{})}
	go d.acceptAll()
	return d
}

// acceptAll accepts connections until the listener is closed, its deadline has passed
// or its socket is unusable.
func (d *drainingListener) acceptAll() {
	defer close(d.done)
	pause := time.Duration(0)
	for {
		conn, err := d.tcpListener.Accept()
		if isTransient(err) {
			d.onError(err)
			pause = min(max(minAcceptPause, 2*pause), maxAcceptPause)
			time.Sleep(pause)
			continue
		}
		if err != nil {
			d.err = errors.Trace(err)
			return
		}
		pause = 0
		if tcp, ok := conn.(*net.TCPConn); ok {
			if conn = d.admit(tcp); conn == nil {
				continue
			}
		}
		d.accepted <- conn
	}
}

// isTransient reports whether a later call of accept(2) can succeed. The system may be
// out of descriptors or memory, and Linux passes on the network errors of a connection
// that has ended before it was accepted.
func isTransient(err error) bool {
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR, syscall.ECONNABORTED, syscall.ECONNRESET,
		syscall.EPERM, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.ENETDOWN, syscall.ENETUNREACH, syscall.EHOSTDOWN, syscall.EHOSTUNREACH,
		syscall.ENONET, syscall.EOPNOTSUPP,
	} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// Accept implements net.Listener.
func (d *drainingListener) Accept() (net.Conn, error) {
	select {
	case conn := <-d.accepted:
		return conn, nil
	case <-d.done:
	}
	select {
	case conn := <-d.accepted:
		return conn, nil
	default:
		return nil, d.err
	}
}

// drain refuses new connections, accepts those whose handshake has begun and closes
// the listener, at the latest when the context is done. Accept returns them afterwards.
func (d *drainingListener) drain(ctx context.Context) error {
	refuseErr := d.refuse()
	deadline := time.Now().Add(handshakeTime)
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	if err := d.SetDeadline(deadline); err != nil {
		return errors.Trace(err)
	}
	<-d.done
	// Serve closes the listener as well.
	if err := d.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return errors.Trace(err)
	}
	return errors.Annotatef(refuseErr, "refusing connections at %s", d.Addr())
}

// refuse lets the kernel refuse new connections while the listener stays open. Closing
// it would reset the connections that are established and not accepted yet. A socket
// that is bound to an interface gets no new connections from others; the handshakes
// that have begun go on.
func (d *drainingListener) refuse() error {
	raw, err := d.SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	var bindErr error
	err = raw.Control(func(listener uintptr) {
		bindErr = unix.SetsockoptInt(int(listener), unix.SOL_SOCKET, unix.SO_BINDTOIFINDEX, noInterface)
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(bindErr)
}
