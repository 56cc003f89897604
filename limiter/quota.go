package limiter

import (
	"cmp"
	"slices"
	"time"
)

// Grant is a time-limited share of a workspace's tokens.
type Grant struct {
	// ID is unique per holder and rises.
	ID      uint64
	Tokens  float64
	Expires time.Time
}

// HolderConfig configures the quota of one workspace.
type HolderConfig struct {
	// Rate is the quota in tokens per second.
	Rate float64
	// Burst is the most that idle time saves up, in tokens. It has to cover the
	// largest request.
	Burst float64
	// TTL is how long a grant can be spent.
	TTL time.Duration
}

// Holder grants shares of one workspace's token rate to entry routers by
// demand. In any interval it grants at most rate × length + burst.
type Holder struct {
	config  HolderConfig
	tokens  float64
	updated time.Time
	grants  map[uint64]Grant
	demands map[string]demand
	next    uint64
}

// demand is what a router asked for last.
type demand struct {
	rate float64
	at   time.Time
}

// NewHolder returns a holder with an empty bucket, so that a new holder cannot
// grant again what its predecessor has granted.
func NewHolder(now time.Time, config HolderConfig) *Holder {
	return &Holder{config: config, updated: now, grants: map[uint64]Grant{}, demands: map[string]demand{}}
}

// Request grants a share to a router that wants the given token rate and needs
// the given number of tokens for the request at hand. The grant covers the need
// and, where the bucket allows it, the router's max-min fair part of the rate
// since its last request. A bucket with less than the need grants nothing: a part
// would expire unspent at the router while others wait. The duration tells when
// the bucket will hold the need.
func (h *Holder) Request(now time.Time, router string, rate, need float64) (Grant, time.Duration) {
	h.advance(now)
	period := h.config.TTL
	if d, ok := h.demands[router]; ok {
		// A router that asks more often gets smaller grants, not more tokens.
		period = min(now.Sub(d.at), period)
	}
	h.demands[router] = demand{rate: max(rate, 0), at: now}
	need = min(max(need, 0), h.config.Burst)
	if h.tokens < need {
		return Grant{}, h.refillTime(need - h.tokens)
	}
	share := h.fairRate(router) * period.Seconds()
	tokens := min(max(need, share), h.tokens)
	h.tokens -= tokens
	h.next++
	g := Grant{ID: h.next, Tokens: tokens, Expires: now.Add(h.config.TTL)}
	h.grants[g.ID] = g
	return g, 0
}

// refillTime is how long the bucket takes to gain the tokens.
func (h *Holder) refillTime(tokens float64) time.Duration {
	if h.config.Rate <= 0 {
		return maxRefillTime
	}
	seconds := min(tokens/h.config.Rate, maxRefillTime.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// maxRefillTime bounds the time to retry of a workspace with a tiny quota.
const maxRefillTime = time.Hour

// Return takes back the unspent part of a grant. A grant is returned at most
// once and only before it expires; the result is what was taken back.
func (h *Holder) Return(now time.Time, id uint64, unspent float64) float64 {
	h.advance(now)
	g, ok := h.grants[id]
	if !ok {
		return 0
	}
	delete(h.grants, id)
	back := min(max(unspent, 0), g.Tokens)
	h.tokens = min(h.tokens+back, h.config.Burst)
	return back
}

// advance fills the bucket and forgets what has expired.
func (h *Holder) advance(now time.Time) {
	elapsed := now.Sub(h.updated)
	if elapsed <= 0 {
		return
	}
	h.updated = now
	h.tokens = min(h.tokens+h.config.Rate*elapsed.Seconds(), h.config.Burst)
	for id, g := range h.grants {
		if !now.Before(g.Expires) {
			delete(h.grants, id)
		}
	}
	for router, d := range h.demands {
		if now.Sub(d.at) > 2*h.config.TTL {
			delete(h.demands, router)
		}
	}
}

// fairRate returns the max-min fair share of the rate for a router.
func (h *Holder) fairRate(router string) float64 {
	all := make([]string, 0, len(h.demands))
	for name := range h.demands {
		all = append(all, name)
	}
	slices.SortFunc(all, func(a, b string) int {
		if c := cmp.Compare(h.demands[a].rate, h.demands[b].rate); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	left := h.config.Rate
	for i, name := range all {
		share := min(h.demands[name].rate, left/float64(len(all)-i))
		if name == router {
			return share
		}
		left -= share
	}
	return 0
}

// Spender spends the grants of one workspace at an entry router.
type Spender struct {
	grants []Grant
	// wanted is the demand since measured, in tokens.
	wanted   float64
	measured time.Time
	rate     float64
}

// NewSpender returns a spender without tokens.
func NewSpender(now time.Time) *Spender {
	return &Spender{measured: now}
}

// Add adds a grant. An expired one adds nothing.
func (s *Spender) Add(now time.Time, g Grant) {
	if now.Before(g.Expires) && g.Tokens > 0 {
		s.grants = append(s.grants, g)
		slices.SortStableFunc(s.grants, func(a, b Grant) int { return a.Expires.Compare(b.Expires) })
	}
}

// Want counts the tokens of an arriving request as demand.
func (s *Spender) Want(tokens float64) {
	s.wanted += tokens
}

// Spend takes the tokens of a request, those that expire first before others,
// or none of them.
func (s *Spender) Spend(now time.Time, tokens float64) bool {
	if s.Available(now) < tokens {
		return false
	}
	for i := range s.grants {
		part := min(s.grants[i].Tokens, tokens)
		s.grants[i].Tokens -= part
		tokens -= part
	}
	s.grants = slices.DeleteFunc(s.grants, func(g Grant) bool { return g.Tokens <= 0 })
	return true
}

// Available returns the tokens that can be spent now.
func (s *Spender) Available(now time.Time) float64 {
	s.grants = slices.DeleteFunc(s.grants, func(g Grant) bool { return !now.Before(g.Expires) })
	sum := 0.0
	for _, g := range s.grants {
		sum += g.Tokens
	}
	return sum
}

// Demand returns the token rate to request, averaged over the calls.
func (s *Spender) Demand(now time.Time) float64 {
	elapsed := now.Sub(s.measured).Seconds()
	if elapsed <= 0 {
		return s.rate
	}
	s.rate += demandRate * (s.wanted/elapsed - s.rate)
	s.wanted = 0
	s.measured = now
	return s.rate
}

// demandRate is the weight of the last interval in the demand.
const demandRate = 0.5

// Unspent removes and returns grants that are not needed, for Holder.Return.
func (s *Spender) Unspent(now time.Time) []Grant {
	s.Available(now)
	left := s.grants
	s.grants = nil
	return left
}
