package requester

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

// errSealed is returned by a write on a connection that was given up.
const errSealed = errors.ConstError("connection given up")

// trackedConn knows whether a write was started since the last reset. A
// connection carries one HTTP/1.1 request at a time, so this answers the
// question for the request that holds it.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex
	started bool
	sealed  bool
}

// Write implements net.Conn. A started write counts as written even if it
// fails, because part of it may have left.
func (c *trackedConn) Write(p []byte) (int, error) {
	if !c.start() {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}

func (c *trackedConn) start() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.started = true
	return true
}

// reset prepares the connection for the next request.
func (c *trackedConn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = false
}

// seal stops further writes and reports whether one was started. Without it,
// the write loop of net/http could still send a request after its caller was
// told that nothing was written.
func (c *trackedConn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.started
}
