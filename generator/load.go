package generator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bergamotdale/bergamotdale"
)

// ClassLoad is the load of one priority class.
type ClassLoad struct {
	Class     string
	Workspace string
	// Rate is the mean number of requests per second.
	Rate      float64
	MaxTokens int
}

// Load sends chat completions to a fleet at random times that Seed determines. It is
// an open-loop load: the times do not depend on the responses, so that a slow fleet
// gets as many requests as a fast one.
type Load struct {
	// URLs are the base URLs of the routers. Each request goes to a random one.
	URLs     []string
	Model    string
	Classes  []ClassLoad
	Duration time.Duration
	Seed     uint64
	// ReturningFraction is the fraction of the requests that continue an earlier chat.
	ReturningFraction float64
	Client            *Client
}

// ClassReport counts the results of the requests of one class.
type ClassReport struct {
	Class     string
	Requests  int
	Completed int
	Refused   map[bergamotdale.Code]int
	// Broken counts the requests that failed or whose stream was incomplete, without
	// a refusal.
	Broken int
	// FirstToken holds the times from the request to the first token, in
	// milliseconds. Like the token counts, it covers completed requests only.
	FirstToken   *hdrhistogram.Histogram
	PromptTokens int
	CachedTokens int
}

// maxFirstToken is the upper end of the histogram in milliseconds. Longer times are
// recorded as this value.
const maxFirstToken = 10 * 60 * 1000

// Run sends the load, waits for all responses and returns one report per class, in the
// order of Classes.
func (l *Load) Run(ctx context.Context) []*ClassReport {
	reports := make([]*ClassReport, len(l.Classes))
	var wait sync.WaitGroup
	for i, class := range l.Classes {
		reports[i] = &ClassReport{
			Class:      class.Class,
			Refused:    map[bergamotdale.Code]int{},
			FirstToken: hdrhistogram.New(1, maxFirstToken, 3),
		}
		wait.Go(func() { l.runClass(ctx, uint64(i), class, reports[i]) })
	}
	wait.Wait()
	return reports
}

// runClass sends the requests of one class. The stream number selects the random
// numbers of the class.
func (l *Load) runClass(ctx context.Context, stream uint64, class ClassLoad, report *ClassReport) {
	random := rand.New(rand.NewPCG(l.Seed, stream))
	start := l.Client.Clock.Now()
	var mu sync.Mutex
	var wait sync.WaitGroup
	chats := 0
	for at := time.Duration(0); at < l.Duration; {
		at += time.Duration(random.ExpFloat64() / class.Rate * float64(time.Second))
		chat := l.nextRequest(random, class, &chats)
		chat.URL = l.URLs[random.IntN(len(l.URLs))]
		if bergamotdale.Wait(ctx, l.Client.Clock, start.Add(at).Sub(l.Client.Clock.Now())) != nil {
			break
		}
		wait.Go(func() {
			result, err := l.Client.Chat(ctx, chat)
			mu.Lock()
			defer mu.Unlock()
			report.add(result, err)
		})
	}
	wait.Wait()
}

// nextRequest returns the next request: the first turn of a new chat, or a further
// turn of an earlier chat, whose prompt repeats all turns before it. chats is the
// number of chats so far.
func (l *Load) nextRequest(random *rand.Rand, class ClassLoad, chats *int) ChatRequest {
	chatNumber, turns := *chats, 1
	if *chats > 0 && random.Float64() < l.ReturningFraction {
		chatNumber, turns = random.IntN(*chats), 2+random.IntN(3)
	} else {
		*chats++
	}
	chat := ChatRequest{
		Workspace: class.Workspace,
		Class:     class.Class,
		ChatID:    fmt.Sprintf("%s-%s-%d-%d", class.Workspace, class.Class, l.Seed, chatNumber),
		Model:     l.Model,
		MaxTokens: class.MaxTokens,
	}
	for turn := range turns {
		chat.Messages = append(chat.Messages, strings.Repeat(fmt.Sprintf("chat %d turn %d ", chatNumber, turn), 20))
	}
	return chat
}

// add adds the result of a request to the report.
func (r *ClassReport) add(result Result, err error) {
	r.Requests++
	switch {
	case result.Refusal != nil:
		r.Refused[result.Refusal.Code]++
	case err != nil || !result.Complete:
		r.Broken++
	default:
		r.Completed++
		r.PromptTokens += result.PromptTokens
		r.CachedTokens += result.CachedTokens
		_ = r.FirstToken.RecordValue(min(maxFirstToken, max(1, result.FirstToken.Milliseconds())))
	}
}

// String returns the report as one line.
func (r *ClassReport) String() string {
	cached := 0.0
	if r.PromptTokens > 0 {
		cached = 100 * float64(r.CachedTokens) / float64(r.PromptTokens)
	}
	return fmt.Sprintf("%-10s %6d requests %6d completed %5d broken, refused %v, first token p50 %d ms p95 %d ms, %.0f%% of prompt tokens cached",
		r.Class, r.Requests, r.Completed, r.Broken, r.Refused,
		r.FirstToken.ValueAtQuantile(50), r.FirstToken.ValueAtQuantile(95), cached)
}
