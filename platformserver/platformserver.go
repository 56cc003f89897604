// Package platformserver is a fake of the platform that the fleet runs on. It
// provides a key-value store (package kvserver) with rate limits, added latency
// and call counters, and a VM list that reaches each caller with a delay and can
// be made to differ between callers. Faults can be injected into all calls.
//
// It serves these paths:
//
//	/v1/kv/, /v1/txn, /v1/session/     key-value store, see package kvserver
//	GET /v1/vms                        VM list as the caller sees it
//	PUT /settings/vms?caller=NAME      sets the VM list of all callers or of one
//	GET /counters                      call counters, see Counters
//	    /faults                        fault injection, see package injector
//
// The X-Caller header of a request is the name of the caller.
package platformserver

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/injector"
	"github.com/bergamotdale/bergamotdale/kvserver"
	"github.com/bergamotdale/bergamotdale/replier"
	"github.com/bergamotdale/bergamotdale/requester"
)

// Server is the fake platform. Its exported fields must be set before any other
// use.
type Server struct {
	// Address is the host:port on which Run listens if Listener is nil.
	Address  string
	Listener net.Listener
	// Latency is added to each call to the store.
	Latency time.Duration
	// ReadRate and WriteRate limit the reads and writes of the store per second,
	// of all callers together; zero means no limit. Calls above the limit are
	// rejected with status 429.
	ReadRate  float64
	WriteRate float64
	// VMLagMin and VMLagMax are the minimum and maximum delay with which callers
	// see changes of the VM list. Each caller has a constant delay between them.
	VMLagMin time.Duration
	VMLagMax time.Duration
	// Faults injects faults into calls; nil for none.
	Faults *injector.Injector

	once   sync.Once
	kv     *kvserver.Server
	vms    *vmViews
	counts *counter
	reads  *tokenBucket
	writes *tokenBucket
}

// Run serves HTTP requests, with faults injected, until the context is done.
func (s *Server) Run(ctx context.Context) error {
	s.once.Do(s.initialize)
	return s.Faults.Serve(ctx, s.Listener, s.Address, s.newMux())
}

// Handler returns the HTTP handler of the platform with faults injected.
func (s *Server) Handler() http.Handler {
	s.once.Do(s.initialize)
	return s.Faults.Wrap(s.newMux())
}

// SetVMs replaces the VM list. Each caller sees the change after its delay.
func (s *Server) SetVMs(vms []bergamotdale.VM) {
	s.once.Do(s.initialize)
	s.vms.set(time.Now(), vms)
}

// OverrideVMs makes one caller see this VM list at once instead of the common
// one; nil removes the override.
func (s *Server) OverrideVMs(caller string, vms []bergamotdale.VM) {
	s.once.Do(s.initialize)
	s.vms.override(caller, vms)
}

// Counters returns a copy of the current call counters.
func (s *Server) Counters() Counters {
	s.once.Do(s.initialize)
	return s.counts.snapshot()
}

func (s *Server) initialize() {
	if s.Faults == nil {
		s.Faults = &injector.Injector{}
	}
	s.kv = kvserver.New()
	s.vms = newVMViews(s.VMLagMin, s.VMLagMax)
	s.counts = newCounter()
	s.reads = newTokenBucket(s.ReadRate)
	s.writes = newTokenBucket(s.WriteRate)
}

func (s *Server) newMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+injector.CountersPath, func(w http.ResponseWriter, _ *http.Request) {
		replier.JSON(w, http.StatusOK, s.Counters())
	})
	mux.Handle("/v1/kv/", s.countAndLimit(s.kv))
	mux.Handle("/v1/txn", s.countAndLimit(s.kv))
	mux.Handle("/v1/session/", s.countAndLimit(s.kv))
	mux.HandleFunc("GET /v1/vms", s.listVMs)
	mux.HandleFunc("PUT "+injector.SettingsPath+"vms", s.putVMs)
	return mux
}

// countAndLimit returns a handler that counts each call, applies the rate limit
// and adds the latency before it calls h.
func (s *Server) countAndLimit(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.counts.add(r.Header.Get(requester.CallerHeader), callKind(r))
		limit := s.writes
		if r.Method == http.MethodGet {
			limit = s.reads
		}
		if !limit.take(time.Now()) {
			s.counts.reject()
			http.Error(w, "Your IP is issuing too many concurrent requests", http.StatusTooManyRequests)
			return
		}
		if s.Latency > 0 && bergamotdale.Wait(r.Context(), bergamotdale.SystemClock{}, s.Latency) != nil {
			return
		}
		h.ServeHTTP(w, r)
	})
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	caller := r.Header.Get(requester.CallerHeader)
	s.counts.add(caller, kindVMs)
	replier.JSON(w, http.StatusOK, s.vms.visibleTo(time.Now(), caller))
}

// putVMs sets the VM list, or overrides that of the caller in the query.
func (s *Server) putVMs(w http.ResponseWriter, r *http.Request) {
	var vms []bergamotdale.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if caller := r.URL.Query().Get("caller"); caller != "" {
		s.vms.override(caller, vms)
		return
	}
	s.vms.set(time.Now(), vms)
}
