package dialer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/dialer"
)

// uploadBytes is the size of a request that does not fit into the buffers of a
// connection, so that it is still being written when the response arrives.
const uploadBytes = 1 << 20

// answerUploads starts an endpoint that reads the beginning of each request and leaves
// the rest to answer.
func answerUploads(t *testing.T, answer func(c *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := io.ReadFull(c, make([]byte, 1000)); err == nil {
					answer(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// reset closes the connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	c.Close()
}

// send sends a long request on a new connection and reads the response.
func send(t *testing.T, d *dialer.Dialer, address, method string) (response *http.Response, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := d.Get(ctx, address)
	assert.NilError(t, err)
	long := request
	long.Method, long.Header, long.Body = method, http.Header{}, [][]byte{make([]byte, uploadBytes)}
	x, err := d.Send(ctx, c, long)
	if err != nil {
		var failure *dialer.ExchangeError
		assert.Assert(t, errors.As(err, &failure), "%v", err)
		assert.Assert(t, failure.Sent)
		return nil, "", err
	}
	defer x.Close()
	data, err := io.ReadAll(x)
	return x.Response, string(data), err
}

// Guards against a part of a response that is taken for the whole: the endpoint answers
// a long upload at once and without a length, and the connection is reset while the
// upload is being written. The failed write takes the error of the socket, and the next
// read ends like the end of a body.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const rounds = 100
	for name, end := range map[string]func(c *net.TCPConn){
		"reset":                reset,
		"closed without a FIN": func(c *net.TCPConn) { c.Close() },
		"reset after a FIN":    func(c *net.TCPConn) { _ = c.CloseWrite(); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			address := answerUploads(t, func(c *net.TCPConn) {
				write(c, "HTTP/1.1 200 OK\r\n\r\npart")
				end(c)
			})
			d := &dialer.Dialer{}
			complete := 0
			for range rounds {
				if _, _, err := send(t, d, address, http.MethodPost); err == nil {
					complete++
				}
			}
			assert.Equal(t, complete, 0, "parts taken for complete, of %d", rounds)
			assert.Assert(t, d.InvalidResponses() > 0)
		})
	}
}

// Guards against a response that is refused although it is whole: the endpoint has read
// as much of the upload as it wanted, ends its response in order and keeps the
// connection for the other direction.
func TestOrderlyEndDuringUpload(t *testing.T) {
	for name, after := range map[string]func(c *net.TCPConn){
		"rest not read": func(*net.TCPConn) {},
		"rest read":     func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) },
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			address := answerUploads(t, func(c *net.TCPConn) {
				defer c.Close()
				write(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
				_ = c.CloseWrite()
				after(c)
				<-done
			})
			defer close(done)
			_, body, err := send(t, &dialer.Dialer{}, address, http.MethodPost)
			assert.NilError(t, err)
			assert.Equal(t, body, "whole")
		})
	}
}

// Guards against a response whose end is known without the end of the connection and
// that is refused because of a reset after it, against the opposite, and against a
// connection that is used again although the upload did not end.
func TestResetAfterAFramedResponse(t *testing.T) {
	for name, tc := range map[string]struct {
		method, head string
		complete     bool
	}{
		"length":          {http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", true},
		"short of length": {http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody", false},
		"chunked":         {http.MethodPost, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
		"no last chunk":   {http.MethodPost, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", false},
		"HEAD":            {http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n", true},
		"no content":      {http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			// Before the reset, the client has read the response if it is whole.
			read := make(chan struct{})
			address := answerUploads(t, func(c *net.TCPConn) {
				write(c, tc.head)
				<-read
				reset(c)
			})
			d := &dialer.Dialer{}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			c, err := d.Get(ctx, address)
			assert.NilError(t, err)
			long := request
			long.Method, long.Header, long.Body = tc.method, http.Header{}, [][]byte{[]byte(strings.Repeat("x", 8<<20))}
			x, err := d.Send(ctx, c, long)
			assert.NilError(t, err)
			if tc.complete {
				_, err = io.ReadAll(x)
				assert.NilError(t, err)
				close(read)
			} else {
				close(read)
				_, err = io.ReadAll(x)
				assert.Assert(t, err != nil)
			}
			x.Close()
			next, err := d.Get(ctx, address)
			assert.NilError(t, err)
			assert.Assert(t, !next.Reused())
			next.Close()
		})
	}
}

// impossibleStatuses are texts in place of a status that no final response can have.
var impossibleStatuses = []string{"000", "042", "099", "600", "999", "20", "2000", "-12", "+42", "2x0", "", "101"}

// Guards against a response with an impossible status: it is passed on, or skipped like
// an informational one, so that the text of its body is read as the response.
func TestImpossibleStatus(t *testing.T) {
	for _, status := range impossibleStatuses {
		for name, framing := range map[string]string{"length": "Content-Length: 45\r\n\r\n", "none": "\r\n"} {
			t.Run(status+" "+name, func(t *testing.T) {
				ended := make(chan struct{})
				address := serve(t, func(_, _ int, c net.Conn) {
					write(c, "HTTP/1.1 "+status+" X\r\n"+framing+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray\r\n")
					_, _ = c.Read(make([]byte, 1))
					close(ended)
				})
				d := &dialer.Dialer{}
				body, _, err := exchange(t, d, address)
				var failure *dialer.ExchangeError
				assert.Assert(t, errors.As(err, &failure), "body %q, error %v", body, err)
				assert.Assert(t, failure.Sent)
				assert.Assert(t, !failure.TimedOut)
				<-ended
			})
		}
	}
}

// Guards against informational responses that are no longer skipped, and against
// statuses at the ends of the range that are refused.
func TestPossibleStatus(t *testing.T) {
	for _, status := range []string{"200", "299", "302", "404", "599"} {
		address := serve(t, func(_, _ int, c net.Conn) {
			write(c, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\n\r\nHTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nok")
		})
		body, _, err := exchange(t, &dialer.Dialer{}, address)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
}
