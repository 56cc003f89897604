package commander_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/bergamotdale/bergamotdale/auditor"
	"github.com/bergamotdale/bergamotdale/commander"
	"github.com/bergamotdale/bergamotdale/platform"
)

// checkTraffic runs check-traffic and returns the exit code and both outputs as one text.
func checkTraffic(args ...string) (int, string) {
	var out bytes.Buffer
	c := commander.Commander{Stdout: &out, Stderr: &out, TrafficDialect: platform.Dialect{}, TrafficBounds: auditor.Bounds{HeaderBytes: 64 << 10}}
	return c.Run(context.Background(), append([]string{"check-traffic"}, args...)), out.String()
}

// Guards against faults that are left out of the output or do not change the exit code, and
// against API keys in it. The documents and the expected outputs are in testdata.
func TestCheckTraffic(t *testing.T) {
	const faulty, inForce = "testdata/traffic-faulty.json", "testdata/traffic-in-force.json"
	code, text := checkTraffic(inForce)
	assert.Equal(t, code, commander.ExitSuccess, text)
	code, text = checkTraffic(faulty, "--in-force", inForce)
	assert.Equal(t, code, commander.ExitFailure)
	golden.Assert(t, text, "check-traffic.txt")
	code, json := checkTraffic(faulty, "--in-force", inForce, "--format", "json")
	assert.Equal(t, code, commander.ExitFailure)
	golden.Assert(t, json, "check-traffic.json")
	for _, key := range []string{"example-0123456789abcdef", "example-fedcba9876543210", "short1"} {
		assert.Assert(t, !strings.Contains(text+json, key), "API key %s was printed", key)
	}
	for name, document := range map[string]string{"empty": "", "list": "[]", "truncated": `{"version":1`} {
		file := filepath.Join(t.TempDir(), name)
		assert.NilError(t, os.WriteFile(file, []byte(document), 0o600))
		for _, args := range [][]string{{file}, {inForce, "--in-force", file}} {
			code, text = checkTraffic(args...)
			assert.Equal(t, code, commander.ExitFailure, "%s: %s", name, text)
		}
	}
	for _, args := range [][]string{{"missing.json"}, {inForce, "--in-force", "missing.json"}, {inForce, "--format", "yaml"}} {
		code, text = checkTraffic(args...)
		assert.Equal(t, code, commander.ExitFailure, text)
	}
}
