package detector

import (
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/disseminator"
)

const (
	// joinContacts is the number of seeds contacted at once by a router that
	// knows no other member.
	joinContacts = 3
	// joinInterval is the time between two attempts to join.
	joinInterval = time.Second
)

// startProbe probes the next member.
func (m *Machine) startProbe(now time.Time) []Send {
	u, ok := m.table.NextProbeTarget()
	if !ok {
		return nil
	}
	m.lastID++
	m.probes[m.lastID] = &probe{target: u.ID, incarnation: u.Incarnation}
	m.stats.Probes++
	return []Send{m.ping(now, u, m.lastID)}
}

// ping returns a ping of the member.
func (m *Machine) ping(now time.Time, u disseminator.MemberUpdate, id uint64) Send {
	return m.pingAddress(now, u.Address, u.ID, id)
}

func (m *Machine) pingAddress(now time.Time, address, about string, id uint64) Send {
	request := PingRequest{From: m.table.Self(), StoreContact: m.table.LatestStoreContact(now)}
	request.Members, request.Rumours = m.table.Piggyback(now, disseminator.MaxPiggyback, about, nil)
	s := Send{Kind: SendPing, Address: address, Timeout: m.config.ProbeTimeout, Probe: id, Ping: request}
	m.countSent(request)
	return s
}

// rejoin contacts, in this order of need: seeds while no other member is
// known, members whose death is in doubt, and otherwise in turn a dead member
// or unknown seed, and a live member for a page of its list.
func (m *Machine) rejoin(now time.Time) []Send {
	if m.table.LiveCount() == 0 {
		m.nextRejoin = now.Add(joinInterval)
		return m.join(now)
	}
	// Between half and one and a half intervals: routers that start together
	// must not read lists in step.
	m.nextRejoin = now.Add(m.config.RejoinInterval/2 + time.Duration(m.random.Int64N(int64(m.config.RejoinInterval))))
	if u, ok := m.table.NextRecheckTarget(); ok {
		// The next doubt follows after a probe interval.
		m.nextRejoin = now.Add(m.config.ProbeInterval)
		return []Send{m.ping(now, u, 0)}
	}
	var sends []Send
	if address, id, ok := m.table.ReconnectTarget(m.seeds); ok {
		sends = append(sends, m.pingAddress(now, address, id, 0))
	}
	if r := m.table.RandomMembers(1, ""); len(r) > 0 && !m.syncing {
		sends = append(sends, m.sync(now, r[0].Address, m.syncCursor))
	}
	return sends
}

// join asks seeds for their lists.
func (m *Machine) join(now time.Time) []Send {
	var sends []Send
	for _, i := range m.random.Perm(len(m.seeds)) {
		if len(sends) == joinContacts {
			break
		}
		sends = append(sends, m.sync(now, m.seeds[i], ""))
	}
	return sends
}

// sync returns a ping that asks for a page of the receiver's list.
func (m *Machine) sync(now time.Time, address, after string) Send {
	s := m.pingAddress(now, address, "", 0)
	m.stats.BytesSent -= wireSize(s.Ping)
	s.Ping.Sync = true
	s.Ping.After = after
	m.stats.BytesSent += wireSize(s.Ping)
	return s
}

// HandlePing responds to a probe.
func (m *Machine) HandlePing(now time.Time, r PingRequest) PingResponse {
	m.countReceived(r)
	m.table.MergeMessage(now, r.From, r.StoreContact, r.Members, r.Rumours)
	response := PingResponse{From: m.table.Self(), StoreContact: m.table.LatestStoreContact(now)}
	if r.Sync {
		response.Members, response.Rumours, response.Next = m.table.Page(now, r.From.ID, r.After)
	} else {
		response.Members, response.Rumours = m.table.Piggyback(now, disseminator.MaxPiggyback, r.From.ID, disseminator.QueueKeys(r.Members, r.Rumours))
	}
	m.countSent(response)
	return response
}

// HandleIndirect returns the ping that an indirect probe asks for.
func (m *Machine) HandleIndirect(now time.Time, r IndirectRequest) Send {
	m.countReceived(r)
	m.table.MergeMessage(now, r.From, nil, r.Members, r.Rumours)
	return m.pingAddress(now, r.Target.Address, r.Target.ID, 0)
}

// FinishIndirect returns the response to an indirect probe.
func (m *Machine) FinishIndirect(now time.Time, r IndirectRequest, result Result) IndirectResponse {
	response := IndirectResponse{From: m.table.Self()}
	if result.Err == nil {
		m.receivePing(now, result)
		response.Reached = result.Ping.From.ID == r.Target.ID
		response.Target = &result.Ping.From
	}
	response.Members, response.Rumours = m.table.Piggyback(now, disseminator.MaxPiggyback-1, r.From.ID, disseminator.QueueKeys(r.Members, r.Rumours))
	m.countSent(response)
	return response
}

