package disseminator

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bergamotdale/bergamotdale"
)

// Next returns the next member to probe, in a shuffled order, so that every
// member is probed once in as many probes as there are members.
func (m *Table) Next() (MemberUpdate, bool) {
	if len(m.order) == 0 {
		return MemberUpdate{}, false
	}
	if m.cursor >= len(m.order) {
		m.cursor = 0
		m.random.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
	}
	r := m.records[m.order[m.cursor]]
	m.cursor++
	return r.MemberUpdate, true
}

// Doubted returns a member believed dead that another member believes alive,
// once for each report.
func (m *Table) Doubted() (MemberUpdate, bool) {
	for _, id := range slices.Sorted(maps.Keys(m.recheck)) {
		delete(m.recheck, id)
		if r := m.records[id]; r != nil && !r.live() {
			return r.MemberUpdate, true
		}
	}
	return MemberUpdate{}, false
}

// Lost returns a random dead member, or one of the addresses if it belongs to
// no known member.
func (m *Table) Lost(addresses []string) (address, id string, ok bool) {
	type candidate struct{ address, id string }
	var all []candidate
	known := make(map[string]bool, len(m.records))
	for _, r := range m.records {
		known[r.Address] = true
		if r.State == bergamotdale.MemberDead && r.Address != "" {
			all = append(all, candidate{r.Address, r.ID})
		}
	}
	for _, a := range addresses {
		if !known[a] {
			all = append(all, candidate{a, ""})
		}
	}
	if len(all) == 0 {
		return "", "", false
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.address, b.address) })
	c := all[m.random.IntN(len(all))]
	return c.address, c.id, true
}

// Pick returns up to n random members that respond, without the one named.
func (m *Table) Pick(n int, except string) []MemberUpdate {
	var picked []MemberUpdate
	for range 4 * n {
		if len(m.order) == 0 || len(picked) == n {
			break
		}
		r := m.records[m.order[m.random.IntN(len(m.order))]]
		if r.ID != except && r.State != bergamotdale.MemberSuspect && !slices.Contains(picked, r.MemberUpdate) {
			picked = append(picked, r.MemberUpdate)
		}
	}
	return picked
}
