// Package explainer answers operators: what a router believes, and where it
// would send a chat and why. It changes nothing and asks no other router.
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

// Version is the version of the program, set by the linker.
var Version = "development"

// Explainer describes one router. Its fields are set before the first call.
type Explainer struct {
	// Self is this router, Region its region.
	Self     bergamotdale.Member
	Region   string
	Views    *viewer.Viewer
	Dispatch *dispatcher.Dispatcher
	// Ready returns nil while the router accepts new requests.
	Ready func() error
	// Mean returns the mean load of the group of a model.
	Mean func(model string) (placer.GroupLoad, bool)
}

// Members implements operator.Fleet.
func (e *Explainer) Members() []bergamotdale.Member {
	return e.Views.Gossiper.View().Members()
}

// Status implements operator.Reporter.
func (e *Explainer) Status(context.Context) (*pb.StatusResponse, error) {
	config := e.Views.Follower.Status()
	response := &pb.StatusResponse{
		Router:        e.Self.ID,
		Version:       Version,
		FailureDomain: e.Self.FailureDomain,
		Region:        e.Region,
		Ready:         e.Ready() == nil,
		Revision:      config.Revision,
		Members:       e.memberStatus(),
		Endpoints:     e.endpointStatus(),
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

func (e *Explainer) memberStatus() []*pb.MemberStatus {
	return lo.Map(e.Members(), func(m bergamotdale.Member, _ int) *pb.MemberStatus {
		return &pb.MemberStatus{Router: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, State: string(m.State)}
	})
}

// endpointStatus returns what this router believes of every engine.
func (e *Explainer) endpointStatus() []*pb.EndpointStatus {
	v := e.Views.Current()
	if v.Config() == nil {
		return nil
	}
	loads := lo.KeyBy(e.Dispatch.ReportLoads(), func(l admitter.Load) string { return l.Endpoint })
	var all []*pb.EndpointStatus
	for _, engine := range v.Config().Engines() {
		status := &pb.EndpointStatus{Endpoint: engine.Name(), FailureDomain: engine.FailureDomain(), State: "ok"}
		if v.Draining(engine.Name()) {
			status.State = "draining"
		}
		status.Owner, status.Epoch = e.ownerOf(engine.Name())
		if load, own := loads[engine.Name()]; own {
			status.Running, status.Queued = int32(load.Running), int32(load.Load-load.Running)
			status.Limit = int32(load.Limit)
		}
		all = append(all, status)
	}
	return all
}

// ownerOf returns the owner of a name and its epoch, as far as known.
func (e *Explainer) ownerOf(name string) (string, int64) {
	if o, ok := e.Views.Elector.Owner(name); ok {
		return o.Owner, o.Epoch
	}
	return e.Views.Current().Wanted()[name], 0
}

func (e *Explainer) ownedShards() []int32 {
	var shards []int32
	for name := range e.Views.Elector.Held() {
		if number, ok := sharder.ParseName(name); ok {
			shards = append(shards, int32(number))
		}
	}
	slices.Sort(shards)
	return shards
}

// Explain implements operator.Explainer.
func (e *Explainer) Explain(_ context.Context, request *pb.ExplainRequest) (*pb.ExplainResponse, error) {
	v := e.Views.Current()
	response := &pb.ExplainResponse{PriorityClass: request.GetPriorityClass()}
	if refusal := e.check(v, request, response); refusal != nil {
		response.RefusalCode = int32(refusal.Code)
		response.Reasons = append(response.Reasons, refusal.Message)
	} else {
		e.place(v, request, response)
	}
	return response, nil
}

// place fills in the placement of a request that would be admitted.
func (e *Explainer) place(v *viewer.View, request *pb.ExplainRequest, response *pb.ExplainResponse) {
	group := v.Group(request.GetModel())
	order := group.Order(nil, placer.OrderRequest{Chat: request.GetChat(), Now: e.Views.Clock.Now()})
	mean, known := e.Mean(request.GetModel())
	capacity := 0
	if known {
		bound := placer.LoadBound{Multiple: v.Config().Limits().LoadMultiple}
		capacity = bound.Capacity(mean)
		response.MeanLoad = float64(mean.Requests) / float64(max(mean.Engines, 1))
		response.MeanAge = durationpb.New(mean.Age)
	}
	for i, index := range order {
		candidate := group.Candidate(index)
		owner, _ := e.ownerOf(candidate.Name)
		response.Candidates = append(response.Candidates, &pb.Candidate{
			Endpoint: candidate.Name, Owner: owner, FailureDomain: candidate.FailureDomain,
			Capacity: int32(capacity), Chosen: i == 0, Reason: reasonAt(i),
		})
	}
	if len(order) == 0 {
		response.RefusalCode = int32(bergamotdale.CodeNoEndpoint)
		response.Reasons = append(response.Reasons, "every engine of the group is draining")
		return
	}
	first := response.Candidates[0]
	response.Endpoint, response.Owner = first.Endpoint, first.Owner
	response.Reasons = append(response.Reasons,
		fmt.Sprintf("%s is first in rendezvous order for the chat among %d engines", first.Endpoint, len(order)),
		fmt.Sprintf("%s owns it and decides: a placement override or a full engine sends the chat to the next candidate", first.Owner))
}

// reasonAt explains a place in the rendezvous order.
func reasonAt(i int) string {
	if i == 0 {
		return "first in rendezvous order"
	}
	return fmt.Sprintf("asked if the %d before it are at their load bound", i)
}

// check refuses what a client would be refused for, and fills in what the
// configuration says.
func (e *Explainer) check(v *viewer.View, request *pb.ExplainRequest, response *pb.ExplainResponse) *bergamotdale.Refusal {
	if v.Config() == nil {
		return bergamotdale.Refuse(bergamotdale.CodeNoConfiguration, "no configuration is known yet")
	}
	response.Revision = v.Config().Revision()
	workspace, ok := v.Config().Workspace(request.GetWorkspace())
	if !ok {
		return bergamotdale.Refuse(bergamotdale.CodeUnknownWorkspace, "no workspace %q", request.GetWorkspace())
	}
	model, ok := v.Config().Model(request.GetModel())
	if !ok {
		return bergamotdale.Refuse(bergamotdale.CodeUnknownModel, "no model %q", request.GetModel())
	}
	response.ModelGroup = model.Group()
	if !workspace.Allows(model) {
		return bergamotdale.Refuse(bergamotdale.CodeModelNotAllowed, "workspace %q may not use model %q", workspace.Name(), model.Name())
	}
	if response.PriorityClass == "" {
		response.PriorityClass = workspace.DefaultPriorityClass().Name()
	}
	if _, ok := v.Config().PriorityClass(response.GetPriorityClass()); !ok {
		return bergamotdale.Refuse(bergamotdale.CodeUnknownPriorityClass, "no priority class %q", response.GetPriorityClass())
	}
	return nil
}
