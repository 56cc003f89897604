package storetester

import (
	"maps"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
)

// Copy is the content of a store at one moment, leases included.
type Copy struct {
	entries map[string]record
	leases  map[bergamotdale.LeaseID]lease
	index   int64
	at      time.Time
}

// errRestored ends the watches that wait during a restore.
var errRestored = errors.Annotate(bergamotdale.ErrUnavailable, "the store was restored from a copy")

// Copy returns a copy from which the store can be restored.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{maps.Clone(s.entries), maps.Clone(s.leases), s.index, s.clock.Now()}
}

// Restore replaces the content by the copy and begins the next era: later changes and
// leases are lost, and modification indexes are given out again. Leases of the copy
// keep the time that they had left if leasesPause is set, and otherwise expire when
// they would have. Blocked watches fail.
func (s *Store) Restore(c Copy, leasesPause bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries, s.leases, s.index = maps.Clone(c.entries), maps.Clone(c.leases), c.index
	if leasesPause {
		for id, l := range s.leases {
			l.expiry = l.expiry.Add(s.clock.Now().Sub(c.at))
			s.leases[id] = l
		}
	}
	s.era++
	s.notify()
}

// Era implements bergamotdale.EraStore.
func (s *Store) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
