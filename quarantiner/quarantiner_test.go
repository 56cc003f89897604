package quarantiner_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/quarantiner"
)

type fingerprint = quarantiner.Fingerprint

var start = time.UnixMilli(1_800_000_000_000)

func newQuarantiner(router string) *quarantiner.Quarantiner {
	return quarantiner.New(quarantiner.DefaultSettings(router))
}

// Guards against a poison request that is not refused after three crashes, and
// against harmless requests on the same endpoint that are refused or remain
// suspects after a complete response.
func TestPoisonRequestIsDistinguishedFromHarmlessOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQuarantiner("router-1")
		now := start
		crashes := 0
		for q.Refusal(now, "poison") == nil {
			assert.Assert(t, crashes < 3, "poison runs a fourth time")
			now = now.Add(time.Second)
			running := []fingerprint{"poison"}
			for i := range rapid.IntRange(0, 8).Draw(t, "neighbours") {
				f := fingerprint(fmt.Sprintf("innocent-%d", i))
				if q.MayRun(now, f, running) {
					running = append(running, f)
				}
			}
			q.RecordCrash(now, running)
			crashes++
			for _, f := range running[1:] {
				if rapid.Bool().Draw(t, "completes-elsewhere") {
					q.RecordCompletion(now, f)
					assert.Assert(t, !q.IsSuspect(now, f))
				}
			}
		}
		assert.Equal(t, crashes, 3)
		for i := range 8 {
			f := fingerprint(fmt.Sprintf("innocent-%d", i))
			assert.Assert(t, q.Refusal(now, f) == nil)
			assert.Assert(t, q.Crashes(now, f) <= 1)
		}
	})
}

// Guards against a poison request that runs on a fourth endpoint: its client
// repeats it at once, while its third crash still looks like a broken connection.
func TestSuspectIsRefusedWhileCrashIsInDoubt(t *testing.T) {
	q := newQuarantiner("router-1")
	assert.Assert(t, !q.RecordBrokenStream(start, "neighbour"))
	q.RecordCrash(start, []fingerprint{"poison"})
	assert.Assert(t, q.RecordBrokenStream(start, "poison"))
	assert.Assert(t, q.Refusal(start, "poison") == nil, "one crash and one broken stream are below the limit")
	q.RecordCrash(start, []fingerprint{"poison"})
	q.RecordBrokenStream(start, "poison")
	soon := start.Add(15 * time.Millisecond)
	refusal := q.Refusal(soon, "poison")
	assert.Assert(t, refusal != nil)
	assert.Equal(t, refusal.Code, bergamotdale.CodeCrashInDoubt)
	assert.Equal(t, refusal.Outcome, bergamotdale.OutcomeNotRun)
	assert.Equal(t, refusal.RetryAfter, quarantiner.InDoubtDuration-15*time.Millisecond)
	// The endpoint has not crashed: the refusal ends after InDoubtDuration.
	assert.Assert(t, q.Refusal(start.Add(quarantiner.InDoubtDuration), "poison") == nil)
	// The endpoint has crashed: the fingerprint is quarantined.
	q.RecordBrokenStream(soon, "poison")
	q.RecordCrash(soon, []fingerprint{"poison"})
	assert.Equal(t, q.Refusal(soon, "poison").Code, bergamotdale.CodeQuarantined)
}

// Guards against routers that hold different counts after they have merged the
// same ones, in any order and any number of times.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		routers := []*quarantiner.Quarantiner{newQuarantiner("a"), newQuarantiner("b"), newQuarantiner("c")}
		var sent []quarantiner.CrashCount
		draw := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(t, label) }
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			q := routers[draw("router", len(routers))]
			f := fingerprint(fmt.Sprint(draw("fingerprint", 3)))
			now = now.Add(time.Duration(draw("seconds", 60)) * time.Second)
			switch draw("action", 4) {
			case 0, 1:
				sent = append(sent, q.RecordCrash(now, []fingerprint{f})...)
			case 2:
				sent = append(sent, q.RecordCompletion(now, f)...)
			case 3:
				if len(sent) > 0 {
					q.Merge(now, []quarantiner.CrashCount{sent[draw("count", len(sent))]})
				}
			}
		}
		for _, q := range routers {
			shuffled := rapid.Permutation(sent).Draw(t, "order")
			q.Merge(now, shuffled)
			assert.Equal(t, len(q.Merge(now, shuffled)), 0)
		}
		for _, q := range routers[1:] {
			assert.DeepEqual(t, q.Counts(now), routers[0].Counts(now))
		}
	})
}