// Finish takes in the result of a message and returns those that follow.
func (m *Machine) Finish(now time.Time, result Result) []Send {
	if result.Send.Kind == SendIndirect {
		m.finishIndirectProbe(now, result)
		return nil
	}
	if result.Err == nil {
		return m.finishPing(now, result)
	}
	if result.Send.Ping.Sync {
		m.syncing = false
	}
	p := m.probes[result.Send.Probe]
	if p == nil {
		return nil
	}
	return m.probeIndirectly(now, result.Send.Probe, p)
}

func (m *Machine) finishPing(now time.Time, result Result) []Send {
	from := result.Ping.From
	wasLive := m.live(from.ID)
	m.receivePing(now, result)
	if p := m.probes[result.Send.Probe]; p != nil {
		delete(m.probes, result.Send.Probe)
		if p.target != from.ID {
			// Another router has taken over the address.
			m.suspect(now, p)
		}
	}
	if result.Send.Ping.Sync {
		return m.nextPage(now, result)
	}
	if !wasLive && m.live(from.ID) && !m.syncing && m.table.LiveCount() > 1 {
		// A member came back: its side may know members that this one lost.
		m.syncing = true
		return []Send{m.sync(now, result.Send.Address, "")}
	}
	return nil
}

// receivePing merges the response to a ping.
func (m *Machine) receivePing(now time.Time, result Result) {
	m.countReceived(result.Ping)
	m.table.MergeMessage(now, result.Ping.From, result.Ping.StoreContact, result.Ping.Members, result.Ping.Rumours)
}

// nextPage continues reading the list of a member. A single page was asked
// for by the periodic exchange, all pages by a join or a return.
func (m *Machine) nextPage(now time.Time, result Result) []Send {
	next := result.Ping.Next
	whole := m.syncing || result.Send.Ping.After == "" && m.syncCursor == "" && m.table.LiveCount() > 0 && !m.syncedOnce
	if !whole {
		m.syncCursor = next
		return nil
	}
	if next == "" {
		m.syncing = false
		m.syncedOnce = true
		return nil
	}
	m.syncing = true
	return []Send{m.sync(now, result.Send.Address, next)}
}

// probeIndirectly asks other members to probe the target.
func (m *Machine) probeIndirectly(now time.Time, id uint64, p *probe) []Send {
	target, ok := m.table.Member(p.target)
	if !ok || !m.live(p.target) {
		delete(m.probes, id)
		return nil
	}
	var sends []Send
	for _, helper := range m.table.RandomMembers(m.config.IndirectProbes, p.target) {
		request := IndirectRequest{From: m.table.Self(), Target: target}
		request.Members, request.Rumours = m.table.Piggyback(now, disseminator.MaxPiggyback-1, helper.ID, nil)
		m.countSent(request)
		sends = append(sends, Send{
			Kind: SendIndirect, Address: helper.Address, Timeout: m.config.IndirectTimeout, Probe: id, Indirect: request,
		})
	}
	p.indirect = len(sends)
	if len(sends) == 0 {
		delete(m.probes, id)
		m.suspect(now, p)
	}
	return sends
}

func (m *Machine) finishIndirectProbe(now time.Time, result Result) {
	if result.Err == nil {
		m.countReceived(result.Indirect)
		m.table.MergeMessage(now, result.Indirect.From, nil, result.Indirect.Members, result.Indirect.Rumours)
		if result.Indirect.Target != nil {
			m.table.Merge(now, *result.Indirect.Target)
		}
	}
	p := m.probes[result.Send.Probe]
	if p == nil {
		return
	}
	if result.Err == nil && result.Indirect.Reached {
		delete(m.probes, result.Send.Probe)
		return
	}
	p.indirect--
	if p.indirect == 0 {
		delete(m.probes, result.Send.Probe)
		m.suspect(now, p)
	}
}

// suspect marks the target of a failed probe.
func (m *Machine) suspect(now time.Time, p *probe) {
	m.stats.FailedProbes++
	m.table.Suspect(now, p.target, p.incarnation)
}

// live reports whether another member is known and not dead or left.
func (m *Machine) live(id string) bool {
	u, ok := m.table.Member(id)
	return ok && u.State != bergamotdale.MemberDead && u.State != bergamotdale.MemberLeft
}

func (m *Machine) countSent(message any) {
	m.stats.MessagesSent++
	m.stats.BytesSent += wireSize(message)
}

func (m *Machine) countReceived(message any) {
	m.stats.MessagesReceived++
	m.stats.BytesReceived += wireSize(message)
}
