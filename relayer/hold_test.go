package relayer_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/relayer"
	"github.com/bergamotdale/bergamotdale/reserver"
)

// echo answers with the ID of the request.
func echo(_ int, r *http.Request, c net.Conn) bool {
	return writeResponse(c, r, http.StatusOK, "done "+r.Header.Get("X-Id"))
}

// send opens a connection to the server and sends the beginning of a request with the
// header that delimits its body.
func send(t *testing.T, server *httptest.Server, id, framing string, body []byte) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(30*time.Second)))
	_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\nX-Key: key\r\n%s\r\n\r\n", id, framing)
	assert.NilError(t, err)
	// A write fails if the router refuses the body and closes the connection.
	_, _ = c.Write(body)
	return c, bufio.NewReader(c)
}

// readResponse reads a response with its body.
func readResponse(t *testing.T, reader *bufio.Reader) (*http.Response, string) {
	t.Helper()
	r, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	return r, string(body)
}

// waitForReserved waits until requests hold as many bytes.
func waitForReserved(t *testing.T, r *relayer.Relayer, reserved int64) {
	for began := time.Now(); r.Reserver.Stats().Reserved != reserved; <-time.After(time.Millisecond) {
		assert.Assert(t, time.Since(began) < 10*time.Second, "%d bytes are reserved, not %d", r.Reserver.Stats().Reserved, reserved)
	}
}

// Guards against a body that is changed, cut or repeated where two parts of it meet, and
// against one beyond the limit that is taken for complete.
func TestBodiesOfAllSizesPass(t *testing.T) {
	const limit = 4 << 20
	e := startEndpoint(t, echo)
	r := newRelayer(t, atMostOnceRoute, e)
	r.StartupGate.Open()
	server := serve(t, r)
	for n, size := range []int{1, 4095, 4096, 4097, 8191, 8192, 32767, 32768, 32769, 36863, 36864, 36865, 65536, 65537, 100_001, limit - 1, limit, limit + 1} {
		body := make([]byte, size)
		for i := range body {
			body[i] = byte(i%251) + 1
		}
		var chunked bytes.Buffer
		for part := range slices.Chunk(body, 30_011) {
			fmt.Fprintf(&chunked, "%x\r\n%s\r\n", len(part), part)
		}
		chunked.WriteString("0\r\n\r\n")
		for framing, text := range map[string][]byte{fmt.Sprintf("Content-Length: %d", size): body, "Transfer-Encoding: chunked": chunked.Bytes()} {
			before := e.requestCount()
			_, reader := send(t, server, fmt.Sprintf("r%d", n), framing, text)
			if size > limit {
				// The client may lose the refusal when the connection is closed.
				if response, err := http.ReadResponse(reader, nil); err == nil {
					assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge, framing)
				}
				assert.Equal(t, e.requestCount(), before)
				continue
			}
			response, _ := readResponse(t, reader)
			assert.Equal(t, response.StatusCode, http.StatusOK, framing)
			assert.Assert(t, e.bodies[before] == string(body), "%d bytes with %s", size, framing)
		}
	}
	waitForReserved(t, r, 0)
}

// Guards against bodies that are read without memory for them: the second of two that do
// not fit together is refused as not run and with a time, announced or in chunks, while a
// small request passes; and against memory that stays reserved after the request.
func TestBodyBeyondTheMemoryIsRefused(t *testing.T) {
	const size = 600 << 10
	e := startEndpoint(t, echo)
	r := newRelayer(t, atMostOnceRoute, e)
	r.Reserver = reserver.New(1<<20, 0)
	r.StartupGate.Open()
	server := serve(t, r)
	body := bytes.Repeat([]byte("x"), size)
	first, firstReader := send(t, server, "first", fmt.Sprintf("Content-Length: %d", size), body[1:])
	waitForReserved(t, r, size)
	for id, framing := range map[string]string{"announced": fmt.Sprintf("Content-Length: %d", size), "chunked": "Transfer-Encoding: chunked"} {
		// The rest of the refused body is not sent, so that the connection is not reset and
		// the refusal not lost.
		text := body[:1<<10]
		if id == "chunked" {
			text = fmt.Appendf(nil, "%x\r\n%s", size, body[:450<<10])
		}
		_, reader := send(t, server, id, framing, text)
		response, refusal := readResponse(t, reader)
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable, id)
		assert.Assert(t, response.Header.Get("Retry-After") != "" && response.Close, id)
		assert.Assert(t, strings.Contains(refusal, `"code":312`) && strings.Contains(refusal, `"outcome":"not-run"`), refusal)
	}
	_, reader := send(t, server, "small", "Content-Length: 5", []byte("hello"))
	response, _ := readResponse(t, reader)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	_, err := first.Write(body[:1])
	assert.NilError(t, err)
	response, _ = readResponse(t, firstReader)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, e.requestCount(), 2)
	waitForReserved(t, r, 0)
}

