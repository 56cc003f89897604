package quarantiner

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// fingerprintBytes is the length of a fingerprint before hex encoding. At 16 bytes
// a chance collision is implausible at the target request rate.
const fingerprintBytes = 16

// Fingerprint identifies a request by its content. Repetitions of a request have
// the same fingerprint.
type Fingerprint string

// FingerprintOf returns the hash of workspace, model and body. The hash is
// cryptographic, so that a client cannot construct a request that gets another
// client's request refused.
func FingerprintOf(workspace, model string, body ...[]byte) Fingerprint {
	h := sha256.New()
	h.Write(fmt.Appendf(nil, "%d:%s%d:%s", len(workspace), workspace, len(model), model))
	for _, part := range body {
		h.Write(part)
	}
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

// CrashCount is the number of crashes of a fingerprint that one router has seen.
// Routers exchange their counts by gossip. Merging counts is commutative,
// associative and idempotent, so that all routers converge on the same result.
type CrashCount struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Router is the ID of the router that counted the crashes.
	Router string `json:"router"`
	// Since is the time of the first crash in Unix milliseconds. A count that
	// restarts after it has expired has a later time and replaces the old one.
	Since int64 `json:"since"`
	// Last is the time of the last crash in Unix milliseconds.
	Last int64 `json:"last"`
	// Crashes is the number of crashes since Since; it never decreases. Cleared is
	// how many of them no longer count, because the request got a complete response
	// afterwards.
	Crashes int `json:"crashes"`
	Cleared int `json:"cleared,omitempty"`
}

// mergeCounts returns the count with the later Since or, if both are the same, the
// maximum of each field.
func mergeCounts(a, b CrashCount) CrashCount {
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

// uncleared returns the number of crashes that still count.
func (c CrashCount) uncleared() int {
	return max(c.Crashes-c.Cleared, 0)
}

// record holds the counts of a fingerprint by router.
type record map[string]CrashCount

// unclearedCrashes returns the sum of the uncleared crashes of all routers.
func (r record) unclearedCrashes() int {
	n := 0
	for _, c := range r {
		n += c.uncleared()
	}
	return n
}

// lastUncleared returns the time of the last crash of the counts that have
// uncleared crashes, in Unix milliseconds.
func (r record) lastUncleared() int64 {
	lastUncleared := int64(0)
	for _, c := range r {
		if c.uncleared() > 0 {
			lastUncleared = max(lastUncleared, c.Last)
		}
	}
	return lastUncleared
}

// lastCrash returns the time of the last crash of all counts, in Unix
// milliseconds.
func (r record) lastCrash() int64 {
	lastCrash := int64(0)
	for _, c := range r {
		lastCrash = max(lastCrash, c.Last)
	}
	return lastCrash
}

func unixMillis(t time.Time) int64 {
	return t.UnixMilli()
}
