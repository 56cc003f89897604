package limiter

import "time"

// Standing is how sure an owner is that it alone admits work to an endpoint.
type Standing int

const (
	// StandingClaimed is a new owner that has not ruled out a predecessor.
	StandingClaimed Standing = iota
	// StandingConfirmed is an owner whose predecessor is known to be gone.
	StandingConfirmed
	// StandingExpired is an owner past its lease while peers still reach the
	// store, so that a successor may exist.
	StandingExpired
)

// Ownership computes the limit of one owner of an endpoint (D3). Two routers
// that both act as owner, one of them claimed and one expired, together stay
// within the engine's limit.
type Ownership struct {
	standing Standing
	claimed  time.Time
	// expired overlays the standing while the lease is not renewed.
	expired bool
	foreign int
	// remaining is what the previous owner says that it still runs.
	remaining int
	counts    []count
}

// count is the number of own requests at the engine from a time on.
type count struct {
	at  time.Time
	own int
}

// maxReportAge is how far back own counts are kept to compare with reports.
const maxReportAge = 10 * time.Second

// NewOwnership returns the state after a claim. The new owner is unconfirmed.
func NewOwnership(claimed time.Time) *Ownership {
	return &Ownership{standing: StandingClaimed, claimed: claimed}
}

// Standing returns the current standing.
func (o *Ownership) Standing() Standing {
	if o.expired {
		return StandingExpired
	}
	return o.standing
}

// Confirm records a handover message of the previous owner, which has stopped
// admitting but still runs the given number of requests at the engine.
func (o *Ownership) Confirm(remaining int) {
	o.standing = StandingConfirmed
	o.foreign = 0
	o.remaining = remaining
}

// SetRemaining records how many requests the previous owner still runs. A load
// report can show fewer: an engine that stood still has not read all of them.
func (o *Ownership) SetRemaining(remaining int) {
	o.remaining = remaining
}

// others returns the requests at the engine that are not own ones.
func (o *Ownership) others() int {
	return max(o.foreign, o.remaining)
}

// SetExpired records whether the lease has passed its expiry without evidence
// that the store is down for everybody.
func (o *Ownership) SetExpired(expired bool) {
	o.expired = expired
}

// Count records how many own requests are at the engine from now on.
func (o *Ownership) Count(now time.Time, own int) {
	o.counts = append(o.counts, count{now, own})
	drop := 0
	for drop+1 < len(o.counts) && now.Sub(o.counts[drop+1].at) > maxReportAge {
		drop++
	}
	o.counts = o.counts[drop:]
}

// Report compares a load report with the own requests at that time. What the
// engine had in addition is foreign. A report taken after the claim without
// foreign load confirms a claimed owner.
func (o *Ownership) Report(r Report) {
	if !r.Taken.After(o.claimed) {
		return
	}
	o.foreign = max(r.Running+r.Queued-o.ownAt(r.Taken), 0)
	if o.foreign == 0 && o.standing == StandingClaimed {
		o.standing = StandingConfirmed
	}
}

// ownAt returns the smallest own count around the time: a request that starts
// while the report is taken may be missing from it, and counting it as own
// would hide a foreign one.
func (o *Ownership) ownAt(at time.Time) int {
	own, found := 0, false
	for i, c := range o.counts {
		ends := i+1 < len(o.counts) && o.counts[i+1].at.Before(at.Add(-reportJitter))
		if ends || c.at.After(at.Add(reportJitter)) {
			continue
		}
		if !found || c.own < own {
			own, found = c.own, true
		}
	}
	return own
}

// reportJitter is how exactly the time of a report is known.
const reportJitter = 50 * time.Millisecond

// Limit returns how many requests the owner may have at the engine, given the
// engine's limit. Until it is confirmed, a new owner gets at most half, and
// never more than the foreign load leaves.
func (o *Ownership) Limit(limit int) int {
	half := limit / 2
	switch o.Standing() {
	case StandingExpired:
		return half
	case StandingClaimed:
		return max(min(half, limit-o.others()), 0)
	default:
		return max(limit-o.others(), 0)
	}
}
