package auditor_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/auditor"
)

var bounds = auditor.Bounds{HeaderBytes: 64 << 10, HeaderTimeout: 10 * time.Second, DefaultTimeout: time.Minute, DefaultIdleTimeout: 90 * time.Second}

const longKey = "sk-0123456789-abcdef"

// sound returns a configuration without faults.
func sound() *bergamotdale.TrafficConfig {
	return &bergamotdale.TrafficConfig{
		Version: 3,
		Routes: []bergamotdale.Route{
			{
				Name: "chat", Host: "a.example", Prefix: "/chat/", Kind: bergamotdale.RouteStream, Resumable: true, MaxAttempts: 3, Objective: time.Second,
				Targets: []bergamotdale.RouteTarget{{Service: "engines", Weight: 9}, {Service: "canary", Weight: 1}},
			},
			{
				Name: "book", Host: "a.example", Prefix: "/book/", Kind: bergamotdale.RouteAtMostOnce, MaxAttempts: 1, Timeout: 2 * time.Second, Objective: time.Second,
				Targets: []bergamotdale.RouteTarget{{Service: "booking", Weight: 1}},
			},
		},
		Services: []bergamotdale.TrafficService{{Name: "engines", ColdRate: 8, ColdStart: time.Second}, {Name: "canary"}, {Name: "booking"}},
		Limits:   bergamotdale.TrafficLimits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: time.Minute},
		Workspaces: []bergamotdale.WorkspaceKeys{
			{Name: "w1", Keys: []string{longKey, "k2"}},
			{Name: "w2", Keys: []string{"k3"}},
		},
	}
}

// list returns the findings as text, one a line, without their messages.
func list(findings []auditor.Finding) string {
	var lines []string
	for _, f := range findings {
		lines = append(lines, fmt.Sprintf("%s %s %s", f.Severity, f.Kind, f.Path))
	}
	return strings.Join(lines, "\n")
}

// Guards against a fault that is not found, or is found at another place, and against one
// found in a sound configuration.
func TestCheck(t *testing.T) {
	type config = bergamotdale.TrafficConfig
	for name, tc := range map[string]struct {
		change func(c *config)
		want   string
	}{
		"sound":           {func(*config) {}, ""},
		"version":         {func(c *config) { c.Version = 0 }, "error invalid version"},
		"shadowed":        {func(c *config) { c.Routes[1].Host, c.Routes[1].Prefix = "A.example", "/chat/" }, "error never-matches routes[1]\nerror never-matches services[2]"},
		"same name":       {func(c *config) { c.Routes[1].Name = "chat" }, "error invalid routes[1].name"},
		"no name":         {func(c *config) { c.Services[1].Name, c.Routes[0].Targets[1].Service = "", "" }, "error never-matches routes[0].targets[1].service\nerror invalid services[1].name"},
		"port":            {func(c *config) { c.Routes[0].Host = "a.example:80" }, "error never-matches routes[0].host\nerror never-matches services[0]\nerror never-matches services[1]"},
		"pattern":         {func(c *config) { c.Routes[1].Host = "*.example" }, "error never-matches routes[1].host\nerror never-matches services[2]"},
		"IPv6":            {func(c *config) { c.Routes[1].Host = "::1" }, ""},
		"no slash":        {func(c *config) { c.Routes[1].Prefix = "book/" }, "error never-matches routes[1].prefix\nerror never-matches services[2]"},
		"no last slash":   {func(c *config) { c.Routes[1].Prefix = "/book" }, "error invalid routes[1].prefix"},
		"query":           {func(c *config) { c.Routes[1].Prefix = "/book?x/" }, "error never-matches routes[1].prefix\nerror never-matches services[2]"},
		"escaped":         {func(c *config) { c.Routes[1].Prefix = "/b%20k/" }, ""},
		"not escaped":     {func(c *config) { c.Routes[1].Prefix = "/b k/" }, "error never-matches routes[1].prefix\nerror never-matches services[2]"},
		"other service":   {func(c *config) { c.Routes[1].Targets[0].Service = "x" }, "error never-matches routes[1].service\nerror never-matches services[2]"},
		"no service":      {func(c *config) { c.Routes[1].Targets = nil }, "error never-matches routes[1].targets\nerror never-matches services[2]"},
		"weight 0":        {func(c *config) { c.Routes[0].Targets[1].Weight = 0 }, "error never-matches routes[0].targets[1].weight\nerror never-matches services[1]"},
		"only weight 0":   {func(c *config) { c.Routes[1].Targets[0].Weight = 0 }, "error contradiction routes[1].targets[0].weight"},
		"negative weight": {func(c *config) { c.Routes[0].Targets[1].Weight = -1 }, "error invalid routes[0].targets[1].weight\nerror never-matches services[1]"},
		"twice in split":  {func(c *config) { c.Routes[0].Targets[1].Service = "engines" }, "error contradiction routes[0].targets[1].service\nerror never-matches services[1]"},
		"unused service":  {func(c *config) { c.Services = append(c.Services, bergamotdale.TrafficService{Name: "x"}) }, "error never-matches services[3]"},
		"short timeout":   {func(c *config) { c.Routes[1].Timeout = time.Second / 2 }, "error contradiction routes[1].timeout"},
		"default timeout": {func(c *config) { c.Routes[0].Objective = 2 * time.Minute }, "error contradiction routes[0].timeout"},
		"attempts":        {func(c *config) { c.Routes[1].MaxAttempts = 2 }, "warning contradiction routes[1].max-attempts"},
		"resumable":       {func(c *config) { c.Routes[1].Resumable = true }, "error contradiction routes[1].resumable"},
		"cold rate":       {func(c *config) { c.Services[0].ColdStart = 0 }, "warning contradiction services[0].cold-start"},
		"cold start":      {func(c *config) { c.Services[0].ColdRate = 0 }, "error contradiction services[0].cold-rate"},
		"large headers":   {func(c *config) { c.Limits.HeaderBytes = 65<<10 + 1 }, "error contradiction limits.header-bytes"},
		"slow headers":    {func(c *config) { c.Limits.HeaderTimeout = 11 * time.Second }, "error contradiction limits.header-timeout"},
		"short idle time": {func(c *config) { c.Limits.IdleTimeout = 2 * time.Second }, "warning contradiction limits.idle-timeout"},
		"negative limit":  {func(c *config) { c.Limits.BodyBytes = -1 }, "error invalid limits.body-bytes"},
		"shared key":      {func(c *config) { c.Workspaces[1].Keys[0] = "k2" }, "error never-matches workspaces[1].keys[0]"},
		"repeated key":    {func(c *config) { c.Workspaces[0].Keys[1] = longKey }, "error never-matches workspaces[0].keys[1]"},
		"odd key":         {func(c *config) { c.Workspaces[1].Keys[0] = "k3 " }, "error never-matches workspaces[1].keys[0]"},
		"no key":          {func(c *config) { c.Workspaces[1].Keys = nil }, "error never-matches workspaces[1].keys"},
		"no workspace":    {func(c *config) { c.Workspaces = nil }, "warning contradiction workspaces"},
	} {
		t.Run(name, func(t *testing.T) {
			c := sound()
			tc.change(c)
			assert.Equal(t, list(auditor.Check(c, bounds)), tc.want)
		})
	}
}

