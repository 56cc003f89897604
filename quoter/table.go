package quoter

import (
	"fmt"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/limiter"
)

const (
	// GrantTTL is how long a grant can be spent. It is longer than a client
	// that was told to come back after a second or two needs.
	GrantTTL = 3 * time.Second
	// BurstTime is how much of its rate an idle workspace saves up.
	BurstTime = time.Second
	// MinBurst lets a workspace with a low rate send an ordinary chat at once.
	MinBurst = 2048
	// ForgetAfter is the idle time after which a workspace is forgotten.
	ForgetAfter = time.Minute

	// keyPrefix starts the keys of the rendezvous order.
	keyPrefix = "quota/"
	// tolerance covers the rounding of sums of tokens.
	tolerance = 1e-6
)

// Burst returns the most tokens that a workspace with the rate saves up.
func Burst(rate float64) float64 {
	return max(rate*BurstTime.Seconds(), MinBurst)
}

// Table is the holder side: the buckets of the workspaces that this router
// holds. It is not safe for concurrent use.
//
// A bucket starts empty, so that a router that takes over grants nothing that
// its predecessor may have granted. Only where this router has been the first
// in order for some time, and therefore knows that it has granted nothing, does
// the bucket hold what has accrued in that time.
type Table struct {
	self string
	// routers is the live membership, unchanged since stable.
	routers []string
	stable  time.Time
	buckets map[string]*bucket
}

// bucket is the quota of one workspace.
type bucket struct {
	holder *limiter.TokenBucket
	rate   float64
	// start is when the bucket was empty, and granted what it has granted since.
	start   time.Time
	granted float64
	used    time.Time
}

// NewTable returns the empty table of a router.
func NewTable(now time.Time, self string) *Table {
	return &Table{self: self, stable: now, buckets: map[string]*bucket{}}
}

// SetRouters tells the live routers, in a fixed order.
func (t *Table) SetRouters(now time.Time, routers []string) {
	if !slices.Equal(routers, t.routers) {
		t.routers = slices.Clone(routers)
		t.stable = now
	}
}

// Grant responds to the ask of a router. The rate is that of the configuration.
func (t *Table) Grant(now time.Time, router string, a Ask, rate float64) Reply {
	b := t.bucket(now, a.Workspace, rate)
	b.used = now
	grant, wait := b.holder.Grant(now, router, a.Rate, a.Need)
	if wait > 0 && a.Least < a.Need {
		// The bucket lacks the sum but may serve some of the waiting requests.
		held := min(a.Need, Burst(rate)) - wait.Seconds()*rate - tolerance
		grant, wait = b.holder.Grant(now, router, a.Rate, max(held, a.Least))
	}
	b.granted += grant.Tokens
	b.check(now)
	if grant.Tokens <= 0 && a.Need > 0 {
		// A lack below the resolution of the wait has a wait of zero, with which
		// the entry router would ask again at once.
		return Reply{Workspace: a.Workspace, RetryMS: max(milliseconds(wait), 1)}
	}
	return Reply{Workspace: a.Workspace, Tokens: grant.Tokens, TTLMS: GrantTTL.Milliseconds()}
}

// bucket returns the bucket of a workspace. A changed rate starts a new one.
func (t *Table) bucket(now time.Time, workspace string, rate float64) *bucket {
	b := t.buckets[workspace]
	if b != nil && b.rate == rate {
		return b
	}
	start := now
	if b == nil && hasher.First(keyPrefix+workspace, t.routers) == t.self {
		start = t.stable
		if oldest := now.Add(-ForgetAfter); start.Before(oldest) {
			start = oldest
		}
	}
	b = &bucket{rate: rate, start: start, holder: limiter.NewTokenBucket(start,
		limiter.TokenBucketConfig{Rate: rate, Burst: Burst(rate), TTL: GrantTTL})}
	t.buckets[workspace] = b
	return b
}

// check asserts that the bucket has granted no more than its rate since it was
// empty. Each holder adds at most this to what a workspace is admitted.
func (b *bucket) check(now time.Time) {
	limit := b.rate * now.Sub(b.start).Seconds()
	if b.granted > limit*(1+tolerance)+1 {
		panic(fmt.Sprintf("quoter: granted %.1f tokens of at most %.1f", b.granted, limit))
	}
}

// Sweep forgets the workspaces that nobody has asked for.
func (t *Table) Sweep(now time.Time) {
	for name, b := range t.buckets {
		if now.Sub(b.used) > ForgetAfter {
			delete(t.buckets, name)
		}
	}
}

// Len returns the number of workspaces in memory.
func (t *Table) Len() int { return len(t.buckets) }
