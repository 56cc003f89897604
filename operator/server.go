package operator

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/decoder"
	"github.com/bergamotdale/bergamotdale/differ"
	"github.com/bergamotdale/bergamotdale/follower"
	"github.com/bergamotdale/bergamotdale/loader"
	pb "github.com/bergamotdale/bergamotdale/operatorpb"
	"github.com/bergamotdale/bergamotdale/reviser"
	"github.com/bergamotdale/bergamotdale/validator"
)

// Configuration is what the server needs of a follower.Follower.
type Configuration interface {
	Document() (*validator.Document, int64)
	DocumentAt(ctx context.Context, revision int64) (*validator.Document, error)
	History() []reviser.Change
	Apply(ctx context.Context, r reviser.Request) (reviser.Result, error)
	Status() follower.Status
}

// Fleet knows the routers, this one included.
type Fleet interface {
	Members() []bergamotdale.Member
}

// Reporter describes this router. The members of the status include it, since
// the timeline is read from the members.
type Reporter interface {
	Status(ctx context.Context) (*pb.StatusResponse, error)
}

// Explainer tells where a chat would go. It changes nothing.
type Explainer interface {
	Explain(ctx context.Context, r *pb.ExplainRequest) (*pb.ExplainResponse, error)
}

// Server implements the operators' interface. Its fields are set before
// Handler.
type Server struct {
	// Router is the ID of this router.
	Router        string
	Configuration Configuration
	Fleet         Fleet
	Reporter      Reporter
	Explainer     Explainer
	// Peer asks the other routers for their revisions.
	Peer  bergamotdale.Peer
	Clock bergamotdale.Clock
	// DrainDeadline is the one of this router's settings; documents that
	// accept longer streams are refused.
	DrainDeadline time.Duration
	// MaxBytes bounds a request.
	MaxBytes loader.Size
}

var _ pb.OperatorServiceHandler = (*Server)(nil)

// Handler returns the path prefix and the handler. gRPC needs a server with
// unencrypted HTTP/2; JSON works with any.
func (s *Server) Handler() (string, http.Handler) {
	return pb.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(int(s.MaxBytes)))
}

// Get implements the operators' interface.
func (s *Server) Get(ctx context.Context, r *connect.Request[pb.GetRequest]) (*connect.Response[pb.GetResponse], error) {
	d, revision := s.Configuration.Document()
	if d == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("no configuration is in force"))
	}
	if r.Msg.Revision != 0 && r.Msg.Revision != revision {
		var err error
		revision = r.Msg.Revision
		if d, err = s.Configuration.DocumentAt(ctx, revision); err != nil {
			return nil, wireError(err)
		}
	}
	text, err := d.YAML()
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&pb.GetResponse{Revision: revision, Yaml: string(text)}), nil
}

// Check implements the operators' interface.
func (s *Server) Check(_ context.Context, r *connect.Request[pb.CheckRequest]) (*connect.Response[pb.CheckResponse], error) {
	inForce, revision := s.Configuration.Document()
	d, err := s.parse(r.Msg.File, r.Msg.Yaml)
	if problems, ok := asProblems(err); ok {
		return connect.NewResponse(&pb.CheckResponse{Problems: problems, Revision: revision}), nil
	}
	if err != nil {
		return nil, wireError(err)
	}
	if inForce == nil {
		inForce = &validator.Document{}
	}
	return connect.NewResponse(&pb.CheckResponse{
		Differences: wireDifferences(differ.Compare(inForce, d)),
		Revision:    revision,
	}), nil
}

// Apply implements the operators' interface.
func (s *Server) Apply(ctx context.Context, r *connect.Request[pb.ApplyRequest]) (*connect.Response[pb.ApplyResponse], error) {
	if strings.TrimSpace(r.Msg.Author) == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the author is missing"))
	}
	d, err := s.parse(r.Msg.File, r.Msg.Yaml)
	if err != nil {
		return s.rejected(err)
	}
	result, err := s.Configuration.Apply(ctx, reviser.Request{
		BaseRevision: r.Msg.Base, Document: d, Author: r.Msg.Author, Comment: r.Msg.Comment,
	})
	if err != nil {
		return s.rejected(err)
	}
	outcome := pb.ApplyOutcome_APPLY_OUTCOME_ACCEPTED
	if len(result.Sections) == 0 {
		outcome = pb.ApplyOutcome_APPLY_OUTCOME_UNCHANGED
	}
	return connect.NewResponse(&pb.ApplyResponse{
		Outcome: outcome, Revision: result.Revision, Sections: result.Sections,
	}), nil
}

// rejected answers an Apply that changed nothing.
func (s *Server) rejected(err error) (*connect.Response[pb.ApplyResponse], error) {
	_, revision := s.Configuration.Document()
	if problems, ok := asProblems(err); ok {
		return connect.NewResponse(&pb.ApplyResponse{
			Outcome: pb.ApplyOutcome_APPLY_OUTCOME_INVALID, Revision: revision, Problems: problems,
		}), nil
	}
	var conflict *reviser.ConflictError
	if errors.As(err, &conflict) {
		return connect.NewResponse(&pb.ApplyResponse{
			Outcome: pb.ApplyOutcome_APPLY_OUTCOME_CONFLICT, Revision: conflict.CurrentRevision, Conflict: wireConflict(conflict),
		}), nil
	}
	return nil, wireError(err)
}

// History implements the operators' interface.
func (s *Server) History(context.Context, *connect.Request[pb.HistoryRequest]) (*connect.Response[pb.HistoryResponse], error) {
	response := &pb.HistoryResponse{}
	for _, c := range s.Configuration.History() {
		response.Changes = append(response.Changes, wireChange(c))
	}
	return connect.NewResponse(response), nil
}

// Status implements the operators' interface.
func (s *Server) Status(ctx context.Context, _ *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	status, err := s.Reporter.Status(ctx)
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(status), nil
}

// Explain implements the operators' interface.
func (s *Server) Explain(ctx context.Context, r *connect.Request[pb.ExplainRequest]) (*connect.Response[pb.ExplainResponse], error) {
	explanation, err := s.Explainer.Explain(ctx, r.Msg)
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(explanation), nil
}

func (s *Server) parse(file, text string) (*validator.Document, error) {
	if file == "" {
		file = "configuration"
	}
	var rules []validator.Rule
	if s.DrainDeadline > 0 {
		rules = append(rules, s.streamsEndBeforeStop)
	}
	return validator.Parse(file, []byte(text), rules...)
}

// streamsEndBeforeStop reports a longest stream that a planned stop of this
// router would cut (D13).
func (s *Server) streamsEndBeforeStop(d *validator.Document, src *decoder.Source) {
	if d.Limits.MaxStreamDuration >= s.DrainDeadline {
		src.Report(decoder.At("limits", "max-stream-duration"),
			"less than the drain-deadline of the routers, "+s.DrainDeadline.String(),
			"a stream of %s could outlive a planned stop", d.Limits.MaxStreamDuration)
	}
}
