package engineserver

import (
	"maps"
	"sync"

	"github.com/bergamotdale/bergamotdale/enginebatcher"
	"github.com/bergamotdale/bergamotdale/enginegenerator"
)

// maxKept is the number of ended requests whose generated tokens are kept.
const maxKept = 1024

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

// stats collects the counters and the lengths of ended streams.
type stats struct {
	mu       sync.Mutex
	counters Counters
	lengths  map[string]int
	ended    []string
}

func newStats() *stats {
	return &stats{
		counters: Counters{Starts: map[string]int{}, Resumes: map[string]int{}},
		lengths:  map[string]int{},
	}
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

// keep remembers the length of an ended stream, so that the engine can resume
// it without generating its tokens again.
func (s *stats) keep(id string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.lengths[id]; !ok {
		s.ended = append(s.ended, id)
	}
	s.lengths[id] = max(s.lengths[id], tokens)
	if len(s.ended) > maxKept {
		delete(s.lengths, s.ended[0])
		s.ended = s.ended[1:]
	}
}

// kept returns the number of tokens kept of an ended stream.
func (s *stats) kept(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lengths[id]
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
