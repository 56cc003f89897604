package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/follower"
	"github.com/bergamotdale/bergamotdale/operator"
	pb "github.com/bergamotdale/bergamotdale/operatorpb"
	"github.com/bergamotdale/bergamotdale/recorder"
	"github.com/bergamotdale/bergamotdale/storetester"
)

// fakeFleet implements the parts of a router that the server depends on: the
// membership, the status, explanations and calls to peers.
type fakeFleet struct {
	members []bergamotdale.Member
	// staleResponses is the number of status calls that router b still answers
	// with revision 0.
	staleResponses atomic.Int64
	store          *storetester.Store
}

func (f *fakeFleet) Members() []bergamotdale.Member { return f.members }

func (f *fakeFleet) Status(context.Context) (*pb.StatusResponse, error) {
	r := &pb.StatusResponse{Router: "a"}
	for _, m := range f.members {
		r.Members = append(r.Members, &pb.MemberStatus{Router: m.ID, Address: m.Address, State: string(m.State)})
	}
	return r, nil
}

func (f *fakeFleet) Explain(_ context.Context, r *pb.ExplainRequest) (*pb.ExplainResponse, error) {
	if r.Workspace == "" {
		return nil, bergamotdale.Refuse(bergamotdale.CodeUnknownWorkspace, "workspace %q is unknown", r.Workspace)
	}
	return &pb.ExplainResponse{Endpoint: "engine-01", PriorityClass: r.PriorityClass}, nil
}

func (f *fakeFleet) Call(_ context.Context, address, path string, _, response any) error {
	switch {
	case path != "status" || address == "127.0.1.9:1":
		return bergamotdale.Refuse(bergamotdale.CodePeer, "no connection to %s", address)
	case f.staleResponses.Add(-1) >= 0:
		return nil
	}
	*response.(*follower.Status) = follower.Status{Router: "b", Revision: 1, Since: time.Now()}
	return nil
}

func (f *fakeFleet) Stream(context.Context, string, string, any) (bergamotdale.FrameStream, error) {
	panic("not used")
}

// discardRecorder drops all events.
type discardRecorder struct{}

func (discardRecorder) Record(bergamotdale.Event) {}

// startServer starts an operator API server over the fake fleet and returns a
// client of it. The first address that the client tries refuses connections.
func startServer(t *testing.T, fleet *fakeFleet) *operator.Client {
	fleet.store = storetester.New(bergamotdale.SystemClock{})
	configuration := &follower.Follower{
		Router: "a", Store: fleet.store, Peer: fleet, Clock: bergamotdale.SystemClock{}, Recorder: discardRecorder{},
		Logger: zap.NewNop(), Peers: func() []string { return nil },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- configuration.Run(ctx) }()
	<-configuration.Started()
	operatorServer := &operator.Server{
		Router: "a", Configuration: configuration, Fleet: fleet, Reporter: fleet, Explainer: fleet, Peer: fleet,
		Clock: bergamotdale.SystemClock{}, DrainDeadline: 11 * time.Minute, MaxBytes: 1 << 20,
	}
	mux := http.NewServeMux()
	mux.Handle(operatorServer.Handler())
	httpServer := httptest.NewUnstartedServer(mux)
	httpServer.Config.Protocols = &http.Protocols{}
	httpServer.Config.Protocols.SetHTTP1(true)
	httpServer.Config.Protocols.SetUnencryptedHTTP2(true)
	httpServer.Start()
	t.Cleanup(func() {
		httpServer.Close()
		cancel()
		assert.NilError(t, <-done)
	})
	client, err := operator.Dial(ctx, []string{"127.0.0.1:1", strings.TrimPrefix(httpServer.URL, "http://")})
	assert.NilError(t, err)
	return client
}

// exampleConfiguration returns the YAML text of the example configuration.
func exampleConfiguration(t *testing.T) string {
	data, err := os.ReadFile("../examples/hanbit/configuration.yaml")
	assert.NilError(t, err)
	return string(data)
}

// apply applies a configuration and requires that the call succeeds with any
// outcome.
func apply(t *testing.T, c *operator.Client, base int64, yaml string) *pb.ApplyResponse {
	r, err := c.Apply(context.Background(), connect.NewRequest(&pb.ApplyRequest{
		File: "hanbit.yaml", Yaml: yaml, Base: base, Author: "jiwoo", Comment: "test",
	}))
	assert.NilError(t, err)
	return r.Msg
}

