package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// Guards against connections that are accepted without end while all that are served have
// a request in progress, and against a server that stays closed afterwards.
func TestServerBoundsOpenConnections(t *testing.T) {
	const served, open = 2, 4
	listener := listen(t)
	started, release := make(chan struct{}), make(chan struct{})
	s, _ := start(t, listener, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		answerOK(w, r)
	})
	s.SetMaxConns(served)
	s.SetMaxOpen(open)
	var readers []*bufio.Reader
	for range open {
		readers = append(readers, bufio.NewReader(connect(t, listener.Addr(), keptRequest)))
		<-started
	}
	for range 3 {
		c, err := net.Dial("tcp", listener.Addr().String())
		if errors.Is(err, syscall.ECONNRESET) {
			// The reset has arrived before connect(2) returned.
			continue
		}
		assert.NilError(t, err)
		assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = c.Read(make([]byte, 1))
		assert.Assert(t, err != nil && !os.IsTimeout(err), "%v", err)
		c.Close()
	}
	assert.Equal(t, s.Rejected(), int64(3))
	close(release)
	for _, reader := range readers {
		checkAnswer(t, reader, http.StatusOK, "ok")
	}
	go func() { <-started }()
	checkAnswer(t, bufio.NewReader(connect(t, listener.Addr(), keptRequest)), http.StatusOK, "ok")
}

// Guards against callers that are refused while all connections belong to clients that do
// not send the rest of their bodies.
func TestStalledConnectionMakesRoom(t *testing.T) {
	listener := listen(t)
	reading := make(chan func())
	s, _ := start(t, listener, func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength > 0 {
			control := http.NewResponseController(w)
			reading <- func() { _ = control.SetReadDeadline(time.Unix(1, 0)) }
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
		answerOK(w, r)
	})
	s.SetMaxConns(1)
	stalled := connect(t, listener.Addr(), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123456789")
	end := <-reading
	s.SetRelieve(func() bool {
		end()
		return true
	})
	checkAnswer(t, bufio.NewReader(connect(t, listener.Addr(), keptRequest)), http.StatusOK, "ok")
	_, err := stalled.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !os.IsTimeout(err), "%v", err)
}

// Guards against receive buffers that grow: bytes that have arrived and are not read count
// as memory of the process, on each of many connections.
func TestUnreadBytesAreBounded(t *testing.T) {
	const buffer = 16 << 10
	listener := listen(t)
	stalled := make(chan struct{})
	release := make(chan struct{})
	s, _ := start(t, listener, func(w http.ResponseWriter, r *http.Request) {
		// The kernel lets a buffer grow while its bytes are read quickly.
		_, err := io.CopyN(io.Discard, r.Body, 8<<20)
		assert.Check(t, err)
		close(stalled)
		<-release
		panic(http.ErrAbortHandler)
	})
	assert.NilError(t, s.SetBuffers(buffer, buffer))
	c := connect(t, listener.Addr(), fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 64<<20))
	go func() { _, _ = c.Write(make([]byte, 64<<20)) }()
	<-stalled
	peak := int64(0)
	for range 4 {
		peak = max(peak, unreadBytes(t, listener.Addr().(*net.TCPAddr).Port))
		<-time.After(10 * time.Millisecond)
	}
	close(release)
	assert.Assert(t, peak > 0 && peak <= 2*buffer, "%d bytes unread", peak)
}

// unreadBytes returns how many bytes have arrived on the connections to a local port.
func unreadBytes(t *testing.T, port int) int64 {
	table, err := os.ReadFile("/proc/net/tcp")
	assert.NilError(t, err)
	sum := int64(0)
	for line := range strings.Lines(string(table)) {
		// The fields are number, local and remote address, state, and both queues. State 0A
		// is a listener, whose queue counts connections.
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", port)) || fields[3] == "0A" {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		assert.NilError(t, err)
		sum += n
	}
	return sum
}
