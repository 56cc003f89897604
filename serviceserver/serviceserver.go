// Package serviceserver is a fake of a plain service. It executes POST /<call>
// and counts the executions of each idempotency key and request id. It doesn't
// deduplicate, so that a second execution of a call shows in the counts, which
// GET /counters returns. Package injector describes /faults.
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

// maxBody is the longest request body accepted, in bytes.
const maxBody = 1 << 20

// Server is a plain service.
type Server struct {
	// Address is the host:port that Run listens on unless Listener is set.
	Address  string
	Listener net.Listener
	// Name is part of each response, so that a test can tell services apart.
	Name string
	// Latency is the time that the execution of a call takes.
	Latency time.Duration
	// Faults may be nil.
	Faults *injector.Injector

	mu       sync.Mutex
	counters Counters
}

// Counters tells how often calls were executed.
type Counters struct {
	Executions int            `json:"executions"`
	ByKey      map[string]int `json:"by-key"`
	ByRequest  map[string]int `json:"by-request"`
	ByCall     map[string]int `json:"by-call"`
}

// Result is the body of a successful response.
type Result struct {
	Service   string          `json:"service"`
	Call      string          `json:"call"`
	RequestID string          `json:"request-id"`
	Key       string          `json:"key"`
	Execution int             `json:"execution"`
	Echo      json.RawMessage `json:"echo,omitempty"`
}

// Run serves until the context is done.
func (s *Server) Run(ctx context.Context) error {
	return s.injector().Serve(ctx, s.Listener, s.Address, s.mux())
}

// Handler returns the handler with faults applied.
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
	mux.HandleFunc("POST /{call...}", s.call)
	return mux
}

// call executes a call. The count rises before the latency passes, because a
// call that was started counts as executed even if its caller goes away.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return
	}
	if len(body) > 0 && !json.Valid(body) {
		replier.Refusal(w, bergamotdale.Refuse(bergamotdale.CodeInvalidJSON, "the body is not JSON"))
		return
	}
	s.injector().CrashIfMarked(body)
	res := Result{
		Service:   s.Name,
		Call:      strings.Trim(r.PathValue("call"), "/"),
		RequestID: r.Header.Get("X-Request-Id"),
		Key:       r.Header.Get("Idempotency-Key"),
		Echo:      body,
	}
	res.Execution = s.count(res)
	if s.Latency > 0 && bergamotdale.Wait(r.Context(), bergamotdale.SystemClock{}, s.Latency) != nil {
		return
	}
	replier.JSON(w, http.StatusOK, res)
}

// count counts an execution and returns how often its key was executed.
func (s *Server) count(r Result) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.counters
	c.Executions++
	c.ByKey = increment(c.ByKey, r.Key)
	c.ByRequest = increment(c.ByRequest, r.RequestID)
	c.ByCall = increment(c.ByCall, r.Call)
	return c.ByKey[r.Key]
}

func increment(m map[string]int, key string) map[string]int {
	if m == nil {
		m = map[string]int{}
	}
	m[key]++
	return m
}

func clone(m map[string]int) map[string]int {
	c := make(map[string]int, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}
