// Package gossiper keeps the membership of the router fleet, SWIM-style.
//
// Each router probes one member per interval, directly and then through two
// others. A member that does not respond is suspected, and dead once the
// suspicion has stood for its timeout without being refuted. Changes travel on
// the probes, at most MaxPiggyback per message. Machine is the pure state
// machine; Gossiper drives it over bergamotdale.Peer.
//
// Three rules differ from the published protocol. News of a death makes a
// receiver suspect a member that it believes alive, so that every router gives
// the member the whole timeout to refute. A router that finds itself paused
// starts its suspicions again. Dead members and the VM list are probed from
// time to time, which reunites the sides of a healed partition.
package gossiper

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/hasher"
)

// Config holds the timing of the protocol.
type Config struct {
	// ProbeInterval is the time between two probes of a router.
	ProbeInterval time.Duration
	// GossipInterval is the time after a probe until a second message is sent
	// to a random member, if there is news that few messages have carried.
	GossipInterval time.Duration
	// ProbeTimeout bounds a direct probe, IndirectTimeout one through another
	// router.
	ProbeTimeout    time.Duration
	IndirectTimeout time.Duration
	// IndirectProbes is the number of routers asked for an indirect probe.
	IndirectProbes int
	// SuspicionTimeout is the time to refute a suspicion in a fleet of up to
	// 10 routers. It grows with the logarithm of the fleet size, like the time
	// that a refutation needs to spread.
	SuspicionTimeout time.Duration
	// RejoinInterval is the time between two contacts with a dead member, a
	// seed or a member asked for a page of its list.
	RejoinInterval time.Duration
	// Retention is the time for which dead and left members are remembered.
	Retention time.Duration
	// PauseThreshold is the time between two ticks above which the router was
	// paused and its own timers mean nothing.
	PauseThreshold time.Duration
	// MaxRumours bounds the rumours kept; more are dropped.
	MaxRumours int
}

// DefaultConfig returns the timing in use.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:    time.Second,
		GossipInterval:   400 * time.Millisecond,
		ProbeTimeout:     500 * time.Millisecond,
		IndirectTimeout:  time.Second,
		IndirectProbes:   2,
		SuspicionTimeout: 3 * time.Second,
		RejoinInterval:   5 * time.Second,
		Retention:        10 * time.Minute,
		PauseThreshold:   3 * time.Second,
		MaxRumours:       1024,
	}
}

// SendKind tells what a Send carries.
type SendKind int

const (
	// SendPing sends Send.Ping.
	SendPing SendKind = iota + 1
	// SendIndirect sends Send.Indirect.
	SendIndirect
)

// Send is a message that the machine wants sent.
type Send struct {
	Kind    SendKind
	Address string
	Timeout time.Duration
	// Probe is the probe that the message belongs to, or zero.
	Probe    uint64
	Ping     PingRequest
	Indirect IndirectRequest
}

// Result is the result of a Send. The response is valid if Err is nil.
type Result struct {
	Send     Send
	Err      error
	Ping     PingResponse
	Indirect IndirectResponse
}

