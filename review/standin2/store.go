package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is a key with its value, or the removal of a key.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	CreateRev int64  `json:"create-rev,omitempty"`
	Lease     int64  `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// lease is a lease with the timer of its end.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// pageSize is the largest number of items of a page.
const pageSize = 500

// store is a stand-in of the platform's metadata store.
type store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]storeItem
	history   []storeItem
	changed   chan struct{}
	leases    map[int64]*lease
	lastLease int64
	// writtenAt holds the times of the history, and forgotten is the last revision that is
	// no longer in it.
	writtenAt []time.Time
	forgotten int64
}

// historyTime is how long the store keeps its history.
const historyTime = 20 * time.Second

func newStore() *store {
	return &store{revision: 1, items: map[string]storeItem{}, changed: make(chan struct{}), leases: map[int64]*lease{}}
}

// put writes a value as JSON and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storeItem{Key: key, Value: data})
	return time.Now()
}

// remove removes a key and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(storeItem{Key: key, Tombstone: true})
	return time.Now()
}

// apply applies a change. The lock is held.
func (s *store) apply(item storeItem) {
	old, known := s.items[item.Key]
	if item.Tombstone && !known {
		return
	}
	s.revision++
	item.Revision = s.revision
	if item.Tombstone {
		delete(s.items, item.Key)
	} else {
		item.CreateRev = item.Revision
		if known {
			item.CreateRev = old.CreateRev
		}
		s.items[item.Key] = item
	}
	s.history, s.writtenAt = append(s.history, item), append(s.writtenAt, time.Now())
	outdated := 0
	for outdated < len(s.history) && time.Since(s.writtenAt[outdated]) > historyTime {
		s.forgotten = s.history[outdated].Revision
		outdated++
	}
	s.history, s.writtenAt = s.history[outdated:], s.writtenAt[outdated:]
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == "/kv-key":
		s.serveKey(w, r)
	case path == "/kv-range":
		s.serveRange(w, r)
	case path == "/kv-watch":
		s.serveWatch(w, r)
	case path == "/kv-txn":
		s.serveTransaction(w, r)
	case path == "/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "/kv-keep/"))
	case strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/kv-lease-end/"), 10, 64)
		s.endLease(id)
		respond(w, http.StatusOK, map[string]any{})
	default:
		respond(w, http.StatusNotFound, map[string]any{})
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		respond(w, http.StatusNotFound, map[string]any{"store-revision": s.revision})
		return
	}
	respond(w, http.StatusOK, item)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items, more := []storeItem{}, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(items) == pageSize {
			more = true
			break
		}
		items = append(items, s.items[key])
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "more-pages": more, "store-revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("prefix")
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		revision, changed := s.revision, s.changed
		if after < s.forgotten {
			s.mu.Unlock()
			respond(w, http.StatusGone, map[string]any{"store-revision": revision})
			return
		}
		events := []storeItem{}
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(i storeItem, revision int64) int { return int(i.Revision - revision) })
		for _, item := range s.history[first:] {
			if strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || expired {
			respond(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect-rev"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		respond(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []storeItem{}, true
	for _, e := range txn.Expect {
		item, known := s.items[e.Key]
		holds = holds && item.Revision == e.Revision
		if known {
			current = append(current, item)
		}
	}
	if !holds {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, write := range txn.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			respond(w, http.StatusForbidden, map[string]any{})
			return
		}
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			respond(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, write := range txn.Writes {
		s.apply(storeItem{Key: write.Key, Value: write.Value, Lease: write.Lease})
	}
	for _, key := range txn.Remove {
		s.apply(storeItem{Key: key, Tombstone: true})
	}
	respond(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		respond(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id, ttl := s.lastLease, time.Duration(min(max(request.TTL, 1000), 600_000))*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	respond(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		respond(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.timer.Reset(l.ttl)
	respond(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

// endLease removes the keys of a lease.
func (s *store) endLease(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return
	}
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].Lease == id {
			s.apply(storeItem{Key: key, Tombstone: true})
		}
	}
}
