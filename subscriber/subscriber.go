// Package subscriber keeps a local copy of the traffic configuration and of the
// registered endpoints up to date with the store.
//
// A Subscriber reads all keys once and then follows their changes with long
// polls. After each relevant change it publishes an immutable State, which
// readers load without a lock. Age tells how long ago the state was last
// confirmed to be current, so that callers can stop trusting it during an
// outage of the store.
//
// A single watch covers every key that the fleet reads, so each router costs
// the store only one pending call.
//
// The load pattern of evacuations: all endpoints of a failure domain, a quarter of a fleet
// of 140, must get nothing more within seconds, while the store fails or is restored.
package subscriber

import (
	"cmp"
	"context"
	"maps"
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
	// WatchWait is the longest time that a watch blocks if nothing changes.
	// Each completed watch confirms the state, so WatchWait is a fraction of the
	// maximum time for which a revoked API key may still be accepted.
	WatchWait = time.Second
	// retryDelay is the initial delay after a failed call. It is jittered, so
	// that routers that lose the store at the same time do not retry at the same
	// time, and doubles with each failure up to maxRetryDelay, since the store
	// counts rejected calls too.
	retryDelay    = 200 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// coalesceDelay is the pause after a change, which lets several changes
	// arrive in one call. It is a small part of the time within which a change
	// has to take effect.
	coalesceDelay = 150 * time.Millisecond
	// LapseGrace is how long an endpoint stays usable after its record lapsed,
	// that is, disappeared because of an outage of the store. Endpoints that are
	// still alive register again within two seconds.
	LapseGrace = 1500 * time.Millisecond
	// lapseWindow is the time after an outage during which a deleted record
	// counts as lapsed instead of deregistered.
	lapseWindow = 3 * time.Second
)

// Endpoint is the record of a registered endpoint and whether it has lapsed.
type Endpoint struct {
	bergamotdale.EndpointRecord
	// LapsedAt is the time at which the record disappeared because of an outage
	// of the store; zero while the record exists.
	LapsedAt time.Time
	// lapseEnd is the time at which a lapsed endpoint stops being usable: LapseGrace
	// after LapsedAt unless the store states a limit.
	lapseEnd time.Time
	// Evacuated is true while the operators ask for the evacuation of its failure domain.
	Evacuated bool
}

// Usable reports whether new requests may be sent to the endpoint.
func (e Endpoint) Usable(now time.Time) bool {
	return !e.Draining && !e.Evacuated && (e.LapsedAt.IsZero() || now.Before(e.lapseEnd))
}

// State is an immutable snapshot of the configuration and the endpoints.
type State struct {
	// Table matches requests to the routes of the configuration. It is nil until
	// a configuration has been read.
	Table *matcher.Table
	// byService maps a service to its endpoints, ordered by ID.
	byService map[string][]Endpoint
	// evacuated holds the names of the evacuated failure domains.
	evacuated map[string]bool
}

