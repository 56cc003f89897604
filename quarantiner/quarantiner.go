// Package quarantiner stops poison requests, which crash every endpoint that they
// run on.
//
// A request is identified by its fingerprint, a hash of its content. When an
// endpoint crashes, all requests that it was running become suspects, since any of
// them may be the cause. Two suspects do not run on the same endpoint, so the next
// crash shows which of them is the cause. A complete response clears a suspect. A
// fingerprint whose crashes reach a limit is quarantined: its requests are refused
// for a time.
package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

// MaxClockSkew is the largest accepted difference between the clocks of two
// routers. A crash count from further in the future is rejected.
const MaxClockSkew = time.Minute

// InDoubtDuration is how long a broken stream of a suspect counts as a crash while
// it is unknown whether the endpoint has crashed. A process that is dying can
// still respond to a probe, so its crash is detected only from the load report after
// its restart.
const InDoubtDuration = 2 * time.Second

// Settings configures a Quarantiner.
type Settings struct {
	// Router is the ID of this router in its crash counts.
	Router string
	// CrashLimit is the number of crashes at which a fingerprint is quarantined.
	CrashLimit int
	// QuarantineDuration is how long after its last crash a fingerprint is refused,
	// if it has reached the limit, or remains a suspect otherwise.
	QuarantineDuration time.Duration
	// MaxRecords is the largest number of fingerprints in memory. Above it the one
	// with the oldest last crash is evicted first.
	MaxRecords int
}

// DefaultSettings returns the default settings for the router.
func DefaultSettings(router string) Settings {
	return Settings{Router: router, CrashLimit: 3, QuarantineDuration: 10 * time.Minute, MaxRecords: 4096}
}

// Quarantiner holds the crash counts of this router and those that it received
// from others. It is not safe for concurrent use.
type Quarantiner struct {
	settings Settings
	records  map[Fingerprint]record
	// brokenAt is when the last stream of a suspect broke without a known cause.
	brokenAt map[Fingerprint]time.Time
}

// New returns a quarantiner without suspects.
func New(s Settings) *Quarantiner {
	return &Quarantiner{settings: s, records: map[Fingerprint]record{}, brokenAt: map[Fingerprint]time.Time{}}
}

// IsSuspect reports whether the fingerprint has an uncleared crash.
func (q *Quarantiner) IsSuspect(now time.Time, f Fingerprint) bool {
	return q.Crashes(now, f) > 0
}

// Crashes returns the number of uncleared crashes of the fingerprint that all
// routers have counted.
func (q *Quarantiner) Crashes(now time.Time, f Fingerprint) int {
	return q.unexpired(now, f).unclearedCrashes()
}

// RecordBrokenStream records that a stream of the fingerprint broke while it is
// unknown whether its endpoint has crashed. It reports whether the fingerprint is
// a suspect. For other fingerprints it records nothing, because a single broken
// stream is no sign of a crash.
func (q *Quarantiner) RecordBrokenStream(now time.Time, f Fingerprint) bool {
	if !q.IsSuspect(now, f) {
		return false
	}
	q.brokenAt[f] = now
	return true
}

// remainingDoubt returns how much longer the broken stream of a fingerprint counts
// as a crash. It is zero or less if there is none or its time is over.
func (q *Quarantiner) remainingDoubt(now time.Time, f Fingerprint) time.Duration {
	at, ok := q.brokenAt[f]
	if !ok {
		return 0
	}
	left := InDoubtDuration - now.Sub(at)
	if left <= 0 {
		delete(q.brokenAt, f)
	}
	return left
}

// MayRun reports whether a request may start on an endpoint that is running the
// given requests. A suspect may not start while another suspect runs there.
// Requests with the same fingerprint are one suspect and may run together.
func (q *Quarantiner) MayRun(now time.Time, f Fingerprint, running []Fingerprint) bool {
	if !q.IsSuspect(now, f) {
		return true
	}
	for _, r := range running {
		if r != f && q.IsSuspect(now, r) {
			return false
		}
	}
	return true
}

// Refusal returns the refusal of a quarantined fingerprint, or of one that will be
// quarantined if its last broken stream turns out to be a crash. Otherwise it
// returns nil.
func (q *Quarantiner) Refusal(now time.Time, f Fingerprint) *bergamotdale.Refusal {
	r := q.unexpired(now, f)
	if remainingDoubt := q.remainingDoubt(now, f); remainingDoubt > 0 && r.unclearedCrashes() == q.settings.CrashLimit-1 {
		return bergamotdale.Refuse(bergamotdale.CodeCrashInDoubt,
			"this request has crashed %d endpoints, and it is not known yet whether it has crashed another one", r.unclearedCrashes()).After(remainingDoubt)
	}
	if r.unclearedCrashes() < q.settings.CrashLimit {
		return nil
	}
	left := q.settings.QuarantineDuration - now.Sub(time.UnixMilli(r.lastUncleared()))
	return bergamotdale.Refuse(bergamotdale.CodeQuarantined,
		"this request is quarantined because it has crashed %d endpoints", r.unclearedCrashes()).After(max(left, time.Millisecond))
}

