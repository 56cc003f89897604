package requester_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/requester"
)

// Guards against a part of a response that is taken for the whole: the server answers a
// long upload at once and without a length, and resets the connection while the upload is
// being written.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const rounds = 1000
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.ReadFull(conn, make([]byte, 1000))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
				_ = conn.(*net.TCPConn).SetLinger(0)
			}()
		}
	}()
	c := &requester.Client{}
	upload := strings.Repeat("x", 1<<20)
	complete := 0
	for range rounds {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String(), strings.NewReader(upload))
		assert.NilError(t, err)
		resp, err := c.Do(req)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		} else {
			assert.Assert(t, written(t, err))
		}
		if err == nil {
			complete++
		}
		cancel()
	}
	assert.Equal(t, complete, 0, "parts taken for complete, of %d", rounds)
}

// Guards against a response with an impossible status that is returned, against a report
// that the request was not written, and against a connection that is used again after it.
func TestImpossibleStatus(t *testing.T) {
	for _, status := range []string{"000", "042", "099", "101", "600", "999", "20", "2000"} {
		for _, framed := range []string{"0\r\n\r\n", "38\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"} {
			s := startServer(t, func(n int64, c net.Conn) bool {
				if n == 1 {
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: "+framed)
				} else {
					writeOK(c)
				}
				return true
			})
			c := &requester.Client{}
			err := post(context.Background(), t, c, s.url, "{}")
			assert.Assert(t, err != nil, "status %s", status)
			assert.Assert(t, written(t, err), "status %s", status)
			assert.NilError(t, post(context.Background(), t, c, s.url, "{}"))
			assert.Equal(t, s.acceptedConns.Load(), int64(2), "the connection of status %s was used again", status)
			c.Close()
		}
	}
}
