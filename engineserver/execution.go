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

// execution is a request on its way through the engine.
type execution struct {
	server    *Server
	run       *enginebatcher.Run
	req       *enginegenerator.Request
	out       enginegenerator.Output
	heartbeat *time.Ticker
}

func newExecution(s *Server, run *enginebatcher.Run, req *enginegenerator.Request, out enginegenerator.Output) *execution {
	return &execution{server: s, run: run, req: req, out: out, heartbeat: time.NewTicker(s.Heartbeat)}
}

func (e *execution) stop() {
	e.heartbeat.Stop()
}

// execute runs the request from its queueing to its end.
func (e *execution) execute() {
	if err := await(e, e.run.Admitted); err != nil {
		e.fail(err, bergamotdale.OutcomeNotRun)
		return
	}
	e.server.stats.start(e.req)
	e.server.Faults.CrashIfMarked(e.req.Body)
	e.server.report()
	usage, err := e.prefill()
	if err == nil {
		err = e.decode()
	}
	if err != nil {
		e.fail(err, bergamotdale.OutcomeUnknown)
		return
	}
	e.remember()
	e.server.finish(e.run)
	e.out.End(usage)
}

// fail ends the response early.
func (e *execution) fail(err error, o bergamotdale.Outcome) {
	if cause := context.Cause(e.run.Context); cause != nil {
		err = cause
	}
	e.out.Fail(bergamotdale.Refuse(bergamotdale.CodeStreamLost, "%v", err).WithOutcome(o))
}

// await waits for done and sends heartbeats meanwhile.
func await[T any](e *execution, done <-chan T) error {
	for {
		select {
		case <-done:
			return e.server.Faults.WaitWhileFrozen(e.run.Context)
		case <-e.heartbeat.C:
			if err := e.out.Heartbeat(); err != nil {
				return errors.Trace(err)
			}
		case <-e.run.Context.Done():
			return e.run.Context.Err()
		}
	}
}

// pause waits for the duration.
func (e *execution) pause(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	return await(e, timer.C)
}

// prefill spends the time that the tokens without a cached prefix take.
func (e *execution) prefill() (enginegenerator.Usage, error) {
	prompt := e.req.PromptTokens()
	hit := e.server.cache.Lookup(e.req.Prefixes)
	missing := prompt - hit + e.req.ResumeFrom
	if e.server.batch.Kept(e.req.ID) >= e.req.ResumeFrom {
		missing -= e.req.ResumeFrom
	}
	d := time.Duration(float64(missing) / e.server.PrefillRate * float64(time.Second))
	if err := e.pause(d); err != nil {
		return enginegenerator.Usage{}, err
	}
	e.server.cache.Insert(e.req.Prefixes)
	e.server.stats.prompt(prompt, hit)
	return enginegenerator.Usage{
		PromptTokens:     prompt,
		CompletionTokens: e.req.Length,
		TotalTokens:      prompt + e.req.Length,
		Details:          enginegenerator.UsageDetails{CachedTokens: hit},
	}, nil
}

// decode generates the tokens at the configured rate.
func (e *execution) decode() error {
	e.run.Tokens = e.req.ResumeFrom
	due := time.Now()
	for e.run.Tokens < e.req.Length {
		var err error
		if due, err = e.generate(due); err != nil {
			return errors.Trace(err)
		}
		if e.run.Tokens == e.req.Length {
			break
		}
		if err := e.pause(time.Until(due)); err != nil {
			return err
		}
		// An engine that was frozen goes on at its rate and doesn't generate
		// the missed tokens at once.
		if time.Since(due) > e.server.Heartbeat {
			due = time.Now()
		}
	}
	return nil
}

// generate sends the tokens that are due and returns when the next one is.
func (e *execution) generate(due time.Time) (time.Time, error) {
	var tokens []string
	interval, now := e.interval(), time.Now()
	for !due.After(now) && e.run.Tokens+len(tokens) < e.req.Length {
		tokens = append(tokens, e.req.Token(e.run.Tokens+len(tokens)))
		due = due.Add(interval)
	}
	// Tokens count as generated before they are sent: a client may have them
	// although the write reports its cancellation.
	offset := e.run.Tokens
	e.run.Tokens += len(tokens)
	if err := e.out.Data(offset, tokens); err != nil {
		return due, errors.Trace(err)
	}
	e.server.stats.generate(len(tokens))
	return due, nil
}

// interval returns the time between two tokens of a stream.
func (e *execution) interval() time.Duration {
	running, _ := e.server.batch.Size()
	seconds := (1 + e.server.BatchPenalty*float64(running-1)) / e.server.TokenRate
	return max(time.Duration(seconds*float64(time.Second)), 1)
}

// remember caches the prefix that ends with the response, which is what the
// next request of the chat starts with.
func (e *execution) remember() {
	content, err := json.Marshal(e.req.Text())
	if err != nil {
		return
	}
	reply := bergamotdale.ChatMessage{Role: "assistant", Content: content}
	e.server.cache.Insert(enginecacher.Extend(e.req.Model, e.req.Prefixes, reply))
}
