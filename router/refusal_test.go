package router_test

import (
	"os"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/fleettester"
)

// refusal is one case of testdata/refusals.yaml: a request and the response that
// it must get.
type refusal struct {
	Name     string            `yaml:"name"`
	Path     string            `yaml:"path"`
	Headers  map[string]string `yaml:"headers"`
	Body     string            `yaml:"body"`
	Status   int               `yaml:"status"`
	Contains []string          `yaml:"contains"`
}

// Guards against executing requests that the configuration does not allow, and
// against refusing them without stating the cause.
func TestRefusalsNameTheirCause(t *testing.T) {
	data, err := os.ReadFile("testdata/refusals.yaml")
	assert.NilError(t, err)
	var refusals []refusal
	assert.NilError(t, yaml.UnmarshalWithOptions(data, &refusals, yaml.Strict()))
	fleet := startFleet(t, &fleettester.Fleet{Routers: 1, Engines: 1, Services: 1})
	for _, r := range refusals {
		response, got := post(t, fleet.Router(0).URL+r.Path, r.Headers, r.Body)
		assert.Equal(t, response.StatusCode, r.Status, "%s: %s", r.Name, got)
		assert.Assert(t, response.Header.Get("X-Request-Id") != "", r.Name)
		for _, part := range r.Contains {
			assert.Assert(t, strings.Contains(got, part), "%s: no %q in %s", r.Name, part, got)
		}
	}
}
