package server_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/server"
)

// Guards against a listener that resets, when it is closed, the connections that it
// has not handed out yet, and against http.Server.Shutdown, which drops a request that
// it has just read.
func TestDrainServesEstablishedConnections(t *testing.T) {
	const connections = 200
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s, err := server.New("test", "", listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "ok")
	}), zap.NewNop())
	assert.NilError(t, err)
	var running sync.WaitGroup
	running.Go(func() { _ = s.Run() })
	var conns []net.Conn
	for range connections {
		c, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		assert.NilError(t, err)
		conns = append(conns, c)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s.Drain(ctx)
	for i, c := range conns {
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		assert.NilError(t, err, "connection %d", i)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
	}
	s.Interrupt(nil)
	running.Wait()
}
