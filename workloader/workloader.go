package workloader

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bergamotdale/bergamotdale/hasher"
	"github.com/bergamotdale/bergamotdale/looper"
)

// Flood is additional demand of one class between From and To.
type Flood struct {
	Class int
	// Load is the demand as a multiple of the capacity of the group.
	Load     float64
	From, To time.Duration
}

// Chat is a sequence of turns. The prompt of each turn contains the prompts and
// outputs of the turns before it.
type Chat struct {
	Name      string
	Workspace string
	Class     int
	rng       *rand.Rand
	// turnCount is the number of turns of the whole chat, and turnNumber the number of those
	// that were sent.
	turnCount  int
	turnNumber int
	// contextTokens is the number of tokens that the next turn extends.
	contextTokens int
}

// Turn is one request of a chat.
type Turn struct {
	*Chat
	ID string
	// Prefix is the number of leading prompt tokens that earlier turns have
	// computed, and that an engine can therefore have in its cache.
	Prefix int
	// Prompt is the number of all prompt tokens, and Output that of the tokens to
	// generate.
	Prompt int
	Output int
}

// Stream is a source of new chats at random times. It is open-loop: new chats
// start regardless of how earlier ones are served.
type Stream struct {
	Name  string
	Class int
	// Rate is the mean number of new chats per second, and Turns the mean number
	// of their turns.
	Rate       float64
	Turns      float64
	Workspaces []string
	// Weights holds the cumulative demands of the workspaces, in the same order.
	Weights  []float64
	From, To time.Duration
}

// Stream returns a stream of the class whose demand is the given fraction of the
// group's capacity.
func (s Shape) Stream(name string, class int, load float64, names []string, weights []float64, from, to time.Duration) Stream {
	rate := load * s.Capacity() / s.SlotTime(class) / s.Turns
	return Stream{Name: name, Class: class, Rate: rate, Turns: s.Turns, Workspaces: names, Weights: weights, From: from, To: to}
}

// drawLength draws a number of tokens from an exponential distribution with the
// given mean, cut to between a tenth and four times the mean so that no single
// request decides a percentile.
func drawLength(rng *rand.Rand, mean int) int {
	return int(min(max(rng.ExpFloat64(), 0.1), 4) * float64(mean))
}

// ZipfWorkspaces returns the names and the cumulative demands of n workspaces whose demands
// fall as 1/rank.
func ZipfWorkspaces(prefix string, n int) ([]string, []float64) {
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

// EqualWorkspaces returns the names and the cumulative demands of n workspaces with
// equal demands.
func EqualWorkspaces(prefix string, n int) ([]string, []float64) {
	names, weights := ZipfWorkspaces(prefix, n)
	for i := range weights {
		weights[i] = float64(i + 1)
	}
	return names, weights
}

// Source sends the turns of all chats to a simulation.
type Source struct {
	Loop *looper.Loop
	Seed uint64
	// Pause is the mean time between the turns of a chat.
	Pause time.Duration
	// End is the simulated time from which on no further turn of a chat is sent.
	End time.Duration
	// Send is called with each turn at the simulated time of its arrival.
	Send func(Turn)
}

// AddStream schedules the chats of a stream. Each stream has its own random number
// generator, and each chat as well, so that the arrivals of a stream do not depend
// on other streams or on the decisions under test.
func (s *Source) AddStream(stream Stream) {
	rng := rand.New(rand.NewPCG(s.Seed, hasher.Hash(stream.Name)))
	chatNumber := 0
	var startChat func()
	startChat = func() {
		if s.Loop.Now >= stream.To {
			return
		}
		chatNumber++
		draw := rng.Float64() * stream.Weights[len(stream.Weights)-1]
		index := 0
		for stream.Weights[index] < draw {
			index++
		}
		c := &Chat{
			Name:      fmt.Sprintf("%s/%d", stream.Name, chatNumber),
			Workspace: stream.Workspaces[index],
			Class:     stream.Class,
			rng:       rand.New(rand.NewPCG(s.Seed^uint64(chatNumber), hasher.Hash(stream.Name)+1)),
		}
		c.turnCount = 1
		if stream.Turns > 1 {
			c.turnCount += int(c.rng.ExpFloat64()*(stream.Turns-1) + 0.5)
		}
		c.contextTokens = drawLength(c.rng, RequestSizes[c.Class].Context)
		s.sendTurn(c)
		s.Loop.After(time.Duration(rng.ExpFloat64()/stream.Rate*float64(time.Second)), startChat)
	}
	s.Loop.After(stream.From+time.Duration(rng.ExpFloat64()/stream.Rate*float64(time.Second)), startChat)
}

// sendTurn draws the sizes of the next turn of a chat and sends the turn.
func (s *Source) sendTurn(c *Chat) {
	c.turnNumber++
	t := Turn{
		Chat:   c,
		ID:     fmt.Sprintf("%s#%d", c.Name, c.turnNumber),
		Prompt: c.contextTokens + drawLength(c.rng, RequestSizes[c.Class].Input),
		Output: max(drawLength(c.rng, RequestSizes[c.Class].Output), 1),
	}
	if c.turnNumber > 1 {
		t.Prefix = c.contextTokens
	}
	c.contextTokens = t.Prompt + t.Output
	s.Send(t)
}

// ScheduleNextTurn schedules the next turn of a chat whose last turn was completed or lost.
// On average, every third pause is three times as long, so that some chats return
// late, when others have displaced their prefixes from the caches.
func (s *Source) ScheduleNextTurn(c *Chat) {
	if c.turnNumber >= c.turnCount || s.Loop.Now >= s.End {
		return
	}
	mean := s.Pause.Seconds()
	if c.rng.IntN(3) == 0 {
		mean *= 3
	}
	// The factor keeps the mean of the short and long pauses at Pause.
	pause := c.rng.ExpFloat64() * mean * 0.6
	s.Loop.After(time.Duration(math.Max(pause, 0.5)*float64(time.Second)), func() {
		if s.Loop.Now < s.End {
			s.sendTurn(c)
		}
	})
}
