package disseminator

import (
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/spreader"
)

// rank orders the states of one incarnation: the higher one wins.
func rank(s bergamotdale.MemberState) int {
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

// Merge takes in what another router says about a member.
func (m *Table) Merge(now time.Time, u MemberUpdate) {
	if u.ID == "" || rank(u.State) < 0 {
		return
	}
	if u.ID == m.self.ID {
		m.refute(u)
		return
	}
	r := m.records[u.ID]
	if r == nil {
		m.learn(now, u)
		return
	}
	if !newer(u, r.MemberUpdate) {
		m.doubt(u, r)
		return
	}
	state := u.State
	if state == bergamotdale.MemberDead && r.live() {
		// The member gets the whole timeout of this router to refute.
		state = bergamotdale.MemberSuspect
		if r.State == state && r.Incarnation == u.Incarnation {
			return
		}
	}
	if u.Address != "" {
		r.Address = u.Address
		r.FailureDomain = u.FailureDomain
	}
	if r.Address == "" && rank(state) <= rank(bergamotdale.MemberSuspect) {
		return
	}
	r.Draining = u.Draining || u.State == bergamotdale.MemberDraining ||
		(r.Draining && u.Incarnation == r.Incarnation)
	m.set(now, r, u.Incarnation, state)
}

// newer reports whether an update takes precedence over what is known.
func newer(u, known MemberUpdate) bool {
	if u.Incarnation != known.Incarnation {
		return u.Incarnation > known.Incarnation
	}
	return rank(u.State) > rank(known.State)
}

// learn adds a member that was not known. A dead one is remembered, so that
// older news does not add it.
func (m *Table) learn(now time.Time, u MemberUpdate) {
	if u.Address == "" && u.State != bergamotdale.MemberDead && u.State != bergamotdale.MemberLeft {
		return
	}
	r := &record{MemberUpdate: u}
	r.Draining = u.Draining || u.State == bergamotdale.MemberDraining
	// An empty state makes set see a change.
	r.State = ""
	m.records[u.ID] = r
	m.set(now, r, u.Incarnation, u.State)
}

// set changes the state of a member and queues the change.
func (m *Table) set(now time.Time, r *record, incarnation int64, state bergamotdale.MemberState) {
	assert(incarnation >= r.Incarnation, "incarnation of %s falls from %d to %d", r.ID, r.Incarnation, incarnation)
	known := r.State != ""
	wasLive := known && r.live()
	r.Incarnation = incarnation
	r.State = state
	assert(!r.live() || r.Address != "", "%s is %s without an address", r.ID, state)
	switch state {
	case bergamotdale.MemberSuspect:
		r.deadline = now.Add(m.suspicionTimeout())
		m.due(r.deadline)
	case bergamotdale.MemberDead, bergamotdale.MemberLeft:
		r.deadline = now.Add(m.config.Retention)
		m.due(r.deadline)
	}
	if r.live() {
		delete(m.recheck, r.ID)
	}
	if r.live() && !wasLive {
		m.insert(r.ID)
	}
	if !r.live() && wasLive {
		m.removeFromOrder(r.ID)
	}
	m.version++
	if known || r.live() {
		m.queue.Add(memberKey(r.ID))
	}
	if state == bergamotdale.MemberDead {
		// Nearly everybody has heard of the suspicion and waits itself.
		m.queue.MarkSent(memberKey(r.ID), spreader.TransmitLimit(len(m.order)+1)/2)
	}
}

// insert adds a member at a random place of the probe order. New members at
// the end would all be probed by everybody in the same seconds.
func (m *Table) insert(id string) {
	i := m.random.IntN(len(m.order) + 1)
	m.order = append(m.order, "")
	copy(m.order[i+1:], m.order[i:])
	m.order[i] = id
	if i < m.cursor {
		m.cursor++
	}
}

func (m *Table) removeFromOrder(id string) {
	for i, other := range m.order {
		if other != id {
			continue
		}
		m.order = append(m.order[:i], m.order[i+1:]...)
		if i < m.cursor {
			m.cursor--
		}
		return
	}
}

// doubt notes that another router believes a member alive that this one
// believes dead. A direct probe settles it: the member refutes with a higher
// incarnation.
func (m *Table) doubt(u MemberUpdate, r *record) {
	alive := u.State == bergamotdale.MemberAlive || u.State == bergamotdale.MemberDraining
	if alive && r.State == bergamotdale.MemberDead && u.Incarnation == r.Incarnation {
		// A death of a member that was not known comes without its address.
		r.Address = u.Address
		r.FailureDomain = u.FailureDomain
		m.recheck[r.ID] = struct{}{}
	}
}

// refute answers news that this router is suspect, dead or gone.
func (m *Table) refute(u MemberUpdate) {
	if m.self.State == bergamotdale.MemberLeft || u.Incarnation < m.self.Incarnation {
		return
	}
	if u.Incarnation == m.self.Incarnation && rank(u.State) <= rank(bergamotdale.MemberDraining) {
		return
	}
	m.stats.Refutations++
	m.raise(u.Incarnation + 1)
}

// raise gives this router a higher incarnation and spreads it.
func (m *Table) raise(incarnation int64) {
	assert(incarnation > m.self.Incarnation, "own incarnation falls from %d to %d", m.self.Incarnation, incarnation)
	m.self.Incarnation = incarnation
	m.version++
	m.queue.Add(memberKey(m.self.ID))
}

// Suspect marks a member that did not respond to a probe, unless newer news
// has arrived since the probe began.
func (m *Table) Suspect(now time.Time, id string, incarnation int64) {
	r := m.records[id]
	if r == nil || r.Incarnation != incarnation || !r.live() || r.State == bergamotdale.MemberSuspect {
		return
	}
	m.set(now, r, r.Incarnation, bergamotdale.MemberSuspect)
}

// SetDraining marks this router as draining.
func (m *Table) SetDraining() {
	if m.self.Draining || m.self.State == bergamotdale.MemberLeft {
		return
	}
	m.self.Draining = true
	m.self.State = bergamotdale.MemberDraining
	m.raise(m.self.Incarnation + 1)
}

// SetLeft marks this router as left.
func (m *Table) SetLeft() {
	m.self.State = bergamotdale.MemberLeft
	m.raise(m.self.Incarnation + 1)
}
