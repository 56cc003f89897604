package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pageItems and pageBytes bound a page of a range.
	pageItems = 500
	pageBytes = 1 << 20
	// historyTime is how long the store keeps its history.
	historyTime = 20 * time.Second
)

// item is a key with its value, as the store encodes it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	at       time.Time
}

// store is the platform's metadata store, as far as routers read it.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	// dropped is the highest revision that is no longer in the history.
	dropped int64
	// changed is closed by the next change.
	changed chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a key. The value is encoded as JSON.
func (s *store) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i := item{Key: key, Value: data, Revision: s.revision, at: time.Now()}
	s.items[key] = i
	s.announce(i)
	return nil
}

// announce adds a change to the history. The lock is held.
func (s *store) announce(i item) {
	s.history = append(s.history, i)
	for len(s.history) > 1 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page, size := []item{}, 0
	for _, key := range keys {
		if len(page) == pageItems || len(page) > 0 && size+len(s.items[key].Value) > pageBytes {
			break
		}
		page = append(page, s.items[key])
		size += len(s.items[key].Value)
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, map[string]any{"items": page, "more-pages": len(page) < len(keys), "store-revision": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		revision, changed, gone := s.revision, s.changed, after < s.dropped
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, map[string]any{"events": events, "store-revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
