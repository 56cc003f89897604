package router

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/samber/lo"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/admitter"
	"github.com/bergamotdale/bergamotdale/operator"
	pb "github.com/bergamotdale/bergamotdale/operatorpb"
	"github.com/bergamotdale/bergamotdale/placer"
)

// Version is the version of the program, set by the linker.
var Version = "development"

// operatorHandler serves operators: the RPC and the metrics.
func (r *Router) operatorHandler() http.Handler {
	server := &operator.Server{
		Router:        r.self.ID,
		Configuration: r.follower,
		Fleet:         &fleet{r},
		Reporter:      &reporter{r},
		Explainer:     &explainer{r},
		Peer:          r.peer,
		Clock:         r.clock,
		DrainDeadline: r.Settings.DrainDeadline,
		MaxBytes:      r.Settings.Limits.Configuration,
	}
	mux := http.NewServeMux()
	mux.Handle(server.Handler())
	mux.Handle("GET /metrics", r.meter.Handler())
	return mux
}

// fleet is the membership as operators see it.
type fleet struct {
	router *Router
}

// Members implements operator.Fleet.
func (f *fleet) Members() []bergamotdale.Member {
	return f.router.gossiper.View().Members()
}

// reporter describes the router to operators.
type reporter struct {
	router *Router
}

// Status implements operator.Reporter.
func (s *reporter) Status(context.Context) (*pb.StatusResponse, error) {
	r := s.router
	config := r.follower.Status()
	response := &pb.StatusResponse{
		Router:        r.self.ID,
		Version:       Version,
		FailureDomain: r.self.FailureDomain,
		Region:        r.Settings.Region,
		Ready:         (&backend{r}).Ready() == nil,
		Revision:      config.Revision,
		Members:       r.memberStatus(),
		Endpoints:     r.endpointStatus(),
		Shards:        r.ownedShards(),
	}
	if !config.Since.IsZero() {
		response.Since = timestamppb.New(config.Since)
	}
	if !config.StoreSeen.IsZero() {
		response.StoreSeen = timestamppb.New(config.StoreSeen)
	}
	return response, nil
}

func (r *Router) memberStatus() []*pb.MemberStatus {
	return lo.Map(r.gossiper.View().Members(), func(m bergamotdale.Member, _ int) *pb.MemberStatus {
		return &pb.MemberStatus{Router: m.ID, Address: m.Address, FailureDomain: m.FailureDomain, State: string(m.State)}
	})
}

// endpointStatus returns what this router believes of every engine.
func (r *Router) endpointStatus() []*pb.EndpointStatus {
	v := r.current()
	if v.config == nil {
		return nil
	}
	loads := lo.KeyBy(r.dispatch.Report(), func(l admitter.Load) string { return l.Endpoint })
	var all []*pb.EndpointStatus
	for _, engine := range v.config.Engines() {
		status := &pb.EndpointStatus{Endpoint: engine.Name(), FailureDomain: engine.FailureDomain(), State: "ok"}
		if v.draining[engine.Name()] {
			status.State = "draining"
		}
		status.Owner, status.Epoch = r.ownerOf(engine.Name())
		if load, own := loads[engine.Name()]; own {
			status.Running, status.Queued = int32(load.Running), int32(load.Load-load.Running)
			status.Limit = int32(load.Limit)
		}
		all = append(all, status)
	}
	return all
}

// ownerOf returns the owner of a name and its epoch, as far as known.
func (r *Router) ownerOf(name string) (string, int64) {
	if o, ok := r.elector.Owner(name); ok {
		return o.Owner, o.Epoch
	}
	return r.current().wanted[name], 0
}

func (r *Router) ownedShards() []int32 {
	var shards []int32
	for name := range r.elector.Held() {
		number, err := strconv.Atoi(strings.TrimPrefix(name, shardNamePrefix))
		if err == nil && strings.HasPrefix(name, shardNamePrefix) {
			shards = append(shards, int32(number))
		}
	}
	slices.Sort(shards)
	return shards
}

// explainer tells operators where a chat would go.
type explainer struct {
	router *Router
}

// Explain implements operator.Explainer.
func (e *explainer) Explain(_ context.Context, request *pb.ExplainRequest) (*pb.ExplainResponse, error) {
	v := e.router.current()
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
func (e *explainer) place(v *view, request *pb.ExplainRequest, response *pb.ExplainResponse) {
	r := e.router
	group := v.groups[request.GetModel()]
	order := group.Order(nil, placer.Request{Chat: request.GetChat(), Now: r.clock.Now()})
	mean, known := (&loads{r}).Mean(request.GetModel())
	capacity := 0
	if known {
		bound := placer.Bound{Multiple: v.config.Limits().LoadMultiple}
		capacity = bound.Capacity(mean)
		response.MeanLoad = float64(mean.Load) / float64(max(mean.Engines, 1))
		response.MeanAge = durationpb.New(mean.Age)
	}
	for i, index := range order {
		candidate := group.Candidate(index)
		owner, _ := r.ownerOf(candidate.Name)
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
func (e *explainer) check(v *view, request *pb.ExplainRequest, response *pb.ExplainResponse) *bergamotdale.Refusal {
	if v.config == nil {
		return bergamotdale.Refuse(bergamotdale.CodeNoConfiguration, "no configuration is known yet")
	}
	response.Revision = v.config.Revision()
	workspace, ok := v.config.Workspace(request.GetWorkspace())
	if !ok {
		return bergamotdale.Refuse(bergamotdale.CodeUnknownWorkspace, "no workspace %q", request.GetWorkspace())
	}
	model, ok := v.config.Model(request.GetModel())
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
	if _, ok := v.config.PriorityClass(response.GetPriorityClass()); !ok {
		return bergamotdale.Refuse(bergamotdale.CodeUnknownPriorityClass, "no priority class %q", response.GetPriorityClass())
	}
	return nil
}
