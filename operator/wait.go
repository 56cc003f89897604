package operator

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/follower"
	pb "github.com/bergamotdale/bergamotdale/operatorpb"
)

const (
	// maxWaitTimeout bounds how long a call of Wait is held.
	maxWaitTimeout = time.Minute
	// waitPeriod separates two rounds of questions; only routers that do not
	// have the revision yet are asked again.
	waitPeriod = 250 * time.Millisecond
	// askTimeout bounds one question, so that a frozen router does not hold up
	// the answer.
	askTimeout = time.Second
	// askConcurrency bounds the questions at a time.
	askConcurrency = 32
)

// Wait implements the operators' interface.
func (s *Server) Wait(ctx context.Context, r *connect.Request[pb.WaitRequest]) (*connect.Response[pb.WaitResponse], error) {
	revision := r.Msg.Revision
	if revision == 0 {
		revision = s.Configuration.Status().Revision
	}
	deadline := s.Clock.Now().Add(min(r.Msg.Timeout.AsDuration(), maxWaitTimeout))
	answers := map[string]*pb.RouterRevision{}
	for {
		response := s.round(ctx, revision, answers)
		if response.Complete || !s.Clock.Now().Add(waitPeriod).Before(deadline) {
			return connect.NewResponse(response), nil
		}
		if err := bergamotdale.Wait(ctx, s.Clock, waitPeriod); err != nil {
			return nil, connect.NewError(connect.CodeCanceled, err)
		}
	}
}

// round asks the live routers that have not reported the revision so far. The
// membership may change between rounds.
func (s *Server) round(ctx context.Context, revision int64, answers map[string]*pb.RouterRevision) *pb.WaitResponse {
	members := s.live()
	found := make([]*pb.RouterRevision, len(members))
	var group errgroup.Group
	group.SetLimit(askConcurrency)
	for i, m := range members {
		if known := answers[m.ID]; has(known, revision) {
			found[i] = known
			continue
		}
		group.Go(func() error {
			found[i] = s.ask(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
	response := &pb.WaitResponse{Revision: revision, Complete: len(members) > 0, Routers: found}
	for i, m := range members {
		answers[m.ID] = found[i]
		response.Complete = response.Complete && has(found[i], revision)
	}
	return response
}

// has reports whether the router answered with at least the revision.
func has(r *pb.RouterRevision, revision int64) bool {
	return r != nil && r.Error == "" && r.Revision >= revision
}

// live returns the routers that serve or may still serve: a suspect or
// draining router counts until it is known to be gone.
func (s *Server) live() []bergamotdale.Member {
	var live []bergamotdale.Member
	for _, m := range s.Fleet.Members() {
		if m.State != bergamotdale.MemberDead && m.State != bergamotdale.MemberLeft {
			live = append(live, m)
		}
	}
	return live
}

func (s *Server) ask(ctx context.Context, m bergamotdale.Member) *pb.RouterRevision {
	answer := &pb.RouterRevision{Router: m.ID, Address: m.Address}
	status := s.Configuration.Status()
	if m.ID != s.Router {
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		status = follower.Status{}
		if err := s.Peer.Call(ctx, m.Address, "status", follower.StatusRequest{}, &status); err != nil {
			answer.Error = err.Error()
			return answer
		}
	}
	answer.Revision = status.Revision
	if !status.Since.IsZero() {
		answer.Since = timestamppb.New(status.Since)
	}
	return answer
}
