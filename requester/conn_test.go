package requester

import (
	"net"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// Guards against a write after its request was reported as not written.
func TestSealStopsWrites(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	c := &trackedConn{Conn: local}
	assert.Assert(t, !c.seal())
	_, err := c.Write([]byte("x"))
	assert.Assert(t, errors.Is(err, errSealed), "%v", err)

	c = &trackedConn{Conn: local}
	assert.NilError(t, local.Close())
	_, err = c.Write([]byte("x"))
	assert.Assert(t, err != nil)
	assert.Assert(t, c.seal(), "a failed write may have left in part")
}
