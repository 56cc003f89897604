package server_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/server"
)

// failingListener fails to accept while errno is set.
type failingListener struct {
	*net.TCPListener
	errno  atomic.Uintptr
	failed atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if errno := syscall.Errno(l.errno.Load()); err == nil && errno != 0 {
		c.Close()
		l.failed.Add(1)
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: errno}
	}
	return c, err
}

// Guards against a process that ends, with all its connections, because the system had
// no resources for another one, or because of a connection that ended before it was
// accepted.
func TestServerOutlivesAcceptErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EHOSTUNREACH} {
		t.Run(errno.Error(), func(t *testing.T) {
			listener := &failingListener{TCPListener: listen(t)}
			ended := make(chan error, 1)
			started, release := make(chan struct{}, 2), make(chan struct{})
			s, err := server.New("test", "", listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-release
				answerOK(w, r)
			}), zap.NewNop())
			assert.NilError(t, err)
			var running sync.WaitGroup
			running.Go(func() { ended <- s.Run() })
			defer running.Wait()
			defer s.Interrupt(nil)
			inProgress := connect(t, listener.Addr(), keptRequest)
			<-started
			listener.errno.Store(uintptr(errno))
			for listener.failed.Load() < 3 {
				c, err := net.Dial("tcp", listener.Addr().String())
				assert.NilError(t, err)
				c.Close()
			}
			listener.errno.Store(0)
			close(release)
			checkAnswer(t, bufio.NewReader(inProgress), http.StatusOK, "ok")
			checkAnswer(t, bufio.NewReader(connect(t, listener.Addr(), keptRequest)), http.StatusOK, "ok")
			select {
			case err := <-ended:
				t.Fatalf("the server ended: %v", err)
			default:
			}
		})
	}
}

// Guards against idle connections that keep their descriptors while clients wait for
// one: those longest at rest are ended, and their clients learn that nothing was read.
func TestServerEndsOldestForDescriptors(t *testing.T) {
	// restTime is longer than a connection is taken for one whose next request is on
	// its way.
	const restTime = 600 * time.Millisecond
	listener := &failingListener{TCPListener: listen(t)}
	_, _ = start(t, listener, answerOK)
	idle, reader := keep(t, listener)
	<-time.After(restTime)
	recent, recentReader := keep(t, listener)
	listener.errno.Store(uintptr(syscall.EMFILE))
	connect(t, listener.Addr(), "")
	checkAnswer(t, reader, http.StatusRequestTimeout, "")
	_, err := reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	idle.Close()
	_, err = io.WriteString(recent, keptRequest)
	assert.NilError(t, err)
	checkAnswer(t, recentReader, http.StatusOK, "ok")
}