// Guards against an Apply that reports the wrong outcome, and against a document
// that Get returns in a form that differs from the applied one.
func TestApplyOutcomes(t *testing.T) {
	ctx := context.Background()
	c := startServer(t, &fakeFleet{})
	_, err := c.Get(ctx, connect.NewRequest(&pb.GetRequest{}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeNotFound)

	text := exampleConfiguration(t)
	assert.Equal(t, apply(t, c, 0, text).Outcome, pb.ApplyOutcome_APPLY_OUTCOME_ACCEPTED)
	got, err := c.Get(ctx, connect.NewRequest(&pb.GetRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, apply(t, c, 1, got.Msg.Yaml).Outcome, pb.ApplyOutcome_APPLY_OUTCOME_UNCHANGED)

	changed := strings.Replace(text, "load-multiple: 1.25", "load-multiple: 1.5", 1)
	checked, err := c.Check(ctx, connect.NewRequest(&pb.CheckRequest{Yaml: changed}))
	assert.NilError(t, err)
	assert.Equal(t, len(checked.Msg.Differences), 1)
	assert.Equal(t, checked.Msg.Differences[0].Path, "limits.load-multiple")

	conflict := apply(t, c, 0, changed)
	assert.Equal(t, conflict.Outcome, pb.ApplyOutcome_APPLY_OUTCOME_CONFLICT)
	assert.Equal(t, conflict.Conflict.Proposed[0].After, "1.5")

	tooLong := strings.Replace(text, "max-stream-duration: 10m", "max-stream-duration: 11m", 1)
	invalid := apply(t, c, 1, tooLong+"surprise: 1\n")
	assert.Equal(t, invalid.Outcome, pb.ApplyOutcome_APPLY_OUTCOME_INVALID)
	assert.Equal(t, len(invalid.Problems), 2)
	assert.ErrorContains(t, operator.Problems(invalid.Problems), "could outlive a planned stop")
}

// Guards against an Apply during a store outage that reports success or omits the
// Retry-After header.
func TestApplyDuringOutage(t *testing.T) {
	fleet := &fakeFleet{}
	c := startServer(t, fleet)
	fleet.store.SetOutage(true)
	_, err := c.Apply(context.Background(), connect.NewRequest(&pb.ApplyRequest{Yaml: exampleConfiguration(t), Author: "jiwoo"}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	var connectErr *connect.Error
	assert.Assert(t, connectError(err, &connectErr))
	assert.Equal(t, connectErr.Meta().Get("Retry-After"), "1")
}

func connectError(err error, target **connect.Error) bool {
	return errors.As(err, target)
}

// Guards against a Wait that returns before every live router has the revision,
// waits for dead routers, or omits a router that does not respond.
func TestWait(t *testing.T) {
	ctx := context.Background()
	fleet := &fakeFleet{members: []bergamotdale.Member{
		{ID: "a", State: bergamotdale.MemberAlive},
		{ID: "b", Address: "127.0.1.2:1", State: bergamotdale.MemberSuspect},
		{ID: "gone", Address: "127.0.1.9:1", State: bergamotdale.MemberDead},
	}}
	c := startServer(t, fleet)
	apply(t, c, 0, exampleConfiguration(t))
	fleet.staleResponses.Store(2)
	r, err := c.Wait(ctx, connect.NewRequest(&pb.WaitRequest{Revision: 1, Timeout: durationpb.New(30 * time.Second)}))
	assert.NilError(t, err)
	assert.Assert(t, r.Msg.Complete)
	assert.Equal(t, len(r.Msg.Routers), 2)
	assert.Assert(t, r.Msg.Routers[1].Since != nil)

	fleet.members[2].State = bergamotdale.MemberAlive
	r, err = c.Wait(ctx, connect.NewRequest(&pb.WaitRequest{}))
	assert.NilError(t, err)
	assert.Assert(t, !r.Msg.Complete)
	assert.Assert(t, strings.Contains(r.Msg.Routers[2].Error, "no connection"))
}

// Guards against a timeline that lacks the events of a router, or that gives no
// reason why the events of a router are missing.
func TestTimelineOfAllRouters(t *testing.T) {
	fleet := &fakeFleet{members: []bergamotdale.Member{{ID: "c", Address: "127.0.0.1:1"}}}
	for _, id := range []string{"b", "a"} {
		ring := &recorder.Ring{Process: id, Clock: bergamotdale.SystemClock{}}
		ring.Record(bergamotdale.Event{Kind: "test", Chat: "chat-1"})
		ring.Record(bergamotdale.Event{Kind: "test", Chat: "chat-2"})
		mux := http.NewServeMux()
		mux.Handle(operator.EventsPath, ring.Handler())
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		fleet.members = append(fleet.members, bergamotdale.Member{ID: id, Address: strings.TrimPrefix(server.URL, "http://")})
	}
	c := startServer(t, fleet)
	timeline, err := c.Timeline(context.Background(), recorder.Filter{Chat: "chat-1"})
	assert.NilError(t, err)
	assert.Equal(t, len(timeline.Events), 2)
	assert.Equal(t, timeline.Events[0].Process, "b")
	assert.Equal(t, timeline.Routers[0].Events, 1)
	assert.Assert(t, timeline.Routers[2].Error != "")
}

// Guards against a server that supports only one of gRPC and JSON, and against
// JSON field names that are not in kebab case.
func TestJSONAndGRPC(t *testing.T) {
	c := startServer(t, &fakeFleet{})
	url := "http://" + c.Address + pb.OperatorServiceExplainProcedure
	response, err := http.Post(url, "application/json", strings.NewReader(`{"workspace": "inn", "priority-class": "urgent"}`))
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	var fields map[string]string
	assert.NilError(t, json.Unmarshal(body, &fields))
	assert.DeepEqual(t, fields, map[string]string{"priority-class": "urgent", "endpoint": "engine-01"})

	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: &protocols}}
	grpcClient := pb.NewOperatorServiceClient(client, "http://"+c.Address, connect.WithGRPC())
	explanation, err := grpcClient.Explain(context.Background(), connect.NewRequest(&pb.ExplainRequest{Workspace: "inn"}))
	assert.NilError(t, err)
	assert.Equal(t, explanation.Msg.Endpoint, "engine-01")
}

// Guards against a refused Explain request that is reported as an internal error
// of the router.
func TestExplain(t *testing.T) {
	c := startServer(t, &fakeFleet{})
	r, err := c.Explain(context.Background(), connect.NewRequest(&pb.ExplainRequest{Workspace: "inn"}))
	assert.NilError(t, err)
	assert.Equal(t, r.Msg.Endpoint, "engine-01")
	_, err = c.Explain(context.Background(), connect.NewRequest(&pb.ExplainRequest{}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
}
