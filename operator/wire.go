package operator

import (
	"maps"
	"math"
	"slices"
	"strconv"

	"connectrpc.com/connect"
	"github.com/juju/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/decoder"
	"github.com/bergamotdale/bergamotdale/differ"
	pb "github.com/bergamotdale/bergamotdale/operatorpb"
	"github.com/bergamotdale/bergamotdale/reviser"
)

// wireProblems returns the problems that an error holds as protobuf messages, and
// whether it holds any.
func wireProblems(err error) ([]*pb.Problem, bool) {
	var problems decoder.Problems
	if !errors.As(err, &problems) {
		return nil, false
	}
	wire := make([]*pb.Problem, len(problems))
	for i, p := range problems {
		wire[i] = &pb.Problem{
			File: p.File, Line: int32(p.Line), Column: int32(p.Column),
			Path: p.Path, Message: p.Message, Expected: p.Expected,
		}
	}
	return wire, true
}

// Problems returns the problems of a response as an error of type
// decoder.Problems, or nil if there are none.
func Problems(wire []*pb.Problem) error {
	if len(wire) == 0 {
		return nil
	}
	problems := make(decoder.Problems, len(wire))
	for i, p := range wire {
		problems[i] = decoder.Problem{
			File: p.File, Position: decoder.Position{Line: int(p.Line), Column: int(p.Column)},
			Path: p.Path, Message: p.Message, Expected: p.Expected,
		}
	}
	return problems
}

func wireDifferences(differences []differ.Difference) []*pb.Difference {
	wire := make([]*pb.Difference, len(differences))
	for i, d := range differences {
		wire[i] = &pb.Difference{Path: d.Path, Before: d.Before, After: d.After}
	}
	return wire
}

// Differences converts the differences of a response from their protobuf form.
func Differences(wire []*pb.Difference) []differ.Difference {
	differences := make([]differ.Difference, len(wire))
	for i, d := range wire {
		differences[i] = differ.Difference{Path: d.Path, Before: d.Before, After: d.After}
	}
	return differences
}

func wireChange(c reviser.Change) *pb.Change {
	return &pb.Change{
		Revision: c.Revision, Author: c.Author, Time: timestamppb.New(c.Time), Comment: c.Comment,
		Sections: slices.Sorted(maps.Keys(c.Replaced)),
	}
}

func wireConflict(e *reviser.ConflictError) *pb.Conflict {
	return &pb.Conflict{
		InForce: wireChange(e.Current), BaseKnown: e.BaseKnown,
		Since: wireDifferences(e.SinceBase), Proposed: wireDifferences(e.Proposed),
	}
}

// connectError converts an error to a connect error with the matching code. A
// refusal keeps its message and its outcome, and its retry delay becomes the
// Retry-After header.
func connectError(err error) error {
	var refusal *bergamotdale.Refusal
	switch {
	case errors.Is(err, errors.NotFound):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.Is(err, errors.NotValid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case !errors.As(err, &refusal):
		return connect.NewError(connect.CodeInternal, err)
	}
	code := connect.CodeUnavailable
	switch {
	case refusal.Outcome == bergamotdale.OutcomeUnknown:
		// Not CodeUnavailable, because clients retry on that code and the call may
		// have taken effect.
		code = connect.CodeUnknown
	case refusal.Code.HTTPStatus() < 500 && refusal.Code.HTTPStatus() != 429:
		code = connect.CodeInvalidArgument
	}
	e := connect.NewError(code, errors.Errorf("%s (outcome %s)", refusal.Message, refusal.Outcome))
	if refusal.RetryAfter > 0 {
		e.Meta().Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
	return e
}
