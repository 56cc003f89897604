// Package detector detects failed routers of the fleet with a protocol based on
// SWIM (Scalable Weakly-consistent Infection-style process group Membership).
//
// Each router probes one member per interval: it pings the member directly and,
// without a response, asks two other members to ping it (an indirect probe). A
// member that responds to neither is suspected. It counts as dead if it does
// not refute the suspicion within a timeout. Changes of the member list are
// piggybacked on the probes; package disseminator holds and merges them.
// Machine does no I/O and reads no clock: its inputs are times, messages and
// results, and its outputs are messages to send.
//
// Two rules differ from the published protocol. A router that detects that it
// was paused restarts the timeouts of its suspicions. Dead members and the
// routers in the VM list are contacted from time to time, which reunites the
// sides of a healed partition.
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
	// GossipInterval is the time after a probe until another message is sent to
	// a random member, if there are changes that few messages have carried yet.
	GossipInterval time.Duration
	// ProbeTimeout is the timeout of a direct probe, and IndirectTimeout that of
	// a probe through another router.
	ProbeTimeout    time.Duration
	IndirectTimeout time.Duration
	// IndirectProbes is the number of routers asked to probe a member that does
	// not respond.
	IndirectProbes int
	// RejoinInterval is the mean time between two rounds that contact a dead
	// member or a seed and request a page of another member's list.
	RejoinInterval time.Duration
	// PauseThreshold is the time between two ticks above which the router counts
	// as having been paused, so that its expired timers prove nothing about other
	// members.
	PauseThreshold time.Duration
	// Table configures the table of members and rumours.
	Table disseminator.Config
}

// DefaultConfig returns the timing that routers use.
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

// SendKind is the kind of message that a Send carries.
type SendKind int

const (
	// SendPing is the kind of a Send that carries Send.Ping.
	SendPing SendKind = iota + 1
	// SendIndirect is the kind of a Send that carries Send.Indirect.
	SendIndirect
)

// Send is a message that the caller of the machine has to send. Its result goes
// to Machine.HandleResult, or to Machine.RespondIndirect for the ping that
// Machine.HandleIndirect returned.
type Send struct {
	Kind    SendKind
	Address string
	Timeout time.Duration
	// Probe is the ID of the probe that the message belongs to, or zero.
	Probe    uint64
	Ping     PingRequest
	Indirect IndirectRequest
}

// Result is the outcome of a Send. If Err is nil, the response of its kind is
// valid.
type Result struct {
	Send     Send
	Err      error
	Ping     PingResponse
	Indirect IndirectResponse
}

// Stats holds counters since the start. Bytes are those of message bodies,
// without HTTP headers.
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

// pendingProbe is a probe whose outcome is not known yet.
type pendingProbe struct {
	target      string
	incarnation int64
	// openIndirect is the number of indirect probes without a result.
	openIndirect int
}

// Machine is the state machine of one router. It is not safe for concurrent
// use and reads no clock.
type Machine struct {
	config Config
	random *rand.Rand
	table  *disseminator.Table
	// pending holds the probes without an outcome by their IDs.
	pending     map[uint64]*pendingProbe
	lastProbeID uint64
	// seeds holds the addresses of the other routers in the VM list, and
	// listedRouters is the number of all routers in it.
	seeds         []string
	listedRouters int
	// syncing is true while all pages of another member's list are read.
	syncing    bool
	syncCursor string
	// syncedOnce is true once the whole list of a member was read.
	syncedOnce bool
	lastTick   time.Time
	nextProbe  time.Time
	nextGossip time.Time
	nextRejoin time.Time
	stats      Stats
}

// NewMachine returns the state machine of the router self.
func NewMachine(config Config, self bergamotdale.Member, seed uint64, now time.Time) *Machine {
	stream := hasher.Hash(self.ID)
	m := &Machine{
		config:  config,
		random:  rand.New(rand.NewPCG(seed, stream)),
		table:   disseminator.New(config.Table, self, rand.New(rand.NewPCG(seed+1, stream))),
		pending: map[uint64]*pendingProbe{},
	}
	// The random offset keeps routers that start together from probing at the
	// same moments.
	m.nextProbe = now.Add(time.Duration(m.random.Int64N(int64(config.ProbeInterval))))
	m.nextRejoin = now
	m.lastTick = now
	return m
}

// Version returns a number that grows with each change of the view.
func (m *Machine) Version() uint64 {
	return m.table.Version()
}

// Joined reports whether the machine has read the whole list of another member since
// its start.
func (m *Machine) Joined() bool {
	return m.syncedOnce
}

// View returns a snapshot of the members and rumours known to this router.
func (m *Machine) View() *disseminator.View {
	return m.table.View()
}

// Stats returns the counters of the machine and of its table.
func (m *Machine) Stats() Stats {
	s := m.stats
	s.Stats = m.table.Stats()
	return s
}

// SpreadRumour spreads a rumour, a versioned key and value with a time to live,
// to the whole fleet.
func (m *Machine) SpreadRumour(now time.Time, key, value string, version int64, ttl time.Duration) {
	m.table.SpreadRumour(now, key, value, version, ttl)
}

// SetStoreContact records the time of a successful contact of this router with
// the store.
func (m *Machine) SetStoreContact(at time.Time) {
	m.table.SetStoreContact(at)
}

// StoreAge returns the time since the latest contact of any router with the
// store that this router knows of, and false if it knows of none.
func (m *Machine) StoreAge(now time.Time) (time.Duration, bool) {
	return m.table.StoreContactAge(now)
}

// SetDraining marks this router as draining.
func (m *Machine) SetDraining() {
	m.table.SetDraining()
}

// Leave marks this router as left, stops its probes and returns pings that
// inform a few members at once.
func (m *Machine) Leave(now time.Time) []Send {
	if m.table.Self().State == bergamotdale.MemberLeft {
		return nil
	}
	m.table.SetLeft()
	var sends []Send
	for _, r := range m.table.RandomMembers(leavePings, "") {
		sends = append(sends, m.ping(now, r, 0))
	}
	return sends
}

// leavePings is the number of members that a leaving router pings directly,
// because it sends no further probes that could carry the change.
const leavePings = 4

// SetSeeds replaces the seeds by the routers in the VM list.
func (m *Machine) SetSeeds(vms []bergamotdale.VM) {
	m.seeds = m.seeds[:0]
	m.listedRouters = 0
	for _, vm := range vms {
		if vm.Role != RouterRole {
			continue
		}
		m.listedRouters++
		if vm.Address != m.table.Self().Address {
			m.seeds = append(m.seeds, vm.Address)
		}
	}
}

// ListedRouters returns the number of routers in the VM list.
func (m *Machine) ListedRouters() int {
	return m.listedRouters
}

// RouterRole is the role of routers in the VM list.
const RouterRole = "router"

// Tick advances the timers and returns the messages to send.
func (m *Machine) Tick(now time.Time) []Send {
	if now.Sub(m.lastTick) > m.config.PauseThreshold {
		m.resetAfterPause(now)
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
		sends = append(sends, m.contactForRejoin(now)...)
	}
	return sends
}

// resetAfterPause discards open probes and restarts the suspicion timeouts, which
// are meaningless after a pause of this router.
func (m *Machine) resetAfterPause(now time.Time) {
	m.stats.Pauses++
	clear(m.pending)
	m.syncing = false
	m.table.RestartSuspicions(now)
}
