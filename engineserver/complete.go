package engineserver

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/injector"
)

// maxBody is the longest request body accepted, in bytes.
const maxBody = 16 << 20

// complete serves POST /v1/chat/completions.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return
	}
	req, err := parseRequest(r.Header.Get("X-Request-Id"), body)
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
	run, err := s.batch.enter(r.Context(), req.id, req.Priority)
	if err != nil {
		s.refuse(w, bergamotdale.Refuse(bergamotdale.CodeOverloaded, "%v", err).After(time.Second))
		return
	}
	s.report()
	defer s.finish(run)
	var out output = &plain{w: w, server: s, req: req}
	if req.Stream {
		out = newEventStream(w, s, req)
	}
	s.execute(run, req, out)
}

// output receives the response while it is generated.
type output interface {
	// heartbeat shows that the request is alive.
	heartbeat() error
	// data receives tokens; offset is the number of tokens before them.
	data(offset int, tokens []string) error
	// end completes the response.
	end(u usage)
	// fail ends the response early.
	fail(r *bergamotdale.Refusal)
}

// usage is the usage object of the API.
type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (s *Server) refuse(w http.ResponseWriter, r *bergamotdale.Refusal) {
	s.stats.refuse()
	injector.WriteRefusal(w, r)
}

func (s *Server) finish(r *run) {
	s.stats.keep(r.id, r.tokens)
	s.batch.leave(r)
	s.report()
}

// execute runs a request from its queueing to its end.
func (s *Server) execute(r *run, req *chatRequest, out output) {
	err := s.await(r, r.admitted, out)
	if err != nil {
		out.fail(bergamotdale.Refuse(bergamotdale.CodeStreamLost, "%v", context.Cause(r.ctx)))
		return
	}
	s.stats.start(req)
	s.Faults.Execute(req.body)
	s.report()
	u, err := s.prefill(r, req, out)
	if err == nil {
		err = s.decode(r, req, out)
	}
	if err != nil {
		lost := bergamotdale.Refuse(bergamotdale.CodeStreamLost, "%v", context.Cause(r.ctx))
		out.fail(lost.WithOutcome(bergamotdale.OutcomeUnknown))
		return
	}
	s.remember(req)
	out.end(u)
}

// await waits for done and sends heartbeats meanwhile.
func (s *Server) await(r *run, done <-chan struct{}, out output) error {
	ticker := time.NewTicker(s.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return s.Faults.Gate(r.ctx)
		case <-ticker.C:
			if err := out.heartbeat(); err != nil {
				return errors.Trace(err)
			}
		case <-r.ctx.Done():
			return r.ctx.Err()
		}
	}
}

// pause waits for the duration and sends heartbeats meanwhile.
func (s *Server) pause(r *run, d time.Duration, out output) error {
	ctx, cancel := context.WithTimeout(r.ctx, d)
	defer cancel()
	err := s.await(r, ctx.Done(), out)
	if r.ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// prefill spends the time that the tokens without a cached prefix take.
func (s *Server) prefill(r *run, req *chatRequest, out output) (usage, error) {
	prompt := req.promptTokens()
	hit := s.cache.lookup(req.prefixes)
	missing := prompt - hit + req.ResumeFrom
	if s.stats.kept(req.id) >= req.ResumeFrom {
		missing -= req.ResumeFrom
	}
	d := time.Duration(float64(missing) / s.PrefillRate * float64(time.Second))
	if err := s.pause(r, d, out); err != nil {
		return usage{}, err
	}
	s.cache.insert(req.prefixes)
	s.stats.prompt(prompt, hit)
	return usage{
		PromptTokens:     prompt,
		CompletionTokens: req.length,
		TotalTokens:      prompt + req.length,
		Details:          usageDetails{CachedTokens: hit},
	}, nil
}

// decode generates the tokens at the configured rate.
func (s *Server) decode(r *run, req *chatRequest, out output) error {
	r.tokens = req.ResumeFrom
	due := time.Now()
	for r.tokens < req.length {
		var tokens []string
		interval := s.interval()
		for now := time.Now(); !due.After(now) && r.tokens+len(tokens) < req.length; due = due.Add(interval) {
			tokens = append(tokens, req.token(r.tokens+len(tokens)))
		}
		if err := out.data(r.tokens, tokens); err != nil {
			return errors.Trace(err)
		}
		r.tokens += len(tokens)
		s.stats.generate(len(tokens))
		if r.tokens == req.length {
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
	running, _ := s.batch.size()
	seconds := (1 + s.BatchPenalty*float64(running-1)) / s.TokenRate
	return max(time.Duration(seconds*float64(time.Second)), 1)
}

// remember caches the prefix that ends with the response, which is what the
// next request of the chat starts with.
func (s *Server) remember(req *chatRequest) {
	content, err := json.Marshal(req.text())
	if err != nil {
		return
	}
	reply := bergamotdale.ChatMessage{Role: "assistant", Content: content}
	s.cache.insert(extend(req.Model, req.prefixes, reply))
}

// text returns the whole response.
func (r *chatRequest) text() string {
	b := strings.Builder{}
	for n := range r.length {
		b.WriteString(r.token(n))
	}
	return b.String()
}
