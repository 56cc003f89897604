// Package serviceserver implements a fake plain service, which is an endpoint other
// than a model engine, for tests and demonstrations. It executes POST /<call> and
// counts the executions by idempotency key, request id and call. It does not
// deduplicate calls, so that a repeated execution is visible in the counts, which
// GET /counters returns. The paths below /faults inject faults; see package
// injector.
package serviceserver

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/injector"
	"github.com/bergamotdale/bergamotdale/replier"
)

// maxBodyBytes is the size of the largest request body that is accepted.
const maxBodyBytes = 1 << 20

// Server is a fake plain service.
type Server struct {
	// Address is the host:port that Run listens on unless Listener is set.
	Address  string
	Listener net.Listener
	// Name is included in each response, so that a test can tell services apart.
	Name string
	// Latency is the time that the execution of a call takes.
	Latency time.Duration
	// Faults holds the injected faults; nil selects an injector without faults.
	Faults *injector.Injector

	mu       sync.Mutex
	counters Counters
}

// Counters holds the number of executed calls, in total and by idempotency key,
// request id and call.
type Counters struct {
	Executions int            `json:"executions"`
	ByKey      map[string]int `json:"by-key"`
	ByRequest  map[string]int `json:"by-request"`
	ByCall     map[string]int `json:"by-call"`
}

// Result is the JSON body of a successful response.
type Result struct {
	Service   string `json:"service"`
	Call      string `json:"call"`
	RequestID string `json:"request-id"`
	Key       string `json:"key"`
	// Execution is the number of executions with this key so far, including this
	// one.
	Execution int `json:"execution"`
	// Echo is the request body.
	Echo json.RawMessage `json:"echo,omitempty"`
}

// Run serves requests until the context is done.
func (s *Server) Run(ctx context.Context) error {
	return s.injector().Serve(ctx, s.Listener, s.Address, s.mux())
}

// Handler returns the HTTP handler of the service, with faults applied.
func (s *Server) Handler() http.Handler {
	return s.injector().Wrap(s.mux())
}

// Counters returns a copy of the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counters{
		Executions: s.counters.Executions,
		ByKey:      clone(s.counters.ByKey),
		ByRequest:  clone(s.counters.ByRequest),
		ByCall:     clone(s.counters.ByCall),
	}
}

// injector returns the fault injector and creates one if Faults is nil.
func (s *Server) injector() *injector.Injector {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Faults == nil {
		s.Faults = &injector.Injector{}
	}
	return s.Faults
}

func (s *Server) mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+injector.CountersPath, func(w http.ResponseWriter, _ *http.Request) {
		replier.JSON(w, http.StatusOK, s.Counters())
	})
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /{call...}", s.serveCall)
	return mux
}

// serveCall executes a call. It counts the execution before it waits for the
// latency, because a call that has started counts as executed even if the client
// disconnects.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if len(body) > 0 && !json.Valid(body) {
		replier.Refusal(w, bergamotdale.Refuse(bergamotdale.CodeInvalidJSON, "the request body is not valid JSON"))
		return
	}
	s.injector().CrashIfMarked(body)
	result := Result{
		Service:   s.Name,
		Call:      strings.Trim(r.PathValue("call"), "/"),
		RequestID: r.Header.Get("X-Request-Id"),
		Key:       r.Header.Get("Idempotency-Key"),
		Echo:      body,
	}
	result.Execution = s.countExecution(result)
	if s.Latency > 0 && bergamotdale.Wait(r.Context(), bergamotdale.SystemClock{}, s.Latency) != nil {
		return
	}
	replier.JSON(w, http.StatusOK, result)
}

// countExecution counts an execution and returns the number of executions with its
// idempotency key.
func (s *Server) countExecution(r Result) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.counters
	c.Executions++
	c.ByKey = increment(c.ByKey, r.Key)
	c.ByRequest = increment(c.ByRequest, r.RequestID)
	c.ByCall = increment(c.ByCall, r.Call)
	return c.ByKey[r.Key]
}

// increment adds one to the value of the key, and creates the map if it is nil.
func increment(m map[string]int, key string) map[string]int {
	if m == nil {
		m = map[string]int{}
	}
	m[key]++
	return m
}

// clone returns a copy of the map; the copy of a nil map is empty, not nil.
func clone(m map[string]int) map[string]int {
	c := make(map[string]int, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}
