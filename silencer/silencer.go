// Package silencer gives tests TCP ports that do not respond: attempts to connect get
// neither a connection nor a refusal, as from a host that is silent.
package silencer

import (
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// fillTimeout is how long Fill waits for each connection. On loopback a port that
// responds accepts sooner.
const fillTimeout = 100 * time.Millisecond

// Listen returns a listener on loopback whose kernel queue holds one connection. While
// that is not accepted, the port does not respond to further ones.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, unix.Listen(fd, 0))
	l, err := net.FileListener(file)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// Fill opens connections to the listener until its port does not respond. The listener
// may accept one in the meantime, so that two attempts have to fail. The connections
// stay open until the test ends.
func Fill(t testing.TB, l net.Listener) {
	t.Helper()
	for failed := 0; failed < 2; {
		c, err := net.DialTimeout("tcp", l.Addr().String(), fillTimeout)
		if err != nil {
			failed++
			continue
		}
		failed = 0
		t.Cleanup(func() { _ = c.Close() })
	}
}
