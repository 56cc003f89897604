package isolator

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/attributor"
	"github.com/bergamotdale/bergamotdale/gossiper"
	"github.com/bergamotdale/bergamotdale/hasher"
)

// Key prefixes of the rumours about prompt parts that crash endpoints.
const (
	partReportPrefix    = "part-crash/"
	partClearancePrefix = "part-clear/"
	partTrialPrefix     = "part-trial/"
)

// rumourBurst is the number of rumours about prompt parts that a router may start at
// once, and rumourRate how many more each second. They bound the gossip when many
// endpoints crash together: it keeps a limited number of rumours of the whole fleet.
const (
	rumourBurst = 32
	rumourRate  = 1
)

// maxPartID is the length of the ID of a part above which rumours carry its hash.
const maxPartID = 32

// PartEvent is the kind of an event in the quarantine of prompt parts.
type PartEvent string

const (
	// PartCrash is a crash with suspects among this router's requests.
	PartCrash PartEvent = "crash"
	// PartQuarantined is the beginning of a part's quarantine.
	PartQuarantined PartEvent = "quarantined"
	// PartCleared is its end.
	PartCleared PartEvent = "cleared"
	// PartRefused is the refusal of a request.
	PartRefused PartEvent = "refused"
	// PartTried is a request that is let through as a trial.
	PartTried PartEvent = "tried"
)

// PartRefusal returns the refusal of a request whose shared prompt parts include a
// quarantined one, or nil. The request may be the trial of the part; it is only
// counted as such if it is about to be sent. PartRefusal implements
// relayer.Quarantine.
func (s *Isolator) PartRefusal(parts []string, sending bool) *bergamotdale.Refusal {
	if len(parts) == 0 {
		return nil
	}
	parts = partIDs(parts)
	s.partMu.Lock()
	now := s.clock.Now()
	verdict := s.attributor.Check(now, parts)
	var trials []partRumour
	if sending {
		for _, p := range verdict.Trials {
			s.attributor.StartTrial(now, p)
			trials = append(trials, partRumour{key: partTrialPrefix + p, value: p, version: now.UnixMilli()})
		}
	}
	s.partMu.Unlock()
	s.spreadPartRumours(trials)
	for _, r := range trials {
		s.recordPartEvent(PartTried)
		s.Logger.Info("prompt part on trial", zap.String("part", r.value))
	}
	if verdict.Part == "" {
		return nil
	}
	s.recordPartEvent(PartRefused)
	return bergamotdale.Refuse(bergamotdale.CodeQuarantined,
		"part %s of the prompt is quarantined because requests with it have crashed %d endpoints", verdict.Part, verdict.Crashes).After(verdict.Left)
}

// RecordPartCrash records that an endpoint crashed before it had answered more than
// the very beginning of a request with the given parts. endpoint identifies the crash,
// so that the reports of all requests and routers about it count once. It
// implements relayer.Quarantine.
func (s *Isolator) RecordPartCrash(endpoint string, parts []string) {
	parts = partIDs(parts)
	s.partMu.Lock()
	report, changed := s.attributor.RecordCrash(s.clock.Now(), endpoint, parts)
	counts := make([]string, 0, len(parts))
	for _, p := range parts {
		counts = append(counts, p+"="+strconv.Itoa(s.attributor.Crashes(p)))
	}
	s.partMu.Unlock()
	s.Logger.Warn("endpoint crashed under prompt parts", zap.String("endpoint", endpoint), zap.Strings("parts", counts), zap.Bool("reported", changed))
	if !changed {
		return
	}
	s.recordPartEvent(PartCrash)
	s.spreadPartRumours(reportRumours(report))
	s.logPartChanges()
}

// RecordPartProgress records that an answer to a request with the parts has made
// progress. It implements relayer.Quarantine.
func (s *Isolator) RecordPartProgress(parts []string) {
	if len(parts) == 0 {
		return
	}
	s.partMu.Lock()
	clearances := s.attributor.RecordProgress(s.clock.Now(), partIDs(parts))
	s.partMu.Unlock()
	s.spreadPartRumours(clearanceRumours(clearances))
	if len(clearances) > 0 {
		s.logPartChanges()
	}
}

// mergeParts merges the crashes and cleared parts that other routers have spread.
func (s *Isolator) mergeParts(v *gossiper.View, now time.Time) {
	s.partMu.Lock()
	reports := decodeRumours[attributor.Report](s.unseen(v, partReportPrefix, now))
	clearances := decodeRumours[attributor.Clearance](s.unseen(v, partClearancePrefix, now))
	var trials []string
	for _, r := range s.unseen(v, partTrialPrefix, now) {
		trials = append(trials, r.Value)
	}
	s.attributor.Sweep(now)
	var own []attributor.Clearance
	if len(reports)+len(clearances)+len(trials) > 0 {
		own = s.attributor.Merge(now, reports, clearances, trials)
	}
	s.partMu.Unlock()
	s.spreadPartRumours(clearanceRumours(own))
	s.logPartChanges()
}

