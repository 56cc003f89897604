package engineserver

import (
	"io"
	"net/http"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/enginebatcher"
	"github.com/bergamotdale/bergamotdale/enginegenerator"
	"github.com/bergamotdale/bergamotdale/replier"
)

// maxBodyBytes is the size of the largest request body that is accepted.
const maxBodyBytes = 16 << 20

// serveCompletion serves POST /v1/chat/completions.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	req, err := enginegenerator.Parse(r.Header.Get("X-Request-Id"), body)
	if err != nil {
		s.refuse(w, bergamotdale.Refuse(bergamotdale.CodeInvalidRequest, "%v", err))
		return
	}
	if s.control.draining() {
		s.refuse(w, bergamotdale.Refuse(bergamotdale.CodeStopping, "the engine is draining and accepts no new requests").After(time.Second))
		return
	}
	if !s.control.serves(req.Model) {
		s.refuse(w, bergamotdale.Refuse(bergamotdale.CodeUnknownModel, "model %q is not loaded in this engine", req.Model))
		return
	}
	run, err := s.batcher.Enqueue(r.Context(), req.ID, req.Priority)
	if err != nil {
		s.refuse(w, bergamotdale.Refuse(bergamotdale.CodeOverloaded, "%v", err).After(time.Second))
		return
	}
	s.recordLoad()
	defer s.finishRun(run)
	e := newExecution(s, run, req, enginegenerator.NewOutput(w, s.Name, req))
	defer e.stop()
	e.execute()
}

// refuse counts and writes a refusal.
func (s *Server) refuse(w http.ResponseWriter, refusal *bergamotdale.Refusal) {
	s.stats.countRefusal()
	replier.Refusal(w, refusal)
}

// finishRun frees the slot or queue position of the run and records the new load.
func (s *Server) finishRun(run *enginebatcher.Run) {
	s.batcher.Finish(run)
	s.recordLoad()
}
