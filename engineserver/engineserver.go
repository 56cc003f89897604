// Package engineserver implements a fake model engine (an LLM inference server)
// for tests and demonstrations. It generates tokens for a limited number of
// requests at the same time, queues the others by priority, and caches message
// prefixes in a cache of limited size. The generated tokens depend only on the
// request body, so another engine can resume a stream that was interrupted.
//
// It serves:
//
//	POST /v1/chat/completions          reads X-Request-Id; priority and resume_from are in the body
//	POST /v1/requests/{id}/cancel      cancels a request
//	GET  /v1/models                    lists the loaded models
//	POST /v1/commands                  applies a bergamotdale.Command
//	POST /v1/drain                     refuses new requests from now on
//	GET  /load, GET /health            delayed load report, liveness
//	GET  /v1/cache/events?after=N      cache events after sequence number N
//	GET  /v1/cache/export?prefix=HASH  exports a cached prefix, or without HASH the whole cache
//	POST /v1/cache/import              imports the response of an export
//	GET  /counters                     Counters
//	     /faults                       see package injector
//
// The id of a stream event is the number of response tokens up to and including
// that event. A client that has received the event sends this number as
// resume_from to resume the stream. The last event before [DONE] carries the
// usage and the checksum of the whole response, even if the stream was resumed.
// A stream that cannot be completed ends with an error event.
package engineserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/enginebatcher"
	"github.com/bergamotdale/bergamotdale/enginecacher"
	"github.com/bergamotdale/bergamotdale/injector"
	"github.com/bergamotdale/bergamotdale/lagger"
	"github.com/bergamotdale/bergamotdale/replier"
)

const (
	defaultSlots       = 8
	defaultTokenRate   = 50
	defaultPrefillRate = 10000
	defaultCacheTokens = 200000
	defaultHeartbeat   = time.Second
)

// Server is a fake model engine. Its exported fields are set before the first
// call of a method.
type Server struct {
	// Address is the host:port that Run listens on unless Listener is set.
	Address  string
	Listener net.Listener
	// Name is included in each response, so that a test can tell engines apart.
	Name string
	// Slots is the maximum number of requests that generate tokens at the same
	// time; zero selects 8.
	Slots int
	// MaxQueue is the maximum number of requests that wait for a slot. Further
	// requests are refused. Zero means no limit.
	MaxQueue int
	// TokenRate is the number of tokens per second that a stream generates
	// while no other request runs; zero selects 50.
	TokenRate float64
	// BatchPenalty is the fraction by which each additional running request
	// increases the time between tokens.
	BatchPenalty float64
	// PrefillRate is the number of uncached prompt tokens that are processed
	// per second; zero selects 10000.
	PrefillRate float64
	// CacheTokens is the capacity of the prefix cache in tokens; zero selects
	// 200000.
	CacheTokens int
	// Heartbeat is the interval at which a stream receives a heartbeat, which
	// is an SSE comment; zero selects 1 s.
	Heartbeat time.Duration
	// LoadLag is the age of the load reports that GET /load returns.
	LoadLag time.Duration
	// CacheEventLag is the delay after which a cache event can be read.
	CacheEventLag time.Duration
	// CacheEventGap drops every n-th cache event: those whose sequence number
	// is a multiple of it. Zero drops none.
	CacheEventGap int64
	// CheckFencing makes the engine reject commands whose fencing token is
	// lower than the highest one seen.
	CheckFencing bool
	// Models lists the models that are loaded at the start. If it is empty, the
	// engine accepts requests for every model.
	Models []string
	// Role is the initial role, which commands change.
	Role string
	// Faults holds the injected faults; nil selects an injector without faults.
	Faults *injector.Injector

	once        sync.Once
	batcher     *enginebatcher.Batcher
	cache       *enginecacher.Cacher
	loadHistory lagger.History[bergamotdale.EngineLoad]
	control     *controlState
	stats       *stats
}

// Run serves requests until the context is done.
func (s *Server) Run(ctx context.Context) error {
	s.once.Do(s.init)
	return s.Faults.Serve(ctx, s.Listener, s.Address, s.mux())
}

// Handler returns the HTTP handler of the engine, with faults applied.
func (s *Server) Handler() http.Handler {
	s.once.Do(s.init)
	return s.Faults.Wrap(s.mux())
}

// Drain makes the engine refuse new requests. Running and queued requests are
// completed.
func (s *Server) Drain() {
	s.once.Do(s.init)
	s.control.drain()
	s.recordLoad()
}

// Counters returns a snapshot of the counters.
func (s *Server) Counters() Counters {
	s.once.Do(s.init)
	return s.stats.snapshot(s.batcher)
}

func (s *Server) init() {
	s.Slots = orDefault(s.Slots, defaultSlots)
	s.TokenRate = orDefault(s.TokenRate, defaultTokenRate)
	s.PrefillRate = orDefault(s.PrefillRate, defaultPrefillRate)
	s.CacheTokens = orDefault(s.CacheTokens, defaultCacheTokens)
	s.Heartbeat = orDefault(s.Heartbeat, defaultHeartbeat)
	if s.Faults == nil {
		s.Faults = &injector.Injector{}
	}
	s.batcher = enginebatcher.New(s.Slots, s.MaxQueue)
	s.cache = enginecacher.New(s.CacheTokens, s.CacheEventLag, s.CacheEventGap)
	s.loadHistory.MaxLag = s.LoadLag
	s.control = newControlState(s.Models, s.Role, s.CheckFencing)
	s.stats = newStats()
	s.recordLoad()
}

// orDefault returns the value, or the default if the value is not positive.
func orDefault[T int | float64 | time.Duration](value, defaultValue T) T {
	if value > 0 {
		return value
	}
	return defaultValue
}

func (s *Server) mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+injector.CountersPath, func(w http.ResponseWriter, _ *http.Request) {
		replier.JSON(w, http.StatusOK, s.Counters())
	})
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("GET /v1/models", s.serveModels)
	mux.HandleFunc("POST /v1/chat/completions", s.serveCompletion)
	mux.HandleFunc("POST /v1/requests/{id}/cancel", s.serveCancel)
	mux.HandleFunc("GET /v1/cache/events", s.serveCacheEvents)
	mux.HandleFunc("GET /v1/cache/export", s.serveCacheExport)
	mux.HandleFunc("POST /v1/cache/import", s.serveCacheImport)
	mux.HandleFunc("POST /v1/commands", s.serveCommand)
	mux.HandleFunc("POST /v1/drain", s.serveDrain)
	return mux
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	status := "ok"
	if s.control.draining() {
		status = "draining"
	}
	replier.JSON(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{status})
}

func (s *Server) serveDrain(w http.ResponseWriter, _ *http.Request) {
	s.Drain()
	w.WriteHeader(http.StatusNoContent)
}

// recordLoad adds the current load to the history from which GET /load answers.
func (s *Server) recordLoad() {
	running, queued := s.batcher.Counts()
	load := bergamotdale.EngineLoad{
		Running:       running,
		Queued:        queued,
		Slots:         s.Slots,
		CacheTokens:   s.cache.Size(),
		CacheCapacity: s.CacheTokens,
	}
	s.control.fillLoad(&load)
	s.loadHistory.Set(time.Now(), load)
}