// Stats holds counters since the start. Bytes are those of message bodies.
type Stats struct {
	Probes           int64
	FailedProbes     int64
	MessagesSent     int64
	MessagesReceived int64
	BytesSent        int64
	BytesReceived    int64
	Refutations      int64
	Pauses           int64
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

// probe is a probe whose result is open.
type probe struct {
	target      string
	incarnation int64
	// indirect is the number of open indirect probes.
	indirect int
}

// Machine is the state machine of one router. It is not safe for concurrent
// use and reads no clock.
type Machine struct {
	config Config
	random *rand.Rand
	// self never has the state suspect or dead.
	self    MemberUpdate
	records map[string]*record
	rumours map[string]*RumourEntry
	queue   queue
	// order holds the IDs of live members in the order of probing.
	order  []string
	cursor int
	probes map[uint64]*probe
	lastID uint64
	seeds  []bergamotdale.VM
	listed int
	// recheck holds members believed dead that another member believes alive.
	recheck map[string]struct{}
	// syncing is true while pages of another member's list are read.
	syncing    bool
	syncCursor string
	// syncedOnce is true after the whole list of a member was read.
	syncedOnce bool
	// storeContact is the latest contact of any router with the store.
	storeContact time.Time
	lastTick     time.Time
	nextProbe    time.Time
	nextGossip   time.Time
	nextRejoin   time.Time
	// nextDeadline is not after the earliest deadline of a record.
	nextDeadline time.Time
	nextSweep    time.Time
	version      uint64
	stats        Stats
}

// NewMachine returns the machine of the router itself.
func NewMachine(config Config, self bergamotdale.Member, seed uint64, now time.Time) *Machine {
	self.State = bergamotdale.MemberAlive
	m := &Machine{
		config:  config,
		random:  rand.New(rand.NewPCG(seed, hasher.Hash(self.ID))),
		self:    Update(self),
		records: map[string]*record{},
		rumours: map[string]*RumourEntry{},
		probes:  map[uint64]*probe{},
		recheck: map[string]struct{}{},
		version: 1,
	}
	// Routers that start together must not probe in step.
	m.nextProbe = now.Add(time.Duration(m.random.Int64N(int64(config.ProbeInterval))))
	m.nextRejoin = now
	m.lastTick = now
	m.queue.add(memberKey(self.ID))
	return m
}

// Version rises with each change of the view.
func (m *Machine) Version() uint64 {
	return m.version
}

// Stats returns the counters.
func (m *Machine) Stats() Stats {
	return m.stats
}

// View returns a snapshot.
func (m *Machine) View() *View {
	v := &View{version: m.version}
	v.members = make([]bergamotdale.Member, 0, len(m.records)+1)
	v.members = append(v.members, m.self.member())
	for _, r := range m.records {
		v.members = append(v.members, r.member())
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

// Tick advances the timers and returns the messages to send.
func (m *Machine) Tick(now time.Time) []Send {
	if now.Sub(m.lastTick) > m.config.PauseThreshold {
		m.resume(now)
	}
	m.lastTick = now
	m.expire(now)
	var sends []Send
	if m.self.State == bergamotdale.MemberLeft {
		return nil
	}
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.config.ProbeInterval)
		m.nextGossip = now.Add(m.config.GossipInterval)
		sends = append(sends, m.startProbe(now)...)
	}
	if !now.Before(m.nextGossip) && m.queue.fresh() {
		m.nextGossip = now.Add(m.config.GossipInterval)
		for _, r := range m.pick(1, "") {
			sends = append(sends, m.ping(now, r, 0))
		}
	}
	if !now.Before(m.nextRejoin) {
		sends = append(sends, m.rejoin(now)...)
	}
	return sends
}

// resume discards what the timers of a paused router would conclude.
func (m *Machine) resume(now time.Time) {
	m.stats.Pauses++
	clear(m.probes)
	m.syncing = false
	for _, r := range m.records {
		if r.State == bergamotdale.MemberSuspect {
			r.deadline = now.Add(m.suspicionTimeout())
		}
	}
}

// expire ends suspicions, retention and rumours whose time has come.
func (m *Machine) expire(now time.Time) {
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
			m.queue.remove(rumourKey(key))
			m.version++
		}
	}
}

func (m *Machine) expireRecords(now time.Time) {
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
func (m *Machine) due(at time.Time) {
	if at.Before(m.nextDeadline) {
		m.nextDeadline = at
	}
}

func (m *Machine) forget(id string) {
	delete(m.records, id)
	delete(m.recheck, id)
	m.queue.remove(memberKey(id))
	m.version++
}

func (m *Machine) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(len(m.order)+1)))
	return time.Duration(scale * float64(m.config.SuspicionTimeout))
}

// assert stops the process at a state that must not occur: continuing would
// spread it to the fleet.
func assert(ok bool, format string, args ...any) {
	if !ok {
		panic("gossiper: " + fmt.Sprintf(format, args...))
	}
}
