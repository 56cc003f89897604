// Package quarantiner stops requests that crash every endpoint they run on. A
// crash makes the requests that were running suspects. Suspects run apart from
// each other, so the next crash tells the culprit from its neighbours. A
// fingerprint that reaches the limit is refused for a time.
package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

// MaxClockSkew is the difference between the clocks of two routers up to which
// a count from the future is accepted.
const MaxClockSkew = time.Minute

// DoubtDuration is for how long a broken stream counts like a crash while it
// is not known whether the endpoint has crashed. A process that dies can still
// answer a probe, and its crash shows in the load report after its restart.
const DoubtDuration = 2 * time.Second

// Settings configure a Quarantiner.
type Settings struct {
	// Router is the name under which this router counts.
	Router string
	// Limit is the number of crashes at which a fingerprint is refused.
	Limit int
	// Duration is for how long it is refused, and for how long a suspect is
	// remembered after its last crash.
	Duration time.Duration
	// MaxRecords bounds the memory: the record with the oldest crash is dropped
	// first.
	MaxRecords int
}

// DefaultSettings returns the settings of the design.
func DefaultSettings(router string) Settings {
	return Settings{Router: router, Limit: 3, Duration: 10 * time.Minute, MaxRecords: 4096}
}

// Quarantiner holds the crash counts that a router knows. It is not safe for
// concurrent use.
type Quarantiner struct {
	settings Settings
	records  map[Fingerprint]record
	// doubts holds when the stream of a suspect broke last.
	doubts map[Fingerprint]time.Time
}

// New returns a quarantiner without suspects.
func New(s Settings) *Quarantiner {
	return &Quarantiner{settings: s, records: map[Fingerprint]record{}, doubts: map[Fingerprint]time.Time{}}
}

// Suspect reports whether the fingerprint has an open crash.
func (q *Quarantiner) Suspect(now time.Time, f Fingerprint) bool {
	return q.Crashes(now, f) > 0
}

// Crashes returns the open crashes of the fingerprint on all routers.
func (q *Quarantiner) Crashes(now time.Time, f Fingerprint) int {
	return q.live(now, f).crashes()
}

// Broke records that a stream of the fingerprint broke while it is not known
// whether its endpoint has crashed. It reports whether the fingerprint is a
// suspect. Requests that are none are not remembered: one break says nothing.
func (q *Quarantiner) Broke(now time.Time, f Fingerprint) bool {
	if !q.Suspect(now, f) {
		return false
	}
	q.doubts[f] = now
	return true
}

// doubt returns for how much longer a broken stream counts like a crash.
func (q *Quarantiner) doubt(now time.Time, f Fingerprint) time.Duration {
	at, ok := q.doubts[f]
	if !ok {
		return 0
	}
	left := DoubtDuration - now.Sub(at)
	if left <= 0 {
		delete(q.doubts, f)
	}
	return left
}

// MayRun reports whether a request may start on an endpoint that runs the
// given ones now. A suspect does not start beside another suspect; the same
// fingerprint counts as one suspect.
func (q *Quarantiner) MayRun(now time.Time, f Fingerprint, running []Fingerprint) bool {
	if !q.Suspect(now, f) {
		return true
	}
	for _, r := range running {
		if r != f && q.Suspect(now, r) {
			return false
		}
	}
	return true
}

// Refusal returns the refusal of a quarantined fingerprint, or of one that is
// quarantined if its last broken stream was a crash; nil otherwise.
func (q *Quarantiner) Refusal(now time.Time, f Fingerprint) *bergamotdale.Refusal {
	r := q.live(now, f)
	if doubt := q.doubt(now, f); doubt > 0 && r.crashes() == q.settings.Limit-1 {
		return bergamotdale.Refuse(bergamotdale.CodeCrashInDoubt,
			"this request crashed %d endpoints and may have crashed another one", r.crashes()).After(doubt)
	}
	if r.crashes() < q.settings.Limit {
		return nil
	}
	left := q.settings.Duration - now.Sub(time.UnixMilli(r.last()))
	return bergamotdale.Refuse(bergamotdale.CodeQuarantined,
		"this request crashed %d endpoints", r.crashes()).After(max(left, time.Millisecond))
}

// Crash records the crash of an endpoint that ran the given requests. It
// returns the changed counts for gossip.
//
// With one suspect among them only that one is counted. Without a suspect all
// become suspects. With several, which MayRun prevents except while counts are
// under way by gossip, those with the most crashes are counted: the request that
// crashes every endpoint is among them, and an innocent one only by chance.
func (q *Quarantiner) Crash(now time.Time, running []Fingerprint) []Count {
	running = slices.Compact(slices.Sorted(slices.Values(running)))
	var suspects []Fingerprint
	for _, f := range running {
		if q.Suspect(now, f) {
			suspects = append(suspects, f)
		}
	}
	if len(suspects) == 0 {
		return q.count(now, running)
	}
	return q.count(now, q.mostSuspect(now, suspects))
}

