// Package locator records which endpoint last computed the shared prefix of a
// prompt, so that another endpoint can copy the cached prefix from it instead of
// computing it again.
//
// Copies help in three cases: a hot prefix spreads to further endpoints, keys
// move because an endpoint joins, and keys move because their endpoint leaves.
// Computing a long prefix again would also delay the streams that the endpoint
// runs at the same time.
package locator

import (
	"math"
	"sync"

	"github.com/bergamotdale/bergamotdale/evictor"
	"github.com/bergamotdale/bergamotdale/hasher"
)

// MaxKeys bounds the memory of a Locator: an entry takes about 80 bytes, so 16,384
// entries take 1.3 MB.
const MaxKeys = 16384

// Endpoint is an endpoint that a cached prefix can be copied from.
type Endpoint struct {
	ID      string
	Address string
}

// Locator maps the keys of prefixes to the endpoints that last computed them. It
// holds the latest MaxKeys keys. Its methods may be called concurrently.
type Locator struct {
	mu sync.Mutex
	// holders maps the hash of a key to the id of the endpoint that last computed it.
	holders evictor.Map[string]
}

// New returns an empty locator.
func New() *Locator {
	return &Locator{holders: evictor.New[string]()}
}

// RecordHolder records that the endpoint has computed the prefix with the key. It
// forgets the oldest keys above MaxKeys.
func (l *Locator) RecordHolder(key, endpointID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders.Put(hasher.Hash(key), endpointID)
	for l.holders.Len() > MaxKeys {
		l.holders.RemoveOldest()
	}
}

// Source returns the address of the endpoint that the target, given by its id,
// can copy the prefix from, or "" if there is none or the target probably has the
// prefix itself. endpoints holds those that still respond, including draining
// ones. For an unknown key Source returns the endpoint that the key would be
// placed at without regard to load, since other routers are likely to have placed
// it there.
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
	return firstByHash(key, target, endpoints)
}

// firstByHash returns the address of the first endpoint in rendezvous order for
// the key, leaving out the target.
func firstByHash(key, target string, endpoints []Endpoint) string {
	keyHash := hasher.Hash(key)
	address, bestWeight := "", -math.MaxFloat64
	for _, e := range endpoints {
		if e.ID == target {
			continue
		}
		if weight := float64(hasher.Weight(keyHash, hasher.Hash(e.ID))); weight > bestWeight {
			address, bestWeight = e.Address, weight
		}
	}
	return address
}