// Guards against two suspects that run on one endpoint, and against a suspect that
// may not run at all.
func TestSuspectsRunOnSeparateEndpoints(t *testing.T) {
	q := newQuarantiner("a")
	q.RecordCrash(start, []fingerprint{"x", "y", "x"})
	assert.Equal(t, q.Crashes(start, "x"), 1)
	assert.Assert(t, !q.MayRun(start, "x", []fingerprint{"other", "y"}))
	assert.Assert(t, q.MayRun(start, "x", []fingerprint{"other", "x"}))
	assert.Assert(t, q.MayRun(start, "other", []fingerprint{"x", "y"}))
}

// Guards against a poison request that is never quarantined because each endpoint
// that it crashes was also running another suspect, and against harmless requests
// that become suspects although a suspect was running.
func TestCrashCountsForSuspectsWithMostCrashes(t *testing.T) {
	q := newQuarantiner("a")
	q.RecordCrash(start, []fingerprint{"x", "y"})
	q.RecordCrash(start, []fingerprint{"x"})
	changed := q.RecordCrash(start, []fingerprint{"x", "y", "z"})
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, q.Crashes(start, "x"), 3)
	assert.Equal(t, q.Crashes(start, "y"), 1)
	assert.Assert(t, !q.IsSuspect(start, "z"))
}

// Guards against a refusal without a retry time, against a quarantine that never
// ends or that a complete response lifts, and against expired counts that come
// back by gossip.
func TestQuarantineExpires(t *testing.T) {
	q := newQuarantiner("a")
	var last []quarantiner.CrashCount
	for range 3 {
		last = q.RecordCrash(start, []fingerprint{"x"})
	}
	q.RecordCompletion(start, "x")
	now := start.Add(9 * time.Minute)
	refusal := q.Refusal(now, "x")
	assert.Equal(t, refusal.Code, bergamotdale.CodeQuarantined)
	assert.Equal(t, refusal.Outcome, bergamotdale.OutcomeNotRun)
	assert.Equal(t, refusal.RetryAfter, time.Minute)
	now = start.Add(10 * time.Minute)
	assert.Assert(t, q.Refusal(now, "x") == nil)
	assert.Equal(t, len(q.Merge(now, last)), 0)
	again := q.RecordCrash(now, []fingerprint{"x"})
	slow := newQuarantiner("b")
	slow.Merge(now.Add(-time.Second), slices.Concat(last, again, last))
	assert.Equal(t, slow.Crashes(now.Add(-time.Second), "x"), 1)
}

// Guards against unbounded memory, and against counts that never expire because
// their time is in the future.
func TestRecordsAreBounded(t *testing.T) {
	s := quarantiner.DefaultSettings("a")
	s.MaxRecords = 10
	q := quarantiner.New(s)
	for i := range 30 {
		q.RecordCrash(start.Add(time.Duration(i)*time.Second), []fingerprint{fingerprint(fmt.Sprint(i))})
	}
	now := start.Add(30 * time.Second)
	assert.Equal(t, len(q.Counts(now)), 10)
	assert.Assert(t, q.IsSuspect(now, "29"))
	future := now.Add(time.Hour).UnixMilli()
	c := quarantiner.CrashCount{Fingerprint: "f", Router: "b", Since: future, Last: future, Crashes: 3}
	assert.Equal(t, len(q.Merge(now, []quarantiner.CrashCount{c})), 0)
}

// Guards against different requests with the same fingerprint, for example because
// the boundaries between workspace, model and body are not hashed.
func TestFingerprintDependsOnPartBoundaries(t *testing.T) {
	of := quarantiner.FingerprintOf
	assert.Equal(t, of("w", "m", []byte("b")), of("w", "m", []byte("b")))
	assert.Assert(t, of("w", "m", []byte("b")) != of("wm", "", []byte("b")))
	assert.Assert(t, of("w", "m", []byte("b")) != of("w", "mb", nil))
}
