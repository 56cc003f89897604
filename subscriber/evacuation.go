package subscriber

import (
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

// evacuation is a failure domain whose endpoints get no new requests.
type evacuation struct {
	// until is the end of an evacuation whose key a restored store does not have; zero
	// while the store has the key.
	until time.Time
}

// evacuatedDomain returns the failure domain that the key evacuates. isKey reports whether
// the key is one of an evacuation, ok whether it names a domain. The value of the key does
// not count: another program may have written it.
func (s *Subscriber) evacuatedDomain(key string) (domain string, isKey, ok bool) {
	if s.Layout.EvacuationPrefix == "" {
		return "", false, false
	}
	domain, isKey = strings.CutPrefix(key, s.Layout.EvacuationPrefix)
	return domain, isKey, isKey && isDomainName(domain)
}

// isDomainName reports whether the text may be the name of a failure domain: it is not
// empty, and has no slash, space or control character.
func isDomainName(name string) bool {
	return name != "" && utf8.ValidString(name) && !strings.ContainsFunc(name, func(r rune) bool {
		return r == '/' || unicode.IsSpace(r) || !unicode.IsPrint(r)
	})
}

// applyEvacuation applies a key that evacuates a failure domain and reports whether the
// state changed.
func (s *Subscriber) applyEvacuation(e bergamotdale.Entry, domain string, ok bool) bool {
	if !ok {
		s.Logger.Warn("evacuation key without the name of a failure domain ignored", zap.String("key", e.Key), zap.Int64("revision", e.Version))
		return false
	}
	_, known := s.evacuations[domain]
	s.evacuations[domain] = evacuation{}
	if known {
		return false
	}
	s.Logger.Info("failure domain evacuated", zap.String("domain", domain), zap.Int("endpoints", s.endpointsIn(domain)),
		zap.Int64("era", s.position.Era), zap.Int64("revision", e.Version))
	return true
}

// endEvacuation applies the removal of a key and reports whether the state changed. A
// restored store that does not have the key may get it again: the evacuation then lasts for
// another DoubtPeriod.
func (s *Subscriber) endEvacuation(domain string) bool {
	known, ok := s.evacuations[domain]
	switch {
	case !ok:
		return false
	case s.isFirstOfEra:
		s.evacuations[domain] = evacuation{until: s.Clock.Now().Add(DoubtPeriod)}
		s.Logger.Warn("evacuation is missing from the restored store, kept for a time", zap.String("domain", domain),
			zap.Duration("for", DoubtPeriod))
		return false
	case !known.until.IsZero():
		return false
	}
	s.dropEvacuation(domain, "key removed")
	return true
}

// dropEvacuation ends an evacuation.
func (s *Subscriber) dropEvacuation(domain, reason string) {
	delete(s.evacuations, domain)
	s.Logger.Info("evacuation of a failure domain ended", zap.String("domain", domain), zap.String("reason", reason),
		zap.Int("endpoints", s.endpointsIn(domain)))
}

// endOldEvacuations ends the evacuations that have not been written again within
// DoubtPeriod after a restore, and reports whether there are any.
func (s *Subscriber) endOldEvacuations() bool {
	now, ended := s.Clock.Now(), false
	for domain, e := range s.evacuations {
		if !e.until.IsZero() && !now.Before(e.until) {
			s.dropEvacuation(domain, "not written again after a restore")
			ended = true
		}
	}
	return ended
}

// replaceEvacuations ends the evacuations whose keys are missing from the complete content
// of the store.
func (s *Subscriber) replaceEvacuations(present map[string]bool) {
	for domain := range s.evacuations {
		if !present[s.Layout.EvacuationPrefix+domain] {
			s.endEvacuation(domain)
		}
	}
}

// endpointsIn returns the number of known endpoints in the failure domain.
func (s *Subscriber) endpointsIn(domain string) int {
	n := 0
	for _, e := range s.endpoints {
		if e.FailureDomain == domain {
			n++
		}
	}
	return n
}
