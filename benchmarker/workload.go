package benchmarker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Flood is additional demand of one class for a time.
type Flood struct {
	Class int
	// Load is the demand as a multiple of the capacity of the group.
	Load     float64
	From, To time.Duration
}

// chat is a sequence of requests whose prompts extend each other.
type chat struct {
	name      string
	workspace string
	class     int
	rng       *rand.Rand
	turns     int
	turn      int
	// context is the length of the prompt that the next turn extends.
	context int
}

// request is one turn of a chat.
type request struct {
	id   string
	chat *chat
	// prefix is the part of the prompt that an earlier turn has computed.
	prefix int
	prompt int
	output int
	// arrived is the time of the first attempt.
	arrived  time.Duration
	attempts int

	// The remaining fields describe the current or last run.
	started    bool
	run        int
	cached     int
	missing    int
	generated  int
	firstToken time.Duration
}

// stream is an open-loop source of new chats.
type stream struct {
	name       string
	class      int
	rate       float64
	turns      float64
	workspaces []string
	// weights are cumulative demands of the workspaces.
	weights  []float64
	from, to time.Duration
}

// exponential draws a length with the given mean and a floor of a tenth of it.
// Both ends are cut so that no single request decides a percentile.
func exponential(rng *rand.Rand, mean int) int {
	return int(min(max(rng.ExpFloat64(), 0.1), 4) * float64(mean))
}

// zipf returns n workspaces with cumulative demands that fall as 1/rank.
func zipf(prefix string, n int) ([]string, []float64) {
	names := make([]string, n)
	weights := make([]float64, n)
	sum := 0.0
	for i := range n {
		names[i] = fmt.Sprintf("%s-%03d", prefix, i+1)
		sum += 1 / float64(i+1)
		weights[i] = sum
	}
	return names, weights
}

// even returns n workspaces with equal demands.
func even(prefix string, n int) ([]string, []float64) {
	names, weights := zipf(prefix, n)
	for i := range weights {
		weights[i] = float64(i + 1)
	}
	return names, weights
}

// feed starts the chats of a stream. Each stream draws from its own source, so
// that its arrivals are the same whatever else runs and is decided.
func (s *simulation) feed(f stream) {
	rng := rand.New(rand.NewPCG(s.seed, hashName(f.name)))
	n := 0
	var next func()
	next = func() {
		if s.now >= f.to {
			return
		}
		n++
		at := rng.Float64() * f.weights[len(f.weights)-1]
		pick := 0
		for f.weights[pick] < at {
			pick++
		}
		c := &chat{
			name:      fmt.Sprintf("%s/%d", f.name, n),
			workspace: f.workspaces[pick],
			class:     f.class,
			rng:       rand.New(rand.NewPCG(s.seed^uint64(n), hashName(f.name)+1)),
		}
		c.turns = 1
		if f.turns > 1 {
			c.turns += int(c.rng.ExpFloat64()*(f.turns-1) + 0.5)
		}
		c.context = exponential(c.rng, works[c.class].context)
		s.turn(c)
		s.after(time.Duration(rng.ExpFloat64()/f.rate*float64(time.Second)), next)
	}
	s.after(f.from+time.Duration(rng.ExpFloat64()/f.rate*float64(time.Second)), next)
}

// turn sends the next request of a chat.
func (s *simulation) turn(c *chat) {
	c.turn++
	r := &request{
		id:      fmt.Sprintf("%s#%d", c.name, c.turn),
		chat:    c,
		prompt:  c.context + exponential(c.rng, works[c.class].input),
		output:  max(exponential(c.rng, works[c.class].output), 1),
		arrived: s.now,
	}
	if c.turn > 1 {
		r.prefix = c.context
	}
	c.context = r.prompt + r.output
	s.demand(r)
	s.submit(r)
}

// resume schedules the turn after a finished or lost one. A third of the
// pauses is long, so that some chats return after the others have gone.
func (s *simulation) resume(c *chat) {
	if c.turn >= c.turns || s.now >= s.To {
		return
	}
	mean := s.shape.Pause.Seconds()
	if c.rng.IntN(3) == 0 {
		mean *= 3
	}
	pause := c.rng.ExpFloat64() * mean * 0.6
	s.after(time.Duration(math.Max(pause, 0.5)*float64(time.Second)), func() {
		if s.now < s.To {
			s.turn(c)
		}
	})
}
