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
	// bodyCount is the number of different request bodies for completions. Engines
	// generate the same text for the same body, so that texts can be compared.
	bodyCount = 24
	// requestTimeout is how long a client waits for a response before it
	// reconnects or repeats the request.
	requestTimeout = 20 * time.Second
	// maxAttempts is how often a client sends a request in all.
	maxAttempts = 8
)

// runChatClient requests one completion after another while running returns true.
func (s *Soaker) runChatClient(ctx context.Context, random *rand.Rand, client int, running func() bool) {
	for n := 0; running(); n++ {
		body := random.IntN(bodyCount)
		classes := []string{fleettester.ClassUrgent, fleettester.ClassNormal, fleettester.ClassBatch}
		s.completeChat(ctx, random, generator.ChatRequest{
			Workspace: fleettester.Workspace,
			ChatID:    fmt.Sprintf("chat-%d", body),
			Class:     classes[random.IntN(len(classes))],
			RequestID: fmt.Sprintf("request-%d-%d", client, n),
			Model:     fleettester.Model,
			Messages:  []string{fmt.Sprintf("linen list %d", body)},
			MaxTokens: 20 + 10*(body%10),
		})
		s.waitRandomly(ctx, random, 100*time.Millisecond)
	}
}

// completeChat requests one completion, reconnects through random routers when the
// stream breaks, and checks that the whole text arrived unaltered (I2).
func (s *Soaker) completeChat(ctx context.Context, random *rand.Rand, chat generator.ChatRequest) {
	var text strings.Builder
	for range maxAttempts {
		chat.URL = s.randomURL(random)
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		result, err := s.client.Chat(requestCtx, chat)
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
			s.countEvent(fmt.Sprintf("chat refused permanently with code %d", result.Refusal.Code))
			return
		case result.Refusal != nil:
			s.countEvent(fmt.Sprintf("chat refused with code %d", result.Refusal.Code))
			s.waitRandomly(ctx, random, 500*time.Millisecond)
		case err != nil:
			s.countEvent("chat reconnected")
			s.waitRandomly(ctx, random, 200*time.Millisecond)
		}
	}
	s.countEvent("chat abandoned after the last attempt")
}

// checkText checks the length of a completion and compares its text with that of
// earlier completions of the same body.
func (s *Soaker) checkText(chat generator.ChatRequest, text string, length int) {
	s.countEvent("chat completed")
	if length != chat.MaxTokens {
		s.recordViolation("I2: %s has %d tokens, expected %d", chat.RequestID, length, chat.MaxTokens)
	}
	s.mu.Lock()
	known, ok := s.texts[chat.ChatID]
	if !ok {
		s.texts[chat.ChatID] = text
	}
	s.mu.Unlock()
	if ok && known != text {
		s.recordViolation("I2: the text of %s differs from an earlier completion of the same body: %q, expected %q", chat.RequestID, text, known)
	}
}

// callRecord collects the results of all calls with one idempotency key.
type callRecord struct {
	// notRun and unknown count the calls without a response by their outcome.
	notRun, unknown int
	// responses counts the calls that got each response.
	responses map[string]int
}

// runCallClient sends one booking after another while running returns true. It
// repeats each through random routers until it was confirmed twice, to check that
// a repeated call is not executed again.
func (s *Soaker) runCallClient(ctx context.Context, random *rand.Rand, client int, running func() bool) {
	for n := 0; running(); n++ {
		key := fmt.Sprintf("key-%d-%d", client, n)
		record := &callRecord{responses: map[string]int{}}
		s.mu.Lock()
		s.calls[key] = record
		s.mu.Unlock()
		confirmations := 0
		for attempt := 0; attempt < maxAttempts && confirmations < 2; attempt++ {
			if s.sendBooking(ctx, random, key, record) {
				confirmations++
			}
			s.waitRandomly(ctx, random, 300*time.Millisecond)
		}
	}
}

// sendBooking sends one booking, records its result and reports whether it was
// confirmed.
func (s *Soaker) sendBooking(ctx context.Context, random *rand.Rand, key string, record *callRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	result, err := s.client.Call(ctx, generator.CallRequest{
		URL: s.randomURL(random), Workspace: fleettester.Workspace,
		Service: fleettester.ServiceName, Call: fleettester.CallConfirm, IdempotencyKey: key,
		Body: []byte(fmt.Sprintf(`{"dock":%q}`, key)),
	})
	switch {
	case result.Complete:
		record.responses[result.Text]++
		s.countEvent("call confirmed")
		return true
	case err != nil || result.Refusal == nil:
		record.unknown++
		s.countEvent("call without response")
	case result.Refusal.Outcome == bergamotdale.OutcomeNotRun:
		record.notRun++
		s.countEvent(fmt.Sprintf("call refused as not-run with code %d", result.Refusal.Code))
	default:
		record.unknown++
		s.countEvent(fmt.Sprintf("call refused as %s with code %d", result.Refusal.Outcome, result.Refusal.Code))
	}
	return false
}
