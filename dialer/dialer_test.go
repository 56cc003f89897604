package dialer_test

import (
	"bufio"
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

// serve answers the n-th request of the n-th connection by script.
func serve(t *testing.T, script func(connection, request int, c net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(c)
				for k := 0; ; k++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					script(n, k, c)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

var request = dialer.Request{Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{}, Owns: func(http.Header) bool { return true }}

// exchange sends a request and returns the body and whether the connection had
// been used before.
func exchange(t *testing.T, d *dialer.Dialer, address string) (string, bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := d.Get(ctx, address)
	assert.NilError(t, err)
	x, err := d.Send(ctx, c, request)
	if err != nil {
		return "", false, err
	}
	defer x.Close()
	body, err := io.ReadAll(x)
	return string(body), x.Reused(), err
}

// Guards against a new connection for each request.
func TestReuse(t *testing.T) {
	address := serve(t, func(_, _ int, c net.Conn) { write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") })
	d := &dialer.Dialer{}
	for n := range 3 {
		body, reused, err := exchange(t, d, address)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
		assert.Equal(t, reused, n > 0)
	}
}

// Guards against a connection that is used again although its server closes it,
// has sent more than its answer, or does not say where the answer ends.
func TestNotReused(t *testing.T) {
	for name, answer := range map[string]string{
		"close":    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
		"extra":    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray",
		"short":    "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"unframed": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(_, _ int, c net.Conn) {
				write(c, answer)
				if name == "unframed" {
					c.Close()
				}
			})
			d := &dialer.Dialer{}
			for range 2 {
				body, reused, err := exchange(t, d, address)
				assert.NilError(t, err)
				assert.Equal(t, body, "ok")
				assert.Assert(t, !reused)
			}
		})
	}
}

// Guards against a request that is sent on a connection whose server has closed
// it or has sent bytes that nobody asked for: the first loses a request that may
// run once, the second answers it with the wrong response.
func TestIdleConnectionIsChecked(t *testing.T) {
	for _, closing := range []bool{true, false} {
		after := make(chan net.Conn, 10)
		address := serve(t, func(_, _ int, c net.Conn) {
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			after <- c
		})
		d := &dialer.Dialer{}
		_, _, err := exchange(t, d, address)
		assert.NilError(t, err)
		first := <-after
		if closing {
			first.Close()
		} else {
			write(first, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
		}
		reused := true
		for tries := 0; reused && tries < 1000; tries++ {
			// The kernel may need a moment to deliver the end or the bytes.
			c, err := d.Get(context.Background(), address)
			assert.NilError(t, err)
			reused = c.LocalAddr().String() == first.RemoteAddr().String()
			c.Close()
		}
		assert.Assert(t, !reused)
	}
}

// Guards against a lost answer that counts as a request that was not sent.
func TestSent(t *testing.T) {
	address := serve(t, func(_, _ int, c net.Conn) { c.Close() })
	_, _, err := exchange(t, &dialer.Dialer{}, address)
	var failure *dialer.ExchangeError
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, failure.Sent)
}

// Guards against a cut body that looks complete.
func TestCutBody(t *testing.T) {
	address := serve(t, func(_, _ int, c net.Conn) {
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf")
		c.Close()
	})
	_, _, err := exchange(t, &dialer.Dialer{}, address)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
}

// Guards against a deadlock with an endpoint that answers before it has read a
// long request, and against reuse of that connection: the endpoint would read
// the rest of the body as the next request.
func TestEarlyAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			write(c, "HTTP/1.1 413 X\r\nContent-Length: 3\r\n\r\nbig")
		}
	}()
	d := &dialer.Dialer{}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := d.Get(ctx, l.Addr().String())
	assert.NilError(t, err)
	long := request
	long.Method, long.Body = http.MethodPost, []byte(strings.Repeat("x", 32<<20))
	x, err := d.Send(ctx, c, long)
	assert.NilError(t, err)
	assert.Equal(t, x.Response.StatusCode, 413)
	_, err = io.ReadAll(x)
	assert.NilError(t, err)
	x.Close()
	again, err := d.Get(ctx, l.Addr().String())
	assert.NilError(t, err)
	assert.Assert(t, again.LocalAddr().String() != c.LocalAddr().String())
	again.Close()
}

// Guards against a target that net/http would take for a host.
func TestTargetWithoutPath(t *testing.T) {
	address := serve(t, func(_, _ int, _ net.Conn) {})
	d := &dialer.Dialer{}
	c, err := d.Get(context.Background(), address)
	assert.NilError(t, err)
	odd := request
	odd.URI = "//x"
	_, err = d.Send(context.Background(), c, odd)
	var failure *dialer.ExchangeError
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, !failure.Sent)
}
