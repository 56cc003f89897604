package detector_test

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/detector"
	"github.com/bergamotdale/bergamotdale/disseminator"
)

var errTimeout = errors.New("no response in time")

// event is a function that runs at a virtual time. Events at the same time run in
// the order in which they were scheduled.
type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// node is one router of the simulated fleet.
type node struct {
	net     *network
	id      string
	machine *detector.Machine
	view    *disseminator.View
	up      bool
	paused  bool
	// side is the partition that the node is in.
	side int
	// heldDeliveries are the deliveries that a paused node runs when it resumes.
	heldDeliveries []func()
	// seenIncarnations holds the highest incarnation of each member that the view
	// of the node has had.
	seenIncarnations map[string]int64
}

// network is a simulated network: it runs machines over virtual time with packet
// loss, delay, partitions and pauses. The same seed gives the same run.
type network struct {
	now    time.Time
	random *rand.Rand
	nodes  map[string]*node
	events events
	order  int
	loss   float64
	delay  time.Duration
	// incarnation is the number of router processes started so far; the
	// incarnation of a process derives from it.
	incarnation int64
	// cpu is the time spent in the machines.
	cpu time.Duration
	// violation describes the last violation of an invariant, or is empty.
	violation string
}

func newNetwork(seed uint64) *network {
	return &network{
		now:    time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC),
		random: rand.New(rand.NewPCG(seed, seed)),
		nodes:  map[string]*node{},
		delay:  5 * time.Millisecond,
	}
}

func (n *network) schedule(d time.Duration, run func()) {
	n.order++
	heap.Push(&n.events, event{n.now.Add(d), n.order, run})
}

// run advances the virtual time and runs the events that are due.
func (n *network) run(d time.Duration) {
	end := n.now.Add(d)
	for len(n.events) > 0 && !n.events[0].at.After(end) {
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.run()
	}
	n.now = end
}

// runUntil advances the virtual time until the condition holds or the limit is
// reached. It returns the time that passed and whether the condition holds.
func (n *network) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := n.now
	for n.now.Sub(start) < limit {
		if condition() {
			return n.now.Sub(start), true
		}
		n.run(50 * time.Millisecond)
	}
	return limit, condition()
}

// start adds a router, or restarts an existing one with a higher incarnation.
func (n *network) start(id string) *node {
	n.incarnation++
	member := bergamotdale.Member{
		ID: id, Address: "10.0.0.1:" + id, FailureDomain: "domain-" + id[len(id)-1:],
		Incarnation: 1764806400000 + 1000*n.incarnation,
	}
	side := 0
	if old := n.nodes[id]; old != nil {
		old.up = false
		side = old.side
	}
	v := &node{net: n, id: id, up: true, side: side, seenIncarnations: map[string]int64{}}
	v.machine = detector.NewMachine(detector.DefaultConfig(), member, n.random.Uint64(), n.now)
	n.nodes[id] = v
	v.refreshSeeds()
	v.tick()
	return v
}

