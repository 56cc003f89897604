package verifier_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/verifier"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (*verifier.Conn, *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	peer, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { peer.Close() })
	c, err := verifier.New(conn)
	assert.NilError(t, err)
	return c, peer.(*net.TCPConn)
}

// writeUntilError writes until a write fails, and returns its error.
func writeUntilError(c net.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}

// Guards against a read that reports the end of the stream after a write has taken the
// error of the reset.
func TestResetTakenByAWrite(t *testing.T) {
	c, peer := connect(t)
	_, err := peer.Write([]byte("part"))
	assert.NilError(t, err)
	assert.NilError(t, peer.SetLinger(0))
	peer.Close()
	assert.Assert(t, errors.Is(writeUntilError(c), syscall.ECONNRESET))
	for range 2 {
		data, err := io.ReadAll(c)
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v after %q", err, data)
	}
}

// Guards against the end of a stream that is not reported, before and after the peer has
// confirmed what was written.
func TestOrderlyEnd(t *testing.T) {
	for _, written := range []int{0, 1000, 16 << 20} {
		c, peer := connect(t)
		if written > 0 {
			go func() { _, _ = c.Write(make([]byte, written)) }()
			_, err := io.ReadFull(peer, make([]byte, 1000))
			assert.NilError(t, err)
		}
		_, err := peer.Write([]byte("whole"))
		assert.NilError(t, err)
		assert.NilError(t, peer.CloseWrite())
		data, err := io.ReadAll(c)
		assert.NilError(t, err)
		assert.Equal(t, string(data), "whole")
	}
}

// Guards against a read that outlasts its deadline or the connection while it waits for the
// peer to confirm what was written.
func TestWaitAtTheEndIsEnded(t *testing.T) {
	// Less than the wait, so that the read has to be ended in its course.
	const soon = 50 * time.Millisecond
	for name, end := range map[string]func(c net.Conn){
		"deadline": func(c net.Conn) { _ = c.SetReadDeadline(time.Now().Add(soon)) },
		"closed":   func(c net.Conn) { time.AfterFunc(soon, func() { c.Close() }) },
	} {
		t.Run(name, func(t *testing.T) {
			c, peer := connect(t)
			go func() { _, _ = c.Write(make([]byte, 16<<20)) }()
			_, err := io.ReadFull(peer, make([]byte, 1000))
			assert.NilError(t, err)
			assert.NilError(t, peer.CloseWrite())
			end(c)
			_, err = c.Read(make([]byte, 1))
			assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed), "%v", err)
		})
	}
}
