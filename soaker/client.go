package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/fleettester"
	"github.com/bergamotdale/bergamotdale/generator"
)

const (
	// bodies is the number of different completions. Engines generate the same
	// text for the same body, so every copy must be equal.
	bodies = 24
	// requestTimeout is how long a client waits before it reconnects.
	requestTimeout = 20 * time.Second
	// attempts is how often a client reconnects or repeats a call.
	attempts = 8
)

// chatClient sends completions one after another until the run ends.
func (s *Soaker) chatClient(ctx context.Context, random *rand.Rand, client int, running func() bool) {
	for n := 0; running(); n++ {
		body := random.IntN(bodies)
		classes := []string{fleettester.ClassUrgent, fleettester.ClassNormal, fleettester.ClassBatch}
		s.complete(ctx, random, generator.ChatRequest{
			Workspace: fleettester.Workspace,
			ChatID:    fmt.Sprintf("chat-%d", body),
			Class:     classes[random.IntN(len(classes))],
			RequestID: fmt.Sprintf("request-%d-%d", client, n),
			Model:     fleettester.Model,
			Messages:  []string{fmt.Sprintf("linen list %d", body)},
			MaxTokens: 20 + 10*(body%10),
		})
		s.pause(ctx, random, 100*time.Millisecond)
	}
}

// complete sends one completion, reconnects through other routers when its
// stream breaks, and checks the whole text (I2).
func (s *Soaker) complete(ctx context.Context, random *rand.Rand, chat generator.ChatRequest) {
	var text strings.Builder
	for range attempts {
		chat.URL = s.url(random)
		limited, cancel := context.WithTimeout(ctx, requestTimeout)
		result, err := s.client.Chat(limited, chat)
		cancel()
		text.WriteString(result.Text)
		if result.LastEventID != "" {
			chat.LastEventID = result.LastEventID
		}
		switch {
		case result.Complete:
			s.checkText(chat, text.String(), result.Length)
			return
		case result.Refusal != nil && result.Refusal.RetryAfter == 0 && result.Refusal.Outcome == bergamotdale.OutcomeNotRun:
			s.count(fmt.Sprintf("chat refused for good with %d", result.Refusal.Code))
			return
		case result.Refusal != nil:
			s.count(fmt.Sprintf("chat refused with %d", result.Refusal.Code))
			s.pause(ctx, random, 500*time.Millisecond)
		case err != nil:
			s.count("chat reconnected")
			s.pause(ctx, random, 200*time.Millisecond)
		}
	}
	s.count("chat given up")
}

// checkText compares a complete text with the other copies of it.
func (s *Soaker) checkText(chat generator.ChatRequest, text string, length int) {
	s.count("chat completed")
	if length != chat.MaxTokens {
		s.violate("I2: %s has %d tokens, expected %d", chat.RequestID, length, chat.MaxTokens)
	}
	s.mu.Lock()
	known, ok := s.texts[chat.ChatID]
	if !ok {
		s.texts[chat.ChatID] = text
	}
	s.mu.Unlock()
	if ok && known != text {
		s.violate("I2: %s differs from an earlier copy: %q, expected %q", chat.RequestID, text, known)
	}
}

// callRecord is what clients know about one idempotency key.
type callRecord struct {
	notRun, unknown int
	responses       map[string]int
}

// callClient books one dock after another until the run ends, and repeats each
// booking through several routers, also after it was confirmed.
func (s *Soaker) callClient(ctx context.Context, random *rand.Rand, client int, running func() bool) {
	for n := 0; running(); n++ {
		key := fmt.Sprintf("key-%d-%d", client, n)
		record := &callRecord{responses: map[string]int{}}
		s.mu.Lock()
		s.calls[key] = record
		s.mu.Unlock()
		confirmations := 0
		for attempt := 0; attempt < attempts && confirmations < 2; attempt++ {
			if s.book(ctx, random, key, record) {
				confirmations++
			}
			s.pause(ctx, random, 300*time.Millisecond)
		}
	}
}

// book sends one booking and records what the client learned.
func (s *Soaker) book(ctx context.Context, random *rand.Rand, key string, record *callRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	result, err := s.client.Call(ctx, generator.CallRequest{
		URL: s.url(random), Workspace: fleettester.Workspace,
		Service: fleettester.ServiceName, Call: fleettester.CallConfirm, IdempotencyKey: key,
		Body: []byte(fmt.Sprintf(`{"dock":%q}`, key)),
	})
	switch {
	case result.Complete:
		record.responses[result.Text]++
		s.count("call confirmed")
		return true
	case err != nil || result.Refusal == nil:
		record.unknown++
		s.count("call without response")
	case result.Refusal.Outcome == bergamotdale.OutcomeNotRun:
		record.notRun++
		s.count(fmt.Sprintf("call refused as not-run with %d", result.Refusal.Code))
	default:
		record.unknown++
		s.count(fmt.Sprintf("call refused as %s with %d", result.Refusal.Outcome, result.Refusal.Code))
	}
	return false
}
