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
	e := newExecution(s, run, req, enginegenerator.NewOutput(w, s.Name, req))
	defer e.stop()
	e.execute()
}

func (s *Server) refuse(w http.ResponseWriter, r *bergamotdale.Refusal) {
	s.stats.refuse()
	replier.Refusal(w, r)
}

func (s *Server) finish(r *enginebatcher.Run) {
	s.batch.Leave(r)
	s.report()
}
