package detector

import (
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/disseminator"
)

const (
	// joinSeeds is the number of seeds that a router contacts at once while it
	// knows no other member.
	joinSeeds = 3
	// joinInterval is the time between two attempts to join the fleet.
	joinInterval = time.Second
)

// startProbe pings the next member to probe.
func (m *Machine) startProbe(now time.Time) []Send {
	target, ok := m.table.NextProbeTarget()
	if !ok {
		return nil
	}
	m.lastProbeID++
	m.pending[m.lastProbeID] = &pendingProbe{target: target.ID, incarnation: target.Incarnation}
	m.stats.Probes++
	return []Send{m.ping(now, target, m.lastProbeID)}
}

// ping returns a ping to the member, as part of the probe with the ID if it is
// not zero.
func (m *Machine) ping(now time.Time, u disseminator.MemberUpdate, probeID uint64) Send {
	return m.pingAddress(now, u.Address, u.ID, probeID)
}

func (m *Machine) pingAddress(now time.Time, address, about string, probeID uint64) Send {
	request := PingRequest{From: m.table.Self(), StoreContact: m.table.LatestStoreContact(now)}
	request.Members, request.Rumours = m.table.Piggyback(now, disseminator.MaxPiggyback, about, nil)
	s := Send{Kind: SendPing, Address: address, Timeout: m.config.ProbeTimeout, Probe: probeID, Ping: request}
	m.countSent(request)
	return s
}

// contactForRejoin returns messages that find lost members again. While no other
// member is known, it contacts seeds, and until it has read the whole list of one, it
// asks a member that has contacted this router before. Otherwise it contacts a member believed dead
// that another member believes alive. Without such a member, it contacts a dead
// member or an unknown seed and requests a page of a live member's list.
func (m *Machine) contactForRejoin(now time.Time) []Send {
	if m.table.LiveCount() == 0 && len(m.seeds) == 0 {
		// The seeds are read after the start.
		return nil
	}
	if m.table.LiveCount() == 0 {
		m.nextRejoin = now.Add(joinInterval)
		return m.contactSeeds(now)
	}
	if r := m.table.RandomMembers(1, ""); !m.syncedOnce && !m.syncing && len(r) > 0 {
		m.nextRejoin = now.Add(joinInterval)
		return []Send{m.pingForPage(now, r[0].Address, "")}
	}
	// A random time between 0.5 and 1.5 intervals keeps routers that start
	// together from reading lists at the same moments.
	m.nextRejoin = now.Add(m.config.RejoinInterval/2 + time.Duration(m.random.Int64N(int64(m.config.RejoinInterval))))
	if u, ok := m.table.NextRecheckTarget(); ok {
		// Further members of this kind follow at probe intervals.
		m.nextRejoin = now.Add(m.config.ProbeInterval)
		return []Send{m.ping(now, u, 0)}
	}
	var sends []Send
	if address, id, ok := m.table.ReconnectTarget(m.seeds); ok {
		sends = append(sends, m.pingAddress(now, address, id, 0))
	}
	if r := m.table.RandomMembers(1, ""); len(r) > 0 && !m.syncing {
		sends = append(sends, m.pingForPage(now, r[0].Address, m.syncCursor))
	}
	return sends
}

// contactSeeds requests the member lists of some seeds.
func (m *Machine) contactSeeds(now time.Time) []Send {
	var sends []Send
	for _, i := range m.random.Perm(len(m.seeds)) {
		if len(sends) == joinSeeds {
			break
		}
		sends = append(sends, m.pingForPage(now, m.seeds[i], ""))
	}
	return sends
}

// pingForPage returns a ping that requests a page of the receiver's list.
func (m *Machine) pingForPage(now time.Time, address, after string) Send {
	s := m.pingAddress(now, address, "", 0)
	m.stats.BytesSent -= wireSize(s.Ping)
	s.Ping.Sync = true
	s.Ping.After = after
	m.stats.BytesSent += wireSize(s.Ping)
	return s
}

// HandlePing merges the updates of a ping and returns the response.
func (m *Machine) HandlePing(now time.Time, request PingRequest) PingResponse {
	m.countReceived(request)
	m.table.MergeMessage(now, request.From, request.StoreContact, request.Members, request.Rumours)
	response := PingResponse{From: m.table.Self(), StoreContact: m.table.LatestStoreContact(now)}
	if request.Sync {
		response.Members, response.Rumours, response.Next = m.table.Page(now, request.From.ID, request.After)
	} else {
		response.Members, response.Rumours = m.table.Piggyback(now, disseminator.MaxPiggyback, request.From.ID, disseminator.QueueKeys(request.Members, request.Rumours))
	}
	m.countSent(response)
	return response
}

