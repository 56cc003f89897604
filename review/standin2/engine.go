package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that has reached an engine.
type arrival struct {
	at       time.Time
	id, path string
	engine   string
	service  string
	run      bool
}

// ledger holds what has reached the engines.
type ledger struct {
	mu       sync.Mutex
	arrivals []arrival
}

func (l *ledger) add(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

func (l *ledger) all() []arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]arrival(nil), l.arrivals...)
}

// engine is a stand-in of an engine.
type engine struct {
	id, service, version, zone string
	slots                      int
	work                       time.Duration
	born                       time.Time
	ledger                     *ledger
	listener                   net.Listener
	server                     *http.Server
	store                      *store

	mu       sync.Mutex
	state    string
	sequence int
	gone     bool
	conns    map[net.Conn]bool
	// running holds a token for each request that runs, and waiting is the number of those
	// that wait.
	running chan struct{}
	waiting int
}

// queueLength is the number of requests that may wait at an engine.
const queueLength = 24

// enter waits until the request may run, and returns false if the engine is full or the
// request has gone.
func (e *engine) enter(ctx context.Context) bool {
	e.mu.Lock()
	if e.waiting >= queueLength {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.waiting--
	}()
	select {
	case e.running <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// heartbeat is the time between two writes of an engine's entry.
const heartbeat = 1200 * time.Millisecond

func startEngine(s *store, l *ledger, id, service, version string, slots int, work time.Duration) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, version: version, zone: "z1", slots: slots, work: work, born: time.Now(), ledger: l,
		listener: listener, store: s, state: "ready", conns: map[net.Conn]bool{}, running: make(chan struct{}, slots)}
	e.server = &http.Server{Handler: e, IdleTimeout: 10 * time.Second, ConnState: e.follow}
	go func() { _ = e.server.Serve(listener) }()
	e.write()
	go e.beat()
	return e, nil
}

// beat writes the entry until the engine has left.
func (e *engine) beat() {
	for {
		time.Sleep(heartbeat)
		if e.write().IsZero() {
			return
		}
	}
}

// write writes the entry, and returns the zero time if the engine has none any more.
func (e *engine) write() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return time.Time{}
	}
	e.sequence++
	return e.store.put("servers/"+e.id, map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": e.version, "slots": e.slots,
		"state": e.state, "cold-left-ms": 0, "sequence": e.sequence, "born": e.born.UnixMilli(),
	})
}

// drain reports that the engine leaves, and returns the time of the acknowledgement.
func (e *engine) drain() time.Time {
	e.mu.Lock()
	e.state = "draining"
	e.mu.Unlock()
	return e.write()
}

// follow keeps the list of the open connections.
func (e *engine) follow(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	}
}

// crash ends the engine as the end of its process does: the port is closed and the
// connections are reset. The entry stays until three heartbeats are missed.
func (e *engine) crash() {
	e.mu.Lock()
	e.gone = true
	e.listener.Close()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	e.mu.Unlock()
	_ = e.server.Close()
	time.AfterFunc(3*heartbeat, func() { e.store.remove("servers/" + e.id) })
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	switch {
	case r.URL.Path == "/health":
		w.Header().Set("Instance-Id", e.id)
		return
	case r.URL.Path == "/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"stage":"hybrid","models":[],"busy":false,"sequence":0,"waiting":0,"running":0,"kv-used":0,"kv-total":0,"handles":0,"born":%d}`, e.born.UnixMilli())
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.ledger.add(arrival{at: time.Now(), id: id, path: r.URL.Path, engine: e.id, service: e.service})
	body, _ := io.ReadAll(r.Body)
	if strings.HasPrefix(r.URL.Path, "/chat/") {
		w.Header().Set("Response-Seal", "seal."+id)
		e.chat(r.Context(), w, id)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		w.Header().Set("Response-Seal", "seal."+id)
		e.stream(r.Context(), w, r)
		return
	}
	if !e.enter(r.Context()) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.running }()
	e.ledger.add(arrival{at: time.Now(), id: id, path: r.URL.Path, engine: e.id, service: e.service, run: true})
	w.Header().Set("Response-Seal", "seal."+id)
	select {
	case <-time.After(e.work/2 + rand.N(e.work)):
	case <-r.Context().Done():
		return
	}
	answer := "answer to " + id + " of " + strconv.Itoa(len(body)) + " bytes"
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

const (
	streamEvents = 20
	eventPause   = 40 * time.Millisecond
)

func (e *engine) stream(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		from, _ = strconv.Atoi(last)
	}
	for n := from + 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, r.Header.Get("Request-Id")); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(eventPause):
		case <-ctx.Done():
			return
		}
	}
}

// chatEvents is the number of events of a chat, one each 100 ms.
const chatEvents = 30

// chat writes a stream that pauses in its middle, as one that is preempted does.
func (e *engine) chat(ctx context.Context, w http.ResponseWriter, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	began, paused := time.Now(), false
	for n := 1; n <= chatEvents; n++ {
		pause := 100 * time.Millisecond
		if !paused && time.Since(began) >= pauseAfter {
			pause, paused = pauseTime, true
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}
