package engineserver

import (
	"maps"
	"sync"

	"github.com/bergamotdale/bergamotdale/enginebatcher"
	"github.com/bergamotdale/bergamotdale/enginegenerator"
)

// Counters holds the counters of an engine since its start, and its current load.
type Counters struct {
	// Starts maps each request id to the number of times that the request got a
	// slot. Resumes counts those of them that resumed a stream.
	Starts  map[string]int `json:"starts"`
	Resumes map[string]int `json:"resumes"`
	Running int            `json:"running"`
	Queued  int            `json:"queued"`
	// MaxRunning is the highest number of requests that ran at the same time.
	// MaxInFlight is the highest number of running and queued requests together.
	MaxRunning   int   `json:"max-running"`
	MaxInFlight  int   `json:"max-in-flight"`
	Refused      int   `json:"refused"`
	Commands     int   `json:"commands"`
	PromptTokens int64 `json:"prompt-tokens"`
	CachedTokens int64 `json:"cached-tokens"`
	Generated    int64 `json:"generated-tokens"`
}

// stats updates the counters. Its methods may be called concurrently.
type stats struct {
	mu       sync.Mutex
	counters Counters
}

func newStats() *stats {
	return &stats{counters: Counters{Starts: map[string]int{}, Resumes: map[string]int{}}}
}

func (s *stats) countStart(r *enginegenerator.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Starts[r.ID]++
	if r.ResumeFrom > 0 {
		s.counters.Resumes[r.ID]++
	}
}

func (s *stats) countRefusal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Refused++
}

func (s *stats) countCommand() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Commands++
}

func (s *stats) countPrompt(tokens, cached int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.PromptTokens += int64(tokens)
	s.counters.CachedTokens += int64(cached)
}

func (s *stats) countGenerated(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Generated += int64(tokens)
}

// snapshot returns a copy of the counters with the current load of the batcher.
func (s *stats) snapshot(batcher *enginebatcher.Batcher) Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.Starts, c.Resumes = maps.Clone(c.Starts), maps.Clone(c.Resumes)
	c.Running, c.Queued = batcher.Counts()
	c.MaxRunning, c.MaxInFlight = batcher.PeakCounts()
	return c
}
