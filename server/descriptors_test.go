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

// Guards against connections without a bound, which take the descriptors that requests
// need towards endpoints: a new one replaces the one longest at rest. With a request in
// progress on each, the new one gets an answer at once that it is not served.
func TestServerBoundsConnections(t *testing.T) {
	const limit = 4
	const restTime = 600 * time.Millisecond
	listener := listen(t)
	started, release := make(chan struct{}), make(chan struct{})
	s, _ := start(t, listener, func(w http.ResponseWriter, r *http.Request) {
		switch {
		case server.IsExcess(r.Context()):
			w.WriteHeader(http.StatusServiceUnavailable)
		case r.URL.Path == "/long":
			started <- struct{}{}
			<-release
			answerOK(w, r)
		default:
			answerOK(w, r)
		}
	})
	s.SetMaxConns(limit)
	var readers []*bufio.Reader
	var conns []net.Conn
	for range limit {
		c, reader := keep(t, listener)
		conns, readers = append(conns, c), append(readers, reader)
	}
	<-time.After(restTime)
	replacing, replacingReader := keep(t, listener)
	checkAnswer(t, readers[0], http.StatusRequestTimeout, "")
	conns[0].Close()
	conns[0], readers[0] = replacing, replacingReader
	const long = "GET /long HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range conns {
		_, err := io.WriteString(c, long)
		assert.NilError(t, err)
	}
	for range limit {
		<-started
	}
	refused := bufio.NewReader(connect(t, listener.Addr(), keptRequest))
	checkAnswer(t, refused, http.StatusServiceUnavailable, "")
	_, err := refused.ReadByte()
	assert.Equal(t, err, io.EOF)
	close(release)
	for _, reader := range readers {
		checkAnswer(t, reader, http.StatusOK, "ok")
	}
}

// Guards against a request that is cut because it came together with the one before it:
// the connection has a request in progress, though no byte was read since the response.
func TestPipelinedRequestIsInProgress(t *testing.T) {
	listener := listen(t)
	started, release := make(chan struct{}), make(chan struct{})
	s, _ := start(t, listener, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			started <- struct{}{}
			select {
			case <-release:
			case <-r.Context().Done():
				t.Error("the request was cancelled")
			}
		}
		answerOK(w, r)
	})
	s.SetMaxConns(1)
	reader := bufio.NewReader(connect(t, listener.Addr(), keptRequest+"GET /long HTTP/1.1\r\nHost: h\r\n\r\n"))
	<-started
	checkAnswer(t, reader, http.StatusOK, "ok")
	checkAnswer(t, bufio.NewReader(connect(t, listener.Addr(), keptRequest)), http.StatusOK, "ok")
	close(release)
	checkAnswer(t, reader, http.StatusOK, "ok")
}
