package examples_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/loader"
	"github.com/bergamotdale/bergamotdale/validator"
)

// Guards against an example that no longer loads, is smaller than the early
// users' fleets, or has two processes at one address.
func TestExamplesLoad(t *testing.T) {
	for name, want := range map[string]struct{ domains, desks int }{
		"hanbit":   {4, 4},
		"vrbensky": {3, 3},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(name, "configuration.yaml")
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			d, err := validator.Parse(file, data)
			assert.NilError(t, err)
			c, err := validator.Compile(d, 1)
			assert.NilError(t, err)

			addresses, domains := map[string]string{}, map[string]bool{}
			use := func(address, by string) {
				assert.Equal(t, addresses[address], "", "%s is used by %s too", address, by)
				addresses[address] = by
			}
			for _, e := range c.Engines() {
				use(e.Address(), e.Name())
				domains[e.FailureDomain()] = true
			}
			for _, e := range c.Services()[0].Endpoints() {
				use(e.Address(), e.Name())
			}
			for _, m := range c.Models() {
				assert.Assert(t, len(m.Engines()) > 0, "%s has no engine", m.Name())
			}
			assert.Equal(t, len(c.Engines()), 12)
			assert.Equal(t, len(domains), want.domains)
			assert.Equal(t, len(c.Services()[0].Endpoints()), want.desks)
			assert.Equal(t, len(c.PriorityClasses()), 3)
			assert.Equal(t, len(c.Workspaces()), 10)
			w, ok := c.WorkspaceByAPIKey("example-" + name + "-" + c.Workspaces()[0].Name())
			assert.Assert(t, ok)
			assert.Equal(t, w, c.Workspaces()[0])
			checkRouters(t, name, c, domains, use)
		})
	}
}

func checkRouters(t *testing.T, name string, c *validator.Config, domains map[string]bool, use func(address, by string)) {
	files, err := filepath.Glob(filepath.Join(name, "router-*.yaml"))
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 6)
	for _, file := range files {
		s, err := loader.ReadSettings(file)
		assert.NilError(t, err)
		assert.Equal(t, s.ID+".yaml", filepath.Base(file))
		assert.NilError(t, s.CheckDrainDeadline(c.Limits().MaxStreamDuration))
		assert.Assert(t, domains[s.FailureDomain])
		use(s.Listen.Clients, s.ID)
		use(s.Listen.Peers, s.ID)
		use(s.Listen.Operators, s.ID)
	}
}
