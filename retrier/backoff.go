package retrier

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the wait before a retry: exponential with full jitter, so
// that clients that failed together do not retry together.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// DefaultBackoff suits retries at another endpoint, where a long wait gains
// nothing.
var DefaultBackoff = Backoff{Base: 20 * time.Millisecond, Max: time.Second}

// Delay returns the wait after the given number of attempts. The same seed
// gives the same delay.
func (b Backoff) Delay(attempt int, seed uint64) time.Duration {
	limit := b.Base
	for i := 1; i < attempt && limit < b.Max; i++ {
		limit *= 2
	}
	limit = min(limit, b.Max)
	if limit <= 0 {
		return 0
	}
	r := rand.New(rand.NewPCG(seed, uint64(attempt)))
	return time.Duration(r.Int64N(int64(limit) + 1))
}
