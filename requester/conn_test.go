package requester

import (
	"net"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// Guards against a request that is sent after it was reported as not written, and
// against a failed write that is reported as not started.
func TestDisableWrites(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	c := &trackedConn{Conn: local}
	assert.Assert(t, !c.disableWrites())
	_, err := c.Write([]byte("x"))
	assert.Assert(t, errors.Is(err, errWritesDisabled), "%v", err)

	c = &trackedConn{Conn: local}
	assert.NilError(t, local.Close())
	_, err = c.Write([]byte("x"))
	assert.Assert(t, err != nil)
	assert.Assert(t, c.disableWrites(), "a failed write may have sent part of the data")
}
