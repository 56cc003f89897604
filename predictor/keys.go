package predictor

import "time"

const (
	// keyEntries is the number of keys of which Keys knows when they were requested:
	// 32 KB of memory. A router places 10 to 15 requests a second.
	keyEntries = 1024
	// popularPeriod is the time within which a key has to be requested twice from the
	// same router to be popular. A hot key typically lasts for 5 s.
	popularPeriod = 5 * time.Second
)

// Keys tells popular keys from others. Requests with a popular key can be spread to
// several endpoints at little cost, since each of them gets the key again soon. The
// zero value is ready.
type Keys struct {
	entries [keyEntries]keyEntry
}

// keyEntry is the latest request of a key, by hash. Another key may replace it.
type keyEntry struct {
	hash, request uint64
	at            time.Duration
	popular       bool
}

// Record records a request with a key, given the hashes of both and the time since an
// arbitrary start, and returns whether the key is popular. A request may be placed
// several times and counts once.
func (k *Keys) Record(now time.Duration, hash, request uint64) bool {
	e := &k.entries[hash%keyEntries]
	if e.hash != hash || e.at == 0 || now-e.at >= popularPeriod {
		*e = keyEntry{hash, request, max(1, now), false}
	} else if e.request != request {
		*e = keyEntry{hash, request, now, true}
	}
	return e.popular
}
