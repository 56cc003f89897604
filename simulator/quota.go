package simulator

import (
	"fmt"
	"time"

	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/limiter"
	"github.com/bergamotdale/bergamotdale/modeler"
	"github.com/bergamotdale/bergamotdale/scheduler"
	"github.com/bergamotdale/bergamotdale/workloader"
)

const (
	// grantTTL is the time within which a router can spend the tokens of a
	// workspace's quota that were granted to it.
	grantTTL = 2 * time.Second
	// quotaBurstSeconds is the burst of a quota in seconds of its rate.
	quotaBurstSeconds = 10.0
)

// quotas holds the token buckets of the workspaces, from which the entry routers
// obtain grants, and the pools of granted tokens at each router.
type quotas struct {
	rate       float64
	buckets    map[string]*limiter.TokenBucket
	grantPools map[grantPoolKey]*limiter.GrantPool
}

// grantPoolKey identifies the pool of a workspace at a router.
type grantPoolKey struct {
	router    int
	workspace string
}

func newQuotas(rate float64) *quotas {
	return &quotas{rate: rate, buckets: map[string]*limiter.TokenBucket{}, grantPools: map[grantPoolKey]*limiter.GrantPool{}}
}

// spendQuota charges a request to the quota of its workspace at the entry router
// that it reaches. It returns false and the time after which to retry if the
// quota does not allow the request.
func (s *simulation) spendQuota(r *modeler.Request) (time.Duration, bool) {
	q := s.quotas
	if q == nil {
		return 0, true
	}
	workspace := r.Workspace
	bucket, ok := q.buckets[workspace]
	if !ok {
		bucket = limiter.NewTokenBucket(s.Clock(), limiter.TokenBucketConfig{Rate: q.rate, Burst: q.rate * quotaBurstSeconds, TTL: grantTTL})
		q.buckets[workspace] = bucket
	}
	router := int(hasher.Weight(hasher.Hash(r.ID), uint64(r.Attempts)) % uint64(s.Shape.Routers))
	key := grantPoolKey{router, workspace}
	p, ok := q.grantPools[key]
	if !ok {
		p = limiter.NewGrantPool(s.Clock())
		q.grantPools[key] = p
	}
	cost := scheduler.DefaultInputWeight*float64(r.Prompt) + float64(workloader.RequestSizes[r.Class].Output)
	p.AddDemand(cost)
	if p.Spend(s.Clock(), cost) {
		return 0, true
	}
	need := cost - p.Available(s.Clock())
	grant, wait := bucket.Grant(s.Clock(), fmt.Sprint(router), p.Demand(s.Clock()), need)
	p.Add(s.Clock(), grant)
	return wait, p.Spend(s.Clock(), cost)
}
