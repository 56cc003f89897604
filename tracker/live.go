package tracker

import (
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/balancer"
	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/predictor"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

const (
	// reportedPeriod is how long a service counts as one with reported loads after its
	// last valid report. Without reports, requests are placed by the counts alone.
	reportedPeriod = 10 * time.Second
	// adjustInterval is the least time between two adjustments of the shares. Reports
	// of single routers arrive more often.
	adjustInterval = 250 * time.Millisecond
)

// liveService is a service whose endpoints report their load.
type liveService struct {
	// reportedAt is the time of the latest valid report, and statedAt that of the latest
	// one with the speed of the machine.
	reportedAt, statedAt time.Time
	// memory is the memory of an endpoint in tokens, zero if unknown.
	memory int64
	// usualEventTime is the mean time per event of the endpoints, in seconds.
	usualEventTime float64
	adjustedAt     time.Time
	// busiest is the load of the busiest endpoint relative to its share.
	busiest float64
}

// service returns the state of a service and creates it on first use. The lock is held.
func (t *Tracker) service(name string) *liveService {
	s := t.services[name]
	if s == nil {
		s = &liveService{memory: t.memory(name)}
		t.services[name] = s
	}
	return s
}

// memory returns the memory of an endpoint of the service by the configuration. The lock
// is held.
func (t *Tracker) memory(service string) int64 {
	if t.state != nil && t.state.Table != nil {
		if s := t.state.Table.Service(service); s != nil {
			return s.CacheTokens
		}
	}
	return 0
}

// updateServices takes the properties of the services from the state. The lock is held.
func (t *Tracker) updateServices(state *subscriber.State) {
	t.state, t.list = state, nil
	for name, s := range t.services {
		s.memory = t.memory(name)
	}
}

// RecordLoad records the load that an endpoint states in a response. slots is the number
// in its record. It returns an error if the report cannot be true, and whether it is
// the first valid one of the service after a time without any.
func (t *Tracker) RecordLoad(now time.Time, id, service string, slots int, load bergamotdale.ReportedLoad) (first bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpointState(id, service)
	if err := e.predicted.Record(now, load, slots, e.inFlight); err != nil {
		return false, err
	}
	before := t.isLive(now, service)
	s := t.service(service)
	s.reportedAt = now
	if load.Slowdown > 0 {
		s.statedAt = now
	}
	return !before && t.isLive(now, service), nil
}

// Live reports whether requests to the service are placed by estimated loads.
func (t *Tracker) Live(now time.Time, service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isLive(now, service)
}

// isLive is Live. The lock is held.
func (t *Tracker) isLive(now time.Time, service string) bool {
	return t.liveService(now, service) != nil
}

// liveService returns the service if requests to it are placed by estimated loads, else
// nil. The lock is held.
func (t *Tracker) liveService(now time.Time, name string) *liveService {
	s := t.services[name]
	if s == nil {
		return nil
	}
	at := s.statedAt
	if t.LiveLoad {
		at = s.reportedAt
	}
	if at.IsZero() || now.Sub(at) >= reportedPeriod {
		return nil
	}
	return s
}

// RecordKey records that a request with the key is placed and returns whether the key is
// popular.
func (t *Tracker) RecordKey(now time.Time, key, requestID string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.keys == nil {
		t.keys, t.startedAt = &predictor.Keys{}, now
	}
	return t.keys.Record(now.Sub(t.startedAt), hasher.Hash(key), hasher.Hash(requestID))
}

// othersNow returns when the counts of other routers arrived, zero if none are recent.
// The lock is held.
func (t *Tracker) othersNow(now time.Time) time.Time {
	if t.totalsRecent(now) {
		return t.totals.receivedAt
	}
	var latest time.Time
	for _, p := range t.peers {
		if now.Sub(p.receivedAt) < peerExpiry && p.receivedAt.After(latest) {
			latest = p.receivedAt
		}
	}
	return latest
}

// estimate returns the estimate for an endpoint of the service, nil if it is unknown, with
// the count.
func (s *liveService) estimate(now time.Time, known *endpoint, c predictor.Count) balancer.Estimate {
	if known == nil {
		return balancer.Estimate{Load: float64(c.Own + c.Others), Speed: 1, Memory: s.memory}
	}
	return balancer.Estimate{
		Load:   known.predicted.Load(now, c),
		Speed:  known.predicted.Speed(now, s.usualEventTime),
		Memory: s.memory,
		Excess: known.predicted.Excess(),
	}
}

// compareEventTimes updates the mean times per event. The lock is held.
func (t *Tracker) compareEventTimes() {
	if len(t.services) == 0 {
		return
	}
	sums, counts := map[string]float64{}, map[string]int{}
	for _, id := range t.loadList().ids {
		e := t.endpoints[id]
		if eventTime, ok := e.predicted.EventTime(); ok && e.usable {
			sums[e.service] += eventTime
			counts[e.service]++
		}
	}
	for name, s := range t.services {
		s.usualEventTime = sums[name] / float64(max(1, counts[name]))
	}
}

// adjust adds up by how much endpoints exceed their shares, after new counts have
// arrived. The lock is held.
func (t *Tracker) adjust(now time.Time) {
	others := t.othersNow(now)
	for name, s := range t.services {
		if t.liveService(now, name) == nil || now.Sub(s.adjustedAt) < adjustInterval {
			continue
		}
		s.adjustedAt = now
		var endpoints []*endpoint
		var loads, capacities []float64
		total, capacity := 0.0, 0.0
		// In the order of the list, so that the sums do not depend on chance.
		for _, id := range t.loadList().ids {
			e := t.endpoints[id]
			if e.service != name || !e.usable || now.Before(e.suspendedUntil) {
				continue
			}
			count := predictor.Count{Own: e.inFlight, Others: t.peerLoad(now, id), At: others}
			load := e.predicted.Load(now, count)
			endpoints, loads = append(endpoints, e), append(loads, load)
			capacities = append(capacities, float64(max(1, e.slots))*e.predicted.Speed(now, s.usualEventTime))
			total, capacity = total+load, capacity+capacities[len(capacities)-1]
		}
		for i, e := range endpoints {
			e.predicted.Adjust(now, loads[i], total*capacities[i]/capacity)
		}
		s.busiest = predictor.Busiest(loads, capacities)
	}
}

// Busiest returns the load of the busiest endpoint relative to its share of the load of
// its service: the highest one of the services that are placed by estimated loads, or
// zero without such a service.
func (t *Tracker) Busiest(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	busiest := 0.0
	for name, s := range t.services {
		if t.isLive(now, name) {
			busiest = max(busiest, s.busiest)
		}
	}
	return busiest
}

// AnyLive reports whether the requests to any service are placed by estimated loads.
func (t *Tracker) AnyLive(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.services {
		if t.isLive(now, name) {
			return true
		}
	}
	return false
}
