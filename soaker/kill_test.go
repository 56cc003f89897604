package soaker_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/engineserver"
	"github.com/bergamotdale/bergamotdale/fleettester"
	"github.com/bergamotdale/bergamotdale/generator"
)

// startProcesses starts a fleet whose routers run as separate processes.
func startProcesses(t *testing.T, adjust func(*engineserver.Server)) *fleettester.Fleet {
	t.Helper()
	t.Parallel()
	directory := t.TempDir()
	f := &fleettester.Fleet{
		Routers: 3, Engines: 4, Services: 2, AdjustEngine: adjust,
		Binary: buildRouter(t, directory), Directory: directory,
		Logger: zaptest.NewLogger(t, zaptest.Level(zap.WarnLevel)),
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	assert.NilError(t, f.Start(ctx))
	t.Cleanup(f.Close)
	assert.NilError(t, f.AwaitReady(ctx))
	return f
}

// chat requests one completion through the router with the index and returns its
// text.
func chat(ctx context.Context, f *fleettester.Fleet, router, number, tokens int) (string, error) {
	result, err := generator.NewClient().Chat(ctx, generator.ChatRequest{
		URL: f.Router(router).URL, Workspace: fleettester.Workspace, ChatID: fmt.Sprintf("chat-%d", number),
		Model: fleettester.Model, Messages: []string{"count the linen"}, MaxTokens: tokens,
	})
	if err != nil {
		return "", err
	}
	if !result.Complete || result.Length != tokens {
		return "", fmt.Errorf("chat %d is incomplete: %+v", number, result.Refusal)
	}
	return result.Text, nil
}

// confirm sends a booking with the idempotency key through the router with the
// index.
func confirm(ctx context.Context, f *fleettester.Fleet, router int, key string) (generator.Result, error) {
	return generator.NewClient().Call(ctx, generator.CallRequest{
		URL: f.Router(router).URL, Workspace: fleettester.Workspace, Service: fleettester.ServiceName,
		Call: fleettester.CallConfirm, IdempotencyKey: key, Body: []byte("{}"),
	})
}

// Guards against requests that fail, and idempotency keys that are forgotten and
// executed again, because a router without running requests was killed.
func TestKillingAnIdleRouterLosesNothing(t *testing.T) {
	f := startProcesses(t, nil)
	const keys = 40
	for i := range keys {
		result, err := confirm(t.Context(), f, i%3, fmt.Sprintf("key-%d", i))
		assert.NilError(t, err)
		assert.Assert(t, result.Complete, "%+v", result.Refusal)
	}
	f.Router(1).Kill()
	for i := range 60 {
		_, err := chat(t.Context(), f, 2*(i%2), i, 5)
		assert.NilError(t, err)
	}
	// The shards of the killed router get new owners after its lease has
	// expired. The new owners must still know every key.
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for i := range keys {
		key := fmt.Sprintf("key-%d", i)
		assert.NilError(t, fleettester.Await(ctx, func() bool {
			result, err := confirm(ctx, f, 2*(i%2), key)
			return err == nil && result.Complete
		}))
		assert.Equal(t, f.ServiceAt(0).Counters().ByKey[key]+f.ServiceAt(1).Counters().ByKey[key], 1, key)
	}
}

// Guards against streams that are cut or altered because the router that owns
// their engine was killed. Clients must not notice it: each gets the whole text
// without reconnecting (I2).
func TestKillingOwnersCutsNoStream(t *testing.T) {
	f := startProcesses(t, func(e *engineserver.Server) { e.TokenRate = 50 })
	const tokens = 150
	want, err := chat(t.Context(), f, 0, 0, tokens)
	assert.NilError(t, err)
	var group errgroup.Group
	for i := range 10 {
		group.Go(func() error {
			text, err := chat(t.Context(), f, 0, i, tokens)
			if err == nil && text != want {
				return fmt.Errorf("chat %d got %q, expected %q", i, text, want)
			}
			return err
		})
	}
	assert.NilError(t, fleettester.Await(t.Context(), func() bool {
		running := 0
		for i := range f.Engines {
			running += f.EngineAt(i).Counters().Running
		}
		return running == 10
	}))
	f.Router(1).Kill()
	assert.NilError(t, group.Wait())
}
