package kvserver

import (
	"crypto/rand"
	"encoding/hex"
	"sort"
	"strings"
	"sync"
	"time"
)

// entry is a key and its value in the JSON form of the API, in which Value is
// encoded as base64.
type entry struct {
	LockIndex   int64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex int64
	ModifyIndex int64
	Session     string `json:",omitempty"`
}

// session is a session in the JSON form of the API: a lease to which keys can be
// attached. Behavior says whether they are deleted or released when it ends.
type session struct {
	ID          string
	Name        string
	Behavior    string
	TTL         string
	CreateIndex int64
	ttl         time.Duration
	timer       *time.Timer
}

// store holds the keys and sessions.
type store struct {
	mu sync.Mutex
	// index increases with each change of the store.
	index int64
	// era is the number of restores, plus one.
	era      int64
	entries  map[string]entry
	sessions map[string]*session
	// deleted maps a key to the index of its latest deletion.
	deleted map[string]int64
	// changed is closed and replaced by a new channel with each change, which
	// wakes up blocking queries.
	changed chan struct{}
}

func newStore() *store {
	return &store{
		// The first index is above zero, because a query with index zero does
		// not block.
		index:    1,
		era:      1,
		entries:  map[string]entry{},
		sessions: map[string]*session{},
		deleted:  map[string]int64{},
		changed:  make(chan struct{}),
	}
}

// get returns the entries of a key or prefix, the index to pass to the next
// blocking query, and a channel that is closed with the next change of the
// store.
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

// list returns the entries whose keys start with the prefix, ordered by key, and
// the index of the latest write or deletion among these keys. The caller holds
// the lock.
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

// precondition reports whether a write may be executed, given the current entry
// of its key.
type precondition func(e entry, exists bool) bool

// put writes a value if the precondition holds. It returns the new entry, and
// false if the precondition does not hold.
func (s *store) put(key string, value []byte, flags uint64, holds precondition) (entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, exists := s.entries[key]
	if !holds(e, exists) {
		return entry{}, false
	}
	s.writeVersion(e, key, value, flags)
	return s.entries[key], true
}

// writeVersion stores the next version of the entry. The caller holds the lock.
func (s *store) writeVersion(e entry, key string, value []byte, flags uint64) {
	s.advanceIndex()
	if e.CreateIndex == 0 {
		e.CreateIndex = s.index
	}
	e.Key, e.Value, e.Flags, e.ModifyIndex = key, value, flags, s.index
	s.entries[key] = e
}

// acquire writes a value and attaches the key to a session. acquired is false if
// the key is attached to another session, and valid is false if the session does
// not exist.
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
	s.writeVersion(e, key, value, flags)
	return true, true
}

// release writes a value and detaches the key from the session. It reports
// whether the key was attached to the session.
func (s *store) release(key string, value []byte, flags uint64, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok || e.Session != id {
		return false
	}
	e.Session = ""
	s.writeVersion(e, key, value, flags)
	return true
}

// deleteIf deletes a key if the precondition holds, and reports whether the key
// no longer exists. It succeeds for a missing key, whatever the precondition.
func (s *store) deleteIf(key string, holds precondition) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, exists := s.entries[key]
	if !exists {
		return true
	}
	if !holds(e, exists) {
		return false
	}
	s.deleteKey(key)
	return true
}

// deletePrefix deletes all keys that start with the prefix.
func (s *store) deletePrefix(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, _ := s.list(prefix)
	for _, e := range found {
		s.deleteKey(e.Key)
	}
}

// deleteKey deletes the key and records the index of the deletion. The caller
// holds the lock.
func (s *store) deleteKey(key string) {
	s.advanceIndex()
	delete(s.entries, key)
	s.deleted[key] = s.index
}

// advanceIndex increments the index and wakes up blocking queries. The caller
// holds the lock.
func (s *store) advanceIndex() {
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
}

// createSession starts a session and returns its ID. The session ends if it is
// not renewed within ttl; with zero it has no time limit.
func (s *store) createSession(v session, ttl time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advanceIndex()
	v.ID, v.CreateIndex, v.ttl = newID(), s.index, ttl
	if ttl > 0 {
		v.timer = time.AfterFunc(ttl, func() { s.endSession(v.ID) })
	}
	s.sessions[v.ID] = &v
	return v.ID
}

// renewSession restarts the TTL of a session. It returns false if the session
// does not exist.
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

// endSession ends a session and deletes or releases its keys, as its Behavior
// says.
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
	s.advanceIndex()
	for k, e := range s.entries {
		if e.Session != id {
			continue
		}
		if v.Behavior == "delete" {
			s.deleteKey(k)
			continue
		}
		e.Session = ""
		s.writeVersion(e, k, e.Value, e.Flags)
	}
}

// newID returns a random session ID in the format of a UUID.
func newID() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b)
	h := hex.EncodeToString(b)
	return h[:8] + "-" + h[8:12] + "-" + h[12:16] + "-" + h[16:20] + "-" + h[20:]
}
