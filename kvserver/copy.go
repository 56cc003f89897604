package kvserver

import (
	"maps"
	"time"
)

// Copy is the content of a server at one moment, sessions included.
type Copy struct {
	index    int64
	entries  map[string]entry
	sessions map[string]session
	deleted  map[string]int64
}

// Copy returns a copy from which the server can be restored.
func (s *Server) Copy() Copy { return s.store.copy() }

// Restore replaces the content by the copy and begins the next era: later changes and
// sessions are lost, and indexes are given out again. The TTLs of the sessions start
// anew.
func (s *Server) Restore(c Copy) { s.store.restore(c) }

func (s *store) copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{s.index, maps.Clone(s.entries), map[string]session{}, maps.Clone(s.deleted)}
	for id, v := range s.sessions {
		c.sessions[id] = *v
	}
	return c
}

func (s *store) restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.sessions {
		if v.timer != nil {
			v.timer.Stop()
		}
	}
	s.index, s.entries, s.deleted = c.index, maps.Clone(c.entries), maps.Clone(c.deleted)
	s.sessions = map[string]*session{}
	for id, v := range c.sessions {
		if v.ttl > 0 {
			v.timer = time.AfterFunc(v.ttl, func() { s.endSession(id) })
		}
		s.sessions[id] = &v
	}
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) currentEra() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
