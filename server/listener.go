package server

import (
	"net"
	"time"

	"github.com/juju/errors"
)

const (
	// backlog is the number of accepted connections that may wait to be served.
	backlog = 1024
	// drainTime is how long a listener that drains still accepts connections that
	// are already established. Closing it at once would reset them, although their
	// requests may have arrived.
	drainTime = 20 * time.Millisecond
)

// drainingListener is a TCP listener that can hand out the connections of its
// backlog before it closes.
type drainingListener struct {
	*net.TCPListener
	accepted chan net.Conn
	// done is closed when no further connection follows, with the reason in err.
	done chan struct{}
	err  error
}

// newDrainingListener starts to accept connections from the listener.
func newDrainingListener(l *net.TCPListener) *drainingListener {
	d := &drainingListener{TCPListener: l, accepted: make(chan net.Conn, backlog), done: make(chan struct{})}
	go d.acceptAll()
	return d
}

// acceptAll accepts connections until the listener is closed or its deadline has
// passed.
func (d *drainingListener) acceptAll() {
	defer close(d.done)
	for {
		conn, err := d.TCPListener.Accept()
		if err != nil {
			d.err = errors.Trace(err)
			return
		}
		d.accepted <- conn
	}
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

// drain accepts the connections that are already established and closes the listener.
// Accept returns them afterwards.
func (d *drainingListener) drain() error {
	if err := d.SetDeadline(time.Now().Add(drainTime)); err != nil {
		return errors.Trace(err)
	}
	<-d.done
	return errors.Trace(d.Close())
}
