package tracker

import (
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale/balancer"
)

const (
	// peerSuspensionExpiry is how long suspensions of other routers count. It covers a few
	// lost messages, and is below the time for which an endpoint that is back may wait for
	// work.
	peerSuspensionExpiry = 1500 * time.Millisecond
	// aliveEvidence is how long a response to this router outweighs the suspension of
	// another router, whose own path to the endpoint may be the fault.
	aliveEvidence = time.Second
	// maxSuspendedFraction is the largest part of a service that suspensions of other
	// routers may take away. Beyond it the reports say more about the routers or the
	// network than about the endpoints.
	maxSuspendedFraction = 0.5
)

// peerSuspensions holds the endpoints that other routers of the failure domain suspend.
type peerSuspensions struct {
	endpoints  map[string]bool
	receivedAt time.Time
}

// Suspended returns the endpoints that this router itself suspends, ordered by ID.
func (t *Tracker) Suspended(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ids []string
	for id, e := range t.endpoints {
		if now.Before(e.suspendedUntil) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// SetPeerSuspensions replaces the endpoints that other routers of this router's failure
// domain suspend. They are suspended here too for as long as the others report them.
//
// The load pattern: a quarter of the endpoints of a service lose power. Each router would
// have to lose a request at each of them to find out, again after each suspension.
func (t *Tracker) SetPeerSuspensions(now time.Time, ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerSuspended = peerSuspensions{endpoints: map[string]bool{}, receivedAt: now}
	for _, id := range ids {
		t.peerSuspended.endpoints[id] = true
	}
}

// PeerSuspendedCount returns the number of endpoints that only other routers suspend.
func (t *Tracker) PeerSuspendedCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for id, e := range t.endpoints {
		if !now.Before(e.suspendedUntil) && t.isPeerSuspended(now, id) {
			n++
		}
	}
	return n
}

// isPeerSuspended reports whether another router suspends the endpoint and nothing that
// this router knows contradicts it. The lock is held.
func (t *Tracker) isPeerSuspended(now time.Time, id string) bool {
	if now.Sub(t.peerSuspended.receivedAt) >= peerSuspensionExpiry || !t.peerSuspended.endpoints[id] {
		return false
	}
	e := t.endpoints[id]
	return e == nil || now.Sub(e.respondedAt) >= aliveEvidence
}

// applyPeerSuspensions suspends the candidates that other routers suspend, unless these are
// more than maxSuspendedFraction. The lock is held.
func (t *Tracker) applyPeerSuspensions(now time.Time, candidates []balancer.Candidate) {
	var suspended []int
	for i, c := range candidates {
		if t.isPeerSuspended(now, c.ID) {
			suspended = append(suspended, i)
		}
	}
	if float64(len(suspended)) > maxSuspendedFraction*float64(len(candidates)) {
		return
	}
	for _, i := range suspended {
		candidates[i].Suspended = true
	}
}
