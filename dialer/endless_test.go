package dialer_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/dialer"
)

// endlessHeads are the beginnings of response heads and the texts that an endpoint
// in trouble repeats after them until its connection is closed.
var endlessHeads = map[string][2]string{
	"one value":     {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", 4096)},
	"header lines":  {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-Line: x\r\n", 400)},
	"continuations": {"HTTP/1.1 200 OK\r\nX-Line: x\r\n", strings.Repeat(" x\r\n", 1000)},
	"informational": {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 150)},
	"status line":   {"HTTP/1.1 200 ", strings.Repeat("x", 4096)},
	"no protocol":   {"", strings.Repeat("x", 4096)},
	"stray heads":   {"HTTP/1.1 200 OK\r\nX-Stray: 1\r\nContent-Length: 0\r\n\r\n", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 150)},
}

// writeEndless writes the text again and again until the connection fails.
func writeEndless(c net.Conn, beginning, text string) {
	write(c, beginning)
	for {
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
	}
}

// Guards against a response head without end that is read until the deadline of the
// request: the router kept all of it, 2 GB in 3 s.
func TestEndlessHead(t *testing.T) {
	const timeout = 5 * time.Second
	for name, head := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(_, _ int, c net.Conn) { writeEndless(c, head[0], head[1]) })
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			d := &dialer.Dialer{}
			c, err := d.Get(ctx, address)
			assert.NilError(t, err)
			r := request
			r.MatchesResponse = func(h http.Header) bool { return h.Get("X-Stray") == "" }
			_, err = d.Send(ctx, c, r)
			var failure *dialer.ExchangeError
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			assert.Assert(t, failure.Sent)
			assert.NilError(t, ctx.Err(), "the head was read until the deadline")
		})
	}
}

// Guards against a router that runs out of memory when many requests wait for
// endpoints that send heads without end. A VM has 184 MB; the goal is 32 MB for 200
// requests.
func TestMemoryOfEndlessHeads(t *testing.T) {
	const requests, limit = 200, 32 << 20
	address := serve(t, func(connection, _ int, c net.Conn) {
		head := endlessHeads["one value"]
		if connection%2 == 0 {
			head = endlessHeads["header lines"]
		}
		writeEndless(c, head[0], head[1])
	})
	d := &dialer.Dialer{}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	runtime.GC()
	var before, now runtime.MemStats
	runtime.ReadMemStats(&before)
	var running sync.WaitGroup
	for range requests {
		running.Go(func() {
			own := request
			own.Header = http.Header{}
			c, err := d.Get(ctx, address)
			if err == nil {
				_, err = d.Send(ctx, c, own)
			}
			assert.Check(t, err != nil)
		})
	}
	done := make(chan struct{})
	go func() { running.Wait(); close(done) }()
	peak := uint64(0)
	for waiting := true; waiting; {
		select {
		case <-done:
			waiting = false
		case <-time.After(time.Millisecond):
		}
		runtime.ReadMemStats(&now)
		peak = max(peak, now.HeapInuse)
	}
	assert.NilError(t, ctx.Err())
	growth := int64(peak) - int64(before.HeapInuse)
	t.Logf("%d requests: heap grew by %d KB at its peak", requests, growth>>10)
	assert.Assert(t, growth < limit, "%d bytes", growth)
}

// Guards against a limit that refuses ordinary responses: many headers, and several
// informational responses before the final one.
func TestLargeHeadWithinTheLimit(t *testing.T) {
	head := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n" +
		strings.Repeat("X-Line: "+strings.Repeat("x", 100)+"\r\n", 100) + "\r\nok"
	address := serve(t, func(_, _ int, c net.Conn) { write(c, head) })
	d := &dialer.Dialer{}
	for range 2 {
		body, _, err := exchange(t, d, address)
		assert.NilError(t, err)
		assert.Equal(t, body, "ok")
	}
}

// Guards against a chunked body whose chunk heads or trailers never end.
func TestEndlessChunkHead(t *testing.T) {
	for name, head := range map[string][2]string{
		"extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", strings.Repeat("x", 4096)},
		"size":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 4096)},
		"trailer":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", strings.Repeat("X-Line: x\r\n", 400)},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, func(_, _ int, c net.Conn) { writeEndless(c, head[0], head[1]) })
			started := time.Now()
			_, _, err := exchange(t, &dialer.Dialer{}, address)
			assert.Assert(t, err != nil)
			assert.Assert(t, time.Since(started) < 4*time.Second, "read until the deadline")
		})
	}
}
