package screener_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/matcher"
	"github.com/bergamotdale/bergamotdale/screener"
)

func configState(age time.Duration) screener.ConfigState {
	urgent := 0
	return screener.ConfigState{
		Age:       age,
		MaxKeyAge: 5 * time.Second,
		Table: matcher.New(&bergamotdale.TrafficConfig{
			Routes: []bergamotdale.Route{
				{Host: "h", Prefix: "/open/", Anonymous: true, Priority: 2},
				{Host: "h", Prefix: "/", Priority: 2},
			},
			Limits:     bergamotdale.TrafficLimits{HeaderBytes: 100, BodyBytes: 1000},
			Workspaces: []bergamotdale.WorkspaceKeys{{Name: "w", Keys: []string{"good"}, Priority: &urgent}},
		}),
	}
}

// Guards against forwarding requests with unknown keys, against a router with a
// stale configuration that refuses a route or key as unknown although it may be
// new, and against one that trusts keys that it can't confirm.
func TestScreen(t *testing.T) {
	for _, c := range []struct {
		name    string
		age     time.Duration
		request screener.Request
		want    bergamotdale.Code
	}{
		{"known key", time.Second, screener.Request{Host: "h", Path: "/a", APIKey: "good"}, 0},
		{"unknown key", time.Second, screener.Request{Host: "h", Path: "/a", APIKey: "bad"}, bergamotdale.CodeInvalidCredentials},
		{"no key", time.Second, screener.Request{Host: "h", Path: "/a"}, bergamotdale.CodeInvalidCredentials},
		{"anonymous", time.Hour, screener.Request{Host: "h", Path: "/open/a"}, 0},
		{"unknown route", time.Second, screener.Request{Host: "x", Path: "/a"}, bergamotdale.CodeUnknownRoute},
		{"unknown route, stale", time.Hour, screener.Request{Host: "x", Path: "/a"}, bergamotdale.CodeNoConfiguration},
		{"unknown key, stale", time.Hour, screener.Request{Host: "h", Path: "/a", APIKey: "bad"}, bergamotdale.CodeNoConfiguration},
		{"known key, stale", 5 * time.Second, screener.Request{Host: "h", Path: "/a", APIKey: "good"}, bergamotdale.CodeKeysNotConfirmed},
		{"large headers", 0, screener.Request{Host: "h", Path: "/a", HeaderBytes: 101}, bergamotdale.CodeHeaderTooLarge},
		{"large body", 0, screener.Request{Host: "h", Path: "/a", BodyBytes: 1001}, bergamotdale.CodeBodyTooLarge},
	} {
		admission, refusal := screener.Screen(configState(c.age), c.request)
		if c.want == 0 {
			assert.Assert(t, refusal == nil, "%s: %v", c.name, refusal)
			assert.Assert(t, admission.Route != nil)
			continue
		}
		assert.Assert(t, refusal != nil, c.name)
		assert.Equal(t, refusal.Code, c.want, c.name)
		assert.Equal(t, refusal.Outcome, bergamotdale.OutcomeNotRun, c.name)
	}
}

// Guards against a router that refuses a route as unknown before it has received
// a configuration: the route may exist.
func TestNoConfiguration(t *testing.T) {
	_, refusal := screener.Screen(screener.ConfigState{}, screener.Request{Host: "h", Path: "/a"})
	assert.Equal(t, refusal.Code, bergamotdale.CodeNoConfiguration)
	assert.Assert(t, refusal.RetryAfter > 0)
}

// Guards against using the priority of the route when the workspace has its own.
func TestWorkspacePriority(t *testing.T) {
	admission, _ := screener.Screen(configState(0), screener.Request{Host: "h", Path: "/a", APIKey: "good"})
	assert.Equal(t, admission.Priority, 0)
	assert.Equal(t, admission.Workspace, "w")
	admission, _ = screener.Screen(configState(0), screener.Request{Host: "h", Path: "/open/a"})
	assert.Equal(t, admission.Priority, 2)
}