// runningIDs returns the IDs of the running routers that match, sorted so that
// runs are reproducible.
func (n *network) runningIDs(matches func(*node) bool) []string {
	var ids []string
	for id, v := range n.nodes {
		if v.up && matches(v) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (n *network) allRunning() []string {
	return n.runningIDs(func(*node) bool { return true })
}

// refreshSeeds passes the VM list to the node. The list is out of date: it lacks
// some VMs and contains some that are gone.
func (v *node) refreshSeeds() {
	if !v.up {
		return
	}
	var vms []bergamotdale.VM
	for _, id := range sortedKeys(v.net.nodes) {
		if v.net.nodes[id].up != (v.net.random.Float64() < 0.1) {
			vms = append(vms, bergamotdale.VM{
				Name: id, Address: "10.0.0.1:" + id, Role: detector.RouterRole, State: bergamotdale.VMLive,
			})
		}
	}
	v.withMachine(func(now time.Time) { v.machine.SetSeeds(vms) })
	v.net.schedule(5*time.Second, v.refreshSeeds)
}

func sortedKeys(nodes map[string]*node) []string {
	var ids []string
	for id := range nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (v *node) tick() {
	if !v.up {
		return
	}
	if !v.paused {
		v.withMachine(func(now time.Time) { v.send(v.machine.Tick(now)) })
	}
	v.net.schedule(100*time.Millisecond, v.tick)
}

// withMachine calls f, which uses the machine of the node. It then publishes the
// view as the gossiper does and checks that no incarnation has decreased.
func (v *node) withMachine(f func(now time.Time)) {
	start := time.Now()
	f(v.net.now)
	if v.view == nil || v.view.Version() != v.machine.Version() {
		v.view = v.machine.View()
		v.net.cpu += time.Since(start)
		for _, m := range v.view.Members() {
			if m.Incarnation < v.seenIncarnations[m.ID] {
				v.net.violation = fmt.Sprintf("%s saw the incarnation of %s decrease", v.id, m.ID)
			}
			v.seenIncarnations[m.ID] = m.Incarnation
		}
		return
	}
	v.net.cpu += time.Since(start)
}

func (v *node) send(sends []detector.Send) {
	for _, s := range sends {
		v.exchange(s, func(r detector.Result) {
			v.withMachine(func(now time.Time) { v.send(v.machine.HandleResult(now, r)) })
		})
	}
}

// exchange delivers a message and its response. finish runs once, with the
// response or after the timeout.
func (v *node) exchange(s detector.Send, finish func(detector.Result)) {
	open := true
	respond := func(r detector.Result) {
		if open {
			open = false
			v.deliver(func() { finish(r) })
		}
	}
	v.net.schedule(s.Timeout, func() { respond(detector.Result{Send: s, Err: errTimeout}) })
	target := v.net.nodes[s.Address[len("10.0.0.1:"):]]
	v.transmit(target, func() {
		result := detector.Result{Send: s}
		if s.Kind == detector.SendPing {
			target.withMachine(func(now time.Time) { result.Ping = target.machine.HandlePing(now, s.Ping) })
			target.transmit(v, func() { respond(result) })
			return
		}
		var ping detector.Send
		target.withMachine(func(now time.Time) { ping = target.machine.HandleIndirect(now, s.Indirect) })
		target.exchange(ping, func(r detector.Result) {
			target.withMachine(func(now time.Time) { result.Indirect = target.machine.RespondIndirect(now, s.Indirect, r) })
			target.transmit(v, func() { respond(result) })
		})
	})
}

// transmit delivers to another node after a delay. It drops a lost message and one
// to the other side of a partition.
func (v *node) transmit(to *node, run func()) {
	n := v.net
	if to == nil || n.random.Float64() < n.loss {
		return
	}
	delay := n.delay/2 + time.Duration(n.random.Int64N(int64(n.delay)))
	n.schedule(delay, func() {
		if v.side == to.side {
			to.deliver(run)
		}
	})
}

// deliver runs a delivery at the node. A paused node runs it when it resumes, and
// a stopped one never.
func (v *node) deliver(run func()) {
	switch {
	case !v.up:
	case v.paused:
		v.heldDeliveries = append(v.heldDeliveries, run)
	default:
		run()
	}
}

func (v *node) resume() {
	v.paused = false
	held := v.heldDeliveries
	v.heldDeliveries = nil
	for _, run := range held {
		v.deliver(run)
	}
}

// converged reports whether every running node sees exactly the running nodes
// as live, without suspicion.
func (n *network) converged() bool {
	want := n.allRunning()
	for _, id := range want {
		live := n.nodes[id].view.Live()
		if len(live) != len(want) {
			return false
		}
		for i, m := range live {
			if m.ID != want[i] || m.State == bergamotdale.MemberSuspect {
				return false
			}
		}
	}
	return true
}

// startFleet starts n routers at once and runs until all views agree.
func startFleet(seed uint64, n int) (*network, time.Duration, bool) {
	net := newNetwork(seed)
	for i := range n {
		net.start(fmt.Sprintf("router-%03d", i))
	}
	took, ok := net.runUntil(5*time.Minute, net.converged)
	return net, took, ok
}
