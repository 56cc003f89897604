package disseminator

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bergamotdale/bergamotdale"
)

// NextProbeTarget returns the next member to probe. It iterates over the live
// members in random order and shuffles them after each pass, so that each pass
// probes every member once.
func (t *Table) NextProbeTarget() (MemberUpdate, bool) {
	if len(t.probeOrder) == 0 {
		return MemberUpdate{}, false
	}
	if t.probeCursor >= len(t.probeOrder) {
		t.probeCursor = 0
		t.random.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
	}
	r := t.records[t.probeOrder[t.probeCursor]]
	t.probeCursor++
	return r.MemberUpdate, true
}

// NextRecheckTarget returns a member that this router believes dead and another
// router has reported as alive. It returns the member once for each report.
func (t *Table) NextRecheckTarget() (MemberUpdate, bool) {
	for _, id := range slices.Sorted(maps.Keys(t.recheck)) {
		delete(t.recheck, id)
		if r := t.records[id]; r != nil && !r.live() {
			return r.MemberUpdate, true
		}
	}
	return MemberUpdate{}, false
}

// ReconnectTarget returns a random target for reconnecting after a partition: a
// dead member, or one of the addresses that belongs to no known member. The ID is
// empty for such an address.
func (t *Table) ReconnectTarget(addresses []string) (address, id string, ok bool) {
	type candidate struct{ address, id string }
	var all []candidate
	known := make(map[string]bool, len(t.records))
	for _, r := range t.records {
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
	c := all[t.random.IntN(len(all))]
	return c.address, c.id, true
}

// RandomMembers returns up to n random live members that are not suspect, without
// the member whose ID is except.
func (t *Table) RandomMembers(n int, except string) []MemberUpdate {
	var picked []MemberUpdate
	for range 4 * n {
		if len(t.probeOrder) == 0 || len(picked) == n {
			break
		}
		r := t.records[t.probeOrder[t.random.IntN(len(t.probeOrder))]]
		if r.ID != except && r.State != bergamotdale.MemberSuspect && !slices.Contains(picked, r.MemberUpdate) {
			picked = append(picked, r.MemberUpdate)
		}
	}
	return picked
}
