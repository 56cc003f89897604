package kvserver

import (
	"crypto/rand"
	"encoding/hex"
	"sort"
	"strings"
	"sync"
	"time"
)

// entry is a key in the JSON form of the API. Value is sent as base64.
type entry struct {
	LockIndex   int64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex int64
	ModifyIndex int64
	Session     string `json:",omitempty"`
}

// session is a lease in the JSON form of the API.
type session struct {
	ID          string
	Name        string
	Behavior    string
	TTL         string
	CreateIndex int64
	ttl         time.Duration
	timer       *time.Timer
}

// store holds keys and sessions. index rises with each change.
type store struct {
	mu       sync.Mutex
	index    int64
	entries  map[string]entry
	sessions map[string]*session
	// deleted holds the index at which a key was last deleted.
	deleted map[string]int64
	// changed is closed and replaced with each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{
		// The first index is above zero, because zero means "don't block".
		index:    1,
		entries:  map[string]entry{},
		sessions: map[string]*session{},
		deleted:  map[string]int64{},
		changed:  make(chan struct{}),
	}
}

// get returns the entries of a key or prefix, the index to block on, and a
// channel that is closed with the next change of the store.
func (s *store) get(key string, prefix bool) ([]entry, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if prefix {
		found, index := s.list(key)
		return found, index, s.changed
	}
	if e, ok := s.entries[key]; ok {
		return []entry{e}, e.ModifyIndex, s.changed
	}
	return nil, max(s.deleted[key], 1), s.changed
}

func (s *store) list(prefix string) ([]entry, int64) {
	var found []entry
	index := int64(1)
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			found = append(found, e)
			index = max(index, e.ModifyIndex)
		}
	}
	for k, i := range s.deleted {
		if strings.HasPrefix(k, prefix) {
			index = max(index, i)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	return found, index
}

// precondition decides on a write from the current entry.
type precondition func(e entry, exists bool) bool

// put writes a value if the condition holds, and returns the new entry.
func (s *store) put(key string, value []byte, flags uint64, holds precondition) (entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, exists := s.entries[key]
	if !holds(e, exists) {
		return entry{}, false
	}
	s.write(e, key, value, flags)
	return s.entries[key], true
}

// write stores the next version of the entry.
func (s *store) write(e entry, key string, value []byte, flags uint64) {
	s.advance()
	if e.CreateIndex == 0 {
		e.CreateIndex = s.index
	}
	e.Key, e.Value, e.Flags, e.ModifyIndex = key, value, flags, s.index
	s.entries[key] = e
}

// acquire writes a value and attaches the key to a session. valid is false if
// the session doesn't exist.
func (s *store) acquire(key string, value []byte, flags uint64, id string) (acquired, valid bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.sessions[id]; !ok {
		return false, false
	}
	e := s.entries[key]
	if e.Session != "" && e.Session != id {
		return false, true
	}
	if e.Session == "" {
		e.LockIndex++
	}
	e.Session = id
	s.write(e, key, value, flags)
	return true, true
}

// release detaches the key from the session.
func (s *store) release(key string, value []byte, flags uint64, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok || e.Session != id {
		return false
	}
	e.Session = ""
	s.write(e, key, value, flags)
	return true
}

// remove deletes a key if the condition holds. A missing key counts as
// deleted.
func (s *store) remove(key string, holds precondition) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, exists := s.entries[key]
	if !exists {
		return true
	}
	if !holds(e, exists) {
		return false
	}
	s.drop(key)
	return true
}

// removePrefix deletes all keys with the prefix.
func (s *store) removePrefix(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, _ := s.list(prefix)
	for _, e := range found {
		s.drop(e.Key)
	}
}

func (s *store) drop(key string) {
	s.advance()
	delete(s.entries, key)
	s.deleted[key] = s.index
}

func (s *store) advance() {
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
}

// createSession starts a session that ends when ttl passes without renewal.
func (s *store) createSession(v session, ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	v.ID, v.CreateIndex, v.ttl = newID(), s.index, ttl
	if ttl > 0 {
		v.timer = time.AfterFunc(ttl, func() { s.endSession(v.ID) })
	}
	s.sessions[v.ID] = &v
	return v.ID
}

// renewSession restarts the TTL of a session.
func (s *store) renewSession(id string) (session, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.sessions[id]
	if !ok {
		return session{}, false
	}
	if v.timer != nil {
		v.timer.Reset(v.ttl)
	}
	return *v, true
}

func (s *store) sessionInfo(id string) (session, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.sessions[id]
	if !ok {
		return session{}, false
	}
	return *v, true
}

// endSession ends a session and deletes or releases its keys.
func (s *store) endSession(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.sessions[id]
	if !ok {
		return
	}
	if v.timer != nil {
		v.timer.Stop()
	}
	delete(s.sessions, id)
	s.advance()
	for k, e := range s.entries {
		if e.Session != id {
			continue
		}
		if v.Behavior == "delete" {
			s.drop(k)
			continue
		}
		e.Session = ""
		s.write(e, k, e.Value, e.Flags)
	}
}

// newID returns a random ID in the form of a UUID.
func newID() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b)
	h := hex.EncodeToString(b)
	return h[:8] + "-" + h[8:12] + "-" + h[12:16] + "-" + h[16:20] + "-" + h[20:]
}
