// Package disseminator keeps one router's copy of the state that the fleet
// shares by gossip: the members, rumours (short-lived key-value facts) and the
// latest contact of any router with the store. It merges the updates that
// messages carry and selects the updates for the messages that the router sends.
//
// Membership follows the SWIM protocol with suspicion. Each member has an
// incarnation number that only the member itself raises, to refute a false
// report that it is suspect or dead. Of two states with the same incarnation the
// worse one wins. A router that receives a report of the death of a member that
// it believes alive marks the member as suspect, not dead, so that on every
// router the member has the whole suspicion timeout to refute.
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

// Config holds the timeouts and limits of a Table.
type Config struct {
	// SuspicionTimeout is the time that a suspect has to refute the suspicion in
	// a fleet of up to 10 routers. In larger fleets it is scaled by the decimal
	// logarithm of the fleet size, as the time that a refutation needs to spread
	// grows with it.
	SuspicionTimeout time.Duration
	// Retention is how long dead and left members are kept.
	Retention time.Duration
	// MaxRumours is the maximum number of rumours kept. New keys beyond it are
	// dropped.
	MaxRumours int
}

// Stats holds counters since the start of the process.
type Stats struct {
	// Refutations counts the false reports that this router has refuted.
	Refutations int64
	// DroppedRumours counts the rumours dropped because of Config.MaxRumours.
	DroppedRumours int64
}

// memberRecord is the state of another member with its timer.
type memberRecord struct {
	MemberUpdate
	// deadline is when a suspect becomes dead, or when a dead or left member is
	// removed. It has no meaning in other states.
	deadline time.Time
}

func (r *memberRecord) live() bool {
	return r.State != bergamotdale.MemberDead && r.State != bergamotdale.MemberLeft
}

// Table holds what one router knows of the fleet. It is not safe for concurrent
// use. It reads no clock: callers pass the current time.
type Table struct {
	config Config
	random *rand.Rand
	// self is this router. Its state is never suspect or dead.
	self    MemberUpdate
	records map[string]*memberRecord
	rumours map[string]*RumourEntry
	queue   spreader.Queue
	// probeOrder holds the IDs of the other live members in the order of probing, and
	// probeCursor is the index of the next one to probe.
	probeOrder  []string
	probeCursor int
	// recheck holds the IDs of members that this router believes dead and another
	// router believes alive. They are probed directly.
	recheck map[string]struct{}
	// contacts maps each router ID to the router's latest known contact with the
	// store.
	contacts map[string]contactRecord
	// nextDeadline is at or before the earliest deadline in records, so that most
	// calls of Expire need not scan them.
	nextDeadline time.Time
	// nextSweep is when Expire next removes expired rumours.
	nextSweep time.Time
	version   uint64
	stats     Stats
}

// New returns a table that holds only self, the router that uses it.
func New(config Config, self bergamotdale.Member, random *rand.Rand) *Table {
	self.State = bergamotdale.MemberAlive
	t := &Table{
		config:   config,
		random:   random,
		self:     NewMemberUpdate(self),
		records:  map[string]*memberRecord{},
		rumours:  map[string]*RumourEntry{},
		recheck:  map[string]struct{}{},
		contacts: map[string]contactRecord{},
		version:  1,
	}
	t.queue.Add(memberKey(self.ID))
	return t
}

// Self returns the state of this router.
func (t *Table) Self() MemberUpdate {
	return t.self
}

// Member returns the state of another member, dead or left ones included.
func (t *Table) Member(id string) (MemberUpdate, bool) {
	r := t.records[id]
	if r == nil {
		return MemberUpdate{}, false
	}
	return r.MemberUpdate, true
}

// LiveCount returns the number of live members without this router.
func (t *Table) LiveCount() int {
	return len(t.probeOrder)
}

// HasFreshUpdates reports whether the queue holds an update that only few messages
// have carried so far.
func (t *Table) HasFreshUpdates() bool {
	return t.queue.HasFresh()
}

// Version returns a number that rises with each change of the table.
func (t *Table) Version() uint64 {
	return t.version
}

// Stats returns the counters.
func (t *Table) Stats() Stats {
	return t.stats
}

// View returns a snapshot of the table.
func (t *Table) View() *View {
	v := &View{version: t.version}
	v.members = make([]bergamotdale.Member, 0, len(t.records)+1)
	v.members = append(v.members, t.self.Member())
	for _, r := range t.records {
		v.members = append(v.members, r.Member())
	}
	slices.SortFunc(v.members, func(a, b bergamotdale.Member) int { return cmp.Compare(a.ID, b.ID) })
	for _, member := range v.members {
		draining := t.self.Draining
		if r := t.records[member.ID]; r != nil {
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
	for _, r := range t.rumours {
		v.rumours = append(v.rumours, *r)
	}
	slices.SortFunc(v.rumours, func(a, b RumourEntry) int { return cmp.Compare(a.Key, b.Key) })
	return v
}

// Expire marks suspects as dead whose timeout has passed, and removes dead and
// left members after their retention and rumours after their lifetime.
func (t *Table) Expire(now time.Time) {
	if !now.Before(t.nextDeadline) {
		t.expireRecords(now)
	}
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(time.Second)
	for key, r := range t.rumours {
		if !now.Before(r.Expires) {
			delete(t.rumours, key)
			t.queue.Remove(rumourKey(key))
			t.version++
		}
	}
}

func (t *Table) expireRecords(now time.Time) {
	t.nextDeadline = now.Add(t.config.Retention)
	var ended []*memberRecord
	for _, r := range t.records {
		if r.live() && r.State != bergamotdale.MemberSuspect {
			continue
		}
		if now.Before(r.deadline) {
			t.scheduleExpiry(r.deadline)
		} else {
			ended = append(ended, r)
		}
	}
	// The queue keeps the order of changes. Sorting makes that order independent of
	// the random iteration order of maps.
	slices.SortFunc(ended, func(a, b *memberRecord) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range ended {
		if r.live() {
			t.setState(now, r, r.Incarnation, bergamotdale.MemberDead)
		} else {
			t.removeMember(r.ID)
		}
	}
}

// scheduleExpiry makes Expire scan the records at the given time or earlier.
func (t *Table) scheduleExpiry(at time.Time) {
	if at.Before(t.nextDeadline) {
		t.nextDeadline = at
	}
}

func (t *Table) removeMember(id string) {
	delete(t.records, id)
	delete(t.recheck, id)
	t.queue.Remove(memberKey(id))
	t.version++
}

// RestartSuspicions gives all suspects the whole timeout again. It is called
// after a pause of this router, in which no refutation could arrive.
func (t *Table) RestartSuspicions(now time.Time) {
	for _, r := range t.records {
		if r.State == bergamotdale.MemberSuspect {
			r.deadline = now.Add(t.suspicionTimeout())
		}
	}
}

func (t *Table) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(len(t.probeOrder)+1)))
	return time.Duration(scale * float64(t.config.SuspicionTimeout))
}

// assert panics if an invariant is violated: a router that kept running would
// spread the wrong state to the fleet.
func assert(ok bool, format string, args ...any) {
	if !ok {
		panic("disseminator: " + fmt.Sprintf(format, args...))
	}
}
