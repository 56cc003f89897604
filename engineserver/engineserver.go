// Package engineserver is a fake of a model engine. It batches a limited
// number of requests at once, queues the rest by priority, caches message
// prefixes in limited memory, and generates tokens that depend only on the
// request body, so that another engine can continue the same stream.
//
// It serves:
//
//	POST /v1/chat/completions          X-Request-Id; priority and resume_from in the body
//	POST /v1/requests/{id}/cancel      ends a request
//	GET  /v1/models                    loaded models
//	POST /v1/commands                  bergamotdale.Command
//	POST /v1/drain                     refuses new requests from now on
//	GET  /load, GET /health            lagging load report, liveness
//	GET  /v1/cache/events?after=N      cache events
//	GET  /v1/cache/export?prefix=HASH  KV export; without a prefix, of everything
//	POST /v1/cache/import              KV import of an export
//	GET  /counters                     Counters
//	     /faults                       see package injector
//
// An event of a stream has the number of tokens up to its end as its id, which
// is the resume_from of a client that has received it. The last event before
// [DONE] carries the usage and the checksum of the whole response, also after
// a resumption. A stream that won't be completed ends with an error event.
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

// Server is a model engine.
type Server struct {
	// Address is the host:port that Run listens on unless Listener is set.
	Address  string
	Listener net.Listener
	// Name is part of each response, so that a test can tell engines apart.
	Name string
	// Slots is the number of requests batched at once; zero selects 8.
	Slots int
	// MaxQueue is the number of requests that may wait for a slot; a further
	// one is refused. Zero is unlimited.
	MaxQueue int
	// TokenRate is the number of tokens per second of one stream that runs
	// alone; zero selects 50.
	TokenRate float64
	// BatchPenalty is the part by which each further running request
	// lengthens the time between tokens.
	BatchPenalty float64
	// PrefillRate is the number of prompt tokens per second; zero selects
	// 10000.
	PrefillRate float64
	// CacheTokens is the capacity of the prefix cache in tokens; zero selects
	// 200000.
	CacheTokens int
	// Heartbeat is the time between SSE comments; zero selects 1 s.
	Heartbeat time.Duration
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CacheEventLag is the time after which a cache event can be read.
	CacheEventLag time.Duration
	// CacheEventGap makes each event whose sequence number it divides get
	// lost; zero loses none.
	CacheEventGap int64
	// CheckFencing makes the engine reject commands whose fencing token is
	// lower than the highest one seen.
	CheckFencing bool
	// Models is what is loaded at the start; empty accepts every model.
	Models []string
	// Role is the initial role.
	Role string
	// Faults may be nil.
	Faults *injector.Injector

	once    sync.Once
	batch   *enginebatcher.Batcher
	cache   *enginecacher.Cacher
	reports lagger.History[bergamotdale.EngineLoad]
	setup   *setup
	stats   *stats
}

// Run serves until the context is done.
func (s *Server) Run(ctx context.Context) error {
	s.once.Do(s.init)
	return s.Faults.Serve(ctx, s.Listener, s.Address, s.mux())
}

// Handler returns the handler with faults applied.
func (s *Server) Handler() http.Handler {
	s.once.Do(s.init)
	return s.Faults.Wrap(s.mux())
}

// Drain makes the engine refuse new requests; running ones finish.
func (s *Server) Drain() {
	s.once.Do(s.init)
	s.setup.drain()
	s.report()
}

// Counters returns what the engine has executed so far.
func (s *Server) Counters() Counters {
	s.once.Do(s.init)
	return s.stats.snapshot(s.batch)
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
	s.batch = enginebatcher.New(s.Slots, s.MaxQueue)
	s.cache = enginecacher.New(s.CacheTokens, s.CacheEventLag, s.CacheEventGap)
	s.reports.MaxLag = s.LoadLag
	s.setup = newSetup(s.Models, s.Role, s.CheckFencing)
	s.stats = newStats()
	s.report()
}

func orDefault[T int | float64 | time.Duration](v, otherwise T) T {
	if v > 0 {
		return v
	}
	return otherwise
}

func (s *Server) mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+injector.CountersPath, func(w http.ResponseWriter, _ *http.Request) {
		replier.JSON(w, http.StatusOK, s.Counters())
	})
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("GET /v1/models", s.models)
	mux.HandleFunc("POST /v1/chat/completions", s.complete)
	mux.HandleFunc("POST /v1/requests/{id}/cancel", s.cancel)
	mux.HandleFunc("GET /v1/cache/events", s.cacheEvents)
	mux.HandleFunc("GET /v1/cache/export", s.exportCache)
	mux.HandleFunc("POST /v1/cache/import", s.importCache)
	mux.HandleFunc("POST /v1/commands", s.command)
	mux.HandleFunc("POST /v1/drain", s.drain)
	return mux
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	status := "ok"
	if s.setup.draining() {
		status = "draining"
	}
	replier.JSON(w, http.StatusOK, struct {
		Status string `json:"status"`
	}{status})
}

func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	s.Drain()
	w.WriteHeader(http.StatusNoContent)
}

// report records the current load for later reports.
func (s *Server) report() {
	running, queued := s.batch.Size()
	l := bergamotdale.EngineLoad{
		Running:       running,
		Queued:        queued,
		Slots:         s.Slots,
		CacheTokens:   s.cache.Size(),
		CacheCapacity: s.CacheTokens,
	}
	s.setup.describe(&l)
	s.reports.Set(time.Now(), l)
}
