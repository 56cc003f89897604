package engineserver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/enginebatcher"
	"github.com/bergamotdale/bergamotdale/enginecacher"
	"github.com/bergamotdale/bergamotdale/enginegenerator"
	"github.com/bergamotdale/bergamotdale/replier"
)

// maxBody is the longest request body accepted, in bytes.
const maxBody = 16 << 20

// complete serves POST /v1/chat/completions.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return
	}
	req, err := enginegenerator.Parse(r.Header.Get("X-Request-Id"), body)
	if err != nil {
		s.refuse(w, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "%v", err))
		return
	}
	if s.setup.draining() {
		s.refuse(w, bergamotdale.Refuse(bergamotdale.CodeStopping, "engine is draining").After(time.Second))
		return
	}
	if !s.setup.serves(req.Model) {
		s.refuse(w, bergamotdale.Refuse(bergamotdale.CodeUnknownModel, "model %q is not loaded", req.Model))
		return
	}
	run, err := s.batch.Enter(r.Context(), req.ID, req.Priority)
	if err != nil {
		s.refuse(w, bergamotdale.Refuse(bergamotdale.CodeOverloaded, "%v", err).After(time.Second))
		return
	}
	s.report()
	defer s.finish(run)
	s.execute(run, req, enginegenerator.NewOutput(w, s.Name, req))
}

func (s *Server) refuse(w http.ResponseWriter, r *bergamotdale.Refusal) {
	s.stats.refuse()
	replier.Refusal(w, r)
}

func (s *Server) finish(r *enginebatcher.Run) {
	s.stats.keep(r.ID, r.Tokens)
	s.batch.Leave(r)
	s.report()
}

// execute runs a request from its queueing to its end.
func (s *Server) execute(r *enginebatcher.Run, req *enginegenerator.Request, out enginegenerator.Output) {
	err := s.await(r, r.Admitted, out)
	if err != nil {
		out.Fail(bergamotdale.Refuse(bergamotdale.CodeStreamLost, "%v", context.Cause(r.Context)))
		return
	}
	s.stats.start(req)
	s.Faults.Execute(req.Body)
	s.report()
	u, err := s.prefill(r, req, out)
	if err == nil {
		err = s.decode(r, req, out)
	}
	if err != nil {
		lost := bergamotdale.Refuse(bergamotdale.CodeStreamLost, "%v", context.Cause(r.Context))
		out.Fail(lost.WithOutcome(bergamotdale.OutcomeUnknown))
		return
	}
	s.remember(req)
	out.End(u)
}

// await waits for done and sends heartbeats meanwhile.
func (s *Server) await(r *enginebatcher.Run, done <-chan struct{}, out enginegenerator.Output) error {
	ticker := time.NewTicker(s.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return s.Faults.Gate(r.Context)
		case <-ticker.C:
			if err := out.Heartbeat(); err != nil {
				return errors.Trace(err)
			}
		case <-r.Context.Done():
			return r.Context.Err()
		}
	}
}

// pause waits for the duration and sends heartbeats meanwhile.
func (s *Server) pause(r *enginebatcher.Run, d time.Duration, out enginegenerator.Output) error {
	ctx, cancel := context.WithTimeout(r.Context, d)
	defer cancel()
	err := s.await(r, ctx.Done(), out)
	if r.Context.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// prefill spends the time that the tokens without a cached prefix take.
func (s *Server) prefill(r *enginebatcher.Run, req *enginegenerator.Request, out enginegenerator.Output) (enginegenerator.Usage, error) {
	prompt := req.PromptTokens()
	hit := s.cache.Lookup(req.Prefixes)
	missing := prompt - hit + req.ResumeFrom
	if s.stats.kept(req.ID) >= req.ResumeFrom {
		missing -= req.ResumeFrom
	}
	d := time.Duration(float64(missing) / s.PrefillRate * float64(time.Second))
	if err := s.pause(r, d, out); err != nil {
		return enginegenerator.Usage{}, err
	}
	s.cache.Insert(req.Prefixes)
	s.stats.prompt(prompt, hit)
	return enginegenerator.Usage{
		PromptTokens:     prompt,
		CompletionTokens: req.Length,
		TotalTokens:      prompt + req.Length,
		Details:          enginegenerator.UsageDetails{CachedTokens: hit},
	}, nil
}

// decode generates the tokens at the configured rate.
func (s *Server) decode(r *enginebatcher.Run, req *enginegenerator.Request, out enginegenerator.Output) error {
	r.Tokens = req.ResumeFrom
	due := time.Now()
	for r.Tokens < req.Length {
		var tokens []string
		interval := s.interval()
		for now := time.Now(); !due.After(now) && r.Tokens+len(tokens) < req.Length; due = due.Add(interval) {
			tokens = append(tokens, req.Token(r.Tokens+len(tokens)))
		}
		if err := out.Data(r.Tokens, tokens); err != nil {
			return errors.Trace(err)
		}
		r.Tokens += len(tokens)
		s.stats.generate(len(tokens))
		if r.Tokens == req.Length {
			break
		}
		if err := s.pause(r, time.Until(due), out); err != nil {
			return err
		}
		// An engine that was frozen goes on at its rate and doesn't generate
		// the missed tokens at once.
		if time.Since(due) > s.Heartbeat {
			due = time.Now()
		}
	}
	return nil
}

// interval returns the time between two tokens of a stream.
func (s *Server) interval() time.Duration {
	running, _ := s.batch.Size()
	seconds := (1 + s.BatchPenalty*float64(running-1)) / s.TokenRate
	return max(time.Duration(seconds*float64(time.Second)), 1)
}

// remember caches the prefix that ends with the response, which is what the
// next request of the chat starts with.
func (s *Server) remember(req *enginegenerator.Request) {
	content, err := json.Marshal(req.Text())
	if err != nil {
		return
	}
	reply := bergamotdale.ChatMessage{Role: "assistant", Content: content}
	s.cache.Insert(enginecacher.Extend(req.Model, req.Prefixes, reply))
}
