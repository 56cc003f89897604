package disseminator

import (
	"slices"
	"strings"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

// Prefixes of queue keys: the queue holds member IDs and rumour keys.
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

// splitKey returns the member ID or rumour key that a queue key holds, and whether
// it is a rumour key.
func splitKey(key string) (id string, rumour bool) {
	if rest, ok := strings.CutPrefix(key, rumourPrefix); ok {
		return rest, true
	}
	return strings.TrimPrefix(key, memberPrefix), false
}

// Piggyback returns up to room updates for a message to the member with the ID
// about. If this router believes the receiver suspect, dead or left, that update
// comes first, so that the receiver can refute it at once. Queue keys in except,
// which the receiver has just sent, are left out.
func (t *Table) Piggyback(now time.Time, room int, about string, except map[string]bool) ([]MemberUpdate, []Rumour) {
	var members []MemberUpdate
	var rumours []Rumour
	if r := t.records[about]; r != nil && precedence(r.State) >= precedence(bergamotdale.MemberSuspect) {
		members = append(members, r.withoutAddress())
	}
	for _, key := range t.queue.Take(room-len(members), len(t.probeOrder)+1, except) {
		name, rumour := splitKey(key)
		if rumour {
			if r := t.rumours[name]; r != nil && now.Before(r.Expires) {
				rumours = append(rumours, r.toMessage(now))
			}
			continue
		}
		if r := t.records[name]; r != nil && name != about {
			members = append(members, r.withoutAddress())
		}
		// This router has no record of itself: its update is the From field of
		// each message, and the receivers pass it on.
	}
	assert(len(members)+len(rumours) <= MaxPiggyback, "%d updates in a message", len(members)+len(rumours))
	return members, rumours
}

// QueueKeys returns the queue keys of the given updates.
func QueueKeys(members []MemberUpdate, rumours []Rumour) map[string]bool {
	keys := make(map[string]bool, len(members)+len(rumours))
	for _, u := range members {
		keys[memberKey(u.ID)] = true
	}
	for _, r := range rumours {
		keys[rumourKey(r.Key)] = true
	}
	return keys
}

// MergeMessage merges the content of a received message. The update of the sender
// is merged last. Updates beyond MaxPiggyback are ignored.
func (t *Table) MergeMessage(now time.Time, from MemberUpdate, contact *StoreContact, members []MemberUpdate, rumours []Rumour) {
	for _, u := range members[:min(len(members), MaxPiggyback)] {
		t.Merge(now, u)
	}
	t.Merge(now, from)
	for _, r := range rumours[:min(len(rumours), MaxPiggyback)] {
		t.mergeRumour(now, RumourEntry{
			Key: r.Key, Value: r.Value, Version: r.Version,
			Expires: now.Add(time.Duration(r.TTLMS) * time.Millisecond),
		})
	}
	t.mergeContact(now, contact)
}

// Page returns one page of the live members and the rumours, for a router that
// synchronizes its whole table, and the cursor of the next page, which is empty on
// the last page. The page starts after the cursor given as after. If this router
// believes the receiver, whose ID is about, suspect, dead or left, that update comes
// first.
func (t *Table) Page(now time.Time, about, after string) (members []MemberUpdate, rumours []Rumour, next string) {
	if r := t.records[about]; r != nil && precedence(r.State) >= precedence(bergamotdale.MemberSuspect) {
		members = append(members, r.withoutAddress())
	}
	keys := make([]string, 0, len(t.records)+len(t.rumours))
	for id, r := range t.records {
		if r.live() && id != about {
			keys = append(keys, memberKey(id))
		}
	}
	for key, r := range t.rumours {
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
		name, rumour := splitKey(key)
		if rumour {
			rumours = append(rumours, t.rumours[name].toMessage(now))
		} else {
			members = append(members, t.records[name].MemberUpdate)
		}
	}
	if end < len(keys) {
		next = keys[end-1]
	}
	return members, rumours, next
}

// SpreadRumour adds a rumour and queues it for the other routers. A rumour whose
// version is not above the known one of its key is ignored.
func (t *Table) SpreadRumour(now time.Time, key, value string, version int64, ttl time.Duration) {
	t.mergeRumour(now, RumourEntry{Key: key, Value: value, Version: version, Expires: now.Add(ttl)})
}

// mergeRumour stores and queues a rumour whose version is above the known one.
func (t *Table) mergeRumour(now time.Time, r RumourEntry) {
	if !now.Before(r.Expires) || r.Key == "" {
		return
	}
	known := t.rumours[r.Key]
	if known != nil && known.Version >= r.Version {
		return
	}
	if known == nil && len(t.rumours) >= t.config.MaxRumours {
		t.stats.DroppedRumours++
		return
	}
	t.rumours[r.Key] = &r
	t.version++
	t.queue.Add(rumourKey(r.Key))
}

// toMessage returns the rumour in the form that messages carry.
func (r *RumourEntry) toMessage(now time.Time) Rumour {
	return Rumour{Key: r.Key, Value: r.Value, Version: r.Version, TTLMS: r.Expires.Sub(now).Milliseconds()}
}
