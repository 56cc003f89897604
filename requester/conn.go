package requester

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

// errWritesDisabled is returned by a write to a connection after disableWrites.
const errWritesDisabled = errors.ConstError("writes to the connection are disabled")

// trackedConn records whether a write was started since the last reset. An
// HTTP/1.1 connection carries one request at a time, so this tells whether the
// current request was written.
type trackedConn struct {
	net.Conn

	mu             sync.Mutex
	writeStarted   bool
	writesDisabled bool
}

// Write implements net.Conn. A failed write counts as started too, because part
// of the data may have been sent.
func (c *trackedConn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errWritesDisabled
	}
	return c.Conn.Write(p)
}

// beginWrite records the start of a write. It returns false if writes are
// disabled.
func (c *trackedConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesDisabled {
		return false
	}
	c.writeStarted = true
	return true
}

// reset prepares the connection for the next request.
func (c *trackedConn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeStarted = false
}

// disableWrites makes later writes fail and reports whether one was started since
// the last reset. Otherwise the write loop of net/http could send a request after
// the caller was told that nothing was written.
func (c *trackedConn) disableWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesDisabled = true
	return c.writeStarted
}
