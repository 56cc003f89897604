package gossiper

import (
	"time"

	"github.com/bergamotdale/bergamotdale"
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

// merge takes in what another router says about a member.
func (m *Machine) merge(now time.Time, u MemberUpdate) {
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
func (m *Machine) learn(now time.Time, u MemberUpdate) {
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
func (m *Machine) set(now time.Time, r *record, incarnation int64, state bergamotdale.MemberState) {
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
		m.queue.add(memberKey(r.ID))
	}
	if state == bergamotdale.MemberDead {
		// Nearly everybody has heard of the suspicion and waits itself.
		m.queue.skip(memberKey(r.ID), retransmits(len(m.order)+1)/2)
	}
}

// insert adds a member at a random place of the probe order. New members at
// the end would all be probed by everybody in the same seconds.
func (m *Machine) insert(id string) {
	i := m.random.IntN(len(m.order) + 1)
	m.order = append(m.order, "")
	copy(m.order[i+1:], m.order[i:])
	m.order[i] = id
	if i < m.cursor {
		m.cursor++
	}
}

func (m *Machine) removeFromOrder(id string) {
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
func (m *Machine) doubt(u MemberUpdate, r *record) {
	alive := u.State == bergamotdale.MemberAlive || u.State == bergamotdale.MemberDraining
	if alive && r.State == bergamotdale.MemberDead && u.Incarnation == r.Incarnation {
		// A death of a member that was not known comes without its address.
		r.Address = u.Address
		r.FailureDomain = u.FailureDomain
		m.recheck[r.ID] = struct{}{}
	}
}

// refute answers news that this router is suspect, dead or gone.
func (m *Machine) refute(u MemberUpdate) {
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
func (m *Machine) raise(incarnation int64) {
	assert(incarnation > m.self.Incarnation, "own incarnation falls from %d to %d", m.self.Incarnation, incarnation)
	m.self.Incarnation = incarnation
	m.version++
	m.queue.add(memberKey(m.self.ID))
}

// SetDraining marks this router as draining.
func (m *Machine) SetDraining(_ time.Time) {
	if m.self.Draining || m.self.State == bergamotdale.MemberLeft {
		return
	}
	m.self.Draining = true
	m.self.State = bergamotdale.MemberDraining
	m.raise(m.self.Incarnation + 1)
}

// Leave marks this router as left and returns pings that tell a few members
// at once. Probes stop.
func (m *Machine) Leave(now time.Time) []Send {
	if m.self.State == bergamotdale.MemberLeft {
		return nil
	}
	m.self.State = bergamotdale.MemberLeft
	m.raise(m.self.Incarnation + 1)
	var sends []Send
	for _, r := range m.pick(leaveNotices, "") {
		sends = append(sends, m.ping(now, r, 0))
	}
	return sends
}

// leaveNotices is the number of members told directly that this router leaves;
// it sends no further probes that could carry the news.
const leaveNotices = 4

// SetSeeds replaces the list of VMs.
func (m *Machine) SetSeeds(vms []bergamotdale.VM) {
	m.seeds = m.seeds[:0]
	m.listed = 0
	for _, vm := range vms {
		if vm.Role != RouterRole {
			continue
		}
		m.listed++
		if vm.Address != m.self.Address {
			m.seeds = append(m.seeds, vm)
		}
	}
}

// Listed returns the number of routers in the list of VMs.
func (m *Machine) Listed() int {
	return m.listed
}

// RouterRole is the role of routers in the VM list.
const RouterRole = "router"
