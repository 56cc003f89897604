package engineserver

import (
	"maps"
	"sync"

	"github.com/bergamotdale/bergamotdale/enginebatcher"
	"github.com/bergamotdale/bergamotdale/enginegenerator"
)

// Counters tells what an engine has executed.
type Counters struct {
	// Starts counts per request id how often it got a slot, and Resumes how
	// many of these starts continued a stream.
	Starts  map[string]int `json:"starts"`
	Resumes map[string]int `json:"resumes"`
	Running int            `json:"running"`
	Queued  int            `json:"queued"`
	// MaxRunning is the highest number of slots in use, MaxInFlight that of
	// running and queued requests together.
	MaxRunning   int   `json:"max-running"`
	MaxInFlight  int   `json:"max-in-flight"`
	Refused      int   `json:"refused"`
	Commands     int   `json:"commands"`
	PromptTokens int64 `json:"prompt-tokens"`
	CachedTokens int64 `json:"cached-tokens"`
	Generated    int64 `json:"generated-tokens"`
}

// stats collects the counters.
type stats struct {
	mu       sync.Mutex
	counters Counters
}

func newStats() *stats {
	return &stats{counters: Counters{Starts: map[string]int{}, Resumes: map[string]int{}}}
}

func (s *stats) start(r *enginegenerator.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Starts[r.ID]++
	if r.ResumeFrom > 0 {
		s.counters.Resumes[r.ID]++
	}
}

func (s *stats) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Refused++
}

func (s *stats) command() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Commands++
}

func (s *stats) prompt(tokens, cached int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.PromptTokens += int64(tokens)
	s.counters.CachedTokens += int64(cached)
}

func (s *stats) generate(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Generated += int64(tokens)
}

func (s *stats) snapshot(b *enginebatcher.Batcher) Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counters
	c.Starts, c.Resumes = maps.Clone(c.Starts), maps.Clone(c.Resumes)
	c.Running, c.Queued = b.Size()
	c.MaxRunning, c.MaxInFlight = b.Peak()
	return c
}
