// Package placer decides where the requests of a chat go.
//
// Entry routers compute the order of a model group's endpoints for a chat with
// Group.Order. All routers that know the same candidates compute the same
// order, so a returning chat reaches the engine that caches its prefix. The
// owner of an endpoint checks Bound before it admits a request, and keeps
// Overrides for the chats that it had to send elsewhere.
package placer

import (
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale/hasher"
)

// DefaultSlowStart is how long a cold endpoint takes to reach its full share.
const DefaultSlowStart = 30 * time.Second

// minShare keeps a little traffic on cold and ejected endpoints; without it
// nothing would warm their caches or show that they have recovered.
const minShare = 1.0 / 64

// Candidate is an endpoint of a model group as one router sees it.
type Candidate struct {
	Name          string
	FailureDomain string
	// Draining endpoints take no new work.
	Draining bool
	// Weight is the share of its chats that the ejector leaves to the
	// endpoint, from 0 to 1.
	Weight float64
	// SlowStart is when the endpoint joined or returned; zero for a warm one.
	SlowStart time.Time
	// Load is the number of requests that run or wait there, valid if
	// LoadKnown is set.
	Load      int
	LoadKnown bool
}

// Group is an immutable, precomputed set of candidates. It is safe for
// concurrent use.
type Group struct {
	candidates []Candidate
	hashes     []uint64
	kinds      []kind
	active     int
	slowStart  time.Duration
}

// NewGroup prepares the candidates. A slowStart of zero means
// DefaultSlowStart.
func NewGroup(candidates []Candidate, slowStart time.Duration) *Group {
	if slowStart <= 0 {
		slowStart = DefaultSlowStart
	}
	g := &Group{candidates: slices.Clone(candidates), slowStart: slowStart}
	g.hashes = make([]uint64, len(candidates))
	g.kinds = make([]kind, len(candidates))
	for i, c := range candidates {
		g.hashes[i] = hasher.Hash(c.Name)
		if !c.Draining {
			g.active++
		}
		g.kinds[i] = c.kind()
	}
	return g
}

// kind tells what has to be looked at to rank a candidate. It is kept apart
// from the candidates, because a scan over these would miss the cache.
type kind uint8

const (
	plain kind = iota
	weakened
	draining
)

func (c Candidate) kind() kind {
	switch {
	case c.Draining:
		return draining
	case c.Weight < 1 || !c.SlowStart.IsZero():
		return weakened
	default:
		return plain
	}
}

// Len returns the number of candidates that are not draining.
func (g *Group) Len() int {
	return g.active
}

// Candidate returns the candidate at an index that Order returned.
func (g *Group) Candidate(i int) Candidate {
	return g.candidates[i]
}

// share returns the part of its chats that candidate i takes at the time.
func (g *Group) share(i int, now time.Time) float64 {
	c := &g.candidates[i]
	w := c.Weight
	if !c.SlowStart.IsZero() {
		if since := now.Sub(c.SlowStart); since < g.slowStart {
			w *= float64(max(since, 0)) / float64(g.slowStart)
		}
	}
	return min(max(w, minShare), 1)
}
