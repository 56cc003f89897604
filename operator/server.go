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

// Configuration reads and changes the fleet's configuration. It is implemented by
// follower.Follower.
type Configuration interface {
	Document() (*validator.Document, int64)
	DocumentAt(ctx context.Context, revision int64) (*validator.Document, error)
	History() []reviser.Change
	Apply(ctx context.Context, r reviser.Request) (reviser.Result, error)
	Status() follower.Status
}

// Fleet lists the routers of the fleet, including this one.
type Fleet interface {
	Members() []bergamotdale.Member
}

// Reporter returns the status of this router. The members in the status include
// this router, because Client.Timeline queries only the listed members.
type Reporter interface {
	Status(ctx context.Context) (*pb.StatusResponse, error)
}

// Explainer predicts to which endpoint a request of a chat would be sent. It
// changes no state.
type Explainer interface {
	Explain(ctx context.Context, r *pb.ExplainRequest) (*pb.ExplainResponse, error)
}

// Server implements the operator API. Its fields must be set before Handler is
// called.
type Server struct {
	// Router is the ID of this router.
	Router        string
	Configuration Configuration
	Fleet         Fleet
	Reporter      Reporter
	Explainer     Explainer
	// Peer queries the other routers for the revision that they have in force.
	Peer  bergamotdale.Peer
	Clock bergamotdale.Clock
	// DrainDeadline is the drain deadline of this router. Documents whose maximum
	// stream duration reaches it are rejected. Zero disables the check.
	DrainDeadline time.Duration
	// MaxBytes limits the size of a request.
	MaxBytes loader.Size
}

var _ pb.OperatorServiceHandler = (*Server)(nil)

// Handler returns the path prefix of the service and its HTTP handler. gRPC
// clients need a server with unencrypted HTTP/2; JSON also works over HTTP/1.1.
func (s *Server) Handler() (string, http.Handler) {
	return pb.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(int(s.MaxBytes)))
}

// Get returns the configuration in force or, if the request names a revision, that
// revision.
func (s *Server) Get(ctx context.Context, request *connect.Request[pb.GetRequest]) (*connect.Response[pb.GetResponse], error) {
	document, revision := s.Configuration.Document()
	if document == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("no configuration is in force"))
	}
	if request.Msg.Revision != 0 && request.Msg.Revision != revision {
		var err error
		revision = request.Msg.Revision
		if document, err = s.Configuration.DocumentAt(ctx, revision); err != nil {
			return nil, connectError(err)
		}
	}
	text, err := document.YAML()
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&pb.GetResponse{Revision: revision, Yaml: string(text)}), nil
}

// Check validates a document and compares it with the one in force. It changes
// nothing.
func (s *Server) Check(_ context.Context, request *connect.Request[pb.CheckRequest]) (*connect.Response[pb.CheckResponse], error) {
	inForce, revision := s.Configuration.Document()
	document, err := s.parseDocument(request.Msg.File, request.Msg.Yaml)
	if problems, ok := wireProblems(err); ok {
		return connect.NewResponse(&pb.CheckResponse{Problems: problems, Revision: revision}), nil
	}
	if err != nil {
		return nil, connectError(err)
	}
	if inForce == nil {
		inForce = &validator.Document{}
	}
	return connect.NewResponse(&pb.CheckResponse{
		Differences: wireDifferences(differ.Compare(inForce, document)),
		Revision:    revision,
	}), nil
}

// Apply makes a document the next revision. An invalid document and a conflict
// with a later revision are reported as outcomes of the response, not as errors.
func (s *Server) Apply(ctx context.Context, request *connect.Request[pb.ApplyRequest]) (*connect.Response[pb.ApplyResponse], error) {
	if strings.TrimSpace(request.Msg.Author) == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the author is missing"))
	}
	document, err := s.parseDocument(request.Msg.File, request.Msg.Yaml)
	if err != nil {
		return s.rejectApply(err)
	}
	result, err := s.Configuration.Apply(ctx, reviser.Request{
		BaseRevision: request.Msg.Base, Document: document, Author: request.Msg.Author, Comment: request.Msg.Comment,
	})
	if err != nil {
		return s.rejectApply(err)
	}
	outcome := pb.ApplyOutcome_APPLY_OUTCOME_ACCEPTED
	if len(result.Sections) == 0 {
		outcome = pb.ApplyOutcome_APPLY_OUTCOME_UNCHANGED
	}
	return connect.NewResponse(&pb.ApplyResponse{
		Outcome: outcome, Revision: result.Revision, Sections: result.Sections,
	}), nil
}

// rejectApply converts the error of an Apply into a response, or into a connect
// error if it is neither an invalid document nor a conflict.
func (s *Server) rejectApply(err error) (*connect.Response[pb.ApplyResponse], error) {
	_, revision := s.Configuration.Document()
	if problems, ok := wireProblems(err); ok {
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
	return nil, connectError(err)
}

// History returns the most recent revisions.
func (s *Server) History(context.Context, *connect.Request[pb.HistoryRequest]) (*connect.Response[pb.HistoryResponse], error) {
	response := &pb.HistoryResponse{}
	for _, change := range s.Configuration.History() {
		response.Changes = append(response.Changes, wireChange(change))
	}
	return connect.NewResponse(response), nil
}

// Status returns the status of this router.
func (s *Server) Status(ctx context.Context, _ *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	status, err := s.Reporter.Status(ctx)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(status), nil
}

// Explain predicts to which endpoint a request of a chat would be sent.
func (s *Server) Explain(ctx context.Context, request *connect.Request[pb.ExplainRequest]) (*connect.Response[pb.ExplainResponse], error) {
	explanation, err := s.Explainer.Explain(ctx, request.Msg)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(explanation), nil
}

// parseDocument parses and validates a configuration document. The file name is
// used in the reported problems.
func (s *Server) parseDocument(file, text string) (*validator.Document, error) {
	if file == "" {
		file = "configuration"
	}
	var rules []validator.Rule
	if s.DrainDeadline > 0 {
		rules = append(rules, s.checkStreamDuration)
	}
	return validator.Parse(file, []byte(text), rules...)
}

// checkStreamDuration reports a max-stream-duration that is not below the drain
// deadline, because a planned stop of this router would cut such streams (D13).
func (s *Server) checkStreamDuration(document *validator.Document, source *decoder.Source) {
	if document.Limits.MaxStreamDuration >= s.DrainDeadline {
		source.Report(decoder.NewPath("limits", "max-stream-duration"),
			"less than the drain-deadline of the routers, "+s.DrainDeadline.String(),
			"a stream of %s could outlive a planned stop", document.Limits.MaxStreamDuration)
	}
}
