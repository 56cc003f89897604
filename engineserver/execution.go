package engineserver

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/enginebatcher"
	"github.com/bergamotdale/bergamotdale/enginecacher"
	"github.com/bergamotdale/bergamotdale/enginegenerator"
)

// execution executes one request: it waits for a slot, processes the prompt and
// generates the response.
type execution struct {
	server    *Server
	run       *enginebatcher.Run
	req       *enginegenerator.Request
	output    enginegenerator.Output
	heartbeat *time.Ticker
}

func newExecution(s *Server, run *enginebatcher.Run, req *enginegenerator.Request, output enginegenerator.Output) *execution {
	return &execution{server: s, run: run, req: req, output: output, heartbeat: time.NewTicker(s.Heartbeat)}
}

func (e *execution) stop() {
	e.heartbeat.Stop()
}

// execute waits for a slot, generates the response and completes it, or fails it
// with the outcome that tells whether the request may have been executed.
func (e *execution) execute() {
	if err := await(e, e.run.Admitted); err != nil {
		e.fail(err, bergamotdale.OutcomeNotRun)
		return
	}
	e.server.stats.countStart(e.req)
	e.server.Faults.CrashIfMarked(e.req.Body)
	e.server.recordLoad()
	usage, err := e.prefill()
	if err == nil {
		err = e.decode()
	}
	if err != nil {
		e.fail(err, bergamotdale.OutcomeUnknown)
		return
	}
	e.cacheResponse()
	e.server.finishRun(e.run)
	e.output.Complete(usage)
}

// fail ends the response with a refusal. The cause of the cancelled context,
// such as ErrSuperseded, takes precedence over err.
func (e *execution) fail(err error, outcome bergamotdale.Outcome) {
	if cause := context.Cause(e.run.Context); cause != nil {
		err = cause
	}
	e.output.Fail(bergamotdale.Refuse(bergamotdale.CodeStreamLost, "%v", err).WithOutcome(outcome))
}

// await blocks until done is ready and sends heartbeats meanwhile. It also blocks
// while an injected fault freezes the engine.
func await[T any](e *execution, done <-chan T) error {
	for {
		select {
		case <-done:
			return e.server.Faults.WaitWhileFrozen(e.run.Context)
		case <-e.heartbeat.C:
			if err := e.output.WriteHeartbeat(); err != nil {
				return errors.Trace(err)
			}
		case <-e.run.Context.Done():
			return e.run.Context.Err()
		}
	}
}

// sleep waits for the duration and sends heartbeats meanwhile.
func (e *execution) sleep(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	return await(e, timer.C)
}

// prefill waits for the time that an engine needs to process the tokens that it
// has not cached: those of the prompt, and, unless the batcher retains them,
// those of the response before resume_from. It returns the usage of the whole response.
func (e *execution) prefill() (enginegenerator.Usage, error) {
	prompt := e.req.PromptTokens()
	cached := e.server.cache.Lookup(e.req.Prefixes)
	uncached := prompt - cached + e.req.ResumeFrom
	if e.server.batcher.RetainedTokens(e.req.ID) >= e.req.ResumeFrom {
		uncached -= e.req.ResumeFrom
	}
	d := time.Duration(float64(uncached) / e.server.PrefillRate * float64(time.Second))
	if err := e.sleep(d); err != nil {
		return enginegenerator.Usage{}, err
	}
	e.server.cache.Insert(e.req.Prefixes)
	e.server.stats.countPrompt(prompt, cached)
	return enginegenerator.Usage{
		PromptTokens:     prompt,
		CompletionTokens: e.req.Length,
		TotalTokens:      prompt + e.req.Length,
		Details:          enginegenerator.UsageDetails{CachedTokens: cached},
	}, nil
}

// decode generates the tokens of the response at the configured rate.
func (e *execution) decode() error {
	e.run.GeneratedTokens = e.req.ResumeFrom
	due := time.Now()
	for e.run.GeneratedTokens < e.req.Length {
		var err error
		if due, err = e.sendDueTokens(due); err != nil {
			return errors.Trace(err)
		}
		if e.run.GeneratedTokens == e.req.Length {
			break
		}
		if err := e.sleep(time.Until(due)); err != nil {
			return err
		}
		// After a freeze the engine continues at the configured rate. Without
		// this reset it would generate all missed tokens at once.
		if time.Since(due) > e.server.Heartbeat {
			due = time.Now()
		}
	}
	return nil
}

// sendDueTokens generates and sends the tokens that are due, and returns the time
// at which the next token is due.
func (e *execution) sendDueTokens(due time.Time) (time.Time, error) {
	var tokens []string
	interval, now := e.tokenInterval(), time.Now()
	for !due.After(now) && e.run.GeneratedTokens+len(tokens) < e.req.Length {
		tokens = append(tokens, e.req.Token(e.run.GeneratedTokens+len(tokens)))
		due = due.Add(interval)
	}
	// Tokens are counted as generated before they are sent, because the client
	// may have received them even if the write fails with a cancellation.
	offset := e.run.GeneratedTokens
	e.run.GeneratedTokens += len(tokens)
	if err := e.output.WriteTokens(offset, tokens); err != nil {
		return due, errors.Trace(err)
	}
	e.server.stats.countGenerated(len(tokens))
	return due, nil
}

// tokenInterval returns the time between two tokens of a stream.
func (e *execution) tokenInterval() time.Duration {
	running, _ := e.server.batcher.Counts()
	seconds := (1 + e.server.BatchPenalty*float64(running-1)) / e.server.TokenRate
	return max(time.Duration(seconds*float64(time.Second)), 1)
}

// cacheResponse caches the prefix that ends with the response, because the next
// request of the chat starts with this prefix.
func (e *execution) cacheResponse() {
	content, err := json.Marshal(e.req.Text())
	if err != nil {
		return
	}
	reply := bergamotdale.ChatMessage{Role: "assistant", Content: content}
	e.server.cache.Insert(enginecacher.Extend(e.req.Model, e.req.Prefixes, reply))
}
