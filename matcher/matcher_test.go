package matcher_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/matcher"
)

func table() *matcher.Table {
	return matcher.New(&bergamotdale.TrafficConfig{
		Routes: []bergamotdale.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Targets: []bergamotdale.RouteTarget{{Service: "s", Weight: 1}}},
			{Name: "deep", Host: "A.example", Prefix: "/x/y/", Anonymous: true},
			{Name: "mid", Host: "a.example", Prefix: "/x/"},
		},
		Workspaces: []bergamotdale.WorkspaceKeys{{Name: "w1", Keys: []string{"k1", "k2"}}, {Name: "w2", Keys: []string{"k3"}}},
	})
}

// Guards against a shorter prefix taking precedence over a longer one, and against
// host comparisons that are case-sensitive or include the port.
func TestRoute(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "deep"},
		{"a.EXAMPLE:8080", "/x/y/", "deep"},
		{"a.example", "/x/yz", "mid"},
		{"a.example", "/x", "all"},
		{"b.example", "/x/", ""},
	} {
		got := ""
		if r := table().Route(c.host, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s%s", c.host, c.path)
	}
}

// Guards against API keys that resolve to another workspace, and against anonymous
// routes that require a key.
func TestWorkspace(t *testing.T) {
	m := table()
	assert.Equal(t, m.Workspace("k2").Name, "w1")
	assert.Equal(t, m.Workspace("k3").Name, "w2")
	assert.Assert(t, m.Workspace("") == nil)
	assert.Assert(t, !m.RequiresKey(m.Route("a.example", "/x/y/")))
	assert.Assert(t, m.RequiresKey(m.Route("a.example", "/x/")))
}

// Guards against a traffic split that ignores the weights or sends one key to
// different services.
func TestSelectServiceFollowsWeights(t *testing.T) {
	m := table()
	r := &bergamotdale.Route{Name: "r", Targets: []bergamotdale.RouteTarget{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := map[string]int{}
	for i := range 10000 {
		key := fmt.Sprint(i)
		service := m.SelectService(r, key)
		assert.Equal(t, service, m.SelectService(r, key))
		count[service]++
	}
	assert.Assert(t, count["b"] > 800 && count["b"] < 1200, "%v", count)
	assert.Equal(t, count["a"]+count["b"], 10000)
}
