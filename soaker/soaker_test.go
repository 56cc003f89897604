package soaker_test

import (
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/soaker"
)

var (
	seed         = flag.Uint64("soak.seed", 1, "seed of the schedule of failures and the load")
	duration     = flag.Duration("soak.duration", 20*time.Second, "length of the run")
	logDirectory = flag.String("soak.logs", "", "directory that keeps the logs of the routers")
)

// buildRouter builds the router program in the directory and returns its path.
func buildRouter(t *testing.T, directory string) string {
	t.Helper()
	binary := filepath.Join(directory, "bergamotdale")
	command := exec.Command("go", "build", "-o", binary, "github.com/bergamotdale/bergamotdale/cmd/bergamotdale")
	output, err := command.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return binary
}

// Guards against violations of the invariants in the package comment while routers
// are killed, paused, stopped or cut from the store, the store is down, slow or
// loses responses, a router sees another VM list, endpoints fail, a request
// crashes engines, clients flood the fleet, or two operators change the
// configuration at the same time. Failures occur alone and together.
func TestSoak(t *testing.T) {
	t.Logf("seed %d, duration %s; repeat with: make soak SEED=%d DURATION=%s", *seed, *duration, *seed, *duration)
	directory := *logDirectory
	if directory == "" {
		directory = t.TempDir()
	}
	s := &soaker.Soaker{
		Seed:      *seed,
		Duration:  *duration,
		Binary:    buildRouter(t, t.TempDir()),
		Directory: directory,
		Logger:    zaptest.NewLogger(t, zaptest.Level(zap.InfoLevel)),
	}
	report, err := s.Run(t.Context())
	assert.NilError(t, err)
	keys := lo.Keys(report.Counts)
	slices.Sort(keys)
	for _, key := range keys {
		t.Logf("%6d %s", report.Counts[key], key)
	}
	assert.Equal(t, len(report.Violations), 0, "seed %d: %s", *seed, strings.Join(report.Violations, "\n"))
	assert.Assert(t, report.Counts["chat completed"] > 0)
	assert.Assert(t, report.Counts["call confirmed"] > 0)
	assertNoPanic(t, directory)
}

// assertNoPanic fails if the log of a router contains a panic, such as that of a
// failed internal assertion.
func assertNoPanic(t *testing.T, directory string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*.log"))
	assert.NilError(t, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		start := strings.Index(string(data), "panic:")
		if start >= 0 {
			t.Errorf("%s: %.2000s", filepath.Base(file), data[start:])
		}
	}
}
