// Package attributor attributes crashes of endpoints to parts of prompts. A poison
// part crashes every endpoint that begins to answer a request with it, whatever else
// the request holds, so the crashes of its requests have nothing else in common.
//
// Suspects of a crash are the requests that the endpoint had not begun to answer or had
// only just begun. Each router reports those that it had sent to the endpoint itself;
// the reports of all routers about one crash count once. An answer that makes progress
// clears the parts of its prompt, because a poison part never lets an answer do so.
//
// A part is quarantined once it is suspected of CrashLimit crashes. A request with it is
// refused unless all of these crashes can also be attributed to parts that the
// request does not have. A part that many prompts share is therefore not blamed for
// a poison part that follows it.
//
// The package does no I/O: the caller passes the time and spreads reports, clearances
// and trials to the other routers. Merging them is commutative and idempotent.
package attributor

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// MaxRequests bounds the suspect requests of a report.
	MaxRequests = 8
	// MaxReports bounds the reports of a crash.
	MaxReports = 32
	// MaxParts bounds the suspect parts of a request.
	MaxParts = 16
	// MaxPartBytes bounds the ID of a part in a report.
	MaxPartBytes = 64
)

// Settings configures an Attributor.
type Settings struct {
	// Router is the ID of this router in its reports.
	Router string
	// CrashLimit is the number of crashes at which a part is quarantined.
	CrashLimit int
	// Retention is how long a crash counts after this router has heard of it.
	Retention time.Duration
	// ProgressWindow is the time after progress on a part in which no crash is
	// attributed to it.
	ProgressWindow time.Duration
	// TrialDelay is the time after which one request with a quarantined part is let
	// through, so that a part that was blamed wrongly can be cleared, and the time
	// until the next. There is no trial from TrialLimit crashes on.
	TrialDelay time.Duration
	TrialLimit int
	// MaxCrashes is the largest number of crashes in memory. Above it the one heard
	// of first is evicted.
	MaxCrashes int
	// MaxProgress is the largest number of parts whose progress is remembered.
	MaxProgress int
}

// DefaultSettings returns the default settings for the router.
func DefaultSettings(router string) Settings {
	return Settings{
		Router: router, CrashLimit: 3, Retention: 10 * time.Minute, ProgressWindow: 3 * time.Second,
		TrialDelay: time.Minute, TrialLimit: 5, MaxCrashes: 256, MaxProgress: 16384,
	}
}

// Report is what one router knows of the crash of an endpoint.
type Report struct {
	// Endpoint identifies the crash by the ID and the incarnation of the endpoint.
	Endpoint string `json:"endpoint"`
	Router   string `json:"router"`
	// Suspects holds the suspect parts of each suspect request.
	Suspects [][]string `json:"suspects"`
}

// Clearance says that a part did not cause a crash.
type Clearance struct {
	Endpoint string `json:"endpoint"`
	Part     string `json:"part"`
}

// Verdict is the decision on a request.
type Verdict struct {
	// Part is the quarantined part for which the request is refused, empty if it is
	// not refused. Crashes is the number of crashes attributed to the part, and Left
	// how long the quarantine lasts.
	Part    string
	Crashes int
	Left    time.Duration
	// Trials holds the quarantined parts whose trial the request is. It is empty if
	// the request is refused or has none.
	Trials []string
}

// crash is what the routers know of one crash.
type crash struct {
	heardAt time.Time
	// suspects maps the ID of a router to the suspect parts of its requests.
	suspects map[string][][]string
	// cleared is a grow-only set of parts.
	cleared map[string]struct{}
}

// evidence is what the crashes say of one part that is not cleared.
type evidence struct {
	// crashes holds the endpoints whose crash the part is suspected of.
	crashes map[string]struct{}
	// requests counts the suspect requests with the part, and together those that
	// have another part that reaches the limit too.
	requests int
	together map[string]int
}

// Attributor holds the crashes that this router has seen or heard of. It is not safe
// for concurrent use.
type Attributor struct {
	settings Settings
	crashes  map[string]*crash
	// evidence is derived from crashes whenever those change.
	evidence map[string]*evidence
	// limited holds the parts whose crashes reach the limit, sorted.
	limited []string
	// progressAt is when an answer on a part last made progress at this router.
	progressAt map[string]time.Time
	// blamedAt is since when requests such as the suspect ones are refused because of
	// a part.
	blamedAt map[string]time.Time
	// trialAt is when a request with a quarantined part was last let through.
	trialAt map[string]time.Time
}

