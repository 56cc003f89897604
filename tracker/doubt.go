package tracker

import (
	"time"

	"github.com/bergamotdale/bergamotdale/balancer"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

// RecordResponse records that a response of the endpoint shows that it is not leaving.
func (t *Tracker) RecordResponse(now time.Time, id, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpointState(id, service).respondedAt = now
}

// KeepResponding returns those candidates, with their records, that have responded to
// this router since the time. If there are none, it returns all: the fleet is never left
// without endpoints.
func (t *Tracker) KeepResponding(
	since time.Time, candidates []balancer.Candidate, records []subscriber.Endpoint,
) ([]balancer.Candidate, []subscriber.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var responding []balancer.Candidate
	var respondingRecords []subscriber.Endpoint
	for i, c := range candidates {
		if e := t.endpoints[c.ID]; e != nil && e.respondedAt.After(since) {
			responding, respondingRecords = append(responding, c), append(respondingRecords, records[i])
		}
	}
	if len(responding) == 0 {
		return candidates, records
	}
	return responding, respondingRecords
}
