package screener_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/matcher"
	"github.com/bergamotdale/bergamotdale/screener"
)

func knowledge(age time.Duration) screener.Knowledge {
	urgent := 0
	return screener.Knowledge{
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

// Guards against wrong verdicts: unknown keys let through, a stale router that
// denies what may be new, or one that trusts keys it cannot confirm.
func TestScreen(t *testing.T) {
	for _, c := range []struct {
		name    string
		age     time.Duration
		subject screener.Subject
		want    bergamotdale.Code
	}{
		{"known key", time.Second, screener.Subject{Host: "h", Path: "/a", APIKey: "good"}, 0},
		{"unknown key", time.Second, screener.Subject{Host: "h", Path: "/a", APIKey: "bad"}, bergamotdale.CodeInvalidCredentials},
		{"no key", time.Second, screener.Subject{Host: "h", Path: "/a"}, bergamotdale.CodeInvalidCredentials},
		{"anonymous", time.Hour, screener.Subject{Host: "h", Path: "/open/a"}, 0},
		{"unknown route", time.Second, screener.Subject{Host: "x", Path: "/a"}, bergamotdale.CodeUnknownRoute},
		{"unknown route, stale", time.Hour, screener.Subject{Host: "x", Path: "/a"}, bergamotdale.CodeNoConfiguration},
		{"unknown key, stale", time.Hour, screener.Subject{Host: "h", Path: "/a", APIKey: "bad"}, bergamotdale.CodeNoConfiguration},
		{"known key, stale", 5 * time.Second, screener.Subject{Host: "h", Path: "/a", APIKey: "good"}, bergamotdale.CodeKeysNotConfirmed},
		{"large headers", 0, screener.Subject{Host: "h", Path: "/a", HeaderBytes: 101}, bergamotdale.CodeHeaderTooLarge},
		{"large body", 0, screener.Subject{Host: "h", Path: "/a", BodyBytes: 1001}, bergamotdale.CodeBodyTooLarge},
	} {
		verdict, refusal := screener.Screen(knowledge(c.age), c.subject)
		if c.want == 0 {
			assert.Assert(t, refusal == nil, "%s: %v", c.name, refusal)
			assert.Assert(t, verdict.Route != nil)
			continue
		}
		assert.Assert(t, refusal != nil, c.name)
		assert.Equal(t, refusal.Code, c.want, c.name)
		assert.Equal(t, refusal.Outcome, bergamotdale.OutcomeNotRun, c.name)
	}
}

// Guards against a router that answers "not found" before it has any
// configuration: the route may exist.
func TestNoConfiguration(t *testing.T) {
	_, refusal := screener.Screen(screener.Knowledge{}, screener.Subject{Host: "h", Path: "/a"})
	assert.Equal(t, refusal.Code, bergamotdale.CodeNoConfiguration)
	assert.Assert(t, refusal.RetryAfter > 0)
}

// Guards against the route's priority being kept where the workspace has one.
func TestWorkspacePriority(t *testing.T) {
	v, _ := screener.Screen(knowledge(0), screener.Subject{Host: "h", Path: "/a", APIKey: "good"})
	assert.Equal(t, v.Priority, 0)
	assert.Equal(t, v.Workspace, "w")
	v, _ = screener.Screen(knowledge(0), screener.Subject{Host: "h", Path: "/open/a"})
	assert.Equal(t, v.Priority, 2)
}