// New returns an attributor that knows of no crash.
func New(s Settings) *Attributor {
	return &Attributor{
		settings: s, crashes: map[string]*crash{}, evidence: map[string]*evidence{},
		progressAt: map[string]time.Time{}, blamedAt: map[string]time.Time{}, trialAt: map[string]time.Time{},
	}
}

// RecordCrash records the crash of an endpoint that had not begun to answer a request
// of this router with the given parts, or had only just begun. It returns this
// router's report of the crash, for gossip, and false if it has not changed.
func (a *Attributor) RecordCrash(now time.Time, endpoint string, parts []string) (Report, bool) {
	var suspects []string
	for _, p := range parts {
		if !a.hasProgress(now, p) && !slices.Contains(suspects, p) && p != "" && len(p) <= MaxPartBytes {
			suspects = append(suspects, p)
		}
	}
	if len(suspects) > MaxParts {
		suspects = slices.Concat(suspects[:MaxParts/2], suspects[len(suspects)-MaxParts/2:])
	}
	if len(suspects) == 0 || endpoint == "" {
		return Report{}, false
	}
	c := a.crash(now, endpoint)
	own := c.suspects[a.settings.Router]
	if len(own) >= MaxRequests {
		return Report{}, false
	}
	own = append(slices.Clone(own), suspects)
	c.suspects[a.settings.Router] = own
	a.evict()
	a.derive(now)
	return Report{Endpoint: endpoint, Router: a.settings.Router, Suspects: own}, true
}

// RecordProgress records that an answer to a request with the parts has made progress
// or is complete. It returns the new clearances, for gossip.
func (a *Attributor) RecordProgress(now time.Time, parts []string) []Clearance {
	for _, p := range parts {
		a.progressAt[p] = now
	}
	for p := range a.progressAt {
		if len(a.progressAt) <= a.settings.MaxProgress {
			break
		}
		delete(a.progressAt, p)
	}
	if !slices.ContainsFunc(parts, func(p string) bool { return a.evidence[p] != nil }) {
		return nil
	}
	return a.clearProgressing(now)
}

// clearProgressing clears the parts whose answers have made progress at this router of the
// crashes that they are suspected of. It returns the new clearances.
func (a *Attributor) clearProgressing(now time.Time) []Clearance {
	var cleared []Clearance
	for part, e := range a.evidence {
		if !a.hasProgress(now, part) {
			continue
		}
		for endpoint := range e.crashes {
			a.crashes[endpoint].cleared[part] = struct{}{}
			cleared = append(cleared, Clearance{Endpoint: endpoint, Part: part})
		}
	}
	if len(cleared) > 0 {
		a.derive(now)
	}
	sortClearances(cleared)
	return cleared
}

// hasProgress reports whether an answer on the part has recently made progress.
func (a *Attributor) hasProgress(now time.Time, part string) bool {
	at, ok := a.progressAt[part]
	return ok && now.Sub(at) < a.settings.ProgressWindow
}

// Merge merges reports, clearances and trials of other routers. It returns the
// clearances that follow from progress at this router, for gossip.
func (a *Attributor) Merge(now time.Time, reports []Report, clearances []Clearance, trials []string) []Clearance {
	for _, r := range reports {
		if r.valid() {
			a.mergeReport(now, r)
		}
	}
	for _, c := range clearances {
		if c.Endpoint != "" && c.Part != "" {
			a.crash(now, c.Endpoint).cleared[c.Part] = struct{}{}
		}
	}
	for _, p := range trials {
		a.StartTrial(now, p)
	}
	a.evict()
	a.derive(now)
	return a.clearProgressing(now)
}

// mergeReport keeps the longer of two reports of a router about a crash: a router only
// adds to its report.
func (a *Attributor) mergeReport(now time.Time, r Report) {
	c := a.crash(now, r.Endpoint)
	known, ok := c.suspects[r.Router]
	if !ok && len(c.suspects) >= MaxReports || len(known) >= len(r.Suspects) {
		return
	}
	c.suspects[r.Router] = r.Suspects
}

// valid reports whether a received report is within the bounds.
func (r Report) valid() bool {
	if r.Endpoint == "" || r.Router == "" || len(r.Suspects) > MaxRequests {
		return false
	}
	for _, parts := range r.Suspects {
		if len(parts) > MaxParts || slices.ContainsFunc(parts, func(p string) bool { return p == "" || len(p) > MaxPartBytes }) {
			return false
		}
	}
	return true
}

