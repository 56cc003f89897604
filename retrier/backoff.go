package retrier

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the delay before a retry. It is exponential with full jitter,
// so that requests that failed at the same time do not retry at the same time.
type Backoff struct {
	// Base is the upper limit of the first delay. It doubles with each attempt.
	Base time.Duration
	// Max is the upper limit of all delays.
	Max time.Duration
}

// DefaultBackoff suits retries at another endpoint, where a long delay has no
// benefit.
var DefaultBackoff = Backoff{Base: 20 * time.Millisecond, Max: time.Second}

// Delay returns the delay after the given number of attempts. It is the same for
// the same seed.
func (b Backoff) Delay(attempt int, seed uint64) time.Duration {
	limit := b.Base
	for i := 1; i < attempt && limit < b.Max; i++ {
		limit *= 2
	}
	limit = min(limit, b.Max)
	if limit <= 0 {
		return 0
	}
	random := rand.New(rand.NewPCG(seed, uint64(attempt)))
	return time.Duration(random.Int64N(int64(limit) + 1))
}
