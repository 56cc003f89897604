package platformserver

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

// The kinds of calls by which Counters counts.
const (
	kindRead    = "read"
	kindList    = "list"
	kindWatch   = "watch"
	kindCAS     = "cas"
	kindWrite   = "write"
	kindAcquire = "acquire"
	kindDelete  = "delete"
	kindSession = "session"
	kindRenew   = "renew"
	kindVMs     = "vms"
)

// Counters holds the number of calls that the server has received: in total,
// rejected by the rate limit, by kind, and by caller and kind. A watch counts
// once, however long it blocks.
type Counters struct {
	Total    int64                       `json:"total"`
	Rejected int64                       `json:"rejected"`
	ByKind   map[string]int64            `json:"by-kind"`
	ByCaller map[string]map[string]int64 `json:"by-caller"`
}

// counter counts calls by caller and kind. It is safe for concurrent use.
type counter struct {
	mu     sync.Mutex
	counts Counters
}

func newCounter() *counter {
	return &counter{counts: Counters{ByKind: map[string]int64{}, ByCaller: map[string]map[string]int64{}}}
}

func (c *counter) add(caller, kind string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Total++
	c.counts.ByKind[kind]++
	if c.counts.ByCaller[caller] == nil {
		c.counts.ByCaller[caller] = map[string]int64{}
	}
	c.counts.ByCaller[caller][kind]++
}

func (c *counter) reject() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Rejected++
}

func (c *counter) snapshot() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.counts
	s.ByKind = clone(c.counts.ByKind)
	s.ByCaller = map[string]map[string]int64{}
	for caller, kinds := range c.counts.ByCaller {
		s.ByCaller[caller] = clone(kinds)
	}
	return s
}

func clone(m map[string]int64) map[string]int64 {
	c := make(map[string]int64, len(m))
	for k, v := range m {
		c[k] = v
	}
	return c
}

// callKind returns the kind of a call to the store.
func callKind(r *http.Request) string {
	q := r.URL.Query()
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/session/renew/"):
		return kindRenew
	case strings.HasPrefix(r.URL.Path, "/v1/session/"):
		return kindSession
	case r.Method == http.MethodDelete:
		return kindDelete
	case q.Has("acquire"):
		return kindAcquire
	case q.Has("cas"), r.URL.Path == "/v1/txn":
		return kindCAS
	case r.Method == http.MethodPut:
		return kindWrite
	case q.Get("index") != "":
		return kindWatch
	case q.Has("recurse"):
		return kindList
	}
	return kindRead
}

// tokenBucket limits the rate of calls. Its capacity is the calls of one second.
type tokenBucket struct {
	// rate is the limit in calls per second; zero means no limit.
	rate float64

	mu     sync.Mutex
	tokens float64
	last   time.Time
}

// newTokenBucket returns a full bucket.
func newTokenBucket(rate float64) *tokenBucket {
	return &tokenBucket{rate: rate, tokens: rate}
}

// take removes a token for a call. It returns false if the bucket is empty,
// which means that the call exceeds the rate.
func (b *tokenBucket) take(now time.Time) bool {
	if b.rate <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