// crash returns the record of a crash. It creates one if there is none.
func (a *Attributor) crash(now time.Time, endpoint string) *crash {
	c := a.crashes[endpoint]
	if c == nil {
		c = &crash{heardAt: now, suspects: map[string][][]string{}, cleared: map[string]struct{}{}}
		a.crashes[endpoint] = c
	}
	return c
}

// Sweep removes what has expired.
func (a *Attributor) Sweep(now time.Time) {
	n := len(a.crashes)
	maps.DeleteFunc(a.crashes, func(_ string, c *crash) bool { return now.Sub(c.heardAt) >= a.settings.Retention })
	maps.DeleteFunc(a.progressAt, func(_ string, at time.Time) bool { return now.Sub(at) >= a.settings.ProgressWindow })
	maps.DeleteFunc(a.trialAt, func(_ string, at time.Time) bool { return now.Sub(at) >= a.settings.Retention })
	if len(a.crashes) != n {
		a.derive(now)
	}
}

// evict removes the crashes heard of first until at most MaxCrashes are left.
func (a *Attributor) evict() {
	for len(a.crashes) > a.settings.MaxCrashes {
		oldest := ""
		for endpoint, c := range a.crashes {
			if oldest == "" || cmp.Or(c.heardAt.Compare(a.crashes[oldest].heardAt), cmp.Compare(endpoint, oldest)) < 0 {
				oldest = endpoint
			}
		}
		delete(a.crashes, oldest)
	}
}

// derive computes the evidence and the blamed parts from the crashes.
func (a *Attributor) derive(now time.Time) {
	a.evidence = map[string]*evidence{}
	a.forEachRequest(func(endpoint string, parts []string) {
		for _, p := range parts {
			e := a.evidence[p]
			if e == nil {
				e = &evidence{crashes: map[string]struct{}{}, together: map[string]int{}}
				a.evidence[p] = e
			}
			e.crashes[endpoint] = struct{}{}
			e.requests++
		}
	})
	a.limited = nil
	for p, e := range a.evidence {
		if len(e.crashes) >= a.settings.CrashLimit {
			a.limited = append(a.limited, p)
		}
	}
	slices.Sort(a.limited)
	a.forEachRequest(func(_ string, parts []string) {
		limited := slices.DeleteFunc(parts, func(p string) bool { return !a.reachesLimit(p) })
		for _, p := range limited {
			for _, q := range limited {
				a.evidence[p].together[q]++
			}
		}
	})
	blamed := map[string]time.Time{}
	a.forEachRequest(func(_ string, parts []string) {
		for _, p := range parts {
			if _, known := blamed[p]; known || !a.isBlamed(p, parts) {
				continue
			}
			blamed[p] = now
			if at, before := a.blamedAt[p]; before {
				blamed[p] = at
			}
		}
	})
	for p := range a.blamedAt {
		if _, still := blamed[p]; !still {
			delete(a.trialAt, p)
		}
	}
	a.blamedAt = blamed
}

// forEachRequest calls f for each suspect request with its uncleared parts.
func (a *Attributor) forEachRequest(f func(endpoint string, parts []string)) {
	for endpoint, c := range a.crashes {
		for _, requests := range c.suspects {
			for _, parts := range requests {
				uncleared := slices.DeleteFunc(slices.Clone(parts), func(p string) bool {
					_, ok := c.cleared[p]
					return ok
				})
				if len(uncleared) > 0 {
					f(endpoint, uncleared)
				}
			}
		}
	}
}

// isBlamed reports whether a request with the given parts is refused because of one of
// them. The part has reached the limit, and not all of its crashes can be attributed to
// parts that the request does not have. A single crash more may be due to something
// else if the part has not more crashes than these others.
func (a *Attributor) isBlamed(part string, request []string) bool {
	if !a.reachesLimit(part) {
		return false
	}
	crashes := a.evidence[part].crashes
	unexplained, strongest := 0, 0
	for endpoint := range crashes {
		n := a.explanation(endpoint, part, request)
		if n == 0 {
			unexplained++
		}
		strongest = max(strongest, n)
	}
	return unexplained > 1 || unexplained == 1 && len(crashes) > strongest
}

