package benchmarker_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/benchmarker"
	"github.com/bergamotdale/bergamotdale/placer"
	"github.com/bergamotdale/bergamotdale/simulator"
	"github.com/bergamotdale/bergamotdale/workloader"
)

var seed = flag.Uint64("bench-seed", 1, "seed of the simulated workload")

// Guards against a change of placement, scheduling or quotas that misses a goal of
// M2, M3 or M4 (see package benchmarker). Some runs are shorter than those of
// make bench.
func TestGoals(t *testing.T) {
	t.Parallel()
	o := benchmarker.Options{Seed: *seed, Scale: 1, Parallel: 3}
	t.Logf("seed %d", *seed)
	shape := workloader.Vrbensky()
	var rows []benchmarker.Row
	rows = append(rows, benchmarker.UrgentLatency(o, shape)...)
	o.Scale = 0.5
	rows = append(rows, benchmarker.Isolation(o, shape)...)
	rows = append(rows, benchmarker.MinimumShares(o, shape)...)
	goals := 0
	for _, r := range rows {
		if r.Goal != "" {
			goals++
			assert.Check(t, r.Met, "%s %s: %s is %f, goal %s", r.Measure, r.Variant, r.Metric, r.Value, r.Goal)
		}
	}
	assert.Equal(t, goals, 11)
}

// Guards against an admission above the load bound (I1) at any time of a run with a
// flood and churn. The limit is computed independently of package placer: an owner
// may go up to the looser of the bounds for its own and for the sender's group load,
// each tightened by the age of that group load.
func TestLoadBoundAtEveryStep(t *testing.T) {
	t.Parallel()
	shape := workloader.Hanbit()
	admissions := 0
	sc := simulator.Scenario{
		Shape: shape, Seed: *seed, Placement: simulator.PlacementRouter,
		Load: [workloader.ClassCount]float64{0.15, 0.25, 0.2},
		To:   4 * time.Minute, EngineChurn: 30 * time.Second, RouterChurn: time.Minute,
		Flood: &workloader.Flood{Class: workloader.Batch, Load: 4, From: time.Minute, To: 2 * time.Minute},
	}
	sc.CheckAdmission = func(load int, step placer.Step, own, sender placer.GroupLoad) {
		admissions++
		highest := 0.0
		for _, m := range []placer.GroupLoad{own, sender} {
			multiple := 1 + (shape.Multiple-1)*max(0, 1-m.Age.Seconds()/10)
			highest = max(highest, multiple*float64(m.Requests+1)/float64(max(m.Engines, 1)))
		}
		assert.Assert(t, float64(load) < highest+1, "load %d, bound %f, step %+v", load, highest, step)
	}
	benchmarker.Run(sc)
	assert.Assert(t, admissions > 5000)
}

// Guards against cache reuse below the goal of M1 when engines leave and routers
// crash.
func TestCacheReuse(t *testing.T) {
	t.Parallel()
	reuse := map[simulator.Placement]float64{}
	for _, p := range []simulator.Placement{simulator.PlacementRouter, simulator.PlacementOracle} {
		reuse[p] = benchmarker.Run(simulator.Scenario{
			Shape: workloader.Hanbit(), Seed: *seed, Placement: p,
			Load: [workloader.ClassCount]float64{0.15, 0.25, 0.2},
			From: 2 * time.Minute, To: 17 * time.Minute, EngineChurn: time.Minute, RouterChurn: 10 * time.Minute,
		}).Reuse()
	}
	assert.Assert(t, reuse[simulator.PlacementRouter] >= 0.95*reuse[simulator.PlacementOracle], "seed %d: %v", *seed, reuse)
}

// Guards against output that differs between runs of one seed, also with another
// number of parallel runs.
func TestSameSeedSameOutput(t *testing.T) {
	t.Parallel()
	var outputs [2]bytes.Buffer
	directory := t.TempDir()
	for i := range outputs {
		o := benchmarker.Options{Seed: *seed, Scale: 0.1, Parallel: 1 + i}
		rows := benchmarker.UrgentLatency(o, workloader.Hanbit())
		assert.NilError(t, benchmarker.Print(&outputs[i], *seed, rows))
		assert.NilError(t, benchmarker.WriteCSV(directory, *seed, rows))
	}
	assert.Equal(t, outputs[0].String(), outputs[1].String())
	csv, err := os.ReadFile(filepath.Join(directory, "measures.csv"))
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(csv, []byte("M2,hanbit,scheduler,urgent p95 relative to no flood")))
}
