package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// slots and queue are the requests that an engine runs at once and keeps waiting.
	slots = 256
	queue = 768
	// bookingService is the service of all routes, and modelService has none.
	bookingService = "depot-app"
	modelService   = "llm-pool"
	// streamPrefix begins the paths of streams, and eventPause is the time between two
	// of their events.
	streamPrefix = "/chat-in/"
	eventPause   = 300 * time.Millisecond
)

// runs records which requests engines have begun and finished.
type runs struct {
	mu       sync.Mutex
	begun    map[string]int
	finished map[string]bool
}

func newRuns() *runs { return &runs{begun: map[string]int{}, finished: map[string]bool{}} }

func (r *runs) begin(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun[id]++
}

func (r *runs) finish(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished[id] = true
}

// count returns how often a request was begun.
func (r *runs) count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun[id]
}

// isFinished reports whether a request was run to its end.
func (r *runs) isFinished(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finished[id]
}

// engine is a sound engine of a plain service.
type engine struct {
	id      string
	address string
	// service is that which the engine's own entry names.
	service string
	runs    *runs
	record  *record
	// work is how long a request runs, by the beginning of its path.
	work map[string]time.Duration
	// slots is the number of requests that run at once.
	slots int
	// places holds a token for each request that is running or waiting, and running one
	// for each that is running.
	places, running chan struct{}

	mu     sync.Mutex
	server *http.Server
	// closed is set at the end of the case.
	closed bool
	// begins lists the requests that the engine began to run.
	begins []begin
}

// begin is a request that an engine began to run.
type begin struct {
	id string
	at time.Time
}

func newEngine(id, service string, r *runs, rec *record, work map[string]time.Duration) (*engine, error) {
	e := &engine{
		id: id, address: "127.0.0.1:0", service: service, runs: r, record: rec, work: work,
	}
	e.setSize(slots, queue)
	return e, e.start()
}

// setSize sets the number of requests that run at once and that wait besides. It is called
// before the engine gets requests.
func (e *engine) setSize(slots, queue int) {
	e.slots = slots
	e.places, e.running = make(chan struct{}, slots+queue), make(chan struct{}, slots)
}

// start begins to serve on the engine's address.
func (e *engine) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return l.Close()
	}
	e.address = l.Addr().String()
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute, IdleTimeout: 30 * time.Second}
	server := e.server
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash ends the process of the engine: its connections are closed and its port refuses
// others.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close()
}

// begunAfter returns the requests that the engine began to run after a time.
func (e *engine) begunAfter(t time.Time) []begin {
	e.mu.Lock()
	defer e.mu.Unlock()
	var later []begin
	for _, b := range e.begins {
		if b.at.After(t) {
			later = append(later, b)
		}
	}
	return later
}

// close ends the engine for good.
func (e *engine) close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.crash()
}

// document is what the engine writes about itself to the store.
func (e *engine) document(born time.Time) map[string]any {
	return map[string]any{
		"service": e.service, "address": e.address, "zone": "suwon", "version": "v1", "slots": e.slots,
		"state": "ready", "cold-left-ms": 0, "sequence": 1, "born": born.UnixMilli(),
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != e.id {
		e.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	select {
	case e.places <- struct{}{}:
		defer func() { <-e.places }()
	default:
		e.refuse(w, http.StatusServiceUnavailable)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case e.running <- struct{}{}:
		defer func() { <-e.running }()
	case <-r.Context().Done():
		return
	}
	e.runs.begin(id)
	e.mu.Lock()
	e.begins = append(e.begins, begin{id: id, at: time.Now()})
	e.mu.Unlock()
	e.record.note("engine %s runs %s", e.id, id)
	w.Header().Set("Response-Seal", "seal-"+id)
	stream := strings.HasPrefix(r.URL.Path, streamPrefix)
	if stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	ends := time.Now().Add(e.workOf(r.URL.Path))
	for event := 1; time.Now().Before(ends); event++ {
		pause := time.Until(ends)
		if stream {
			pause = min(pause, eventPause)
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			e.record.note("engine %s drops %s, whose connection was closed", e.id, id)
			return
		}
		if stream {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event, id)
			_ = http.NewResponseController(w).Flush()
		}
	}
	e.runs.finish(id)
	e.record.note("engine %s has finished %s", e.id, id)
	if !stream {
		_, _ = io.WriteString(w, strings.Repeat("x", 800))
	}
}

func (e *engine) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func (e *engine) workOf(path string) time.Duration {
	for prefix, d := range e.work {
		if strings.HasPrefix(path, prefix) {
			return d
		}
	}
	return 0
}