// reachesLimit reports whether the part is suspected of CrashLimit crashes or more.
func (a *Attributor) reachesLimit(part string) bool {
	_, ok := slices.BinarySearch(a.limited, part)
	return ok
}

// explanation returns the crashes of the part with the most crashes to which a crash that
// the given part is suspected of can be attributed instead, and which the request does
// not have. It is 0 if there is none.
func (a *Attributor) explanation(endpoint, part string, request []string) int {
	e, most := a.evidence[part], 0
	for _, q := range a.limited {
		other := a.evidence[q]
		if _, suspected := other.crashes[endpoint]; !suspected || q == part || slices.Contains(request, q) {
			continue
		}
		// A part that was in the same requests, in all of them or as the rarer one, is as
		// good an explanation.
		together := e.together[q]
		specific := together > 0 && (together == e.requests || other.requests < e.requests)
		if specific || len(other.crashes) > len(e.crashes) {
			most = max(most, len(other.crashes))
		}
	}
	return most
}

// Check decides on a request with the given parts.
func (a *Attributor) Check(now time.Time, parts []string) Verdict {
	var blamed []string
	onTrial := true
	for _, p := range parts {
		if a.isBlamed(p, parts) {
			blamed = append(blamed, p)
			onTrial = onTrial && a.mayTry(now, p)
		}
	}
	if len(blamed) == 0 {
		return Verdict{}
	}
	if onTrial {
		return Verdict{Trials: blamed}
	}
	// The last part of a prompt is the most specific one.
	p := blamed[len(blamed)-1]
	return Verdict{Part: p, Crashes: len(a.evidence[p].crashes), Left: a.remaining(now, p)}
}

// mayTry reports whether a request with the quarantined part may be let through.
func (a *Attributor) mayTry(now time.Time, part string) bool {
	since, ok := a.blamedAt[part]
	if at, tried := a.trialAt[part]; tried {
		since = at
	}
	return ok && now.Sub(since) >= a.settings.TrialDelay && len(a.evidence[part].crashes) < a.settings.TrialLimit
}

// StartTrial records that a request with the quarantined part is let through.
func (a *Attributor) StartTrial(now time.Time, part string) {
	a.trialAt[part] = now
}

// remaining returns the time until the part falls below the limit.
func (a *Attributor) remaining(now time.Time, part string) time.Duration {
	var heard []time.Time
	for endpoint := range a.evidence[part].crashes {
		heard = append(heard, a.crashes[endpoint].heardAt)
	}
	slices.SortFunc(heard, func(x, y time.Time) int { return y.Compare(x) })
	return max(time.Millisecond, a.settings.Retention-now.Sub(heard[a.settings.CrashLimit-1]))
}

// Crashes returns the number of crashes that the part is suspected of.
func (a *Attributor) Crashes(part string) int {
	if e := a.evidence[part]; e != nil {
		return len(e.crashes)
	}
	return 0
}

// Quarantined returns the parts because of which all requests with them, and with the
// parts that have accompanied them in every suspect request, are refused. They are sorted.
func (a *Attributor) Quarantined() []string {
	var quarantined []string
	for _, p := range a.limited {
		e := a.evidence[p]
		var companions []string
		for q, together := range e.together {
			if together == e.requests {
				companions = append(companions, q)
			}
		}
		if a.isBlamed(p, companions) {
			quarantined = append(quarantined, p)
		}
	}
	return quarantined
}

// Snapshot returns all reports and clearances, sorted.
func (a *Attributor) Snapshot() ([]Report, []Clearance) {
	var reports []Report
	var clearances []Clearance
	for endpoint, c := range a.crashes {
		for router, suspects := range c.suspects {
			reports = append(reports, Report{Endpoint: endpoint, Router: router, Suspects: suspects})
		}
		for p := range c.cleared {
			clearances = append(clearances, Clearance{Endpoint: endpoint, Part: p})
		}
	}
	slices.SortFunc(reports, func(x, y Report) int {
		return cmp.Or(cmp.Compare(x.Endpoint, y.Endpoint), cmp.Compare(x.Router, y.Router))
	})
	sortClearances(clearances)
	return reports, clearances
}

// sortClearances sorts by endpoint and part.
func sortClearances(c []Clearance) {
	slices.SortFunc(c, func(x, y Clearance) int {
		return cmp.Or(cmp.Compare(x.Endpoint, y.Endpoint), cmp.Compare(x.Part, y.Part))
	})
}
