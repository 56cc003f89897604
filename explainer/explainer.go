// Package explainer answers the read-only queries of the operator API: the status
// of a router with its view of the fleet, and the endpoint to which the router
// would send a request of a chat, with the reasons. It uses only the local state
// of the router: it changes nothing and calls no other router.
package explainer

import (
	"context"
	"fmt"
	"slices"

	"github.com/samber/lo"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/admitter"
	"github.com/bergamotdale/bergamotdale/dispatcher"
	pb "github.com/bergamotdale/bergamotdale/operatorpb"
	"github.com/bergamotdale/bergamotdale/placer"
	"github.com/bergamotdale/bergamotdale/sharder"
	"github.com/bergamotdale/bergamotdale/viewer"
)

// Version is the version of the program. Builds can set it with the linker flag
// -X.
var Version = "development"

// Explainer implements operator.Fleet, operator.Reporter and operator.Explainer
// for one router. Its fields must be set before the first call.
type Explainer struct {
	// Self is this router, and Region is its region.
	Self       bergamotdale.Member
	Region     string
	Viewer     *viewer.Viewer
	Dispatcher *dispatcher.Dispatcher
	// Ready returns nil while the router accepts new requests.
	Ready func() error
	// GroupLoad returns the total load of the engine group of a model, and whether
	// it is known.
	GroupLoad func(model string) (placer.GroupLoad, bool)
}

// Members returns the routers of the fleet as this router knows them.
func (e *Explainer) Members() []bergamotdale.Member {
	return e.Viewer.Gossiper.View().Members()
}

// Status returns the status of this router: its configuration revision, the
// members, the endpoints and the shards that it owns.
func (e *Explainer) Status(context.Context) (*pb.StatusResponse, error) {
	config := e.Viewer.Follower.Status()
	response := &pb.StatusResponse{
		Router:        e.Self.ID,
		Version:       Version,
		FailureDomain: e.Self.FailureDomain,
		Region:        e.Region,
		Ready:         e.Ready() == nil,
		Revision:      config.Revision,
		Members:       e.memberStatuses(),
		Endpoints:     e.endpointStatuses(),
		Shards:        e.ownedShards(),
	}
	if !config.Since.IsZero() {
		response.Since = timestamppb.New(config.Since)
	}
	if !config.StoreSeen.IsZero() {
		response.StoreSeen = timestamppb.New(config.StoreSeen)
	}
	return response, nil
}

// memberStatuses returns the members as this router knows them.
func (e *Explainer) memberStatuses() []*pb.MemberStatus {
	return lo.Map(e.Members(), func(m bergamotdale.Member, _ int) *pb.MemberStatus {
		return &pb.MemberStatus{Router: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, State: string(m.State)}
	})
}

