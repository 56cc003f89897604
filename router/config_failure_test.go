package router_test

import (
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/fleettester"
	"github.com/bergamotdale/bergamotdale/injector"
	"github.com/bergamotdale/bergamotdale/loader"
	"github.com/bergamotdale/bergamotdale/operator"
	pb "github.com/bergamotdale/bergamotdale/operatorpb"
)

// inForceLimit is the time within which an accepted configuration must be in
// force at all routers (I7).
const inForceLimit = 4 * time.Second

// applyEdit edits the current configuration, applies the result through a router
// and returns the response.
func applyEdit(t *testing.T, f *fleettester.Fleet, via int, base int64, edit func(string) string) *pb.ApplyResponse {
	t.Helper()
	client, err := operator.Dial(t.Context(), []string{f.Router(via).Settings.Listen.Operators})
	assert.NilError(t, err)
	current, err := client.Get(t.Context(), connect.NewRequest(&pb.GetRequest{}))
	assert.NilError(t, err)
	var response *connect.Response[pb.ApplyResponse]
	// An apply over a connection that has gone silent fails as unavailable and
	// is not executed, so it is retried.
	assert.NilError(t, fleettester.Await(t.Context(), func() bool {
		response, err = client.Apply(t.Context(), connect.NewRequest(&pb.ApplyRequest{
			File: "test.yaml", Yaml: edit(current.Msg.GetYaml()), Base: base, Author: "test", Comment: "test",
		}))
		return connect.CodeOf(err) != connect.CodeUnavailable
	}))
	assert.NilError(t, err)
	return response.Msg
}

// revisionOf returns the configuration revision in force at a router.
func revisionOf(t *testing.T, f *fleettester.Fleet, router int) int64 {
	t.Helper()
	client, err := operator.Dial(t.Context(), []string{f.Router(router).Settings.Listen.Operators})
	assert.NilError(t, err)
	status, err := client.Status(t.Context(), connect.NewRequest(&pb.StatusRequest{}))
	assert.NilError(t, err)
	return status.Msg.GetRevision()
}

// Guards against a router that keeps an old configuration because its long poll
// hangs on a connection that has gone silent, or because it cannot reach the
// store, and against accepting the changes of two operators to the same base
// revision (I7).
func TestConfigurationIsInForceEverywhere(t *testing.T) {
	fleet := startFleet(t, &fleettester.Fleet{Routers: 3, Engines: 1, AdjustSettings: func(s *loader.Settings) {
		s.DrainDeadline = 11 * time.Minute
	}})
	failures := map[string]injector.Fault{
		"none":           {Kind: injector.Delay, Path: "/unused"},
		"silent watches": {Kind: injector.Silence},
		"cut from store": {Kind: injector.Outage, Caller: fleet.Router(2).Name},
	}
	for name, fault := range failures {
		base := revisionOf(t, fleet, 0)
		id := fleet.PlatformFaults().Add(fault)
		accepted := applyEdit(t, fleet, 0, base, func(yaml string) string {
			return replaceValue(yaml, "load-multiple:", map[string]string{"none": "1.5", "silent watches": "1.6", "cut from store": "1.7"}[name])
		})
		assert.Equal(t, accepted.GetOutcome(), pb.ApplyOutcome_APPLY_OUTCOME_ACCEPTED, name)
		begin := time.Now()
		for router := range 3 {
			assert.NilError(t, fleettester.Await(t.Context(), func() bool {
				return revisionOf(t, fleet, router) == accepted.GetRevision()
			}))
		}
		assert.Assert(t, time.Since(begin) < inForceLimit, "%s: in force after %s", name, time.Since(begin))
		conflict := applyEdit(t, fleet, 1, base, func(yaml string) string { return replaceValue(yaml, "load-multiple:", "2.5") })
		assert.Equal(t, conflict.GetOutcome(), pb.ApplyOutcome_APPLY_OUTCOME_CONFLICT, name)
		assert.Assert(t, len(conflict.GetConflict().GetSince()) > 0, name)
		fleet.PlatformFaults().Remove(id)
	}
}
