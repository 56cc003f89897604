// Package isolator connects the quarantiner of a router to gossip. It spreads the
// crash counts of requests through the fleet, so that every router keeps a request
// that crashes endpoints away from other suspects and then refuses it. It does the
// same with the attributor and its reports of prompt parts that crash endpoints.
package isolator

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/attributor"
	"github.com/bergamotdale/bergamotdale/gossiper"
	"github.com/bergamotdale/bergamotdale/quarantiner"
	"github.com/bergamotdale/bergamotdale/validator"
)

// crashPrefix is the key prefix of the rumours that hold crash counts.
const crashPrefix = "crash/"

// Isolator is a quarantiner and an attributor whose findings are shared by gossip. It is
// safe for concurrent use. Exported fields are set before its first use.
type Isolator struct {
	Logger *zap.Logger
	// OnPartEvent is called for the metrics of prompt parts. It may be nil.
	OnPartEvent func(PartEvent)

	clock  bergamotdale.Clock
	gossip *gossiper.Gossiper

	mu         sync.Mutex
	settings   quarantiner.Settings
	quarantine *quarantiner.Quarantiner

	attributorSettings attributor.Settings
	partMu             sync.Mutex
	attributor         *attributor.Attributor
	// mergedParts holds the version of each rumour merged into attributor, by prefix
	// and key.
	mergedParts map[string]map[string]int64
	// quarantinedParts are those last logged.
	quarantinedParts []string
	// rumourAllowance is the number of rumours that could be spread at rumourTakenAt.
	rumourAllowance float64
	rumourTakenAt   time.Time
}

// New returns an isolator without suspects.
func New(router string, clock bergamotdale.Clock, g *gossiper.Gossiper) *Isolator {
	settings := quarantiner.DefaultSettings(router)
	attributorSettings := attributor.DefaultSettings(router)
	return &Isolator{
		Logger: zap.NewNop(),
		clock:  clock, gossip: g, settings: settings, quarantine: quarantiner.New(settings),
		attributorSettings: attributorSettings, attributor: attributor.New(attributorSettings),
		mergedParts: map[string]map[string]int64{}, rumourAllowance: rumourBurst, rumourTakenAt: clock.Now(),
	}
}

// Configure applies the quarantine limits of the configuration. It keeps the
// counts that are held already.
func (s *Isolator) Configure(limits validator.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.settings
	changed.CrashLimit = limits.QuarantineCount
	changed.QuarantineDuration = limits.QuarantineDuration
	if changed == s.settings {
		return
	}
	counts := s.quarantine.Counts(s.clock.Now())
	s.settings = changed
	s.quarantine = quarantiner.New(changed)
	s.quarantine.Merge(s.clock.Now(), counts)
}

// Merge merges what other routers have spread from the gossip view. It ignores values
// that cannot be decoded.
func (s *Isolator) Merge(v *gossiper.View, now time.Time) {
	s.mergeCounts(v, now)
	s.mergeParts(v, now)
}

// mergeCounts merges the crash counts of other routers.
func (s *Isolator) mergeCounts(v *gossiper.View, now time.Time) {
	var counts []quarantiner.CrashCount
	for _, entry := range v.Rumours(crashPrefix, now) {
		var c quarantiner.CrashCount
		if json.Unmarshal([]byte(entry.Value), &c) == nil {
			counts = append(counts, c)
		}
	}
	if len(counts) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Merge(now, counts)
}

// Refusal returns the refusal of a fingerprint that may not run, or nil. It
// implements admitter.Quarantine and relayer.Quarantine.
func (s *Isolator) Refusal(fingerprint string) *bergamotdale.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Refusal(s.clock.Now(), quarantiner.Fingerprint(fingerprint))
}

// MayRun reports whether the fingerprint may start beside the running ones. It
// implements admitter.Quarantine.
func (s *Isolator) MayRun(fingerprint string, running []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.MayRun(s.clock.Now(), quarantiner.Fingerprint(fingerprint), fingerprints(running))
}

// RecordBrokenStream records that a stream of the fingerprint broke off and
// reports whether the fingerprint is a suspect. It implements
// admitter.Quarantine and forwarder.Suspects.
func (s *Isolator) RecordBrokenStream(fingerprint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.RecordBrokenStream(s.clock.Now(), quarantiner.Fingerprint(fingerprint))
}

// RecordCrash records the crash of an endpoint that was running the fingerprints.
// It implements admitter.Quarantine and relayer.Quarantine.
func (s *Isolator) RecordCrash(_ string, running []string) {
	s.mu.Lock()
	changed := s.quarantine.RecordCrash(s.clock.Now(), fingerprints(running))
	s.mu.Unlock()
	s.gossipCounts(changed)
}

// RecordCompletion records a complete response to the fingerprint. It implements
// admitter.Quarantine and relayer.Quarantine.
func (s *Isolator) RecordCompletion(fingerprint string) {
	s.mu.Lock()
	changed := s.quarantine.RecordCompletion(s.clock.Now(), quarantiner.Fingerprint(fingerprint))
	s.mu.Unlock()
	s.gossipCounts(changed)
}

// gossipCounts sends counts to the other routers. The version of a rumour
// rises with every change of its count, so that a newer count replaces an older
// one.
func (s *Isolator) gossipCounts(counts []quarantiner.CrashCount) {
	for _, c := range counts {
		value, err := json.Marshal(c)
		if err != nil {
			continue
		}
		key := crashPrefix + string(c.Fingerprint) + "/" + c.Router
		s.gossip.SpreadRumour(key, string(value), c.Last+int64(c.Crashes)+int64(c.Cleared), s.settings.QuarantineDuration)
	}
}

func fingerprints(names []string) []quarantiner.Fingerprint {
	return lo.Map(names, func(n string, _ int) quarantiner.Fingerprint { return quarantiner.Fingerprint(n) })
}
