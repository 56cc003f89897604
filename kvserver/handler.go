// Package kvserver is an in-memory fake of a key-value store that speaks the
// published HTTP API of Consul. It supports reads of keys and prefixes, writes
// with cas (compare-and-swap), acquire and release, transactions of one write,
// blocking queries, and sessions with a TTL that delete or release their keys
// when they end.
//
// It differs from Consul in these points: each response states the era of the store, a session ends exactly when its TTL
// has passed, there is no lock delay, and TTLs below 10 s are accepted.
package kvserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bergamotdale/bergamotdale/platform"
	"github.com/bergamotdale/bergamotdale/replier"
)

const (
	// indexHeader holds the index to pass to the next blocking query.
	indexHeader = "X-Consul-Index"
	// eraHeader holds the era of the store, which rises with each restore.
	eraHeader = platform.HeaderEra
	// defaultWait is the time for which a query blocks if it does not state a
	// valid one, and maxWait is the longest time that it may state.
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
)

// maxValueSize is the maximum size of a value in bytes.
const maxValueSize = 1 << 20

// Server is the HTTP handler of a key-value store. It is created by New.
type Server struct {
	store *store
	mux   *http.ServeMux
}

// New returns a server with an empty store.
func New() *Server {
	s := &Server{store: newStore(), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/kv/{key...}", s.serveGet)
	s.mux.HandleFunc("PUT /v1/kv/{key...}", s.servePut)
	s.mux.HandleFunc("DELETE /v1/kv/{key...}", s.serveDelete)
	s.mux.HandleFunc("PUT /v1/txn", s.serveTxn)
	s.mux.HandleFunc("PUT /v1/session/create", s.createSession)
	s.mux.HandleFunc("PUT /v1/session/renew/{id}", s.renewSession)
	s.mux.HandleFunc("PUT /v1/session/destroy/{id}", s.destroySession)
	s.mux.HandleFunc("GET /v1/session/info/{id}", s.sessionInfo)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(eraHeader, strconv.FormatInt(s.store.currentEra(), 10))
	s.mux.ServeHTTP(w, r)
}

// serveGet serves GET of a key or prefix. With an index it is a blocking query:
// it responds when the index of the key or prefix exceeds the given one, or
// after the wait.
func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	index, err := optionalInt(q.Get("index"))
	if err != nil {
		http.Error(w, "Invalid index", http.StatusBadRequest)
		return
	}
	wait := waitTime(q.Get("wait"))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		found, current, changed := s.store.get(r.PathValue("key"), q.Has("recurse") || q.Has("keys"))
		if index <= 0 || current > index {
			writeEntries(w, q, found, current)
			return
		}
		select {
		case <-changed:
			w.Header().Set(eraHeader, strconv.FormatInt(s.store.currentEra(), 10))
		case <-timeout.C:
			writeEntries(w, q, found, current)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writeEntries writes the entries in the form that the query asks for: the raw
// value of the first one, the keys only, or JSON.
func writeEntries(w http.ResponseWriter, q map[string][]string, found []entry, index int64) {
	w.Header().Set(indexHeader, strconv.FormatInt(index, 10))
	if len(found) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if _, ok := q["raw"]; ok {
		_, _ = w.Write(found[0].Value)
		return
	}
	if _, ok := q["keys"]; ok {
		keys := make([]string, 0, len(found))
		for _, e := range found {
			keys = append(keys, e.Key)
		}
		replier.JSON(w, http.StatusOK, keys)
		return
	}
	replier.JSON(w, http.StatusOK, found)
}

// servePut serves PUT of a key with at most one of the parameters cas, acquire
// and release.
func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	q, key := r.URL.Query(), r.PathValue("key")
	flags, _ := strconv.ParseUint(q.Get("flags"), 10, 64)
	holds, err := casCondition(q.Get("cas"))
	if err != nil {
		http.Error(w, "Invalid cas", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueSize+1))
	if err != nil {
		return
	}
	if len(value) > maxValueSize {
		http.Error(w, "Request body too large", http.StatusRequestEntityTooLarge)
		return
	}
	switch {
	case q.Has("acquire"):
		acquired, valid := s.store.acquire(key, value, flags, q.Get("acquire"))
		if !valid {
			http.Error(w, "invalid session "+strconv.Quote(q.Get("acquire")), http.StatusInternalServerError)
			return
		}
		replier.JSON(w, http.StatusOK, acquired)
	case q.Has("release"):
		replier.JSON(w, http.StatusOK, s.store.release(key, value, flags, q.Get("release")))
	default:
		_, written := s.store.put(key, value, flags, holds)
		replier.JSON(w, http.StatusOK, written)
	}
}

// serveDelete serves DELETE of a key, optionally with cas, or of all keys with a
// prefix.
func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	q, key := r.URL.Query(), r.PathValue("key")
	if q.Has("recurse") {
		s.store.deletePrefix(key)
		replier.JSON(w, http.StatusOK, true)
		return
	}
	holds, err := casCondition(q.Get("cas"))
	if err != nil {
		http.Error(w, "Invalid cas", http.StatusBadRequest)
		return
	}
	replier.JSON(w, http.StatusOK, s.store.deleteIf(key, holds))
}

