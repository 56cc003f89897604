package loader_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/bergamotdale/bergamotdale/loader"
)

// Guards against an error in a settings file that is not reported, is reported
// without its position, or hides another error. For every invalid file in
// testdata, the .errors file of the same name holds the expected messages.
func TestAllErrorsAreReported(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml.errors")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 5)
	for _, expected := range files {
		name := strings.TrimSuffix(filepath.Base(expected), ".errors")
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join("testdata", name))
			assert.NilError(t, err)
			_, err = loader.ParseSettings(name, data)
			assert.Assert(t, err != nil)
			golden.Assert(t, err.Error()+"\n", filepath.Base(expected))
		})
	}
}

// Guards against a key whose value is stored in another field or ignored.
func TestSettingsAreRead(t *testing.T) {
	s, err := loader.ReadSettings("testdata/full.yaml")
	assert.NilError(t, err)
	want := &loader.Settings{
		ID: "router-a1", FailureDomain: "suwon-a", Region: "gyeonggi",
		Listen: loader.Listen{Clients: "127.0.1.1:8080", Peers: "127.0.1.1:7070", Operators: "127.0.1.1:9090"},
		Stores: []string{"127.0.0.2:8500", "127.0.0.3:8500"}, VMList: "127.0.0.2:8500",
		Seeds:    []string{"127.0.1.1:7070", "127.0.1.2:7070"},
		LogLevel: "debug", DrainDeadline: 15 * time.Minute,
		Limits: loader.SizeLimits{RequestBody: 2 << 20, PeerBody: 8 << 20, Configuration: 4 << 20},
		Periods: loader.Periods{
			Probe: 500 * time.Millisecond, Heartbeat: time.Second, LeaseRenewal: 3 * time.Second,
			LoadReport: time.Second, VMList: 2 * time.Second,
		},
	}
	assert.DeepEqual(t, s, want)
}

// Guards against a planned stop that cuts off streams of an accepted duration: a
// drain deadline that is not longer than max-stream-duration is an error (D13).
func TestDrainDeadlineExceedsMaxStreamDuration(t *testing.T) {
	s := &loader.Settings{DrainDeadline: 10 * time.Minute}
	assert.ErrorContains(t, s.CheckDrainDeadline(10*time.Minute), "not longer than max-stream-duration")
	assert.NilError(t, s.CheckDrainDeadline(10*time.Minute-time.Second))
}

// Guards against a size that changes when it is parsed and formatted again, and
// against malformed sizes that are accepted.
func TestSizeText(t *testing.T) {
	for _, text := range []string{"0B", "512B", "64KiB", "3MiB", "1GiB"} {
		var s loader.Size
		assert.NilError(t, s.UnmarshalText([]byte(text)))
		assert.Equal(t, s.String(), text)
	}
	for _, text := range []string{"", "5", "-1KiB", "1KB", "1.5MiB", "99999999999GiB"} {
		var s loader.Size
		assert.Assert(t, s.UnmarshalText([]byte(text)) != nil, text)
	}
}