// Guards against a client that stops short of the end of its body and keeps the memory
// that another one needs, or, when connections are short, its connection; and against a
// request that runs although its client was told that it does not.
func TestStalledBodyGivesWay(t *testing.T) {
	const size = 600 << 10
	e := startEndpoint(t, echo)
	r := newRelayer(t, atMostOnceRoute, e)
	r.Reserver = reserver.New(1<<20, 0)
	r.StartupGate.Open()
	server := serve(t, r)
	body := bytes.Repeat([]byte("x"), size)
	c, reader := send(t, server, "stalled", fmt.Sprintf("Content-Length: %d", size), body[1:])
	waitForReserved(t, r, size)
	// Another request comes when the client has stalled for a minute.
	other, denial := r.Reserver.Open(time.Now().Add(time.Minute), size, func(reserver.Drop) {})
	assert.Assert(t, denial == nil)
	response, refusal := readResponse(t, reader)
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	assert.Assert(t, strings.Contains(refusal, `"code":108`) && strings.Contains(refusal, `"outcome":"not-run"`), refusal)
	_, _ = c.Write(body[:1])
	_, err := reader.ReadByte()
	assert.Assert(t, err != nil, "the connection must be closed")
	other.Release()
	_, reader = send(t, server, "stalled-2", fmt.Sprintf("Content-Length: %d", size), body[1:])
	waitForReserved(t, r, size)
	assert.Assert(t, r.Reserver.DropSlowest(time.Now().Add(time.Minute)))
	_, err = reader.ReadByte()
	assert.Assert(t, err != nil, "the connection must be closed")
	assert.Equal(t, e.requestCount(), 0)
	waitForReserved(t, r, 0)
}

// Guards against a refusal that waits without end for the rest of a body that its client
// does not send: net/http reads it before it writes the response.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	server := startRelayer(t, atMostOnceRoute, startEndpoint(t, echo))
	for _, framing := range []string{"Content-Length: 30000", "Content-Length: 200000", "Transfer-Encoding: chunked"} {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		assert.NilError(t, c.SetDeadline(time.Now().Add(30*time.Second)))
		_, err = fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: unknown\r\nX-Id: r\r\n%s\r\n\r\n8\r\nabcdefgh", framing)
		assert.NilError(t, err)
		reader := bufio.NewReader(c)
		response, _ := readResponse(t, reader)
		assert.Equal(t, response.StatusCode, http.StatusNotFound, framing)
		_, err = reader.ReadByte()
		assert.Equal(t, err, io.EOF, "the connection must be closed: %s", framing)
	}
}

// Guards against a response that its client does not read and that is held without end,
// and against a cut response that looks complete.
func TestUnreadResponseEnds(t *testing.T) {
	const size = 32 << 20
	body := strings.Repeat("x", size)
	e := startEndpoint(t, func(_ int, r *http.Request, c net.Conn) bool {
		return writeResponse(c, r, http.StatusOK, body)
	})
	r := newRelayer(t, atMostOnceRoute, e)
	reports := make(chan relayer.Report, 1)
	r.OnFinished = func(report relayer.Report) { reports <- report }
	r.StartupGate.Open()
	server := serve(t, r)
	_, reader := send(t, server, "unread", "Content-Length: 2\r\nX-Left: 3000", []byte("ab"))
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	select {
	case report := <-reports:
		assert.Assert(t, report.Outcome != "complete")
	case <-time.After(25 * time.Second):
		t.Fatal("the response is still held")
	}
	_, err = io.Copy(io.Discard, response.Body)
	assert.Assert(t, err != nil, "a cut response looks complete")
	waitForReserved(t, r, 0)
}
