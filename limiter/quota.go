package limiter

import (
	"cmp"
	"slices"
	"time"
)

// Grant is an amount of a workspace's tokens that a router may spend until it
// expires.
type Grant struct {
	// ID is unique within a TokenBucket and increases with each grant.
	ID      uint64
	Tokens  float64
	Expires time.Time
}

// TokenBucketConfig configures the quota of one workspace.
type TokenBucketConfig struct {
	// Rate is the quota in tokens per second.
	Rate float64
	// Burst is the capacity of the bucket in tokens. It has to cover the largest
	// request.
	Burst float64
	// TTL is the time from a grant to its expiry.
	TTL time.Duration
}

// TokenBucket is the token bucket of one workspace's quota. It grants tokens to
// entry routers by their demand, in any interval at most rate × length + burst. It
// is not safe for concurrent use.
type TokenBucket struct {
	config     TokenBucketConfig
	tokens     float64
	lastRefill time.Time
	grants     map[uint64]Grant
	demands    map[string]demand
	lastID     uint64
}

// demand is the token rate in a router's last request, and the time of it.
type demand struct {
	rate float64
	at   time.Time
}

// NewTokenBucket returns an empty bucket, so that a router that takes over a quota
// from another one cannot grant again what the other one has granted.
func NewTokenBucket(now time.Time, config TokenBucketConfig) *TokenBucket {
	return &TokenBucket{config: config, lastRefill: now, grants: map[uint64]Grant{}, demands: map[string]demand{}}
}

// Grant grants tokens to a router whose demand is the given token rate and which
// needs the given number of tokens for its current request. The grant covers the
// need and, if the bucket allows it, the router's max-min fair share of the rate
// for the time since its last call, at most for the TTL. A bucket with less than
// the need grants nothing, because a partial grant would expire unspent at the
// router while others wait. The duration is then the time until the bucket holds
// the need.
func (b *TokenBucket) Grant(now time.Time, router string, rate, need float64) (Grant, time.Duration) {
	b.refill(now)
	period := b.config.TTL
	if d, ok := b.demands[router]; ok {
		// A router that calls more often gets smaller grants, not more tokens.
		period = min(now.Sub(d.at), period)
	}
	b.demands[router] = demand{rate: max(rate, 0), at: now}
	need = min(max(need, 0), b.config.Burst)
	if b.tokens < need {
		return Grant{}, b.refillTime(need - b.tokens)
	}
	share := b.fairRate(router) * period.Seconds()
	tokens := min(max(need, share), b.tokens)
	b.tokens -= tokens
	b.lastID++
	g := Grant{ID: b.lastID, Tokens: tokens, Expires: now.Add(b.config.TTL)}
	b.grants[g.ID] = g
	return g, 0
}

// refillTime returns the time in which the bucket gains the tokens.
func (b *TokenBucket) refillTime(tokens float64) time.Duration {
	if b.config.Rate <= 0 {
		return maxRefillTime
	}
	seconds := min(tokens/b.config.Rate, maxRefillTime.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// maxRefillTime bounds the retry delay of a workspace with a tiny quota.
const maxRefillTime = time.Hour

// Return puts the unspent tokens of a grant back into the bucket, at most once per
// grant and only before the grant expires. It returns the number of tokens
// taken back.
func (b *TokenBucket) Return(now time.Time, id uint64, unspent float64) float64 {
	b.refill(now)
	g, ok := b.grants[id]
	if !ok {
		return 0
	}
	delete(b.grants, id)
	back := min(max(unspent, 0), g.Tokens)
	b.tokens = min(b.tokens+back, b.config.Burst)
	return back
}

// refill adds the tokens since the last refill, and removes expired grants and the
// demands of routers that have stopped calling.
func (b *TokenBucket) refill(now time.Time) {
	elapsed := now.Sub(b.lastRefill)
	if elapsed <= 0 {
		return
	}
	b.lastRefill = now
	b.tokens = min(b.tokens+b.config.Rate*elapsed.Seconds(), b.config.Burst)
	for id, g := range b.grants {
		if !now.Before(g.Expires) {
			delete(b.grants, id)
		}
	}
	for router, d := range b.demands {
		if now.Sub(d.at) > 2*b.config.TTL {
			delete(b.demands, router)
		}
	}
}

// fairRate returns the router's max-min fair share of the rate.
func (b *TokenBucket) fairRate(router string) float64 {
	all := make([]string, 0, len(b.demands))
	for name := range b.demands {
		all = append(all, name)
	}
	slices.SortFunc(all, func(x, y string) int {
		if c := cmp.Compare(b.demands[x].rate, b.demands[y].rate); c != 0 {
			return c
		}
		return cmp.Compare(x, y)
	})
	left := b.config.Rate
	for i, name := range all {
		share := min(b.demands[name].rate, left/float64(len(all)-i))
		if name == router {
			return share
		}
		left -= share
	}
	return 0
}

// GrantPool holds and spends the grants of one workspace at an entry router. It is
// not safe for concurrent use.
type GrantPool struct {
	grants []Grant
	// pendingDemand is the demand since lastMeasured, in tokens.
	pendingDemand float64
	lastMeasured  time.Time
	// demand is the moving average of the demand in tokens per second.
	demand float64
}

// NewGrantPool returns a pool without grants.
func NewGrantPool(now time.Time) *GrantPool {
	return &GrantPool{lastMeasured: now}
}

// Add adds a grant, unless it has expired or is empty.
func (p *GrantPool) Add(now time.Time, g Grant) {
	if now.Before(g.Expires) && g.Tokens > 0 {
		p.grants = append(p.grants, g)
		slices.SortStableFunc(p.grants, func(a, b Grant) int { return a.Expires.Compare(b.Expires) })
	}
}

// AddDemand adds the tokens of an arriving request to the demand.
func (p *GrantPool) AddDemand(tokens float64) {
	p.pendingDemand += tokens
}

// Spend takes the tokens of a request from the pool, those that expire first
// before others. If the pool holds fewer tokens, it takes none and returns false.
func (p *GrantPool) Spend(now time.Time, tokens float64) bool {
	if p.Available(now) < tokens {
		return false
	}
	for i := range p.grants {
		part := min(p.grants[i].Tokens, tokens)
		p.grants[i].Tokens -= part
		tokens -= part
	}
	p.grants = slices.DeleteFunc(p.grants, func(g Grant) bool { return g.Tokens <= 0 })
	return true
}

// Available removes expired grants and returns the number of tokens left.
func (p *GrantPool) Available(now time.Time) float64 {
	p.grants = slices.DeleteFunc(p.grants, func(g Grant) bool { return !now.Before(g.Expires) })
	sum := 0.0
	for _, g := range p.grants {
		sum += g.Tokens
	}
	return sum
}

// Demand returns the token rate to request: a moving average over the intervals
// between calls.
func (p *GrantPool) Demand(now time.Time) float64 {
	elapsed := now.Sub(p.lastMeasured).Seconds()
	if elapsed <= 0 {
		return p.demand
	}
	p.demand += demandWeight * (p.pendingDemand/elapsed - p.demand)
	p.pendingDemand = 0
	p.lastMeasured = now
	return p.demand
}

// demandWeight is the weight of the last interval in the moving average.
const demandWeight = 0.5

// TakeUnspent removes all grants that have not expired and returns them, to be
// given back with TokenBucket.Return.
func (p *GrantPool) TakeUnspent(now time.Time) []Grant {
	p.Available(now)
	left := p.grants
	p.grants = nil
	return left
}
