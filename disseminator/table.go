// Package disseminator holds what a router knows of the fleet: members,
// short-lived rumours and the latest contact of any router with the store. It
// merges what other routers say and chooses what a message passes on.
//
// A member raises its incarnation to refute news about itself; of two states
// of one incarnation the worse one wins. News of a death makes a receiver
// suspect a member that it believes alive, so that every router gives the
// member the whole timeout to refute.
package disseminator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/spreader"
)

// Config holds the times and bounds of a table.
type Config struct {
	// SuspicionTimeout is the time to refute a suspicion in a fleet of up to
	// 10 routers. It grows with the logarithm of the fleet size, like the time
	// that a refutation needs to spread.
	SuspicionTimeout time.Duration
	// Retention is the time for which dead and left members are remembered.
	Retention time.Duration
	// MaxRumours bounds the rumours kept; more are dropped.
	MaxRumours int
}

// Stats holds counters since the start.
type Stats struct {
	Refutations int64
	// DroppedRumours counts rumours beyond Config.MaxRumours.
	DroppedRumours int64
}

// record is what the machine knows of another member.
type record struct {
	MemberUpdate
	// deadline is when a suspect is dead, or when a dead or left member is
	// forgotten.
	deadline time.Time
}

func (r *record) live() bool {
	return r.State != bergamotdale.MemberDead && r.State != bergamotdale.MemberLeft
}

// Table is what one router knows. It is not safe for concurrent use and reads
// no clock.
type Table struct {
	config Config
	random *rand.Rand
	// self never has the state suspect or dead.
	self    MemberUpdate
	records map[string]*record
	rumours map[string]*RumourEntry
	queue   spreader.Queue
	// order holds the IDs of live members in the order of probing.
	order  []string
	cursor int
	// recheck holds members believed dead that another member believes alive.
	recheck map[string]struct{}
	// contacts holds the latest contact of each router with the store.
	contacts map[string]contact
	// nextDeadline is not after the earliest deadline of a record.
	nextDeadline time.Time
	nextSweep    time.Time
	version      uint64
	stats        Stats
}

// New returns the table of the router itself.
func New(config Config, self bergamotdale.Member, random *rand.Rand) *Table {
	self.State = bergamotdale.MemberAlive
	t := &Table{
		config:   config,
		random:   random,
		self:     Update(self),
		records:  map[string]*record{},
		rumours:  map[string]*RumourEntry{},
		recheck:  map[string]struct{}{},
		contacts: map[string]contact{},
		version:  1,
	}
	t.queue.Add(memberKey(self.ID))
	return t
}

// Self returns the router itself.
func (m *Table) Self() MemberUpdate {
	return m.self
}

// Member returns another member.
func (m *Table) Member(id string) (MemberUpdate, bool) {
	r := m.records[id]
	if r == nil {
		return MemberUpdate{}, false
	}
	return r.MemberUpdate, true
}

// Live returns the number of other live members.
func (m *Table) Live() int {
	return len(m.order)
}

// Fresh reports whether there is news that few messages have carried.
func (m *Table) Fresh() bool {
	return m.queue.HasFresh()
}

// Version rises with each change of the view.
func (m *Table) Version() uint64 {
	return m.version
}

// Stats returns the counters.
func (m *Table) Stats() Stats {
	return m.stats
}

// View returns a snapshot.
func (m *Table) View() *View {
	v := &View{version: m.version}
	v.members = make([]bergamotdale.Member, 0, len(m.records)+1)
	v.members = append(v.members, m.self.Member())
	for _, r := range m.records {
		v.members = append(v.members, r.Member())
	}
	slices.SortFunc(v.members, func(a, b bergamotdale.Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, member := range v.members {
		draining := m.self.Draining
		if r := m.records[member.ID]; r != nil {
			draining = r.Draining
		}
		if member.State == bergamotdale.MemberDead || member.State == bergamotdale.MemberLeft {
			continue
		}
		v.live = append(v.live, member)
		if !draining {
			v.owners = append(v.owners, member.ID)
		}
	}
	for _, r := range m.rumours {
		v.rumours = append(v.rumours, *r)
	}
	slices.SortFunc(v.rumours, func(a, b RumourEntry) int { return cmp.Compare(a.Key, b.Key) })
	return v
}

// Expire ends suspicions, retention and rumours whose time has come.
func (m *Table) Expire(now time.Time) {
	if !now.Before(m.nextDeadline) {
		m.expireRecords(now)
	}
	if now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = now.Add(time.Second)
	for key, r := range m.rumours {
		if !now.Before(r.Expires) {
			delete(m.rumours, key)
			m.queue.Remove(rumourKey(key))
			m.version++
		}
	}
}

func (m *Table) expireRecords(now time.Time) {
	m.nextDeadline = now.Add(m.config.Retention)
	var ended []*record
	for _, r := range m.records {
		if r.live() && r.State != bergamotdale.MemberSuspect {
			continue
		}
		if now.Before(r.deadline) {
			m.due(r.deadline)
		} else {
			ended = append(ended, r)
		}
	}
	// In a fixed order, because the queue keeps the order of changes.
	slices.SortFunc(ended, func(a, b *record) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range ended {
		if r.live() {
			m.set(now, r, r.Incarnation, bergamotdale.MemberDead)
		} else {
			m.forget(r.ID)
		}
	}
}

// due makes expire look at the records at the time.
func (m *Table) due(at time.Time) {
	if at.Before(m.nextDeadline) {
		m.nextDeadline = at
	}
}

func (m *Table) forget(id string) {
	delete(m.records, id)
	delete(m.recheck, id)
	m.queue.Remove(memberKey(id))
	m.version++
}

// Restart gives all suspects the whole timeout again, after a pause of this
// router.
func (m *Table) Restart(now time.Time) {
	for _, r := range m.records {
		if r.State == bergamotdale.MemberSuspect {
			r.deadline = now.Add(m.suspicionTimeout())
		}
	}
}

func (m *Table) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(len(m.order)+1)))
	return time.Duration(scale * float64(m.config.SuspicionTimeout))
}

// assert stops the process at a state that must not occur: continuing would
// spread it to the fleet.
func assert(ok bool, format string, args ...any) {
	if !ok {
		panic("disseminator: " + fmt.Sprintf(format, args...))
	}
}
