package dialer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/dialer"
)

// FuzzResponse checks that an exchange ends, whatever the endpoint sends before it
// closes the connection, and that a response that belongs to another request is never
// taken for the request's own.
func FuzzResponse(f *testing.F) {
	for _, head := range endlessHeads {
		f.Add([]byte(head[0] + head[1]))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nstrayHTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 204 X\r\nX-Id: other\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n2;x=1\r\nok\r\n0\r\nT: t\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 101 X\r\n\r\n"))
	f.Fuzz(func(t *testing.T, sent []byte) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer listener.Close()
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			_, _ = c.Read(make([]byte, 4096))
			_, _ = c.Write(sent)
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		d := &dialer.Dialer{}
		c, err := d.Get(ctx, listener.Addr().String())
		assert.NilError(t, err)
		r := request
		r.Header = http.Header{}
		r.MatchesResponse = func(h http.Header) bool { return h.Get("X-Id") == "own" }
		x, err := d.Send(ctx, c, r)
		if err != nil {
			var failure *dialer.ExchangeError
			assert.Assert(t, errors.As(err, &failure))
			assert.NilError(t, ctx.Err())
			return
		}
		defer x.Close()
		assert.Equal(t, x.Response.Header.Get("X-Id"), "own")
		_, _ = io.Copy(io.Discard, io.LimitReader(x, 1<<20))
		assert.NilError(t, ctx.Err())
	})
}
