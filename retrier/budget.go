package retrier

import (
	"sync"
	"time"

	"github.com/bergamotdale/bergamotdale/throttler"
)

const (
	// BudgetCapacity is the number of retries that a router can do at once.
	BudgetCapacity = 10
	// BudgetPerRequest is what each first attempt adds. Over a long period the
	// retries stay below this part of the requests.
	BudgetPerRequest = 0.1
	// SpentRetryAfter is when a client may come back after the budget was
	// spent.
	SpentRetryAfter = time.Second
)

// Budget is the retry budget of a router. Its methods may be called
// concurrently.
type Budget struct {
	perRequest float64
	lock       sync.Mutex
	bucket     throttler.Bucket
}

// NewBudget returns a full budget of the default size.
func NewBudget() *Budget {
	return NewBudgetOf(BudgetCapacity, BudgetPerRequest)
}

// NewBudgetOf returns a full budget that holds at most capacity retries and
// gains perRequest with each first attempt.
func NewBudgetOf(capacity, perRequest float64) *Budget {
	return &Budget{perRequest: perRequest, bucket: throttler.New(capacity, 0, capacity, time.Time{})}
}

// SetCapacity changes how many retries the budget holds.
func (b *Budget) SetCapacity(capacity float64) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.bucket.SetRate(time.Time{}, capacity, 0)
}

// First records the first attempt of a request.
func (b *Budget) First() {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.bucket.Add(b.perRequest)
}

// Take removes the token of one retry if there is one.
func (b *Budget) Take() bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.bucket.Take(1)
}

// Level returns the retries that the budget allows now.
func (b *Budget) Level() float64 {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.bucket.Level()
}
