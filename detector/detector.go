// Package detector finds out which routers of the fleet are gone, SWIM-style.
//
// Each router probes one member per interval, directly and then through two
// others. A member that does not respond is suspected, and dead once the
// suspicion has stood for its timeout without being refuted. Changes travel on
// the probes; the disseminator holds and merges them. Machine is pure: its
// inputs are times, messages and results, its outputs messages to send.
//
// Two rules differ from the published protocol. A router that finds itself
// paused starts its suspicions again. Dead members and the VM list are probed
// from time to time, which reunites the sides of a healed partition.
package detector

import (
	"math/rand/v2"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/disseminator"
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
	// RejoinInterval is the time between two contacts with a dead member, a
	// seed or a member asked for a page of its list.
	RejoinInterval time.Duration
	// PauseThreshold is the time between two ticks above which the router was
	// paused and its own timers mean nothing.
	PauseThreshold time.Duration
	// Table holds the times and bounds of what the router knows.
	Table disseminator.Config
}

// DefaultConfig returns the timing in use.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:   time.Second,
		GossipInterval:  400 * time.Millisecond,
		ProbeTimeout:    500 * time.Millisecond,
		IndirectTimeout: time.Second,
		IndirectProbes:  2,
		RejoinInterval:  5 * time.Second,
		PauseThreshold:  3 * time.Second,
		Table: disseminator.Config{
			SuspicionTimeout: 3 * time.Second,
			Retention:        10 * time.Minute,
			MaxRumours:       1024,
		},
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
	Pauses           int64
	disseminator.Stats
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
	table  *disseminator.Table
	probes map[uint64]*probe
	lastID uint64
	// seeds holds the addresses of the other routers in the VM list, and
	// listed is the number of its routers.
	seeds  []string
	listed int
	// syncing is true while pages of another member's list are read.
	syncing    bool
	syncCursor string
	// syncedOnce is true after the whole list of a member was read.
	syncedOnce bool
	lastTick   time.Time
	nextProbe  time.Time
	nextGossip time.Time
	nextRejoin time.Time
	stats      Stats
}

// NewMachine returns the machine of the router itself.
func NewMachine(config Config, self bergamotdale.Member, seed uint64, now time.Time) *Machine {
	stream := hasher.Hash(self.ID)
	m := &Machine{
		config: config,
		random: rand.New(rand.NewPCG(seed, stream)),
		table:  disseminator.New(config.Table, self, rand.New(rand.NewPCG(seed+1, stream))),
		probes: map[uint64]*probe{},
	}
	// Routers that start together must not probe in step.
	m.nextProbe = now.Add(time.Duration(m.random.Int64N(int64(config.ProbeInterval))))
	m.nextRejoin = now
	m.lastTick = now
	return m
}

// Version rises with each change of the view.
func (m *Machine) Version() uint64 {
	return m.table.Version()
}

// View returns a snapshot.
func (m *Machine) View() *disseminator.View {
	return m.table.View()
}

// Stats returns the counters.
func (m *Machine) Stats() Stats {
	s := m.stats
	s.Stats = m.table.Stats()
	return s
}

// Spread makes a rumour known to the fleet.
func (m *Machine) Spread(now time.Time, key, value string, version int64, ttl time.Duration) {
	m.table.Spread(now, key, value, version, ttl)
}

// SetStoreContact records a contact of this router with the store.
func (m *Machine) SetStoreContact(at time.Time) {
	m.table.SetStoreContact(at)
}

// StoreAge returns the time since the latest contact of any router with the
// store that this router knows of.
func (m *Machine) StoreAge(now time.Time) (time.Duration, bool) {
	return m.table.StoreContactAge(now)
}

// SetDraining marks this router as draining.
func (m *Machine) SetDraining() {
	m.table.SetDraining()
}

// Leave marks this router as left and returns pings that tell a few members
// at once. Probes stop.
func (m *Machine) Leave(now time.Time) []Send {
	if m.table.Self().State == bergamotdale.MemberLeft {
		return nil
	}
	m.table.SetLeft()
	var sends []Send
	for _, r := range m.table.RandomMembers(leaveNotices, "") {
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
		if vm.Address != m.table.Self().Address {
			m.seeds = append(m.seeds, vm.Address)
		}
	}
}

// Listed returns the number of routers in the list of VMs.
func (m *Machine) Listed() int {
	return m.listed
}

// RouterRole is the role of routers in the VM list.
const RouterRole = "router"

// Tick advances the timers and returns the messages to send.
func (m *Machine) Tick(now time.Time) []Send {
	if now.Sub(m.lastTick) > m.config.PauseThreshold {
		m.resume(now)
	}
	m.lastTick = now
	m.table.Expire(now)
	var sends []Send
	if m.table.Self().State == bergamotdale.MemberLeft {
		return nil
	}
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.config.ProbeInterval)
		m.nextGossip = now.Add(m.config.GossipInterval)
		sends = append(sends, m.startProbe(now)...)
	}
	if !now.Before(m.nextGossip) && m.table.HasFreshUpdates() {
		m.nextGossip = now.Add(m.config.GossipInterval)
		for _, r := range m.table.RandomMembers(1, "") {
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
	m.table.RestartSuspicions(now)
}
