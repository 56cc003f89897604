package loader_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/loader"
)

// gatewaySettings returns the settings of a gateway with the given promises.
func gatewaySettings(promises string) []byte {
	return []byte(`id: r1
failure-domain: d1
listen: {clients: "10.0.0.1:1", readiness: "10.0.0.1:2", peers: "10.0.0.1:3", metrics: "10.0.0.1:4"}
store: "10.0.0.2:1"
promises: ` + promises + "\n")
}

// Guards against promises that are ignored, and against a router that starts with
// promises that the way from the store does not allow.
func TestPromisesAreChecked(t *testing.T) {
	s, err := loader.ParseGatewaySettings("f", gatewaySettings("{endpoint-withdrawal: 2000ms, store-contact: 3000ms}"))
	assert.NilError(t, err)
	assert.Equal(t, s.Limits.Withdrawal, 2*time.Second)
	assert.Equal(t, s.Limits.Contact, 3*time.Second)
	for promises, want := range map[string]string{
		"{endpoint-withdrawal: 1500ms, store-contact: 3s}": "withdrawal 1.5s is too short",
		"{endpoint-withdrawal: 3s, store-contact: 2s}":     "contact 2s is too short",
		"{evacuation: 1500ms, store-contact: 3s}":          "evacuation 1.5s is too short",
		"{endpoint-withdrawal: 3}":                         "endpoint-withdrawal",
	} {
		_, err := loader.ParseGatewaySettings("f", gatewaySettings(promises))
		assert.Assert(t, err != nil && strings.Contains(err.Error(), want), "%s: %v", promises, err)
	}
}

// Guards against a bound of the queues that is ignored or has no default.
func TestAdmissionLimits(t *testing.T) {
	s, err := loader.ParseGatewaySettings("f", gatewaySettings("{}"))
	assert.NilError(t, err)
	assert.Equal(t, s.Admission.MaxWaiting, 256)
	s, err = loader.ParseGatewaySettings("f", append(gatewaySettings("{}"), "admission: {max-waiting: 9}\n"...))
	assert.NilError(t, err)
	assert.Equal(t, s.Admission.MaxWaiting, 9)
	_, err = loader.ParseGatewaySettings("f", append(gatewaySettings("{}"), "admission: {max-waiting: 0}\n"...))
	assert.Assert(t, err != nil)
}
