package dialer_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/dialer"
)

// Guards against a body that is changed, cut or repeated because it is written in parts
// and after the head, and against parts that are changed, which the next attempt sends
// again.
func TestBodyInParts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	bodies := make(chan []byte, 1)
	go func() {
		// A response may be complete before the dialer knows that all of its request is
		// written; the next request then comes on another connection.
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go answerBodies(c, bodies)
		}
	}()
	d := &dialer.Dialer{}
	for _, sizes := range [][]int{{}, {1}, {4 << 10, 1}, {8 << 10}, {8<<10 + 1}, {4 << 10, 32 << 10, 32 << 10, 7}, {32 << 10, 0, 32 << 10, 1 << 20}, {100, 9 << 10, 3}} {
		r := request
		r.Method, r.Header = http.MethodPost, http.Header{"X-Long": {string(bytes.Repeat([]byte("h"), 3<<10))}}
		var want []byte
		for n, size := range sizes {
			part := bytes.Repeat([]byte{byte('a' + n)}, size)
			r.Body, want = append(r.Body, part), append(want, part...)
		}
		for range 2 {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			c, err := d.Get(ctx, listener.Addr().String())
			assert.NilError(t, err)
			x, err := d.Send(ctx, c, r)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, x)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(<-bodies, want), fmt.Sprint(sizes))
			x.Close()
			cancel()
		}
	}
}

// answerBodies answers the requests on a connection and passes on their bodies.
func answerBodies(c net.Conn, bodies chan<- []byte) {
	defer c.Close()
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || r.Method == http.MethodPost && r.ContentLength != int64(len(body)) {
			return
		}
		bodies <- body
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}