// Guards against a difference from the version in force that is not shown, above all one
// that takes something from callers.
func TestCompare(t *testing.T) {
	inForce := sound()
	next := sound()
	assert.Equal(t, list(auditor.Compare(next, inForce)), "error invalid version")
	next.Version++
	assert.Equal(t, list(auditor.Compare(next, inForce)), "")
	priority := 1
	next.Routes[0].Timeout = 5 * time.Second
	next.Routes[1] = bergamotdale.Route{Name: "look-up", Host: "a.example", Prefix: "/book/", Targets: next.Routes[0].Targets[:1]}
	next.Services[0].MaxConns = 8
	next.Limits.BodyBytes = 1
	next.Workspaces[0].Keys = []string{"k3", "k4"}
	next.Workspaces[1] = bergamotdale.WorkspaceKeys{Name: "w2", Keys: []string{"k2"}, Priority: &priority}
	var messages []string
	findings := auditor.Compare(next, inForce)
	for _, f := range findings {
		messages = append(messages, fmt.Sprintf("%s %s: %s", f.Severity, f.Path, f.Message))
	}
	assert.DeepEqual(t, messages, []string{
		`info routes[0].timeout: timeout of route "chat": 5s, in force 0s`,
		`info routes[1]: route "look-up" is added`,
		`warning routes: route "book" is removed`,
		`info services[0].max-conns: max-conns of service "engines": 8, in force 0`,
		`warning services: service "booking" loses all its routes`,
		`info limits.body-bytes: body-bytes of the limits: 1, in force 4194304`,
		`info workspaces[1].priority: priority of workspace "w2": 1, in force that of the route`,
		`warning workspaces: API key sk-0…, key 1 of workspace "w1", is revoked`,
		`warning workspaces: API key …, key 2 of workspace "w1", becomes key 1 of workspace "w2"`,
		`warning workspaces: API key …, key 1 of workspace "w2", becomes key 1 of workspace "w1"`,
		`info workspaces[0].keys[1]: API key … of workspace "w1" is added`,
	})
	assert.Assert(t, !auditor.HasErrors(findings))
}