// mostSuspect returns the suspects with the most open crashes.
func (q *Quarantiner) mostSuspect(now time.Time, suspects []Fingerprint) []Fingerprint {
	highest := 0
	for _, f := range suspects {
		highest = max(highest, q.Crashes(now, f))
	}
	return slices.DeleteFunc(suspects, func(f Fingerprint) bool { return q.Crashes(now, f) < highest })
}

func (q *Quarantiner) count(now time.Time, all []Fingerprint) []Count {
	var changed []Count
	for _, f := range all {
		c := q.live(now, f)[q.settings.Router]
		at := milliseconds(now)
		if c.Crashes == 0 {
			c = Count{Fingerprint: f, Router: q.settings.Router, Since: at}
		}
		c.Crashes++
		c.Last = max(c.Last, at)
		q.put(c)
		changed = append(changed, c)
	}
	q.shrink()
	return changed
}

// Completed records a complete response to the request. It clears a suspect
// that has not reached the limit, and returns the changed counts for gossip.
func (q *Quarantiner) Completed(now time.Time, f Fingerprint) []Count {
	delete(q.doubts, f)
	r := q.live(now, f)
	if n := r.crashes(); n == 0 || n >= q.settings.Limit {
		return nil
	}
	var changed []Count
	for _, c := range r {
		if c.open() == 0 {
			continue
		}
		c.Cleared = c.Crashes
		q.put(c)
		changed = append(changed, c)
	}
	sortCounts(changed)
	return changed
}

// Counts returns all counts that have not expired, for a router that joins.
func (q *Quarantiner) Counts(now time.Time) []Count {
	q.Sweep(now)
	var all []Count
	for _, r := range q.records {
		for _, c := range r {
			all = append(all, c)
		}
	}
	sortCounts(all)
	return all
}

// Merge adds counts of other routers. It returns those that were news, which
// the router passes on.
func (q *Quarantiner) Merge(now time.Time, counts []Count) []Count {
	var news []Count
	for _, c := range counts {
		if !q.acceptable(now, c) {
			continue
		}
		old, known := q.live(now, c.Fingerprint)[c.Router]
		merged := c
		if known {
			merged = join(old, c)
		}
		if known && merged == old {
			continue
		}
		q.put(merged)
		news = append(news, merged)
	}
	q.shrink()
	return news
}

// acceptable rejects counts that are expired, malformed or too far in the
// future to ever expire.
func (q *Quarantiner) acceptable(now time.Time, c Count) bool {
	if c.Fingerprint == "" || c.Router == "" || c.Crashes <= 0 || c.Last < c.Since {
		return false
	}
	if c.Last > milliseconds(now.Add(MaxClockSkew)) {
		return false
	}
	return !q.expired(now, c)
}

func (q *Quarantiner) expired(now time.Time, c Count) bool {
	return milliseconds(now)-c.Last >= q.settings.Duration.Milliseconds()
}

// live returns the record of the fingerprint after its expired counts were
// removed.
func (q *Quarantiner) live(now time.Time, f Fingerprint) record {
	r := q.records[f]
	for router, c := range r {
		if q.expired(now, c) {
			delete(r, router)
		}
	}
	if r != nil && len(r) == 0 {
		delete(q.records, f)
	}
	return r
}

func (q *Quarantiner) put(c Count) {
	r := q.records[c.Fingerprint]
	if r == nil {
		r = record{}
		q.records[c.Fingerprint] = r
	}
	r[c.Router] = c
}

// Sweep removes the expired counts.
func (q *Quarantiner) Sweep(now time.Time) {
	for f := range q.records {
		q.live(now, f)
	}
	for f := range q.doubts {
		q.doubt(now, f)
	}
}

// shrink drops the records with the oldest crashes above the bound.
func (q *Quarantiner) shrink() {
	for len(q.records) > q.settings.MaxRecords {
		oldest, at := Fingerprint(""), int64(0)
		for f, r := range q.records {
			if n := r.newest(); oldest == "" || n < at || (n == at && f < oldest) {
				oldest, at = f, n
			}
		}
		delete(q.records, oldest)
		delete(q.doubts, oldest)
	}
}

func sortCounts(all []Count) {
	slices.SortFunc(all, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Router, b.Router))
	})
}
