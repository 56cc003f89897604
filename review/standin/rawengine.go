package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// extraShare is the part of a faulty engine's answers after which additional bytes
	// follow: at least minExtra and less than maxExtra bytes of a second copy.
	extraShare = 0.03
	minExtra   = 50
	maxExtra   = 90
	// lookupErrors and bookingErrors are the parts of the requests that engines answer
	// with 500.
	lookupErrors  = 0.14
	bookingErrors = 0.004
	// rawWork is how long a request runs.
	rawWork = 60 * time.Millisecond
	// rawPlaces is the number of requests that an engine runs and keeps waiting.
	rawPlaces = 6
)

// answer is what an engine has answered to a request.
type answer struct {
	status int
	body   string
}

// rawEngine is an engine that writes its answers byte by byte. If it is faulty, it sends
// additional bytes after some of its complete answers: the beginning of a second copy,
// which arrives late, at the point where the next answer on the connection is expected.
type rawEngine struct {
	id       string
	faulty   bool
	record   *record
	listener net.Listener

	mu     sync.Mutex
	random *rand.Rand
	conns  map[net.Conn]bool
	// answers holds the answers by the ID of the request, and bookings the number of runs
	// by the body of the request.
	answers  map[string]answer
	bookings map[string]int
	// busy is the number of requests in the engine.
	busy   int
	extras int
}

func newRawEngine(id string, faulty bool, rec *record, seed uint64) (*rawEngine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &rawEngine{
		id: id, faulty: faulty, record: rec, listener: l, random: rand.New(rand.NewPCG(11, seed)),
		conns: map[net.Conn]bool{}, answers: map[string]answer{}, bookings: map[string]int{},
	}
	go e.accept()
	return e, nil
}

func (e *rawEngine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *rawEngine) close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.Close()
	}
}

// chance decides at random.
func (e *rawEngine) chance(probability float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64() < probability
}

// serve serves one request at a time.
func (e *rawEngine) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	extra := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if extra != "" {
			e.record.note("engine %s sends additional bytes: %q", e.id, extra)
			if _, err := io.WriteString(c, extra); err != nil {
				return
			}
			extra = ""
		}
		text := e.answer(r, string(body))
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if e.faulty && e.chance(extraShare) {
			e.mu.Lock()
			extra = text[:minExtra+e.random.IntN(maxExtra-minExtra)]
			e.extras++
			e.mu.Unlock()
		}
	}
}

// enter reports whether the engine has a place for a request.
func (e *rawEngine) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy == rawPlaces {
		return false
	}
	e.busy++
	return true
}

// answer runs the request, if there is a place for it, and returns the answer.
func (e *rawEngine) answer(r *http.Request, body string) string {
	id := r.Header.Get("Request-Id")
	if r.Header.Get("Expect-Instance") != e.id {
		return refusal("421 Misdirected Request", id)
	}
	if !e.enter() {
		e.record.note("engine %s is full and does not run %s", e.id, id)
		return refusal("503 Service Unavailable", id)
	}
	<-time.After(rawWork)
	a := answer{status: http.StatusOK, body: strings.Repeat("x", 800-len(id)) + id}
	errors := bookingErrors
	if r.Method == http.MethodGet {
		errors = lookupErrors
	}
	if e.chance(errors) {
		a = answer{status: http.StatusInternalServerError, body: "request " + id + " has failed"}
	}
	e.mu.Lock()
	e.busy--
	e.answers[id] = a
	if body != "" {
		e.bookings[body]++
	}
	e.mu.Unlock()
	e.record.note("engine %s has run %s and answers %d", e.id, id, a.status)
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s-%s\r\nContent-Length: %d\r\n\r\n%s",
		a.status, http.StatusText(a.status), id, e.id, id, len(a.body), a.body)
}

// refusal returns the answer to a request that is not run.
func refusal(status, id string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nNot-Executed: 1\r\nDate: %s\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n",
		status, time.Now().UTC().Format(http.TimeFormat), id)
}

// given returns what the engine has answered to a request.
func (e *rawEngine) given(id string) (answer, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.answers[id]
	return a, ok
}