// RecordCrash records the crash of an endpoint that was running the given
// requests. It returns the changed counts, for gossip.
//
// If no request is a suspect, all become suspects. If one is, the crash counts only
// for that one. Several suspects can run together only while gossip has not yet
// delivered the counts that make MayRun prevent it. The crash then counts for those
// with the most crashes: they include the request that crashes every endpoint, and
// a harmless one only by chance.
func (q *Quarantiner) RecordCrash(now time.Time, running []Fingerprint) []CrashCount {
	running = slices.Compact(slices.Sorted(slices.Values(running)))
	var suspects []Fingerprint
	for _, f := range running {
		if q.IsSuspect(now, f) {
			suspects = append(suspects, f)
		}
	}
	if len(suspects) == 0 {
		return q.increment(now, running)
	}
	return q.increment(now, q.withMostCrashes(now, suspects))
}

// withMostCrashes returns the suspects with the most uncleared crashes. It
// modifies the slice.
func (q *Quarantiner) withMostCrashes(now time.Time, suspects []Fingerprint) []Fingerprint {
	highest := 0
	for _, f := range suspects {
		highest = max(highest, q.Crashes(now, f))
	}
	return slices.DeleteFunc(suspects, func(f Fingerprint) bool { return q.Crashes(now, f) < highest })
}

// increment adds a crash to this router's count of each fingerprint. It returns the
// changed counts.
func (q *Quarantiner) increment(now time.Time, fingerprints []Fingerprint) []CrashCount {
	var changed []CrashCount
	for _, f := range fingerprints {
		c := q.unexpired(now, f)[q.settings.Router]
		at := unixMillis(now)
		if c.Crashes == 0 {
			c = CrashCount{Fingerprint: f, Router: q.settings.Router, Since: at}
		}
		c.Crashes++
		c.Last = max(c.Last, at)
		q.store(c)
		changed = append(changed, c)
	}
	q.evict()
	return changed
}

// RecordCompletion records a complete response to a request. It clears the crashes
// of a suspect that has not reached the limit, and returns the changed counts, for
// gossip.
func (q *Quarantiner) RecordCompletion(now time.Time, f Fingerprint) []CrashCount {
	delete(q.brokenAt, f)
	r := q.unexpired(now, f)
	if n := r.unclearedCrashes(); n == 0 || n >= q.settings.CrashLimit {
		return nil
	}
	var changed []CrashCount
	for _, c := range r {
		if c.uncleared() == 0 {
			continue
		}
		c.Cleared = c.Crashes
		q.store(c)
		changed = append(changed, c)
	}
	sortCounts(changed)
	return changed
}

// Counts returns all counts that have not expired, sorted by fingerprint and
// router.
func (q *Quarantiner) Counts(now time.Time) []CrashCount {
	q.Sweep(now)
	var counts []CrashCount
	for _, r := range q.records {
		for _, c := range r {
			counts = append(counts, c)
		}
	}
	sortCounts(counts)
	return counts
}

// Merge merges counts of other routers into those held here. It returns the counts
// that have changed, for gossip.
func (q *Quarantiner) Merge(now time.Time, counts []CrashCount) []CrashCount {
	var changed []CrashCount
	for _, c := range counts {
		if !q.isValid(now, c) {
			continue
		}
		old, known := q.unexpired(now, c.Fingerprint)[c.Router]
		merged := c
		if known {
			merged = mergeCounts(old, c)
		}
		if known && merged == old {
			continue
		}
		q.store(merged)
		changed = append(changed, merged)
	}
	q.evict()
	return changed
}

// isValid reports whether a received count is well-formed, has not expired, and is
// not so far in the future that it would never expire.
func (q *Quarantiner) isValid(now time.Time, c CrashCount) bool {
	if c.Fingerprint == "" || c.Router == "" || c.Crashes <= 0 || c.Last < c.Since {
		return false
	}
	if c.Last > unixMillis(now.Add(MaxClockSkew)) {
		return false
	}
	return !q.isExpired(now, c)
}

// isExpired reports whether the last crash of the count is QuarantineDuration or
// longer ago.
func (q *Quarantiner) isExpired(now time.Time, c CrashCount) bool {
	return unixMillis(now)-c.Last >= q.settings.QuarantineDuration.Milliseconds()
}

// unexpired removes the expired counts of a fingerprint and returns its record.
func (q *Quarantiner) unexpired(now time.Time, f Fingerprint) record {
	r := q.records[f]
	for router, c := range r {
		if q.isExpired(now, c) {
			delete(r, router)
		}
	}
	if r != nil && len(r) == 0 {
		delete(q.records, f)
	}
	return r
}

// store sets the count of a router for a fingerprint.
func (q *Quarantiner) store(c CrashCount) {
	r := q.records[c.Fingerprint]
	if r == nil {
		r = record{}
		q.records[c.Fingerprint] = r
	}
	r[c.Router] = c
}

// Sweep removes the expired counts and broken streams.
func (q *Quarantiner) Sweep(now time.Time) {
	for f := range q.records {
		q.unexpired(now, f)
	}
	for f := range q.brokenAt {
		q.remainingDoubt(now, f)
	}
}

// evict removes the records with the oldest last crash until at most MaxRecords
// are left.
func (q *Quarantiner) evict() {
	for len(q.records) > q.settings.MaxRecords {
		oldest, at := Fingerprint(""), int64(0)
		for f, r := range q.records {
			if n := r.lastCrash(); oldest == "" || n < at || (n == at && f < oldest) {
				oldest, at = f, n
			}
		}
		delete(q.records, oldest)
		delete(q.brokenAt, oldest)
	}
}

// sortCounts sorts the counts by fingerprint and router.
func sortCounts(counts []CrashCount) {
	slices.SortFunc(counts, func(a, b CrashCount) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Router, b.Router))
	})
}
