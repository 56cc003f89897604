package benchmarker

import (
	"fmt"
	"time"

	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/limiter"
	"github.com/bergamotdale/bergamotdale/scheduler"
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
	holders  map[string]*limiter.Holder
	spenders map[spenderKey]*limiter.Spender
}

type spenderKey struct {
	router    int
	workspace string
}

func newQuotas(rate float64) *quotas {
	return &quotas{rate: rate, holders: map[string]*limiter.Holder{}, spenders: map[spenderKey]*limiter.Spender{}}
}

// tokenRate is the demand in charged tokens per second that the parts of the
// classes cause at the given load.
func (s Shape) tokenRate(parts [classCount]float64, load float64) float64 {
	sum, rate := 0.0, 0.0
	for class, part := range parts {
		sum += part
		w := works[class]
		// Half of a chat's history is there on average.
		prompt := float64(w.context+w.input) + (s.Turns-1)/2*float64(w.input+w.output)
		rate += part * s.capacity() / s.slotTime(class) * (scheduler.DefaultInputWeight*prompt + float64(w.output))
	}
	return load * rate / sum
}

// spend takes the tokens of a request at the router that it reaches, or returns
// when to come back.
func (s *simulation) spend(r *request) (time.Duration, bool) {
	q := s.quotas
	if q == nil {
		return 0, true
	}
	workspace := r.chat.workspace
	holder, ok := q.holders[workspace]
	if !ok {
		holder = limiter.NewHolder(s.clock(), limiter.HolderConfig{Rate: q.rate, Burst: q.rate * quotaBurst, TTL: grantTime})
		q.holders[workspace] = holder
	}
	router := int(hasher.Weight(hasher.Hash(r.id), uint64(r.attempts)) % uint64(s.shape.Routers))
	key := spenderKey{router, workspace}
	p, ok := q.spenders[key]
	if !ok {
		p = limiter.NewSpender(s.clock())
		q.spenders[key] = p
	}
	cost := scheduler.DefaultInputWeight*float64(r.prompt) + float64(works[r.chat.class].output)
	p.Want(cost)
	if p.Spend(s.clock(), cost) {
		return 0, true
	}
	need := cost - p.Available(s.clock())
	grant, wait := holder.Request(s.clock(), fmt.Sprint(router), p.Demand(s.clock()), need)
	p.Add(s.clock(), grant)
	return wait, p.Spend(s.clock(), cost)
}