// unseen returns the rumours with the prefix that have not been merged yet. The lock is
// held.
func (s *Isolator) unseen(v *gossiper.View, prefix string, now time.Time) []gossiper.RumourEntry {
	entries := v.Rumours(prefix, now)
	merged := make(map[string]int64, len(entries))
	unseen := slices.DeleteFunc(slices.Clone(entries), func(r gossiper.RumourEntry) bool {
		version, ok := s.mergedParts[prefix][r.Key]
		merged[r.Key] = r.Version
		return ok && version >= r.Version
	})
	s.mergedParts[prefix] = merged
	return unseen
}

// decodeRumours decodes the values of rumours. It leaves out those that cannot be
// decoded.
func decodeRumours[T any](entries []gossiper.RumourEntry) []T {
	var values []T
	for _, r := range entries {
		var value T
		if json.Unmarshal([]byte(r.Value), &value) == nil {
			values = append(values, value)
		}
	}
	return values
}

// logPartChanges logs the parts whose quarantine has begun or ended.
func (s *Isolator) logPartChanges() {
	s.partMu.Lock()
	before, after := s.quarantinedParts, s.attributor.Quarantined()
	s.quarantinedParts = after
	crashes := map[string]int{}
	for _, p := range after {
		crashes[p] = s.attributor.Crashes(p)
	}
	s.partMu.Unlock()
	for _, p := range after {
		if !slices.Contains(before, p) {
			s.recordPartEvent(PartQuarantined)
			s.Logger.Warn("prompt part quarantined", zap.String("part", p), zap.Int("crashes", crashes[p]))
		}
	}
	for _, p := range before {
		if !slices.Contains(after, p) {
			s.recordPartEvent(PartCleared)
			s.Logger.Info("prompt part cleared", zap.String("part", p))
		}
	}
}

func (s *Isolator) recordPartEvent(e PartEvent) {
	if s.OnPartEvent != nil {
		s.OnPartEvent(e)
	}
}

// partRumour is a rumour about a prompt part.
type partRumour struct {
	key, value string
	version    int64
}

// reportRumours returns the rumour of a report. Its version rises with the requests
// that a router adds to its report.
func reportRumours(r attributor.Report) []partRumour {
	value, err := json.Marshal(r)
	if err != nil {
		return nil
	}
	return []partRumour{{key: partReportPrefix + r.Endpoint + "/" + r.Router, value: string(value), version: int64(len(r.Suspects))}}
}

// clearanceRumours returns the rumours of clearances. All routers that clear a part
// of the same crash spread one and the same rumour.
func clearanceRumours(clearances []attributor.Clearance) []partRumour {
	var rumours []partRumour
	for _, c := range clearances {
		if value, err := json.Marshal(c); err == nil {
			rumours = append(rumours, partRumour{key: partClearancePrefix + c.Endpoint + "/" + c.Part, value: string(value), version: 1})
		}
	}
	return rumours
}

// spreadPartRumours sends rumours to the other routers, as far as their rate allows.
func (s *Isolator) spreadPartRumours(rumours []partRumour) {
	for _, r := range rumours {
		if !s.takeRumour() {
			s.Logger.Warn("too many rumours about prompt parts", zap.String("left-out", r.key))
			continue
		}
		s.gossip.SpreadRumour(r.key, r.value, r.version, s.attributorSettings.Retention)
	}
}

// takeRumour takes one rumour from the allowance and reports whether there was one.
func (s *Isolator) takeRumour() bool {
	s.partMu.Lock()
	defer s.partMu.Unlock()
	now := s.clock.Now()
	s.rumourAllowance = min(rumourBurst, s.rumourAllowance+now.Sub(s.rumourTakenAt).Seconds()*rumourRate)
	s.rumourTakenAt = now
	if s.rumourAllowance < 1 {
		return false
	}
	s.rumourAllowance--
	return true
}

// partIDs returns the IDs of parts as rumours carry them: a long ID is replaced with
// its hash.
func partIDs(parts []string) []string {
	ids := make([]string, 0, len(parts))
	for _, p := range parts {
		if len(p) > maxPartID {
			p = "hash-" + strconv.FormatUint(hasher.Hash(p), 16)
		}
		ids = append(ids, p)
	}
	return ids
}