// txnOp is one operation of a transaction. Index is the version that a cas
// operation expects.
type txnOp struct {
	KV *struct {
		Verb  string
		Key   string
		Value []byte
		Flags uint64
		Index int64
	}
}

// txnResult is the response to a transaction. Its entries have no value.
type txnResult struct {
	Results []txnEntry
	Errors  []txnError
}

// txnEntry is the result of a successful operation.
type txnEntry struct {
	KV entry
}

// txnError is the result of a failed operation.
type txnError struct {
	OpIndex int
	What    string
}

// serveTxn serves a transaction of one write with the verb set or cas.
func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var ops []txnOp
	// The value is encoded as base64 in the body, which makes it a third longer.
	if err := json.NewDecoder(io.LimitReader(r.Body, 2*maxValueSize)).Decode(&ops); err != nil {
		http.Error(w, "Failed to parse body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if len(ops) != 1 || ops[0].KV == nil || (ops[0].KV.Verb != "cas" && ops[0].KV.Verb != "set") {
		http.Error(w, "a transaction must have exactly one operation, with the verb set or cas", http.StatusBadRequest)
		return
	}
	op := ops[0].KV
	if len(op.Value) > maxValueSize {
		http.Error(w, "Request body too large", http.StatusRequestEntityTooLarge)
		return
	}
	holds := unconditional
	if op.Verb == "cas" {
		holds = versionIs(op.Index)
	}
	e, ok := s.store.put(op.Key, op.Value, op.Flags, holds)
	if !ok {
		stale := txnError{What: "failed to set key " + strconv.Quote(op.Key) + ", index is stale"}
		replier.JSON(w, http.StatusConflict, txnResult{Errors: []txnError{stale}})
		return
	}
	e.Value = nil
	replier.JSON(w, http.StatusOK, txnResult{Results: []txnEntry{{e}}})
}

// unconditional is the precondition of a write without cas; it always holds.
func unconditional(entry, bool) bool { return true }

// versionIs returns the precondition of a compare-and-swap: the key has the
// version, or does not exist if the version is zero.
func versionIs(version int64) precondition {
	return func(e entry, exists bool) bool {
		return exists == (version != 0) && e.ModifyIndex == version
	}
}

// casCondition parses the cas parameter, which is the expected version. If it is
// empty, the write is unconditional.
func casCondition(cas string) (precondition, error) {
	if cas == "" {
		return unconditional, nil
	}
	version, err := strconv.ParseInt(cas, 10, 64)
	if err != nil {
		return nil, err
	}
	return versionIs(version), nil
}

func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	v := session{}
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil && err != io.EOF {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl := time.Duration(0)
	if v.TTL != "" {
		var err error
		if ttl, err = time.ParseDuration(v.TTL); err != nil || ttl <= 0 {
			http.Error(w, "Invalid Session TTL", http.StatusBadRequest)
			return
		}
	}
	if v.Behavior == "" {
		v.Behavior = "release"
	}
	id := s.store.createSession(v, ttl)
	replier.JSON(w, http.StatusOK, struct{ ID string }{id})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	v, ok := s.store.renewSession(r.PathValue("id"))
	if !ok {
		http.Error(w, "Session id not found", http.StatusNotFound)
		return
	}
	replier.JSON(w, http.StatusOK, []session{v})
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	s.store.endSession(r.PathValue("id"))
	replier.JSON(w, http.StatusOK, true)
}

func (s *Server) sessionInfo(w http.ResponseWriter, r *http.Request) {
	found := []session{}
	if v, ok := s.store.sessionInfo(r.PathValue("id")); ok {
		found = append(found, v)
	}
	replier.JSON(w, http.StatusOK, found)
}

// optionalInt parses a decimal number; an empty text is zero.
func optionalInt(v string) (int64, error) {
	if v == "" {
		return 0, nil
	}
	return strconv.ParseInt(v, 10, 64)
}

// waitTime parses the wait parameter of a blocking query.
func waitTime(v string) time.Duration {
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		return defaultWait
	}
	return min(d, maxWait)
}
