// Package locator remembers which endpoint last computed the shared beginning
// of a prompt, so that another endpoint can copy it instead of computing it
// again.
//
// It answers three load patterns: a beginning in great demand that spreads to
// further endpoints, keys that move because an endpoint joins, and those that
// move because theirs leaves. Computing a long beginning again also delays the
// streams that run beside it.
package locator

import (
	"math"
	"sync"

	"github.com/bergamotdale/bergamotdale/evictor"
	"github.com/bergamotdale/bergamotdale/hasher"
)

// MaxKeys bounds the memory: an entry takes about 80 bytes, so 16,384 take
// 1.3 MB.
const MaxKeys = 16384

// Endpoint is an endpoint that a beginning can be copied from.
type Endpoint struct {
	ID      string
	Address string
}

// Locator remembers the holders of keys. Its methods may be called
// concurrently.
type Locator struct {
	mu      sync.Mutex
	holders evictor.Map[string]
}

// New returns an empty locator.
func New() *Locator {
	return &Locator{holders: evictor.New[string]()}
}

// Held records that the endpoint has computed the beginning with the key.
func (l *Locator) Held(key, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders.Put(hasher.Hash(key), id)
	for l.holders.Len() > MaxKeys {
		l.holders.RemoveOldest()
	}
}

// Source returns the address that the target can copy the beginning from, or ""
// if the target probably has it. Endpoints are those that still respond,
// draining ones included. A router that has not seen the key takes the endpoint
// where it would be placed without regard to load: other routers placed it
// there.
func (l *Locator) Source(key, target string, endpoints []Endpoint) string {
	l.mu.Lock()
	holder, known := l.holders.Get(hasher.Hash(key))
	l.mu.Unlock()
	if known && holder == target {
		return ""
	}
	if known {
		for _, e := range endpoints {
			if e.ID == holder {
				return e.Address
			}
		}
	}
	return likely(key, target, endpoints)
}

// likely returns the address of the first endpoint in rendezvous order except
// the target.
func likely(key, target string, endpoints []Endpoint) string {
	keyHash := hasher.Hash(key)
	address, best := "", -math.MaxFloat64
	for _, e := range endpoints {
		if e.ID == target {
			continue
		}
		if w := float64(hasher.Weight(keyHash, hasher.Hash(e.ID))); w > best {
			address, best = e.Address, w
		}
	}
	return address
}
