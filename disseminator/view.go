package disseminator

import (
	"slices"
	"strings"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

// View is an immutable snapshot of a Table. The slices that it returns are
// shared and must not be changed.
type View struct {
	version uint64
	// members holds all known members, sorted by ID, with dead and left ones.
	members []bergamotdale.Member
	// live holds the members that are alive, suspect or draining, sorted by ID.
	live []bergamotdale.Member
	// owners holds the IDs of live members that are not draining and so may take
	// ownership, sorted.
	owners []string
	// rumours holds the rumours, sorted by key.
	rumours []RumourEntry
}

// RumourEntry is a rumour with its expiry by the clock of this router.
type RumourEntry struct {
	Key   string
	Value string
	// Version orders the values of one key; the highest wins.
	Version int64
	Expires time.Time
}

// Version returns the version of the table that the view was taken from.
func (v *View) Version() uint64 {
	return v.version
}

// Members returns all members, sorted by ID, with the dead and left ones whose
// retention has not ended.
func (v *View) Members() []bergamotdale.Member {
	return v.members
}

// Live returns the members that are alive, suspect or draining, sorted by ID.
// The router itself is one of them until it leaves.
func (v *View) Live() []bergamotdale.Member {
	return v.live
}

// Owners returns the IDs of live members that are not draining, sorted.
// Suspect members are included, so that ownership does not move because of a single
// lost probe.
func (v *View) Owners() []string {
	return v.owners
}

// Member returns the member with the given ID.
func (v *View) Member(id string) (bergamotdale.Member, bool) {
	i, ok := slices.BinarySearchFunc(v.members, id, func(m bergamotdale.Member, id string) int {
		return strings.Compare(m.ID, id)
	})
	if !ok {
		return bergamotdale.Member{}, false
	}
	return v.members[i], true
}

// Rumour returns the rumour with the given key unless it has expired.
func (v *View) Rumour(key string, now time.Time) (RumourEntry, bool) {
	i, ok := slices.BinarySearchFunc(v.rumours, key, func(r RumourEntry, key string) int {
		return strings.Compare(r.Key, key)
	})
	if !ok || !now.Before(v.rumours[i].Expires) {
		return RumourEntry{}, false
	}
	return v.rumours[i], true
}

// Rumours returns the unexpired rumours whose keys start with prefix, sorted by
// key.
func (v *View) Rumours(prefix string, now time.Time) []RumourEntry {
	var found []RumourEntry
	for _, r := range v.rumours {
		if strings.HasPrefix(r.Key, prefix) && now.Before(r.Expires) {
			found = append(found, r)
		}
	}
	return found
}
