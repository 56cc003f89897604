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
	// grantTime is how long a share of a workspace's quota can be spent.
	grantTime = 2 * time.Second
	// quotaBurst is the burst of a quota in seconds of its rate.
	quotaBurst = 10.0
)

// quotas are the workspaces' token rates, shared by the entry routers.
type quotas struct {
	rate     float64
	holders  map[string]*limiter.TokenBucket
	spenders map[spenderKey]*limiter.GrantPool
}

type spenderKey struct {
	router    int
	workspace string
}

func newQuotas(rate float64) *quotas {
	return &quotas{rate: rate, holders: map[string]*limiter.TokenBucket{}, spenders: map[spenderKey]*limiter.GrantPool{}}
}

// spend takes the tokens of a request at the router that it reaches, or returns
// when to come back.
func (s *simulation) spend(r *modeler.Request) (time.Duration, bool) {
	q := s.quotas
	if q == nil {
		return 0, true
	}
	workspace := r.Workspace
	holder, ok := q.holders[workspace]
	if !ok {
		holder = limiter.NewTokenBucket(s.Clock(), limiter.TokenBucketConfig{Rate: q.rate, Burst: q.rate * quotaBurst, TTL: grantTime})
		q.holders[workspace] = holder
	}
	router := int(hasher.Weight(hasher.Hash(r.ID), uint64(r.Attempts)) % uint64(s.Shape.Routers))
	key := spenderKey{router, workspace}
	p, ok := q.spenders[key]
	if !ok {
		p = limiter.NewGrantPool(s.Clock())
		q.spenders[key] = p
	}
	cost := scheduler.DefaultInputWeight*float64(r.Prompt) + float64(workloader.Works[r.Class].Output)
	p.AddDemand(cost)
	if p.Spend(s.Clock(), cost) {
		return 0, true
	}
	need := cost - p.Available(s.Clock())
	grant, wait := holder.Grant(s.Clock(), fmt.Sprint(router), p.Demand(s.Clock()), need)
	p.Add(s.Clock(), grant)
	return wait, p.Spend(s.Clock(), cost)
}
