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
	seed     = flag.Uint64("soak.seed", 1, "seed of the failures and the load")
	duration = flag.Duration("soak.duration", 20*time.Second, "length of the run")
	logs     = flag.String("soak.logs", "", "directory that keeps the logs of the routers")
)

// build builds the program of the routers.
func build(t *testing.T, directory string) string {
	t.Helper()
	binary := filepath.Join(directory, "bergamotdale")
	command := exec.Command("go", "build", "-o", binary, "github.com/bergamotdale/bergamotdale/cmd/bergamotdale")
	output, err := command.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return binary
}

// Guards the invariants I1 to I4 and I7 against kills, pauses, cuts, outages of
// the store, lost responses, disagreeing VM lists, failing endpoints, poison
// requests, floods and racing operators, alone and together.
func TestSoak(t *testing.T) {
	t.Logf("seed %d, duration %s; repeat with: make soak SEED=%d DURATION=%s", *seed, *duration, *seed, *duration)
	directory := *logs
	if directory == "" {
		directory = t.TempDir()
	}
	s := &soaker.Soaker{
		Seed:      *seed,
		Duration:  *duration,
		Binary:    build(t, t.TempDir()),
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

// assertNoPanic fails on an assertion that has failed inside a router.
func assertNoPanic(t *testing.T, directory string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(directory, "*.log"))
	assert.NilError(t, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		at := strings.Index(string(data), "panic:")
		if at >= 0 {
			t.Errorf("%s: %.2000s", filepath.Base(file), data[at:])
		}
	}
}