// NewState returns a state with the table, which may be nil, the endpoints, and the names
// of the evacuated failure domains.
func NewState(table *matcher.Table, endpoints []Endpoint, evacuated ...string) *State {
	s := &State{Table: table, byService: map[string][]Endpoint{}, evacuated: map[string]bool{}}
	for _, domain := range evacuated {
		s.evacuated[domain] = true
	}
	for _, e := range endpoints {
		e.Evacuated = s.evacuated[e.FailureDomain]
		s.byService[e.Service] = append(s.byService[e.Service], e)
	}
	for _, group := range s.byService {
		slices.SortFunc(group, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	}
	return s
}

// Endpoints returns the endpoints of a service, ordered by ID.
func (s *State) Endpoints(service string) []Endpoint {
	return s.byService[service]
}

// IsEvacuated reports whether the operators ask for the evacuation of the failure domain.
func (s *State) IsEvacuated(domain string) bool { return s.evacuated[domain] }

// EvacuatedCount returns the number of evacuated failure domains.
func (s *State) EvacuatedCount() int { return len(s.evacuated) }

// AllEndpoints returns the endpoints of all services, in no particular order.
func (s *State) AllEndpoints() []Endpoint {
	var all []Endpoint
	for _, endpoints := range s.byService {
		all = append(all, endpoints...)
	}
	return all
}

// Subscriber follows the store and publishes its latest state. Exported fields
// must be set before Run is called.
type Subscriber struct {
	Store   bergamotdale.ChangeStore
	Dialect bergamotdale.Dialect
	Layout  bergamotdale.StoreLayout
	Clock   bergamotdale.Clock
	// Elapsed returns a monotonic time that also advances while the VM is
	// suspended.
	Elapsed func() time.Duration
	Logger  *zap.Logger
	// OnChange is called with each new state; nil for none.
	OnChange func(*State)
	// Random returns a random duration below its argument; nil for rand.N. It spreads
	// the calls of many routers.
	Random func(time.Duration) time.Duration
	// OnRecord is called with each record of an endpoint that is applied, before the state
	// has it, and also if nothing but its sequence differs from the last one; nil for none.
	OnRecord func(Reading)
	// OnBatch is called with each batch read from the store, whether or not it
	// changes the state; nil for none.
	OnBatch func(bergamotdale.Batch)

	current atomic.Pointer[State]
	// confirmedAt is the latest value of Elapsed at which the state is known to
	// have been current; nil before the first read. It is negative if that was
	// before the VM booted.
	confirmedAt atomic.Pointer[time.Duration]
	// era is that of position, for readers.
	era atomic.Int64

	// The fields below are accessed only by the goroutine of Run.
	table     *matcher.Table
	endpoints map[string]Endpoint
	// evacuations holds the evacuated failure domains by name. An outage of the store
	// does not change it.
	evacuations map[string]evacuation
	// position is that of the content applied last. Its revision is zero if all keys
	// have to be read; its era never falls.
	position bergamotdale.Position
	// inOutage is true while calls fail. outageEndedAt is the end of the latest
	// outage, zero if there was none.
	inOutage      bool
	outageEndedAt time.Time
	// deletions and lapseLimit are those of the batch that is being applied.
	deletions  bergamotdale.Deletions
	lapseLimit time.Duration
	// wasRestored is true once the store has had more than one era.
	wasRestored bool
	// departures holds the endpoints, by ID, that are known to be gone.
	departures map[string]departure
	// doubted holds the records, by ID, that a restored store has and that are not
	// believed until doubtUntil. That is zero if none is doubted.
	doubted    map[string]bergamotdale.Entry
	doubtUntil time.Time
	// isFirstOfEra is true while the first content of a later era is applied.
	isFirstOfEra bool
	// writtenAfter is Reading.WrittenAfter of the records that are being applied.
	writtenAfter time.Time
}

// State returns the latest state, which is empty before the first read.
func (s *Subscriber) State() *State {
	if state := s.current.Load(); state != nil {
		return state
	}
	return &State{}
}

// Age returns the time since the state was last known to be current, and false
// if nothing has been read yet.
func (s *Subscriber) Age() (time.Duration, bool) {
	at := s.confirmedAt.Load()
	if at == nil {
		return 0, false
	}
	return s.Elapsed() - *at, true
}

// Era returns the era of the store that the state is from, or zero before the first
// read.
func (s *Subscriber) Era() int64 { return s.era.Load() }

// Run follows the store until the context is done. It retries failed calls and
// returns only the error of the context.
func (s *Subscriber) Run(ctx context.Context) error {
	s.endpoints, s.departures = map[string]Endpoint{}, map[string]departure{}
	s.doubted, s.evacuations = map[string]bergamotdale.Entry{}, map[string]evacuation{}
	delay := retryDelay
	for ctx.Err() == nil {
		started := s.Elapsed()
		keysChanged, err := s.syncOnce(ctx)
		switch {
		case ctx.Err() != nil:
		case err == nil:
			s.endOutage(started)
			delay = retryDelay
			if keysChanged {
				_ = bergamotdale.Wait(ctx, s.Clock, coalesceDelay)
			}
		case errors.Is(err, bergamotdale.ErrCompacted):
			s.Logger.Warn("store has compacted its history or has a new era, reading all keys again",
				zap.Int64("era", s.position.Era), zap.Int64("revision", s.position.Revision), zap.Error(err))
			s.position.Revision = 0
		default:
			s.beginOutage(err)
			_ = bergamotdale.Wait(ctx, s.Clock, delay/2+s.random(delay))
			delay = min(2*delay, maxRetryDelay)
		}
	}
	return ctx.Err()
}

// random returns a random duration below d.
func (s *Subscriber) random(d time.Duration) time.Duration {
	if s.Random != nil {
		return s.Random(d)
	}
	return rand.N(d)
}

// syncOnce makes one call to the store and publishes a new state if the result
// changes it. It reports whether the call was a watch that returned changes.
func (s *Subscriber) syncOnce(ctx context.Context) (bool, error) {
	started := s.Elapsed()
	var batch bergamotdale.Batch
	var err error
	stateChanged := false
	if s.position.Revision == 0 {
		if batch, err = s.Store.Range(ctx, "", bergamotdale.Position{}); err != nil {
			return false, errors.Trace(err)
		}
		s.deletions, s.lapseLimit = batch.Deletions, batch.LapseLimit
		if batch.Era < s.position.Era {
			return false, errors.Annotatef(bergamotdale.ErrUnavailable, "content of the former era %d, not %d", batch.Era, s.position.Era)
		}
		s.beginEra(batch)
		s.setWrittenAfter()
		s.replaceAll(batch.Entries)
		s.isFirstOfEra = false
		stateChanged = true
	} else {
		if batch, err = s.Store.Changes(ctx, "", s.position, WatchWait); err != nil {
			return false, errors.Trace(err)
		}
		s.deletions, s.lapseLimit = batch.Deletions, batch.LapseLimit
		if batch.Era != s.position.Era {
			return false, errors.Annotatef(bergamotdale.ErrCompacted, "changes of era %d, not %d", batch.Era, s.position.Era)
		}
		s.setWrittenAfter()
		for _, c := range batch.Changes {
			if c.Deleted {
				stateChanged = s.applyDeletion(c.Key) || stateChanged
			} else {
				stateChanged = s.applyEntry(c.Entry) || stateChanged
			}
		}
	}
	if batch.Deletions == bergamotdale.DeletionsFinal && s.doubtUntil.IsZero() {
		stateChanged = s.dropUnexcused() || stateChanged
	}
	stateChanged = s.endDoubts() || stateChanged
	stateChanged = s.endOldEvacuations() || stateChanged
	s.position = batch.Position()
	s.era.Store(batch.Era)
	confirmedAt := started - batch.Lag
	if s.confirmedAt.Load() == nil {
		// The first state is never visible without its age.
		s.confirmCurrent(confirmedAt)
	}
	if stateChanged {
		s.publish()
	}
	s.confirmCurrent(confirmedAt)
	if s.OnBatch != nil {
		s.OnBatch(batch)
	}
	return len(batch.Changes) > 0, nil
}

// confirmCurrent records that the state was current at the given time on Elapsed.
// Earlier times than the one on record are ignored.
func (s *Subscriber) confirmCurrent(at time.Duration) {
	if previous := s.confirmedAt.Load(); previous == nil || at > *previous {
		s.confirmedAt.Store(&at)
	}
}

// beginOutage marks the store as unreachable and logs the first failure.
func (s *Subscriber) beginOutage(err error) {
	if !s.inOutage {
		age, _ := s.Age()
		s.Logger.Warn("store lost", zap.Error(err), zap.Duration("state-age", age))
	}
	s.inOutage = true
}

// endOutage marks the store as reachable after an outage. The argument is the
// start of the call that succeeded.
func (s *Subscriber) endOutage(started time.Duration) {
	if !s.inOutage {
		return
	}
	s.inOutage = false
	s.outageEndedAt = s.Clock.Now()
	s.Logger.Info("store back", zap.Int64("era", s.position.Era), zap.Int64("revision", s.position.Revision), zap.Duration("call", s.Elapsed()-started))
}

// replaceAll applies the entries as the complete content of the store: endpoints
// without an entry are treated as deleted.
func (s *Subscriber) replaceAll(entries []bergamotdale.Entry) {
	present := map[string]bool{}
	for _, e := range entries {
		s.applyEntry(e)
		present[e.Key] = true
	}
	for id := range s.endpoints {
		if !present[s.Layout.EndpointPrefix+id] {
			s.applyDeletion(s.Layout.EndpointPrefix + id)
		}
	}
	for id := range s.doubted {
		if !present[s.Layout.EndpointPrefix+id] {
			delete(s.doubted, id)
		}
	}
	s.replaceEvacuations(present)
}

// applyEntry applies the current value of a key and reports whether the state
// changed.
func (s *Subscriber) applyEntry(e bergamotdale.Entry) bool {
	if e.Key == s.Layout.ConfigKey {
		return s.applyConfig(e)
	}
	if domain, isKey, ok := s.evacuatedDomain(e.Key); isKey {
		return s.applyEvacuation(e, domain, ok)
	}
	id, found := strings.CutPrefix(e.Key, s.Layout.EndpointPrefix)
	if !found {
		return false
	}
	record, err := s.Dialect.EndpointRecord(id, e.Value)
	if err != nil {
		s.Logger.Warn("failed to decode endpoint record, ignoring the endpoint", zap.String("endpoint", id), zap.Error(err))
		_, known := s.endpoints[id]
		delete(s.endpoints, id)
		return known
	}
	if s.isDoubted(e, record) {
		if s.isFirstOfEra {
			// The copy has no record of the known incarnation.
			s.applyDeletion(e.Key)
		}
		s.doubt(e, record)
		return false
	}
	delete(s.doubted, id)
	s.reportRecord(e, record)
	old, known := s.endpoints[id]
	if known {
		record = s.keepDraining(old.EndpointRecord, record)
	} else if d, departed := s.departures[id]; departed {
		record = s.keepDraining(d.record, record)
		delete(s.departures, id)
	}
	if known && isUnchanged(old.EndpointRecord, record) && old.LapsedAt.IsZero() {
		s.endpoints[id] = Endpoint{EndpointRecord: record}
		return false
	}
	s.endpoints[id] = Endpoint{EndpointRecord: record}
	s.Logger.Info("endpoint registered", zap.String("endpoint", id), zap.String("service", record.Service),
		zap.String("address", record.Address), zap.String("version", record.Version), zap.Bool("draining", record.Draining),
		zap.Int64("incarnation", record.Incarnation), zap.Int64("revision", e.Version))
	return true
}

// applyConfig applies a configuration and reports whether it took effect. A
// configuration that cannot be decoded or is not newer than the current one is
// ignored.
func (s *Subscriber) applyConfig(e bergamotdale.Entry) bool {
	config, err := s.Dialect.TrafficConfig(e.Value)
	if err != nil {
		s.Logger.Error("failed to decode configuration, keeping the current one", zap.Error(err), zap.Int64("revision", e.Version))
		return false
	}
	if s.table != nil && s.table.Version() >= config.Version {
		if s.table.Version() > config.Version {
			s.Logger.Info("earlier configuration ignored", zap.Int64("version", config.Version),
				zap.Int64("in-force", s.table.Version()), zap.Int64("era", s.position.Era), zap.Int64("revision", e.Version))
		}
		return false
	}
	s.table = matcher.New(config)
	s.Logger.Info("configuration in force", zap.Int64("version", config.Version), zap.Int("routes", len(config.Routes)),
		zap.Int("workspaces", len(config.Workspaces)), zap.Int64("revision", e.Version))
	return true
}

// applyDeletion applies the deletion of a key and reports whether the state has to
// be published. Endpoints whose records lapse are kept for LapseGrace.
func (s *Subscriber) applyDeletion(key string) bool {
	if domain, isKey, _ := s.evacuatedDomain(key); isKey {
		return s.endEvacuation(domain)
	}
	id, found := strings.CutPrefix(key, s.Layout.EndpointPrefix)
	if !found {
		return false
	}
	delete(s.doubted, id)
	e, known := s.endpoints[id]
	if !known {
		return false
	}
	now := s.Clock.Now()
	if grace := s.lapseGrace(now); grace > 0 && !e.Draining {
		if e.LapsedAt.IsZero() {
			e.LapsedAt, e.lapseEnd = now, now.Add(grace)
			s.endpoints[id] = e
			s.Logger.Info("endpoint lapsed during an outage of the store", zap.String("endpoint", id))
		}
		return true
	}
	delete(s.endpoints, id)
	s.recordDeparture(e)
	s.Logger.Info("endpoint removed", zap.String("endpoint", id), zap.String("service", e.Service))
	return true
}

// lapseGrace returns how long an endpoint stays usable whose record is deleted by the
// current batch; zero if the deletion does not come from an outage of the store.
func (s *Subscriber) lapseGrace(now time.Time) time.Duration {
	switch {
	case s.isFirstOfEra:
		// The copy does not have what was written since.
		return LapseGrace
	case s.deletions == bergamotdale.DeletionsFinal:
		return 0
	case s.deletions == bergamotdale.DeletionsMayLapse:
		// Also if this router has noticed no outage, as when it started from the content
		// of others.
		return s.lapseLimit
	case s.inOutage || !s.outageEndedAt.IsZero() && now.Sub(s.outageEndedAt) < lapseWindow:
		return LapseGrace
	default:
		return 0
	}
}

// dropUnexcused removes the lapsed endpoints although their grace period is not over,
// and reports whether there were any.
func (s *Subscriber) dropUnexcused() bool {
	dropped := false
	for id, e := range s.endpoints {
		if !e.LapsedAt.IsZero() {
			delete(s.endpoints, id)
			s.recordDeparture(e)
			s.Logger.Info("lapsed endpoint removed: the store had not failed", zap.String("endpoint", id))
			dropped = true
		}
	}
	return dropped
}

// publish builds a state without the endpoints whose grace period is over, and
// makes it visible to readers.
func (s *Subscriber) publish() {
	now := s.Clock.Now()
	s.dropLapsed(now)
	endpoints := make([]Endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		endpoints = append(endpoints, e)
	}
	state := NewState(s.table, endpoints, slices.Collect(maps.Keys(s.evacuations))...)
	s.current.Store(state)
	if s.OnChange != nil {
		s.OnChange(state)
	}
}