// endpointStatuses returns the state and the owner of every engine as this router
// knows them. The load is set only for the engines that this router owns.
func (e *Explainer) endpointStatuses() []*pb.EndpointStatus {
	view := e.Viewer.Current()
	if view.Config() == nil {
		return nil
	}
	loads := lo.KeyBy(e.Dispatcher.ReportLoads(), func(l admitter.Load) string { return l.Endpoint })
	var statuses []*pb.EndpointStatus
	for _, engine := range view.Config().Engines() {
		status := &pb.EndpointStatus{Endpoint: engine.Name(), FailureDomain: engine.FailureDomain(), State: "ok"}
		if view.Draining(engine.Name()) {
			status.State = "draining"
		}
		status.Owner, status.Epoch = e.ownerOf(engine.Name())
		if load, own := loads[engine.Name()]; own {
			status.Running, status.Queued = int32(load.Running), int32(load.Load-load.Running)
			status.Limit = int32(load.Limit)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// ownerOf returns the owner of an endpoint or shard and the epoch of its claim.
// If no claim is known, it returns the router that should own the name and epoch
// zero.
func (e *Explainer) ownerOf(name string) (string, int64) {
	if claim, ok := e.Viewer.Elector.Owner(name); ok {
		return claim.Owner, claim.Epoch
	}
	return e.Viewer.Current().DesiredOwners()[name], 0
}

// ownedShards returns the numbers of the shards that this router owns, in
// ascending order.
func (e *Explainer) ownedShards() []int32 {
	var shards []int32
	for name := range e.Viewer.Elector.Held() {
		if number, ok := sharder.ParseName(name); ok {
			shards = append(shards, int32(number))
		}
	}
	slices.Sort(shards)
	return shards
}

// Explain predicts how this router would handle a request: the refusal, or the
// candidate endpoints in the order in which they would be tried.
func (e *Explainer) Explain(_ context.Context, request *pb.ExplainRequest) (*pb.ExplainResponse, error) {
	view := e.Viewer.Current()
	response := &pb.ExplainResponse{PriorityClass: request.GetPriorityClass()}
	if refusal := e.checkRequest(view, request, response); refusal != nil {
		response.RefusalCode = int32(refusal.Code)
		response.Reasons = append(response.Reasons, refusal.Message)
	} else {
		e.explainPlacement(view, request, response)
	}
	return response, nil
}

// explainPlacement adds to the response the candidate endpoints of a request that
// would be admitted.
func (e *Explainer) explainPlacement(view *viewer.View, request *pb.ExplainRequest, response *pb.ExplainResponse) {
	group := view.Group(request.GetModel())
	order := group.Order(nil, placer.OrderRequest{Chat: request.GetChat(), Now: e.Viewer.Clock.Now()})
	load, known := e.GroupLoad(request.GetModel())
	capacity := 0
	if known {
		bound := placer.LoadBound{Multiple: view.Config().Limits().LoadMultiple}
		capacity = bound.Capacity(load)
		response.MeanLoad = float64(load.Requests) / float64(max(load.Engines, 1))
		response.MeanAge = durationpb.New(load.Age)
	}
	for i, index := range order {
		candidate := group.Candidate(index)
		owner, _ := e.ownerOf(candidate.Name)
		response.Candidates = append(response.Candidates, &pb.Candidate{
			Endpoint: candidate.Name, Owner: owner, FailureDomain: candidate.FailureDomain,
			Capacity: int32(capacity), Chosen: i == 0, Reason: candidateReason(i),
		})
	}
	if len(order) == 0 {
		response.RefusalCode = int32(bergamotdale.CodeNoEndpoint)
		response.Reasons = append(response.Reasons, "every engine of the model group is draining")
		return
	}
	first := response.Candidates[0]
	response.Endpoint, response.Owner = first.Endpoint, first.Owner
	response.Reasons = append(response.Reasons,
		fmt.Sprintf("%s is first in rendezvous order for the chat among %d engines", first.Endpoint, len(order)),
		fmt.Sprintf("%s owns it and makes the final decision: a placement override or a full engine sends the chat to the next candidate", first.Owner))
}

// candidateReason states when the candidate at an index of the rendezvous order is
// used.
func candidateReason(index int) string {
	if index == 0 {
		return "first in rendezvous order"
	}
	return fmt.Sprintf("used if the %d candidates before it are at their load bound", index)
}

// checkRequest returns the refusal that a client would get for the request, or nil.
// It adds the revision, the model group and the priority class to the response.
func (e *Explainer) checkRequest(view *viewer.View, request *pb.ExplainRequest, response *pb.ExplainResponse) *bergamotdale.Refusal {
	if view.Config() == nil {
		return bergamotdale.Refuse(bergamotdale.CodeNoConfiguration, "no configuration is known yet")
	}
	response.Revision = view.Config().Revision()
	workspace, ok := view.Config().Workspace(request.GetWorkspace())
	if !ok {
		return bergamotdale.Refuse(bergamotdale.CodeUnknownWorkspace, "workspace %q does not exist", request.GetWorkspace())
	}
	model, ok := view.Config().Model(request.GetModel())
	if !ok {
		return bergamotdale.Refuse(bergamotdale.CodeUnknownModel, "model %q does not exist", request.GetModel())
	}
	response.ModelGroup = model.GroupName()
	if !workspace.Allows(model) {
		return bergamotdale.Refuse(bergamotdale.CodeModelNotAllowed, "workspace %q may not use model %q", workspace.Name(), model.Name())
	}
	if response.PriorityClass == "" {
		response.PriorityClass = workspace.DefaultPriorityClass().Name()
	}
	if _, ok := view.Config().PriorityClass(response.GetPriorityClass()); !ok {
		return bergamotdale.Refuse(bergamotdale.CodeUnknownPriorityClass, "priority class %q does not exist", response.GetPriorityClass())
	}
	return nil
}
