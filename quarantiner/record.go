package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// fingerprintBytes makes a chance match implausible at the target rate.
const fingerprintBytes = 16

// Fingerprint identifies requests that are the same work.
type Fingerprint string

// FingerprintOf returns the hash of workspace, model and body. It is
// cryptographic, so that a client cannot get another client's request refused.
func FingerprintOf(workspace, model string, body []byte) Fingerprint {
	h := sha256.New()
	h.Write(fmt.Appendf(nil, "%d:%s%d:%s", len(workspace), workspace, len(model), model))
	h.Write(body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// Count is what one router knows about the crashes of a fingerprint. Counts
// travel by gossip. Merging them is commutative, associative and idempotent.
type Count struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Router is the router that counted.
	Router string `json:"router"`
	// Since is the time of the first crash in milliseconds since 1970. A count
	// that starts again after it expired has a later one.
	Since int64 `json:"since"`
	// Last is the time of the last crash.
	Last int64 `json:"last"`
	// Crashes only rises. Cleared is the value of Crashes up to which a
	// complete response has shown the request to be harmless.
	Crashes int `json:"crashes"`
	Cleared int `json:"cleared,omitempty"`
}

// join returns the least count that is not older than either.
func join(a, b Count) Count {
	if a.Since != b.Since {
		if a.Since > b.Since {
			return a
		}
		return b
	}
	a.Last = max(a.Last, b.Last)
	a.Crashes = max(a.Crashes, b.Crashes)
	a.Cleared = max(a.Cleared, b.Cleared)
	return a
}

func (c Count) open() int {
	return max(c.Crashes-c.Cleared, 0)
}

// record holds the counts of a fingerprint by router.
type record map[string]Count

func (r record) crashes() int {
	n := 0
	for _, c := range r {
		n += c.open()
	}
	return n
}

// last returns the time of the last crash that has not been cleared.
func (r record) last() int64 {
	last := int64(0)
	for _, c := range r {
		if c.open() > 0 {
			last = max(last, c.Last)
		}
	}
	return last
}

// newest returns the time of the last change of any count.
func (r record) newest() int64 {
	newest := int64(0)
	for _, c := range r {
		newest = max(newest, c.Last)
	}
	return newest
}

func milliseconds(t time.Time) int64 {
	return t.UnixMilli()
}
