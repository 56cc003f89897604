package examples_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/loader"
	"github.com/bergamotdale/bergamotdale/validator"
)

// Guards against an example configuration that no longer loads, that lacks engines,
// endpoints, workspaces or routers of the deployment that it describes, or in which
// two processes listen on the same address.
func TestExamplesLoad(t *testing.T) {
	for name, want := range map[string]struct{ domains, serviceEndpoints int }{
		"hanbit":   {4, 4},
		"vrbensky": {3, 3},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(name, "configuration.yaml")
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			document, err := validator.Parse(file, data)
			assert.NilError(t, err)
			config, err := validator.Compile(document, 1)
			assert.NilError(t, err)

			addresses, domains := map[string]string{}, map[string]bool{}
			claimAddress := func(address, owner string) {
				assert.Equal(t, addresses[address], "", "%s is used by %s too", address, owner)
				addresses[address] = owner
			}
			for _, e := range config.Engines() {
				claimAddress(e.Address(), e.Name())
				domains[e.FailureDomain()] = true
			}
			for _, e := range config.Services()[0].Endpoints() {
				claimAddress(e.Address(), e.Name())
			}
			for _, m := range config.Models() {
				assert.Assert(t, len(m.Engines()) > 0, "%s has no engine", m.Name())
			}
			assert.Equal(t, len(config.Engines()), 12)
			assert.Equal(t, len(domains), want.domains)
			assert.Equal(t, len(config.Services()[0].Endpoints()), want.serviceEndpoints)
			assert.Equal(t, len(config.PriorityClasses()), 3)
			assert.Equal(t, len(config.Workspaces()), 10)
			w, ok := config.WorkspaceByAPIKey("example-" + name + "-" + config.Workspaces()[0].Name())
			assert.Assert(t, ok)
			assert.Equal(t, w, config.Workspaces()[0])
			checkRouters(t, name, config, domains, claimAddress)
		})
	}
}

// checkRouters loads the settings of all routers of the example and checks them
// against its configuration. It registers the addresses of each router with
// claimAddress.
func checkRouters(t *testing.T, name string, config *validator.Config, domains map[string]bool, claimAddress func(address, owner string)) {
	files, err := filepath.Glob(filepath.Join(name, "router-*.yaml"))
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 6)
	for _, file := range files {
		settings, err := loader.ReadSettings(file)
		assert.NilError(t, err)
		assert.Equal(t, settings.ID+".yaml", filepath.Base(file))
		assert.NilError(t, settings.CheckDrainDeadline(config.Limits().MaxStreamDuration))
		assert.Assert(t, domains[settings.FailureDomain])
		claimAddress(settings.Listen.Clients, settings.ID)
		claimAddress(settings.Listen.Peers, settings.ID)
		claimAddress(settings.Listen.Operators, settings.ID)
	}
}
