// Package subscriber follows the traffic configuration and the endpoints in the
// store. It publishes immutable states and knows how old the latest confirmed
// one is.
//
// One watch covers all keys of the store that the fleet reads, so a router
// costs the store one waiting call.
package subscriber

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/matcher"
)

const (
	// WatchWait is how long a watch without changes lasts. Each end of a watch
	// confirms the state, so it is a fraction of the age that revoked API keys
	// may reach.
	WatchWait = time.Second
	// retryDelay spreads the calls of routers that lost the store together. It
	// doubles with each failure up to maxRetryDelay, since the store counts
	// refused calls too.
	retryDelay    = 200 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// coalesceDelay lets several changes arrive in one call. It is a small part
	// of the time in which a change has to be in force.
	coalesceDelay = 150 * time.Millisecond
	// LapseGrace is how long endpoints stay in use whose records vanished while
	// the store was away. Live ones are back within two seconds.
	LapseGrace = 1500 * time.Millisecond
	// lapseWindow is how long after an outage vanished records count as lapsed.
	lapseWindow = 3 * time.Second
)

// Endpoint is a registered endpoint.
type Endpoint struct {
	bergamotdale.EndpointRecord
	// LapsedAt is set while the record is missing after an outage of the store.
	LapsedAt time.Time
}

// Usable reports whether the endpoint may get new work.
func (e Endpoint) Usable(now time.Time) bool {
	return !e.Draining && (e.LapsedAt.IsZero() || now.Sub(e.LapsedAt) < LapseGrace)
}

// State is what the store said at one moment. It is immutable.
type State struct {
	// Table is nil until the configuration has been read.
	Table *matcher.Table
	// services holds the endpoints of a service, ordered by ID.
	services map[string][]Endpoint
}

