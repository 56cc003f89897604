// Package placer decides which endpoint of a model group serves a request of a
// chat. It combines rendezvous hashing with bounded loads.
//
// The entry router, which receives the request from the client, ranks the
// endpoints for the chat with Group.Order. All routers that know the same
// candidates compute the same order, so a returning chat reaches the engine that
// has its prefix cached. The owner of an endpoint, the router that admits
// requests to it, checks LoadBound before each admission. For chats that it had
// to send elsewhere it keeps Overrides, which lead them to the endpoint that
// served them last.
package placer

import (
	"slices"
	"time"

	"github.com/bergamotdale/bergamotdale/hasher"
)

// DefaultSlowStart is the time in which the share of a cold endpoint grows from
// minShare to its full value.
const DefaultSlowStart = 30 * time.Second

// minShare is the smallest share of its chats that an endpoint keeps. Without
// this traffic to cold and ejected endpoints, nothing would fill their caches or
// show that they have recovered.
const minShare = 1.0 / 64

// Candidate is an endpoint of a model group as one router sees it.
type Candidate struct {
	Name          string
	FailureDomain string
	// Draining is set for an endpoint that takes no new work.
	Draining bool
	// Weight is the share of its chats that outlier ejection leaves to the
	// endpoint, from 0 to 1.
	Weight float64
	// SlowStart is when the endpoint joined or returned; zero for an endpoint
	// that is already warm.
	SlowStart time.Time
	// Load is the number of running or waiting requests; valid if LoadKnown is
	// set.
	Load      int
	LoadKnown bool
}

// Group is an immutable set of candidates with precomputed hashes. It is safe for
// concurrent use.
type Group struct {
	candidates  []Candidate
	hashes      []uint64
	states      []shareState
	activeCount int
	slowStart   time.Duration
}

// NewGroup returns the group of the candidates. A slowStart of zero or less
// means DefaultSlowStart.
func NewGroup(candidates []Candidate, slowStart time.Duration) *Group {
	if slowStart <= 0 {
		slowStart = DefaultSlowStart
	}
	g := &Group{candidates: slices.Clone(candidates), slowStart: slowStart}
	g.hashes = make([]uint64, len(candidates))
	g.states = make([]shareState, len(candidates))
	for i, c := range candidates {
		g.hashes[i] = hasher.Hash(c.Name)
		if !c.Draining {
			g.activeCount++
		}
		g.states[i] = c.shareState()
	}
	return g
}

// shareState tells which share of its chats a candidate takes. States are kept
// in a slice of their own, because a scan over the larger candidates would cause
// CPU cache misses.
type shareState uint8

const (
	fullShare shareState = iota
	reducedShare
	draining
)

func (c Candidate) shareState() shareState {
	switch {
	case c.Draining:
		return draining
	case c.Weight < 1 || !c.SlowStart.IsZero():
		return reducedShare
	default:
		return fullShare
	}
}

// Len returns the number of candidates that are not draining.
func (g *Group) Len() int {
	return g.activeCount
}

// Candidate returns the candidate at an index that Order returned.
func (g *Group) Candidate(i int) Candidate {
	return g.candidates[i]
}

// shareOf returns the share of its chats that candidate i takes at the given
// time.
func (g *Group) shareOf(i int, now time.Time) float64 {
	c := &g.candidates[i]
	w := c.Weight
	if !c.SlowStart.IsZero() {
		if since := now.Sub(c.SlowStart); since < g.slowStart {
			w *= float64(max(since, 0)) / float64(g.slowStart)
		}
	}
	return min(max(w, minShare), 1)
}
