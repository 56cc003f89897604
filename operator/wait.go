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
	// maxWaitTimeout limits the duration of a Wait call.
	maxWaitTimeout = time.Minute
	// pollInterval is the pause between two polls. Only routers that have not yet
	// reported the revision are queried again.
	pollInterval = 250 * time.Millisecond
	// queryTimeout limits the query of one router, so that an unresponsive router
	// does not delay the response.
	queryTimeout = time.Second
	// maxConcurrentQueries limits how many routers are queried at the same time.
	maxConcurrentQueries = 32
)

// Wait returns once every live router has the revision or a later one in force,
// or at the timeout. Revision 0 stands for the one that this router has in force.
func (s *Server) Wait(ctx context.Context, request *connect.Request[pb.WaitRequest]) (*connect.Response[pb.WaitResponse], error) {
	revision := request.Msg.Revision
	if revision == 0 {
		revision = s.Configuration.Status().Revision
	}
	deadline := s.Clock.Now().Add(min(request.Msg.Timeout.AsDuration(), maxWaitTimeout))
	reported := map[string]*pb.RouterRevision{}
	for {
		response := s.pollRouters(ctx, revision, reported)
		if response.Complete || !s.Clock.Now().Add(pollInterval).Before(deadline) {
			return connect.NewResponse(response), nil
		}
		if err := bergamotdale.Wait(ctx, s.Clock, pollInterval); err != nil {
			return nil, connect.NewError(connect.CodeCanceled, err)
		}
	}
}

// pollRouters queries the live routers that have not yet reported the revision and
// stores their responses in reported, by router ID. It reads the members on each
// call, because the membership may change between polls.
func (s *Server) pollRouters(ctx context.Context, revision int64, reported map[string]*pb.RouterRevision) *pb.WaitResponse {
	members := s.liveMembers()
	revisions := make([]*pb.RouterRevision, len(members))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for i, member := range members {
		if known := reported[member.ID]; hasRevision(known, revision) {
			revisions[i] = known
			continue
		}
		group.Go(func() error {
			revisions[i] = s.queryRevision(ctx, member)
			return nil
		})
	}
	_ = group.Wait()
	response := &pb.WaitResponse{Revision: revision, Complete: len(members) > 0, Routers: revisions}
	for i, member := range members {
		reported[member.ID] = revisions[i]
		response.Complete = response.Complete && hasRevision(revisions[i], revision)
	}
	return response
}

// hasRevision reports whether the router responded with at least the revision.
func hasRevision(reported *pb.RouterRevision, revision int64) bool {
	return reported != nil && reported.Error == "" && reported.Revision >= revision
}

// liveMembers returns the routers that may still serve requests. Suspect and
// draining routers are included until they are dead or have left.
func (s *Server) liveMembers() []bergamotdale.Member {
	var live []bergamotdale.Member
	for _, m := range s.Fleet.Members() {
		if m.State != bergamotdale.MemberDead && m.State != bergamotdale.MemberLeft {
			live = append(live, m)
		}
	}
	return live
}

// queryRevision returns the revision that a router has in force, or the reason why
// the router did not respond.
func (s *Server) queryRevision(ctx context.Context, member bergamotdale.Member) *pb.RouterRevision {
	result := &pb.RouterRevision{Router: member.ID, Address: member.Address}
	status := s.Configuration.Status()
	if member.ID != s.Router {
		ctx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		status = follower.Status{}
		if err := s.Peer.Call(ctx, member.Address, "status", follower.StatusRequest{}, &status); err != nil {
			result.Error = err.Error()
			return result
		}
	}
	result.Revision = status.Revision
	if !status.Since.IsZero() {
		result.Since = timestamppb.New(status.Since)
	}
	return result
}
