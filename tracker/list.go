package tracker

import (
	"slices"
	"strings"

	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/subscriber"
)

// LoadList is an order of the endpoints in which routers exchange loads without the
// IDs. It is immutable. Routers that know the same endpoints have the same list.
type LoadList struct {
	// Hash identifies the list. It is zero for an empty one.
	Hash uint64
	ids  []string
}

func newLoadList(state *subscriber.State) LoadList {
	var l LoadList
	for _, e := range state.AllEndpoints() {
		l.ids = append(l.ids, e.ID)
	}
	if len(l.ids) > 0 {
		slices.Sort(l.ids)
		l.Hash = max(1, hasher.Hash(strings.Join(l.ids, "\n")))
	}
	return l
}

// Encode returns the loads in the order of the list. Endpoints that are not in the list
// are left out: they get no requests.
func (l LoadList) Encode(loads map[string]int) []int {
	counts := make([]int, len(l.ids))
	for i, id := range l.ids {
		counts[i] = loads[id]
	}
	return counts
}

// Decode returns the loads by endpoint ID, or false if the counts are not those of the
// list.
func (l LoadList) Decode(hash uint64, counts []int) (map[string]int, bool) {
	if hash != l.Hash || len(counts) != len(l.ids) {
		return nil, false
	}
	loads := make(map[string]int, len(counts))
	for i, n := range counts {
		if n > 0 {
			loads[l.ids[i]] = n
		}
	}
	return loads, true
}

// LoadList returns the order of the endpoints of the latest state.
func (t *Tracker) LoadList() LoadList {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loadList()
}

// loadList is LoadList. The lock is held.
func (t *Tracker) loadList() LoadList {
	if t.state == nil {
		return LoadList{}
	}
	if t.list == nil {
		list := newLoadList(t.state)
		t.list = &list
	}
	return *t.list
}
