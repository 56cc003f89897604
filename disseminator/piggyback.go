package disseminator

import (
	"slices"
	"strings"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

const (
	memberPrefix = "m/"
	rumourPrefix = "r/"
)

func memberKey(id string) string {
	return memberPrefix + id
}

func rumourKey(key string) string {
	return rumourPrefix + key
}

// split returns the member ID or the rumour key in a queue key.
func split(key string) (id string, rumour bool) {
	if rest, ok := strings.CutPrefix(key, rumourPrefix); ok {
		return rest, true
	}
	return strings.TrimPrefix(key, memberPrefix), false
}

// Piggyback returns up to room queued updates. What this router believes of
// the receiver goes first if it is not alive, so that it can refute at once.
// Keys in except, which the receiver has just sent, are left out.
func (m *Table) Piggyback(now time.Time, room int, about string, except map[string]bool) ([]MemberUpdate, []Rumour) {
	var members []MemberUpdate
	var rumours []Rumour
	if r := m.records[about]; r != nil && rank(r.State) >= rank(bergamotdale.MemberSuspect) {
		members = append(members, r.brief())
	}
	for _, key := range m.queue.Take(room-len(members), len(m.order)+1, except) {
		name, rumour := split(key)
		if rumour {
			if r := m.rumours[name]; r != nil && now.Before(r.Expires) {
				rumours = append(rumours, r.wire(now))
			}
			continue
		}
		if r := m.records[name]; r != nil && name != about {
			members = append(members, r.brief())
		}
		// The router itself travels as From of every message that it sends,
		// but reaches others only through them.
	}
	assert(len(members)+len(rumours) <= MaxPiggyback, "%d updates in a message", len(members)+len(rumours))
	return members, rumours
}

// Carried returns the queue keys of the updates in a message.
func Carried(members []MemberUpdate, rumours []Rumour) map[string]bool {
	keys := make(map[string]bool, len(members)+len(rumours))
	for _, u := range members {
		keys[memberKey(u.ID)] = true
	}
	for _, r := range rumours {
		keys[rumourKey(r.Key)] = true
	}
	return keys
}

// Receive merges the content of a message.
func (m *Table) Receive(now time.Time, from MemberUpdate, contact *StoreContact, members []MemberUpdate, rumours []Rumour) {
	for _, u := range members[:min(len(members), MaxPiggyback)] {
		m.Merge(now, u)
	}
	m.Merge(now, from)
	for _, r := range rumours[:min(len(rumours), MaxPiggyback)] {
		m.hear(now, RumourEntry{
			Key: r.Key, Value: r.Value, Version: r.Version,
			Expires: now.Add(time.Duration(r.TTLMS) * time.Millisecond),
		})
	}
	m.hearContact(now, contact)
}

// Page returns the live members and the rumours after the cursor, and the
// cursor of the next page.
func (m *Table) Page(now time.Time, about, after string) (members []MemberUpdate, rumours []Rumour, next string) {
	if r := m.records[about]; r != nil && rank(r.State) >= rank(bergamotdale.MemberSuspect) {
		members = append(members, r.brief())
	}
	keys := make([]string, 0, len(m.records)+len(m.rumours))
	for id, r := range m.records {
		if r.live() && id != about {
			keys = append(keys, memberKey(id))
		}
	}
	for key, r := range m.rumours {
		if now.Before(r.Expires) {
			keys = append(keys, rumourKey(key))
		}
	}
	slices.Sort(keys)
	start, found := slices.BinarySearch(keys, after)
	if found {
		start++
	}
	end := min(len(keys), start+MaxPiggyback-len(members))
	for _, key := range keys[start:end] {
		name, rumour := split(key)
		if rumour {
			rumours = append(rumours, m.rumours[name].wire(now))
		} else {
			members = append(members, m.records[name].MemberUpdate)
		}
	}
	if end < len(keys) {
		next = keys[end-1]
	}
	return members, rumours, next
}

// Spread makes a rumour known to the fleet.
func (m *Table) Spread(now time.Time, key, value string, version int64, ttl time.Duration) {
	m.hear(now, RumourEntry{Key: key, Value: value, Version: version, Expires: now.Add(ttl)})
}

// hear keeps a rumour with a version above the known one and passes it on.
func (m *Table) hear(now time.Time, r RumourEntry) {
	if !now.Before(r.Expires) || r.Key == "" {
		return
	}
	known := m.rumours[r.Key]
	if known != nil && known.Version >= r.Version {
		return
	}
	if known == nil && len(m.rumours) >= m.config.MaxRumours {
		m.stats.DroppedRumours++
		return
	}
	m.rumours[r.Key] = &r
	m.version++
	m.queue.Add(rumourKey(r.Key))
}

func (r *RumourEntry) wire(now time.Time) Rumour {
	return Rumour{Key: r.Key, Value: r.Value, Version: r.Version, TTLMS: r.Expires.Sub(now).Milliseconds()}
}