// HandleIndirect merges the updates of an indirect probe and returns the ping to
// its target.
func (m *Machine) HandleIndirect(now time.Time, request IndirectRequest) Send {
	m.countReceived(request)
	m.table.MergeMessage(now, request.From, nil, request.Members, request.Rumours)
	return m.pingAddress(now, request.Target.Address, request.Target.ID, 0)
}

// RespondIndirect returns the response to an indirect probe, given the result of
// the ping to its target.
func (m *Machine) RespondIndirect(now time.Time, request IndirectRequest, result Result) IndirectResponse {
	response := IndirectResponse{From: m.table.Self()}
	if result.Err == nil {
		m.mergePingResponse(now, result)
		response.Reached = result.Ping.From.ID == request.Target.ID
		response.Target = &result.Ping.From
	}
	response.Members, response.Rumours = m.table.Piggyback(now, disseminator.MaxPiggyback-1, request.From.ID, disseminator.QueueKeys(request.Members, request.Rumours))
	m.countSent(response)
	return response
}

// HandleResult processes the result of a message and returns the messages to send
// next.
func (m *Machine) HandleResult(now time.Time, result Result) []Send {
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
	p := m.pending[result.Send.Probe]
	if p == nil {
		return nil
	}
	return m.probeIndirectly(now, result.Send.Probe, p)
}

func (m *Machine) finishPing(now time.Time, result Result) []Send {
	from := result.Ping.From
	wasLive := m.isLive(from.ID)
	m.mergePingResponse(now, result)
	if p := m.pending[result.Send.Probe]; p != nil {
		delete(m.pending, result.Send.Probe)
		if p.target != from.ID {
			// Another router now uses the address of the target.
			m.suspectTarget(now, p)
		}
	}
	if result.Send.Ping.Sync {
		return m.continueSync(now, result)
	}
	if !wasLive && m.isLive(from.ID) && !m.syncing && m.table.LiveCount() > 1 {
		// A member returned, perhaps from the other side of a partition, where
		// routers may know members that this side has lost.
		m.syncing = true
		return []Send{m.pingForPage(now, result.Send.Address, "")}
	}
	return nil
}

// mergePingResponse merges the updates in the response to a ping.
func (m *Machine) mergePingResponse(now time.Time, result Result) {
	m.countReceived(result.Ping)
	m.table.MergeMessage(now, result.Ping.From, result.Ping.StoreContact, result.Ping.Members, result.Ping.Rumours)
}

// continueSync continues reading a member's list after a page. A periodic exchange
// reads a single page; joining the fleet or the return of a member reads all.
func (m *Machine) continueSync(now time.Time, result Result) []Send {
	next := result.Ping.Next
	readsWholeList := m.syncing || result.Send.Ping.After == "" && m.syncCursor == "" && m.table.LiveCount() > 0 && !m.syncedOnce
	if !readsWholeList {
		m.syncCursor = next
		return nil
	}
	if next == "" {
		m.syncing = false
		m.syncedOnce = true
		return nil
	}
	m.syncing = true
	return []Send{m.pingForPage(now, result.Send.Address, next)}
}

// probeIndirectly asks other members to ping the target of a probe.
func (m *Machine) probeIndirectly(now time.Time, probeID uint64, p *pendingProbe) []Send {
	target, ok := m.table.Member(p.target)
	if !ok || !m.isLive(p.target) {
		delete(m.pending, probeID)
		return nil
	}
	var sends []Send
	for _, helper := range m.table.RandomMembers(m.config.IndirectProbes, p.target) {
		request := IndirectRequest{From: m.table.Self(), Target: target}
		request.Members, request.Rumours = m.table.Piggyback(now, disseminator.MaxPiggyback-1, helper.ID, nil)
		m.countSent(request)
		sends = append(sends, Send{
			Kind: SendIndirect, Address: helper.Address, Timeout: m.config.IndirectTimeout, Probe: probeID, Indirect: request,
		})
	}
	p.openIndirect = len(sends)
	if len(sends) == 0 {
		delete(m.pending, probeID)
		m.suspectTarget(now, p)
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
	p := m.pending[result.Send.Probe]
	if p == nil {
		return
	}
	if result.Err == nil && result.Indirect.Reached {
		delete(m.pending, result.Send.Probe)
		return
	}
	p.openIndirect--
	if p.openIndirect == 0 {
		delete(m.pending, result.Send.Probe)
		m.suspectTarget(now, p)
	}
}

// suspectTarget marks the target of a failed probe as suspected.
func (m *Machine) suspectTarget(now time.Time, p *pendingProbe) {
	m.stats.FailedProbes++
	m.table.Suspect(now, p.target, p.incarnation)
}

// isLive reports whether another member is known and neither dead nor left.
func (m *Machine) isLive(id string) bool {
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
