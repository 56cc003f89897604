// Package platformserver is a fake of the platform: the key-value store of
// kvserver with rate limits and counts of each call, and a VM list that lags
// and can differ by caller.
//
// It serves:
//
//	/v1/kv/, /v1/txn, /v1/session/     see package kvserver
//	GET /v1/vms                        VM list as the caller sees it
//	PUT /settings/vms?caller=NAME      sets the list, or that of one caller
//	GET /counters                      Counters
//	    /faults                        see package injector
//
// The X-Caller header names the caller.
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

// Server is the platform.
type Server struct {
	// Address is the host:port that Run listens on unless Listener is set.
	Address  string
	Listener net.Listener
	// Latency is added to each call of the store.
	Latency time.Duration
	// ReadRate and WriteRate limit the calls per second of all callers
	// together; zero is unlimited. A call above the limit gets status 429.
	ReadRate  float64
	WriteRate float64
	// VMLagMin and VMLagMax bound the age of the VM list that a caller sees.
	// Each caller has its own constant lag between them.
	VMLagMin time.Duration
	VMLagMax time.Duration
	// Faults may be nil.
	Faults *injector.Injector

	once   sync.Once
	kv     *kvserver.Server
	vms    *vmViews
	counts *counter
	reads  *bucket
	writes *bucket
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

// SetVMs replaces the VM list. Callers see the change after their lag.
func (s *Server) SetVMs(vms []bergamotdale.VM) {
	s.once.Do(s.init)
	s.vms.set(time.Now(), vms)
}

// OverrideVMs makes one caller see this list instead of the common one; nil
// ends that.
func (s *Server) OverrideVMs(caller string, vms []bergamotdale.VM) {
	s.once.Do(s.init)
	s.vms.override(caller, vms)
}

// Counters returns the number of calls by caller and kind.
func (s *Server) Counters() Counters {
	s.once.Do(s.init)
	return s.counts.snapshot()
}

func (s *Server) init() {
	if s.Faults == nil {
		s.Faults = &injector.Injector{}
	}
	s.kv = kvserver.New()
	s.vms = newVMViews(s.VMLagMin, s.VMLagMax)
	s.counts = newCounter()
	s.reads = newBucket(s.ReadRate)
	s.writes = newBucket(s.WriteRate)
}

func (s *Server) mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+injector.CountersPath, func(w http.ResponseWriter, _ *http.Request) {
		replier.JSON(w, http.StatusOK, s.Counters())
	})
	mux.Handle("/v1/kv/", s.limited(s.kv))
	mux.Handle("/v1/txn", s.limited(s.kv))
	mux.Handle("/v1/session/", s.limited(s.kv))
	mux.HandleFunc("GET /v1/vms", s.listVMs)
	mux.HandleFunc("PUT "+injector.SettingsPath+"vms", s.putVMs)
	return mux
}

// limited counts a call, applies the rate limit and adds the latency.
func (s *Server) limited(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.counts.add(r.Header.Get(requester.CallerHeader), kindOf(r))
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
	replier.JSON(w, http.StatusOK, s.vms.seen(time.Now(), caller))
}

// putVMs sets the VM list, or what the caller in the query sees.
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
