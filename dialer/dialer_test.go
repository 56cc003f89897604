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

// serve starts a server that calls script for each request, with the number of the
// connection, the number of the request on it, and the connection.
func serve(t *testing.T, script func(connection, request int, c net.Conn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for connectionNumber := 0; ; connectionNumber++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(c)
				for requestNumber := 0; ; requestNumber++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					script(connectionNumber, requestNumber, c)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

var request = dialer.Request{Method: http.MethodGet, URI: "/x", Host: "h", Header: http.Header{}, MatchesResponse: func(http.Header) bool { return true }}

// exchange sends a request and returns the response body and whether the
// connection was reused.
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

// Guards against opening a new connection for each request.
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

// Guards against reusing a connection that the server closes, on which it has sent
// more than the response, or whose response does not say where it ends.
func TestUnusableConnectionIsNotReused(t *testing.T) {
	for name, response := range map[string]string{
		"close":    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok",
		"extra":    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray",
		"short":    "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"unframed": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(_, _ int, c net.Conn) {
				write(c, response)
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

// Guards against sending a request on an idle connection that the server has
// closed or on which it has sent an unsolicited response. On a closed one, a
// request that may run at most once is lost; otherwise the request gets the wrong
// response.
func TestIdleConnectionIsChecked(t *testing.T) {
	for _, closeByServer := range []bool{true, false} {
		served := make(chan net.Conn, 10)
		address := serve(t, func(_, _ int, c net.Conn) {
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			served <- c
		})
		d := &dialer.Dialer{}
		_, _, err := exchange(t, d, address)
		assert.NilError(t, err)
		first := <-served
		if closeByServer {
			first.Close()
		} else {
			write(first, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
		}
		reused := true
		for tries := 0; reused && tries < 1000; tries++ {
			// The kernel may need a moment to deliver the FIN or the bytes.
			c, err := d.Get(context.Background(), address)
			assert.NilError(t, err)
			reused = c.LocalAddr().String() == first.RemoteAddr().String()
			c.Close()
		}
		assert.Assert(t, !reused)
	}
}

// Guards against an endpoint that starts again unnoticed, because its idle connections are
// replaced without a word, and against a first connection that counts as a sign of that.
func TestReplacedConnectionIsTold(t *testing.T) {
	served := make(chan net.Conn, 100)
	address := serve(t, func(_, _ int, c net.Conn) {
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		served <- c
	})
	d := &dialer.Dialer{}
	replaces := false
	// The kernel may need a moment to deliver the FIN.
	for tries := 0; !replaces && tries < 50; tries++ {
		_, _, err := exchange(t, d, address)
		assert.NilError(t, err)
		assert.Assert(t, d.HasIdle(address, 0) && !d.HasIdle(address, time.Minute))
		(<-served).Close()
		c, err := d.Get(context.Background(), address)
		assert.NilError(t, err)
		replaces = c.Replaces()
		c.Close()
	}
	assert.Assert(t, replaces)
	c, err := d.Get(context.Background(), address)
	assert.NilError(t, err)
	defer c.Close()
	assert.Assert(t, !c.Replaces())
}

// Guards against a request on a connection that has been idle for longer than the
// endpoint keeps it, because the VM of the router was suspended: the endpoint's FIN
// may not have arrived, and a request that may run at most once would be lost.
func TestIdleConnectionExpiresWhileSuspended(t *testing.T) {
	address := serve(t, func(_, _ int, c net.Conn) { write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") })
	now := time.Hour
	d := &dialer.Dialer{Elapsed: func() time.Duration { return now }}
	for _, step := range []struct {
		suspended time.Duration
		reused    bool
	}{{0, false}, {time.Second, true}, {5 * time.Second, false}} {
		now += step.suspended
		_, reused, err := exchange(t, d, address)
		assert.NilError(t, err)
		assert.Equal(t, reused, step.reused, "after %s", step.suspended)
	}
}

// Guards against reporting a request as not sent when the connection closed before
// the response: the endpoint may have executed it.
func TestLostResponseCountsAsSent(t *testing.T) {
	address := serve(t, func(_, _ int, c net.Conn) { c.Close() })
	_, _, err := exchange(t, &dialer.Dialer{}, address)
	var failure *dialer.ExchangeError
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, failure.Sent)
}

// Guards against taking a truncated response body for a complete one.
func TestTruncatedBody(t *testing.T) {
	address := serve(t, func(_, _ int, c net.Conn) {
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf")
		c.Close()
	})
	_, _, err := exchange(t, &dialer.Dialer{}, address)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
}

// Guards against a deadlock with an endpoint that responds before it has read a
// long request, and against reusing that connection: the endpoint would take the
// rest of the body for the next request.
func TestEarlyResponse(t *testing.T) {
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
	long.Method, long.Body = http.MethodPost, [][]byte{[]byte(strings.Repeat("x", 32<<20))}
	x, err := d.Send(ctx, c, long)
	assert.NilError(t, err)
	assert.Equal(t, x.Response.StatusCode, 413)
	_, err = io.ReadAll(x)
	assert.NilError(t, err)
	x.Close()
	next, err := d.Get(ctx, l.Addr().String())
	assert.NilError(t, err)
	assert.Assert(t, next.LocalAddr().String() != c.LocalAddr().String())
	next.Close()
}

// Guards against a request target that starts with "//": net/http would take what
// follows for a host.
func TestTargetWithoutPath(t *testing.T) {
	address := serve(t, func(_, _ int, _ net.Conn) {})
	d := &dialer.Dialer{}
	c, err := d.Get(context.Background(), address)
	assert.NilError(t, err)
	withoutPath := request
	withoutPath.URI = "//x"
	_, err = d.Send(context.Background(), c, withoutPath)
	var failure *dialer.ExchangeError
	assert.Assert(t, errors.As(err, &failure))
	assert.Assert(t, !failure.Sent)
}

// Guards against idle connections to many endpoints that together take the descriptors of
// the process: at MaxIdle the one that expires first is closed.
func TestMaxIdleOfAllEndpoints(t *testing.T) {
	const maxIdle, endpoints = 3, 5
	now := time.Duration(0)
	d := &dialer.Dialer{MaxIdle: maxIdle, Elapsed: func() time.Duration { return now }}
	var addresses []string
	for range endpoints {
		addresses = append(addresses, serve(t, func(_, _ int, c net.Conn) { write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }))
	}
	for _, address := range addresses {
		now += time.Millisecond
		_, _, err := exchange(t, d, address)
		assert.NilError(t, err)
	}
	reused := 0
	for n := range addresses {
		address := addresses[len(addresses)-1-n]
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		c, err := d.Get(ctx, address)
		cancel()
		assert.NilError(t, err)
		if c.Reused() {
			reused++
			assert.Assert(t, n < maxIdle, "a connection that expires first was kept")
		}
		c.Close()
	}
	assert.Equal(t, reused, maxIdle)
}