// NewState returns a state with the endpoints. The table may be nil.
func NewState(table *matcher.Table, endpoints []Endpoint) *State {
	s := &State{Table: table, services: map[string][]Endpoint{}}
	for _, e := range endpoints {
		s.services[e.Service] = append(s.services[e.Service], e)
	}
	for _, group := range s.services {
		slices.SortFunc(group, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}

// Endpoints returns the endpoints of a service, ordered by ID.
func (s *State) Endpoints(service string) []Endpoint {
	return s.services[service]
}

// All returns all endpoints.
func (s *State) All() []Endpoint {
	var all []Endpoint
	for _, endpoints := range s.services {
		all = append(all, endpoints...)
	}
	return all
}

// Subscriber follows the store. Exported fields are set before Run.
type Subscriber struct {
	Store   bergamotdale.ChangeStore
	Dialect bergamotdale.Dialect
	Layout  bergamotdale.StoreLayout
	Clock   bergamotdale.Clock
	// Elapsed returns a time that also runs while the VM is suspended.
	Elapsed func() time.Duration
	Logger  *zap.Logger
	// Changed is called after each new state.
	Changed func(*State)
	// Observed is called after each batch; nil for none.
	Observed func(bergamotdale.Batch)

	state atomic.Pointer[State]
	// confirmed is the time on Elapsed for which the state is known to be
	// current, in nanoseconds; zero before the first.
	confirmed atomic.Int64

	// The fields below are used by Run only.
	table     *matcher.Table
	endpoints map[string]Endpoint
	revision  int64
	// outage is set while calls fail; returned is when the last one ended.
	outage   bool
	returned time.Time
}

// State returns the latest state.
func (s *Subscriber) State() *State {
	if state := s.state.Load(); state != nil {
		return state
	}
	return &State{}
}

// Age returns the time since the state was known to be current, and false if
// nothing was read yet.
func (s *Subscriber) Age() (time.Duration, bool) {
	at := s.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return s.Elapsed() - time.Duration(at), true
}

// Run follows the store until the context is done.
func (s *Subscriber) Run(ctx context.Context) error {
	s.endpoints = map[string]Endpoint{}
	delay := retryDelay
	for ctx.Err() == nil {
		started := s.Elapsed()
		changed, err := s.step(ctx)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			s.recovered(started)
			delay = retryDelay
			if changed {
				_ = bergamotdale.Wait(ctx, s.Clock, coalesceDelay)
			}
		case errors.Is(err, bergamotdale.ErrCompacted):
			s.Logger.Warn("history of the store is gone, reading everything", zap.Int64("revision", s.revision))
			s.revision = 0
		default:
			s.lost(err)
			_ = bergamotdale.Wait(ctx, s.Clock, delay/2+rand.N(delay))
			delay = min(2*delay, maxRetryDelay)
		}
	}
	return ctx.Err()
}

// step makes one call of the store and publishes what it returned. It reports
// whether keys have changed.
func (s *Subscriber) step(ctx context.Context) (bool, error) {
	started := s.Elapsed()
	var batch bergamotdale.Batch
	var err error
	relevant := false
	if s.revision == 0 {
		if batch, err = s.Store.Range(ctx, "", 0); err != nil {
			return false, errors.Trace(err)
		}
		s.replace(batch.Entries)
		relevant = true
	} else {
		if batch, err = s.Store.Changes(ctx, "", s.revision, WatchWait); err != nil {
			return false, errors.Trace(err)
		}
		for _, c := range batch.Changes {
			if c.Deleted {
				relevant = s.remove(c.Key) || relevant
			} else {
				relevant = s.put(c.Entry) || relevant
			}
		}
	}
	s.revision = batch.Revision
	if relevant {
		s.publish()
	}
	s.confirm(started - batch.Lag)
	if s.Observed != nil {
		s.Observed(batch)
	}
	return len(batch.Changes) > 0, nil
}

// confirm records that the state was current at the time. It never goes back.
func (s *Subscriber) confirm(at time.Duration) {
	if int64(at) > s.confirmed.Load() {
		s.confirmed.Store(max(1, int64(at)))
	}
}

// lost notes the start of an outage.
func (s *Subscriber) lost(err error) {
	if !s.outage {
		age, _ := s.Age()
		s.Logger.Warn("store lost", zap.Error(err), zap.Duration("state-age", age))
	}
	s.outage = true
}

// recovered notes the end of an outage.
func (s *Subscriber) recovered(started time.Duration) {
	if !s.outage {
		return
	}
	s.outage = false
	s.returned = s.Clock.Now()
	s.Logger.Info("store back", zap.Int64("revision", s.revision), zap.Duration("call", s.Elapsed()-started))
}

// replace takes the entries as the whole content of the store.
func (s *Subscriber) replace(entries []bergamotdale.Entry) {
	present := map[string]bool{}
	for _, e := range entries {
		s.put(e)
		present[e.Key] = true
	}
	for id := range s.endpoints {
		if !present[s.Layout.EndpointPrefix+id] {
			s.remove(s.Layout.EndpointPrefix + id)
		}
	}
}

// put takes in the current value of a key and reports whether it matters.
func (s *Subscriber) put(e bergamotdale.Entry) bool {
	if e.Key == s.Layout.ConfigKey {
		return s.putConfig(e)
	}
	id, found := strings.CutPrefix(e.Key, s.Layout.EndpointPrefix)
	if !found {
		return false
	}
	record, err := s.Dialect.EndpointRecord(id, e.Value)
	if err != nil {
		s.Logger.Warn("endpoint record not usable", zap.String("endpoint", id), zap.Error(err))
		_, known := s.endpoints[id]
		delete(s.endpoints, id)
		return known
	}
	old, known := s.endpoints[id]
	if known && old.EndpointRecord == record && old.LapsedAt.IsZero() {
		return false
	}
	s.endpoints[id] = Endpoint{EndpointRecord: record}
	s.Logger.Info("endpoint registered", zap.String("endpoint", id), zap.String("service", record.Service),
		zap.String("address", record.Address), zap.Bool("draining", record.Draining),
		zap.Int64("incarnation", record.Incarnation), zap.Int64("revision", e.Version))
	return true
}

// putConfig takes in a configuration. One that cannot be used leaves the one in
// force.
func (s *Subscriber) putConfig(e bergamotdale.Entry) bool {
	config, err := s.Dialect.TrafficConfig(e.Value)
	if err != nil {
		s.Logger.Error("configuration not usable, the one in force stays", zap.Error(err), zap.Int64("revision", e.Version))
		return false
	}
	if s.table != nil && s.table.Version() >= config.Version {
		return false
	}
	s.table = matcher.New(config)
	s.Logger.Info("configuration in force", zap.Int64("version", config.Version), zap.Int("routes", len(config.Routes)),
		zap.Int("workspaces", len(config.Workspaces)), zap.Int64("revision", e.Version))
	return true
}

// remove takes in the removal of a key and reports whether it matters.
func (s *Subscriber) remove(key string) bool {
	id, found := strings.CutPrefix(key, s.Layout.EndpointPrefix)
	if !found {
		return false
	}
	e, known := s.endpoints[id]
	if !known {
		return false
	}
	now := s.Clock.Now()
	lapsed := s.outage || (!s.returned.IsZero() && now.Sub(s.returned) < lapseWindow)
	if lapsed && !e.Draining {
		if e.LapsedAt.IsZero() {
			e.LapsedAt = now
			s.endpoints[id] = e
			s.Logger.Info("endpoint lapsed during an outage of the store", zap.String("endpoint", id))
		}
		return true
	}
	delete(s.endpoints, id)
	s.Logger.Info("endpoint removed", zap.String("endpoint", id), zap.String("service", e.Service))
	return true
}

// publish makes the current state visible.
func (s *Subscriber) publish() {
	now := s.Clock.Now()
	endpoints := make([]Endpoint, 0, len(s.endpoints))
	for id, e := range s.endpoints {
		if !e.LapsedAt.IsZero() && now.Sub(e.LapsedAt) >= LapseGrace {
			delete(s.endpoints, id)
			continue
		}
		endpoints = append(endpoints, e)
	}
	state := NewState(s.table, endpoints)
	s.state.Store(state)
	if s.Changed != nil {
		s.Changed(state)
	}
}
