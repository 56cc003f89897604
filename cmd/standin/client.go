package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale/generator"
)

// chatCommand is the subcommand that sends one chat completion request.
type chatCommand struct {
	chat     generator.ChatRequest
	messages []string
}

func newChatCommand() (*flaggy.Subcommand, *chatCommand) {
	r := &chatCommand{chat: generator.ChatRequest{MaxTokens: 16}}
	c := flaggy.NewSubcommand("chat")
	c.Description = "send one chat completion request to a router"
	c.String(&r.chat.URL, "u", "url", "base URL of a router")
	c.String(&r.chat.Workspace, "w", "workspace", "workspace")
	c.String(&r.chat.ChatID, "", "chat", "id of the chat")
	c.String(&r.chat.Class, "", "class", "priority class")
	c.String(&r.chat.RequestID, "", "request-id", "id of the request")
	c.String(&r.chat.Model, "", "model", "model")
	c.Int(&r.chat.MaxTokens, "", "max-tokens", "maximum number of tokens to generate")
	c.StringSlice(&r.messages, "m", "message", "message; repeatable, for the turns of a chat")
	return c, r
}

// Run implements runner.
func (r *chatCommand) Run(ctx context.Context) error {
	r.chat.Messages = r.messages
	result, err := generator.NewClient().Chat(ctx, r.chat)
	if err != nil {
		return errors.Trace(err)
	}
	if result.Refusal != nil {
		return refusalError(result)
	}
	fmt.Printf("request %s under revision %s: %d tokens, %d of %d prompt tokens from the cache, first token after %s\n",
		result.RequestID, result.Revision, result.Length, result.CachedTokens, result.PromptTokens,
		result.FirstToken.Round(time.Millisecond))
	return nil
}

// refusalError returns the error for a request that was refused.
func refusalError(result generator.Result) error {
	return errors.Errorf("request %s refused with code %d (%s, retry after %s): %s", result.RequestID,
		int(result.Refusal.Code), result.Refusal.Outcome, result.Refusal.RetryAfter, result.Refusal.Message)
}

// callCommand is the subcommand that calls a plain service.
type callCommand struct {
	call generator.CallRequest
	body string
}

func newCallCommand() (*flaggy.Subcommand, *callCommand) {
	r := &callCommand{body: "{}"}
	c := flaggy.NewSubcommand("call")
	c.Description = "call a plain service through a router"
	c.String(&r.call.URL, "u", "url", "base URL of a router")
	c.String(&r.call.Workspace, "w", "workspace", "workspace")
	c.String(&r.call.Service, "s", "service", "service")
	c.String(&r.call.Call, "", "call", "call")
	c.String(&r.call.IdempotencyKey, "k", "key", "idempotency key")
	c.String(&r.call.RequestID, "", "request-id", "id of the request")
	c.String(&r.body, "b", "body", "JSON body")
	return c, r
}

// Run implements runner.
func (r *callCommand) Run(ctx context.Context) error {
	r.call.Body = json.RawMessage(r.body)
	result, err := generator.NewClient().Call(ctx, r.call)
	if err != nil {
		return errors.Trace(err)
	}
	if result.Refusal != nil {
		return refusalError(result)
	}
	fmt.Println(strings.TrimSpace(result.Text))
	return nil
}

// loadCommand is the subcommand that generates load.
type loadCommand struct {
	load      generator.Load
	workspace string
	classes   []string
	rate      float64
	tokens    int
}

func newLoadCommand() (*flaggy.Subcommand, *loadCommand) {
	r := &loadCommand{load: generator.Load{Duration: 10 * time.Second, Seed: 1, ReturningFraction: 0.7}, rate: 5, tokens: 32}
	c := flaggy.NewSubcommand("load")
	c.Description = "generate reproducible load of many clients and print the results of each class"
	c.StringSlice(&r.load.URLs, "u", "url", "base URL of a router; repeatable")
	c.String(&r.workspace, "w", "workspace", "workspace")
	c.String(&r.load.Model, "", "model", "model")
	c.StringSlice(&r.classes, "", "class", "priority class; repeatable")
	c.Float64(&r.rate, "", "rate", "requests per second of each class")
	c.Int(&r.tokens, "", "max-tokens", "tokens to generate per request")
	c.Duration(&r.load.Duration, "d", "duration", "duration of the load")
	c.UInt64(&r.load.Seed, "", "seed", "seed of the random load")
	c.Float64(&r.load.ReturningFraction, "", "returning", "fraction of requests that continue a chat")
	return c, r
}

// Run implements runner.
func (r *loadCommand) Run(ctx context.Context) error {
	r.load.Client = generator.NewClient()
	for _, class := range r.classes {
		r.load.Classes = append(r.load.Classes, generator.ClassLoad{
			Class: class, Workspace: r.workspace, Rate: r.rate, MaxTokens: r.tokens,
		})
	}
	for _, report := range r.load.Run(ctx) {
		fmt.Println(report)
	}
	return nil
}
