package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	apiKey = "n2ctnfzs989anu6wsjnb"
	// connectLimit is how long a client waits for a new connection.
	connectLimit = time.Second
)

// requestCount numbers the requests of all clients.
var requestCount atomic.Int64

// client is a client that keeps its connection for many requests.
type client struct {
	stage  *stage
	number int
	random *rand.Rand
	// budget is how long the client waits for an answer.
	budget time.Duration

	router *router
	conn   net.Conn
	reader *bufio.Reader
	// carried is the number of answers that the connection has brought.
	carried int
}

func newClient(s *stage, number int, budget time.Duration) *client {
	return &client{stage: s, number: number, random: rand.New(rand.NewPCG(7, uint64(number))), budget: budget}
}

// connect opens a connection. The platform forwards it to a router in rotation, chosen
// by a hash of the client.
func (c *client) connect() error {
	rotation := c.stage.rotation()
	if len(rotation) == 0 {
		return fmt.Errorf("no router in rotation")
	}
	r := rotation[c.number%len(rotation)]
	conn, err := net.DialTimeout("tcp", r.clients, connectLimit)
	if err != nil {
		return err
	}
	c.router, c.conn, c.reader, c.carried = r, conn, bufio.NewReaderSize(conn, 1<<10), 0
	return nil
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads its answer. It returns the status, or 0 without an
// answer.
func (c *client) send(method, path string, body []byte) int {
	id := fmt.Sprintf("%016x", requestCount.Add(1))
	if c.conn == nil {
		if err := c.connect(); err != nil {
			return 0
		}
	}
	_ = c.conn.SetDeadline(time.Now().Add(c.budget))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nTime-Budget-Ms: %d\r\nApi-Key: %s\r\n",
		method, path, id, c.budget.Milliseconds(), apiKey)
	if method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	kept := c.carried > 0
	c.stage.record.note("client %d sends %s %s to %s, connection kept %t", c.number, id, path, c.router.name, kept)
	_, err := io.WriteString(c.conn, head+"\r\n")
	if err == nil && len(body) > 0 {
		_, err = c.conn.Write(body)
	}
	status, keep := 0, false
	if err == nil {
		status, keep, err = c.read(method)
	}
	if err != nil {
		c.stage.record.note("client %d has no answer to %s: %v", c.number, id, err)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			if kept {
				c.stage.recordLoss(c.router, id)
			}
		}
		c.disconnect()
		return 0
	}
	c.stage.record.note("client %d has status %d for %s", c.number, status, id)
	c.stage.recordAnswer(status)
	c.carried++
	if !keep {
		c.disconnect()
	}
	return status
}

// clientAnswer is the answer to a request. Its status is 0 if there is none.
type clientAnswer struct {
	id, seal, body string
	status         int
	// retryAfter is the time that the answer names.
	retryAfter time.Duration
}

// answer sends a request and returns its answer. Its body is kept, other than by send.
func (c *client) answer(method, path, sent string) clientAnswer {
	a := clientAnswer{id: fmt.Sprintf("%016x", requestCount.Add(1))}
	if c.conn == nil {
		if err := c.connect(); err != nil {
			return a
		}
	}
	_ = c.conn.SetDeadline(time.Now().Add(c.budget))
	c.stage.record.note("client %d sends %s %s %s to %s: %q", c.number, a.id, method, path, c.router.name, sent)
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nTime-Budget-Ms: %d\r\nApi-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, a.id, c.budget.Milliseconds(), apiKey, len(sent), sent)
	var resp *http.Response
	var body []byte
	if err == nil {
		resp, err = http.ReadResponse(c.reader, &http.Request{Method: method})
	}
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		c.stage.record.note("client %d has no answer to %s: %v", c.number, a.id, err)
		c.disconnect()
		return a
	}
	c.stage.record.note("client %d has status %d for %s", c.number, resp.StatusCode, a.id)
	c.stage.recordAnswer(resp.StatusCode)
	if resp.Close {
		c.disconnect()
	}
	a.status, a.seal, a.body = resp.StatusCode, resp.Header.Get("Response-Seal"), string(body)
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return a
}

// read reads an answer, and reports whether the connection can be kept.
func (c *client) read(method string) (int, bool, error) {
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false, err
	}
	return resp.StatusCode, !resp.Close, nil
}

// rest keeps the connection open until the router closes it or done is closed.
func (c *client) rest(done <-chan struct{}) {
	if c.conn == nil {
		return
	}
	conn, closed := c.conn, make(chan struct{})
	_ = conn.SetDeadline(time.Time{})
	go func() {
		defer close(closed)
		_, _ = conn.Read(make([]byte, 1))
	}()
	select {
	case <-closed:
	case <-done:
	}
}

// uniqueBody returns a body that no other request has.
func (c *client) uniqueBody() string {
	return fmt.Sprintf("booking %d of client %d", requestCount.Load(), c.number)
}

// pause waits between half of the time and one and a half times it, and reports whether
// the case goes on.
func (c *client) pause(d time.Duration, done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	case <-time.After(d/2 + time.Duration(c.random.Int64N(int64(d)))):
		return true
	}
}
