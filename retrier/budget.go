package retrier

import (
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale/throttler"
)

const (
	// BudgetCapacity is the number of retries that a full budget allows at once.
	BudgetCapacity = 10
	// BudgetPerRequest is the number of retries that each first attempt adds. Over
	// a long period it is the highest ratio of retries to requests.
	BudgetPerRequest = 0.1
	// ExhaustedRetryAfter is how long a client waits before it sends a request
	// again that was refused because the retry budget was exhausted.
	ExhaustedRetryAfter = time.Second
)

// Budget is a retry budget: a token bucket that first attempts fill and retries
// drain. Its methods may be called concurrently.
type Budget struct {
	perRequest float64
	lock       sync.Mutex
	bucket     throttler.Bucket
}

// NewBudget returns a full budget of the default size.
func NewBudget() *Budget {
	return NewBudgetSize(BudgetCapacity, BudgetPerRequest)
}

// NewBudgetSize returns a full budget that holds at most capacity retries and
// gains perRequest with each first attempt.
func NewBudgetSize(capacity, perRequest float64) *Budget {
	return &Budget{perRequest: perRequest, bucket: throttler.New(capacity, 0, capacity, time.Time{})}
}

// SetCapacity changes the number of retries that the budget holds at most.
func (b *Budget) SetCapacity(capacity float64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.bucket.SetRate(time.Time{}, capacity, 0)
}

// AddRequest records the first attempt of a request, which adds to the budget.
func (b *Budget) AddRequest() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.bucket.Add(b.perRequest)
}

// Take removes one retry from the budget and reports whether there was one.
func (b *Budget) Take() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.bucket.Take(1)
}

// Level returns the number of retries that the budget allows now.
func (b *Budget) Level() float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.bucket.Level()
}
