package workloader

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/looper"
)

// Flood is additional demand of one class for a time.
type Flood struct {
	Class int
	// Load is the demand as a multiple of the capacity of the group.
	Load     float64
	From, To time.Duration
}

// Chat is a sequence of turns whose prompts extend each other.
type Chat struct {
	Name      string
	Workspace string
	Class     int
	rng       *rand.Rand
	turns     int
	turn      int
	// context is the length of the prompt that the next turn extends.
	context int
}

// Turn is one request of a chat.
type Turn struct {
	*Chat
	ID string
	// Prefix is the part of the prompt that an earlier turn has computed.
	Prefix int
	Prompt int
	Output int
}

// Stream is an open-loop source of new chats.
type Stream struct {
	Name  string
	Class int
	// Rate is the number of new chats per second and Turns the mean number of
	// their turns.
	Rate       float64
	Turns      float64
	Workspaces []string
	// Weights are cumulative demands of the workspaces.
	Weights  []float64
	From, To time.Duration
}

// Stream returns arrivals that demand a fraction of the capacity.
func (s Shape) Stream(name string, class int, load float64, names []string, weights []float64, from, to time.Duration) Stream {
	rate := load * s.Capacity() / s.SlotTime(class) / s.Turns
	return Stream{Name: name, Class: class, Rate: rate, Turns: s.Turns, Workspaces: names, Weights: weights, From: from, To: to}
}

// exponential draws a length with the given mean and a floor of a tenth of it.
// Both ends are cut so that no single request decides a percentile.
func exponential(rng *rand.Rand, mean int) int {
	return int(min(max(rng.ExpFloat64(), 0.1), 4) * float64(mean))
}

// Zipf returns n workspaces with cumulative demands that fall as 1/rank.
func Zipf(prefix string, n int) ([]string, []float64) {
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

// Even returns n workspaces with equal demands.
func Even(prefix string, n int) ([]string, []float64) {
	names, weights := Zipf(prefix, n)
	for i := range weights {
		weights[i] = float64(i + 1)
	}
	return names, weights
}

// Source sends the turns of chats to a simulation until the end.
type Source struct {
	Loop *looper.Loop
	Seed uint64
	// Pause is the mean time between the turns of a chat.
	Pause time.Duration
	// End is the time after which no turn is sent.
	End time.Duration
	// Send receives the turns.
	Send func(Turn)
}

// Feed starts the chats of a stream. Each stream draws from its own source, so
// that its arrivals are the same whatever else runs and is decided.
func (s *Source) Feed(f Stream) {
	rng := rand.New(rand.NewPCG(s.Seed, hasher.Hash(f.Name)))
	n := 0
	var next func()
	next = func() {
		if s.Loop.Now >= f.To {
			return
		}
		n++
		at := rng.Float64() * f.Weights[len(f.Weights)-1]
		pick := 0
		for f.Weights[pick] < at {
			pick++
		}
		c := &Chat{
			Name:      fmt.Sprintf("%s/%d", f.Name, n),
			Workspace: f.Workspaces[pick],
			Class:     f.Class,
			rng:       rand.New(rand.NewPCG(s.Seed^uint64(n), hasher.Hash(f.Name)+1)),
		}
		c.turns = 1
		if f.Turns > 1 {
			c.turns += int(c.rng.ExpFloat64()*(f.Turns-1) + 0.5)
		}
		c.context = exponential(c.rng, Works[c.Class].Context)
		s.turn(c)
		s.Loop.After(time.Duration(rng.ExpFloat64()/f.Rate*float64(time.Second)), next)
	}
	s.Loop.After(f.From+time.Duration(rng.ExpFloat64()/f.Rate*float64(time.Second)), next)
}

// turn sends the next turn of a chat.
func (s *Source) turn(c *Chat) {
	c.turn++
	t := Turn{
		Chat:   c,
		ID:     fmt.Sprintf("%s#%d", c.Name, c.turn),
		Prompt: c.context + exponential(c.rng, Works[c.Class].Input),
		Output: max(exponential(c.rng, Works[c.Class].Output), 1),
	}
	if c.turn > 1 {
		t.Prefix = c.context
	}
	c.context = t.Prompt + t.Output
	s.Send(t)
}

// Resume schedules the turn after a finished or lost one. A third of the
// pauses is long, so that some chats return after the others have gone.
func (s *Source) Resume(c *Chat) {
	if c.turn >= c.turns || s.Loop.Now >= s.End {
		return
	}
	mean := s.Pause.Seconds()
	if c.rng.IntN(3) == 0 {
		mean *= 3
	}
	pause := c.rng.ExpFloat64() * mean * 0.6
	s.Loop.After(time.Duration(math.Max(pause, 0.5)*float64(time.Second)), func() {
		if s.Loop.Now < s.End {
			s.turn(c)
		}
	})
}
