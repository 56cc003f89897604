// Package isolator shares the crash counts of requests with the fleet by gossip,
// so that a request that crashes engines is run apart and then refused by every
// router.
package isolator

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/gossiper"
	"github.com/bergamotdale/bergamotdale/quarantiner"
	"github.com/bergamotdale/bergamotdale/validator"
)

// crashPrefix starts the rumours that carry crash counts.
const crashPrefix = "crash/"

// Isolator is the quarantine of one router. Its methods may be called
// concurrently.
type Isolator struct {
	clock  bergamotdale.Clock
	gossip *gossiper.Gossiper

	mu       sync.Mutex
	settings quarantiner.Settings
	counts   *quarantiner.Quarantiner
}

// New returns an isolator without suspects.
func New(router string, clock bergamotdale.Clock, g *gossiper.Gossiper) *Isolator {
	settings := quarantiner.DefaultSettings(router)
	return &Isolator{clock: clock, gossip: g, settings: settings, counts: quarantiner.New(settings)}
}

// Configure applies the limits in force. Counts are kept over a change.
func (s *Isolator) Configure(limits validator.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.settings
	changed.CrashLimit = limits.QuarantineCount
	changed.QuarantineDuration = limits.QuarantineDuration
	if changed == s.settings {
		return
	}
	known := s.counts.Counts(s.clock.Now())
	s.settings = changed
	s.counts = quarantiner.New(changed)
	s.counts.Merge(s.clock.Now(), known)
}

// Merge takes in the counts of other routers.
func (s *Isolator) Merge(v *gossiper.View, now time.Time) {
	var counts []quarantiner.CrashCount
	for _, rumour := range v.Rumours(crashPrefix, now) {
		var c quarantiner.CrashCount
		if json.Unmarshal([]byte(rumour.Value), &c) == nil {
			counts = append(counts, c)
		}
	}
	if len(counts) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Merge(now, counts)
}

// Refusal implements dispatcher.Quarantine.
func (s *Isolator) Refusal(fingerprint string) *bergamotdale.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.Refusal(s.clock.Now(), quarantiner.Fingerprint(fingerprint))
}

// MayRun implements dispatcher.Quarantine.
func (s *Isolator) MayRun(fingerprint string, running []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.MayRun(s.clock.Now(), quarantiner.Fingerprint(fingerprint), fingerprints(running))
}

// Broke implements dispatcher.Quarantine and forwarder.Suspects.
func (s *Isolator) Broke(fingerprint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts.RecordBrokenStream(s.clock.Now(), quarantiner.Fingerprint(fingerprint))
}

// Crashed implements dispatcher.Quarantine.
func (s *Isolator) Crashed(_ string, running []string) {
	s.mu.Lock()
	changed := s.counts.RecordCrash(s.clock.Now(), fingerprints(running))
	s.mu.Unlock()
	s.spread(changed)
}

// Completed implements dispatcher.Quarantine.
func (s *Isolator) Completed(fingerprint string) {
	s.mu.Lock()
	changed := s.counts.RecordCompletion(s.clock.Now(), quarantiner.Fingerprint(fingerprint))
	s.mu.Unlock()
	s.spread(changed)
}

// spread tells the fleet about counts of this router.
func (s *Isolator) spread(counts []quarantiner.CrashCount) {
	for _, c := range counts {
		value, err := json.Marshal(c)
		if err != nil {
			continue
		}
		key := crashPrefix + string(c.Fingerprint) + "/" + c.Router
		s.gossip.Spread(key, string(value), c.Last+int64(c.Crashes)+int64(c.Cleared), s.settings.QuarantineDuration)
	}
}

func fingerprints(names []string) []quarantiner.Fingerprint {
	return lo.Map(names, func(n string, _ int) quarantiner.Fingerprint { return quarantiner.Fingerprint(n) })
}
