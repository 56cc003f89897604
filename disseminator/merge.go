package disseminator

import (
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/spreader"
)

// precedence returns the rank of a state. Of two updates about a member with the same
// incarnation, the one whose state has the higher rank wins. The rank is -1 for an unknown state.
func precedence(s bergamotdale.MemberState) int {
	switch s {
	case bergamotdale.MemberAlive:
		return 0
	case bergamotdale.MemberDraining:
		return 1
	case bergamotdale.MemberSuspect:
		return 2
	case bergamotdale.MemberDead:
		return 3
	case bergamotdale.MemberLeft:
		return 4
	}
	return -1
}

// Merge applies an update about a member, received from another router.
func (t *Table) Merge(now time.Time, u MemberUpdate) {
	if u.ID == "" || precedence(u.State) < 0 {
		return
	}
	if u.ID == t.self.ID {
		t.refute(u)
		return
	}
	r := t.records[u.ID]
	if r == nil {
		t.addMember(now, u)
		return
	}
	if !supersedes(u, r.MemberUpdate) {
		t.scheduleRecheck(u, r)
		return
	}
	state := u.State
	if state == bergamotdale.MemberDead && r.live() {
		// Mark the member as suspect first, so that it has the whole suspicion
		// timeout of this router to refute.
		state = bergamotdale.MemberSuspect
		if r.State == state && r.Incarnation == u.Incarnation {
			return
		}
	}
	if u.Address != "" {
		r.Address = u.Address
		r.FailureDomain = u.FailureDomain
	}
	if r.Address == "" && precedence(state) <= precedence(bergamotdale.MemberSuspect) {
		return
	}
	r.Draining = u.Draining || u.State == bergamotdale.MemberDraining ||
		(r.Draining && u.Incarnation == r.Incarnation)
	t.setState(now, r, u.Incarnation, state)
}

// supersedes reports whether update u takes precedence over the known state.
func supersedes(u, known MemberUpdate) bool {
	if u.Incarnation != known.Incarnation {
		return u.Incarnation > known.Incarnation
	}
	return precedence(u.State) > precedence(known.State)
}

// addMember adds a member that was not known. Dead and left members are added
// too, so that an older update does not add them as alive.
func (t *Table) addMember(now time.Time, u MemberUpdate) {
	if u.Address == "" && u.State != bergamotdale.MemberDead && u.State != bergamotdale.MemberLeft {
		return
	}
	r := &memberRecord{MemberUpdate: u}
	r.Draining = u.Draining || u.State == bergamotdale.MemberDraining
	// The empty state tells setState that the member is new.
	r.State = ""
	t.records[u.ID] = r
	t.setState(now, r, u.Incarnation, u.State)
}

// setState changes the state of a member, sets its deadline and queues the update.
func (t *Table) setState(now time.Time, r *memberRecord, incarnation int64, state bergamotdale.MemberState) {
	assert(incarnation >= r.Incarnation, "incarnation of %s falls from %d to %d", r.ID, r.Incarnation, incarnation)
	known := r.State != ""
	wasLive := known && r.live()
	r.Incarnation = incarnation
	r.State = state
	assert(!r.live() || r.Address != "", "%s is %s without an address", r.ID, state)
	switch state {
	case bergamotdale.MemberSuspect:
		r.deadline = now.Add(t.suspicionTimeout())
		t.scheduleExpiry(r.deadline)
	case bergamotdale.MemberDead, bergamotdale.MemberLeft:
		r.deadline = now.Add(t.config.Retention)
		t.scheduleExpiry(r.deadline)
	}
	if r.live() {
		delete(t.recheck, r.ID)
	}
	if r.live() && !wasLive {
		t.insertIntoProbeOrder(r.ID)
	}
	if !r.live() && wasLive {
		t.removeFromProbeOrder(r.ID)
	}
	t.version++
	if known || r.live() {
		t.queue.Add(memberKey(r.ID))
	}
	if state == bergamotdale.MemberDead {
		// Nearly all routers have received the suspicion and declare the death by
		// their own timeout, so half of the transmissions suffice.
		t.queue.MarkSent(memberKey(r.ID), spreader.TransmitLimit(len(t.probeOrder)+1)/2)
	}
}

// insertIntoProbeOrder adds a member at a random position of the probe order. If
// new members were appended, all routers would probe them in the same seconds.
func (t *Table) insertIntoProbeOrder(id string) {
	i := t.random.IntN(len(t.probeOrder) + 1)
	t.probeOrder = append(t.probeOrder, "")
	copy(t.probeOrder[i+1:], t.probeOrder[i:])
	t.probeOrder[i] = id
	if i < t.probeCursor {
		t.probeCursor++
	}
}

func (t *Table) removeFromProbeOrder(id string) {
	for i, other := range t.probeOrder {
		if other != id {
			continue
		}
		t.probeOrder = append(t.probeOrder[:i], t.probeOrder[i+1:]...)
		if i < t.probeCursor {
			t.probeCursor--
		}
		return
	}
}

// scheduleRecheck schedules a direct probe of a member that this router believes
// dead if update u of the same incarnation says that it is alive. If the member is
// alive, it responds with a higher incarnation, which refutes the report of its death.
func (t *Table) scheduleRecheck(u MemberUpdate, r *memberRecord) {
	alive := u.State == bergamotdale.MemberAlive || u.State == bergamotdale.MemberDraining
	if alive && r.State == bergamotdale.MemberDead && u.Incarnation == r.Incarnation {
		// A report of a death carries no address, so the record lacks it if the
		// member was not known before.
		r.Address = u.Address
		r.FailureDomain = u.FailureDomain
		t.recheck[r.ID] = struct{}{}
	}
}

// refute raises the incarnation of this router if update u says that this router
// is suspect, dead or left, or carries a higher incarnation than its own.
func (t *Table) refute(u MemberUpdate) {
	if t.self.State == bergamotdale.MemberLeft || u.Incarnation < t.self.Incarnation {
		return
	}
	if u.Incarnation == t.self.Incarnation && precedence(u.State) <= precedence(bergamotdale.MemberDraining) {
		return
	}
	t.stats.Refutations++
	t.raiseIncarnation(u.Incarnation + 1)
}

// raiseIncarnation sets the incarnation of this router to a higher one and queues
// the update.
func (t *Table) raiseIncarnation(incarnation int64) {
	assert(incarnation > t.self.Incarnation, "own incarnation falls from %d to %d", t.self.Incarnation, incarnation)
	t.self.Incarnation = incarnation
	t.version++
	t.queue.Add(memberKey(t.self.ID))
}

// Suspect marks a member that did not respond to a probe as suspect, unless its
// incarnation has changed since the probe began.
func (t *Table) Suspect(now time.Time, id string, incarnation int64) {
	r := t.records[id]
	if r == nil || r.Incarnation != incarnation || !r.live() || r.State == bergamotdale.MemberSuspect {
		return
	}
	t.setState(now, r, r.Incarnation, bergamotdale.MemberSuspect)
}

// SetDraining marks this router as draining.
func (t *Table) SetDraining() {
	if t.self.Draining || t.self.State == bergamotdale.MemberLeft {
		return
	}
	t.self.Draining = true
	t.self.State = bergamotdale.MemberDraining
	t.raiseIncarnation(t.self.Incarnation + 1)
}

// SetLeft marks this router as left.
func (t *Table) SetLeft() {
	t.self.State = bergamotdale.MemberLeft
	t.raiseIncarnation(t.self.Incarnation + 1)
}
