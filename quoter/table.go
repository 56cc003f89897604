package quoter

import (
	"fmt"
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/limiter"
)

const (
	// GrantTTL is how long a grant can be spent. It is longer than the time
	// until a client returns that was told to retry after one or two seconds.
	GrantTTL = 3 * time.Second
	// BurstTime is the time for which an idle workspace accumulates tokens.
	BurstTime = time.Second
	// MinBurst is the smallest burst in tokens. It lets a workspace with a low
	// rate send an ordinary chat at once.
	MinBurst = 2048
	// IdleTimeout is the idle time after which a workspace is removed from
	// memory.
	IdleTimeout = time.Minute

	// keyPrefix precedes the workspace in the key of the rendezvous hash.
	keyPrefix = "quota/"
	// tolerance absorbs rounding errors in sums of tokens.
	tolerance = 1e-6
)

// Burst returns the most tokens that a workspace with the rate accumulates.
func Burst(rate float64) float64 {
	return max(rate*BurstTime.Seconds(), MinBurst)
}

// Allocator is the holder side: it contains the token buckets of the workspaces
// that this router holds and grants tokens from them. It is not safe for
// concurrent use.
//
// A bucket starts empty, so that a router that takes over a workspace does not
// grant again what its predecessor has granted. If this router has been first in
// the rendezvous order for some time, no other router has granted tokens in that
// time, and a new bucket starts with the tokens accrued since.
type Allocator struct {
	self string
	// routers are the live routers. They have not changed since stableSince.
	routers     []string
	stableSince time.Time
	buckets     map[string]*bucket
}

// bucket is the token bucket of one workspace.
type bucket struct {
	holder *limiter.TokenBucket
	rate   float64
	// emptyAt is when the bucket was empty. granted is the number of tokens
	// granted since then.
	emptyAt  time.Time
	granted  float64
	lastUsed time.Time
}

// NewAllocator returns an allocator without workspaces for the router self.
func NewAllocator(now time.Time, self string) *Allocator {
	return &Allocator{self: self, stableSince: now, buckets: map[string]*bucket{}}
}

// SetRouters sets the live routers. Their order must not vary between calls.
func (a *Allocator) SetRouters(now time.Time, routers []string) {
	if !slices.Equal(routers, a.routers) {
		a.routers = slices.Clone(routers)
		a.stableSince = now
	}
}

// Grant processes the grant request of a router. The rate is the configured quota
// of the workspace.
func (a *Allocator) Grant(now time.Time, router string, g GrantRequest, rate float64) GrantResponse {
	b := a.bucket(now, g.Workspace, rate)
	b.lastUsed = now
	grant, wait := b.holder.Grant(now, router, g.Rate, g.Need)
	if wait > 0 && g.MinNeed < g.Need {
		// The bucket cannot serve all waiting requests but may serve some of them.
		available := min(g.Need, Burst(rate)) - wait.Seconds()*rate - tolerance
		grant, wait = b.holder.Grant(now, router, g.Rate, max(available, g.MinNeed))
	}
	b.granted += grant.Tokens
	b.assertWithinRate(now)
	if grant.Tokens <= 0 && g.Need > 0 {
		// The wait is zero if the missing tokens accrue in less than its resolution.
		// With a retry time of zero the entry router would retry immediately.
		return GrantResponse{Workspace: g.Workspace, RetryMS: max(milliseconds(wait), 1)}
	}
	return GrantResponse{Workspace: g.Workspace, Tokens: grant.Tokens, TTLMS: GrantTTL.Milliseconds()}
}

// bucket returns the bucket of a workspace. It creates a new one if there is
// none or if the rate has changed.
func (a *Allocator) bucket(now time.Time, workspace string, rate float64) *bucket {
	b := a.buckets[workspace]
	if b != nil && b.rate == rate {
		return b
	}
	emptyAt := now
	if b == nil && hasher.First(keyPrefix+workspace, a.routers) == a.self {
		emptyAt = a.stableSince
		if oldest := now.Add(-IdleTimeout); emptyAt.Before(oldest) {
			emptyAt = oldest
		}
	}
	b = &bucket{rate: rate, emptyAt: emptyAt, holder: limiter.NewTokenBucket(emptyAt,
		limiter.TokenBucketConfig{Rate: rate, Burst: Burst(rate), TTL: GrantTTL})}
	a.buckets[workspace] = b
	return b
}

// assertWithinRate panics if the bucket has granted more than the tokens accrued
// since it was empty. The bound in the package comment relies on this limit for
// each holder.
func (b *bucket) assertWithinRate(now time.Time) {
	limit := b.rate * now.Sub(b.emptyAt).Seconds()
	if b.granted > limit*(1+tolerance)+1 {
		panic(fmt.Sprintf("quoter: bucket granted %.1f tokens, but only %.1f had accrued", b.granted, limit))
	}
}

// Sweep removes the workspaces for which no grant was requested during
// IdleTimeout.
func (a *Allocator) Sweep(now time.Time) {
	for name, b := range a.buckets {
		if now.Sub(b.lastUsed) > IdleTimeout {
			delete(a.buckets, name)
		}
	}
}

// Len returns the number of workspaces in memory.
func (a *Allocator) Len() int { return len(a.buckets) }
