// Package platformserver is a fake of the platform: the key-value store and
// the VM list. The store speaks the HTTP API of Consul as published (KV with
// cas and acquire, transactions, blocking queries, sessions with a TTL and delete
// behaviour), keeps everything in memory and counts each call.
//
// Where it is simpler than Consul: a session ends exactly when its TTL has
// passed, there is no lock delay, and TTLs below 10 s are accepted.
package platformserver

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/injector"
	"github.com/bergamotdale/bergamotdale/requester"
)

// maxValue is the longest value of a key, in bytes.
const maxValue = 1 << 20

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
	store  *store
	vms    *vmHistory
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
	s.store = newStore()
	s.vms = &vmHistory{lagMin: s.VMLagMin, lagMax: s.VMLagMax}
	s.counts = newCounter()
	s.reads = newBucket(s.ReadRate)
	s.writes = newBucket(s.WriteRate)
}

func (s *Server) mux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+injector.CountersPath, func(w http.ResponseWriter, _ *http.Request) {
		injector.WriteJSON(w, http.StatusOK, s.Counters())
	})
	mux.HandleFunc("GET /v1/kv/{key...}", s.limited(s.reads, s.read))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.limited(s.writes, s.write))
	mux.HandleFunc("DELETE /v1/kv/{key...}", s.limited(s.writes, s.delete))
	mux.HandleFunc("PUT /v1/txn", s.limited(s.writes, s.txn))
	mux.HandleFunc("PUT /v1/session/create", s.limited(s.writes, s.createSession))
	mux.HandleFunc("PUT /v1/session/renew/{id}", s.limited(s.writes, s.renewSession))
	mux.HandleFunc("PUT /v1/session/destroy/{id}", s.limited(s.writes, s.destroySession))
	mux.HandleFunc("GET /v1/session/info/{id}", s.limited(s.reads, s.sessionInfo))
	mux.HandleFunc("GET /v1/vms", s.listVMs)
	mux.HandleFunc("PUT "+injector.SettingsPath+"vms", s.putVMs)
	return mux
}

// limited counts a call, applies the rate limit and adds the latency.
func (s *Server) limited(b *bucket, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		kind := kindOf(r)
		s.counts.add(r.Header.Get(requester.CallerHeader), kind)
		if !b.take(time.Now()) {
			s.counts.reject()
			http.Error(w, "Your IP is issuing too many concurrent requests", http.StatusTooManyRequests)
			return
		}
		if s.Latency > 0 && bergamotdale.Wait(r.Context(), bergamotdale.SystemClock{}, s.Latency) != nil {
			return
		}
		h(w, r)
	}
}
