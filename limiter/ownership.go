package limiter

import "time"

// OwnershipState tells whether an owner can be certain that it alone admits
// requests to an endpoint.
type OwnershipState int

const (
	// OwnershipClaimed is the state of a new owner whose predecessor may still
	// admit requests.
	OwnershipClaimed OwnershipState = iota
	// OwnershipConfirmed is the state of an owner whose predecessor is known to
	// admit no more requests.
	OwnershipConfirmed
	// OwnershipExpired is the state of an owner whose lease has expired while
	// peers still reach the store, so that a successor may exist.
	OwnershipExpired
)

// Ownership computes the part of an engine's limit that one owner of the endpoint
// may use. Two routers that both act as the owner, one of them in state claimed
// and one in state expired, together stay within the engine's limit (D3). It is
// not safe for concurrent use.
type Ownership struct {
	state     OwnershipState
	claimedAt time.Time
	// expired overrides state while the lease is not renewed.
	expired bool
	// reportedForeign is the number of requests in the last load report that are
	// not the owner's.
	reportedForeign int
	// remaining is the number of requests that the previous owner still runs, by
	// its own count.
	remaining int
	ownCounts []ownCount
}

// ownCount is the number of the owner's requests at the engine from a time on.
type ownCount struct {
	at  time.Time
	own int
}

// maxReportAge is how long own counts are kept to compare them with load reports.
const maxReportAge = 10 * time.Second

// NewOwnership returns an Ownership in state claimed.
func NewOwnership(claimedAt time.Time) *Ownership {
	return &Ownership{state: OwnershipClaimed, claimedAt: claimedAt}
}

// State returns the current state.
func (o *Ownership) State() OwnershipState {
	if o.expired {
		return OwnershipExpired
	}
	return o.state
}

// Confirm records that the previous owner has stopped admitting requests, but
// still runs the remaining ones at the engine. A handover message tells this.
func (o *Ownership) Confirm(remaining int) {
	o.state = OwnershipConfirmed
	o.reportedForeign = 0
	o.remaining = remaining
}

// SetRemaining records how many requests the previous owner still runs. A load
// report can show fewer: an engine that was stalled has not read all of them.
func (o *Ownership) SetRemaining(remaining int) {
	o.remaining = remaining
}

// foreignRequests returns the number of requests at the engine that are not the
// owner's.
func (o *Ownership) foreignRequests() int {
	return max(o.reportedForeign, o.remaining)
}

// SetExpired records whether the lease has expired without evidence that the
// store is down for all routers.
func (o *Ownership) SetExpired(expired bool) {
	o.expired = expired
}

// RecordOwnRequests records the number of the owner's requests at the engine from
// now on.
func (o *Ownership) RecordOwnRequests(now time.Time, own int) {
	o.ownCounts = append(o.ownCounts, ownCount{now, own})
	drop := 0
	for drop+1 < len(o.ownCounts) && now.Sub(o.ownCounts[drop+1].at) > maxReportAge {
		drop++
	}
	o.ownCounts = o.ownCounts[drop:]
}

// ApplyReport compares a load report with the owner's requests at that time. All
// further requests of the report are foreign. A report that was taken after the
// claim and has no foreign requests confirms a claimed owner.
func (o *Ownership) ApplyReport(r LoadReport) {
	if !r.Taken.After(o.claimedAt) {
		return
	}
	o.reportedForeign = max(r.Running+r.Queued-o.ownAt(r.Taken), 0)
	if o.reportedForeign == 0 && o.state == OwnershipClaimed {
		o.state = OwnershipConfirmed
	}
}

// ownAt returns the smallest own count within reportJitter of the time. A request
// that starts while the report is taken may be missing from the report, and
// counting it as own would hide a foreign one.
func (o *Ownership) ownAt(at time.Time) int {
	own, found := 0, false
	for i, c := range o.ownCounts {
		ends := i+1 < len(o.ownCounts) && o.ownCounts[i+1].at.Before(at.Add(-reportJitter))
		if ends || c.at.After(at.Add(reportJitter)) {
			continue
		}
		if !found || c.own < own {
			own, found = c.own, true
		}
	}
	return own
}

// reportJitter is the uncertainty of the time at which a report was taken.
const reportJitter = 50 * time.Millisecond

// Limit returns the number of requests that the owner may have at the engine,
// given the engine's limit. An expired owner gets half of the limit, a claimed
// owner at most half, and a claimed or confirmed owner never more than the
// foreign requests leave.
func (o *Ownership) Limit(limit int) int {
	half := limit / 2
	switch o.State() {
	case OwnershipExpired:
		return half
	case OwnershipClaimed:
		return max(min(half, limit-o.foreignRequests()), 0)
	default:
		return max(limit-o.foreignRequests(), 0)
	}
}
