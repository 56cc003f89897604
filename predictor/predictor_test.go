package predictor_test

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/predictor"
)

// Guards against placement by a report that cannot be true.
func TestFalseReports(t *testing.T) {
	valid := bergamotdale.ReportedLoad{Running: 20, Waiting: 3, Slots: 32, Slowdown: 1}
	for _, change := range []func(*bergamotdale.ReportedLoad){
		func(l *bergamotdale.ReportedLoad) { l.Slots = 31 },
		func(l *bergamotdale.ReportedLoad) { l.Running = 321 },
		func(l *bergamotdale.ReportedLoad) { l.Running = -1 },
		func(l *bergamotdale.ReportedLoad) { l.Waiting = -1 },
		func(l *bergamotdale.ReportedLoad) { l.Slowdown = 11 },
		func(l *bergamotdale.ReportedLoad) { l.Slowdown = 0.09 },
	} {
		var e predictor.Endpoint
		load := valid
		change(&load)
		assert.Assert(t, errors.Is(e.Record(start, load, 32, 0), predictor.ErrFalseReport), "%+v", load)
		assert.Equal(t, e.Load(start, predictor.Count{Own: 1, Others: 4}), 5.0)
		assert.Equal(t, e.Speed(start, 0), 1.0)
	}
	var e predictor.Endpoint
	assert.NilError(t, e.Record(start, valid, 32, 0))
	assert.Equal(t, e.Load(start, predictor.Count{Others: 4}), 23.0)
}

// Guards against a report that is preferred to later counts or outlives its time, and
// against requests of this router that count twice or not at all beside a report.
func TestLoadByAge(t *testing.T) {
	var e predictor.Endpoint
	assert.NilError(t, e.Record(start, bergamotdale.ReportedLoad{Running: 10, Slots: 32}, 32, 2))
	at := func(after, counted time.Duration, own int) float64 {
		return e.Load(start.Add(after), predictor.Count{Own: own, Others: 30, At: start.Add(counted)})
	}
	assert.Equal(t, at(100*time.Millisecond, 0, 2), 10.0)
	assert.Equal(t, at(100*time.Millisecond, 0, 5), 13.0)
	assert.Equal(t, at(100*time.Millisecond, 0, 0), 8.0)
	assert.Equal(t, at(400*time.Millisecond, 310*time.Millisecond, 2), 32.0)
	assert.Equal(t, e.Load(start.Add(1900*time.Millisecond), predictor.Count{Own: 2}), 10.0)
	assert.Equal(t, e.Load(start.Add(2*time.Second), predictor.Count{Own: 2}), 2.0)
}

// Guards against a slowdown that counts after it has ended, and against an endpoint that
// gets a share by one or two measurements.
func TestSpeed(t *testing.T) {
	var e predictor.Endpoint
	assert.NilError(t, e.Record(start, bergamotdale.ReportedLoad{Slots: 32, Slowdown: 2.5}, 32, 0))
	assert.Equal(t, e.Speed(start, 0), 0.4)
	assert.Equal(t, e.Speed(start.Add(300*time.Millisecond), 0), 1/1.75)
	assert.Equal(t, e.Speed(start.Add(600*time.Millisecond), 0), 1.0)
	for range 4 {
		e.RecordEventTime(65 * time.Millisecond)
	}
	late := start.Add(time.Minute)
	assert.Equal(t, e.Speed(late, 0.05), 1.0)
	for range 20 {
		e.RecordEventTime(65 * time.Millisecond)
	}
	speed := e.Speed(late, 0.05)
	assert.Assert(t, speed > 0.76 && speed < 0.78, "%f", speed)
	for range 100 {
		e.RecordEventTime(time.Second)
	}
	assert.Equal(t, e.Speed(late, 0.05), 0.5)
}

// Guards against an endpoint that keeps a reduced part for long after its load has
// fallen, against counts after a pause that add up at once, and against keys that
// spread at loads of a few requests.
func TestExcess(t *testing.T) {
	var e predictor.Endpoint
	adjust := func(from, to int, load, share float64) {
		for i := from; i < to; i++ {
			e.Adjust(start.Add(time.Duration(i)*300*time.Millisecond), load, share)
		}
	}
	adjust(0, 100, 3, 0.5)
	assert.Equal(t, e.Excess(), 0.0)
	adjust(10000, 10002, 20, 10)
	assert.Assert(t, e.Excess() < 0.52, "%f", e.Excess())
	adjust(10002, 10300, 20, 10)
	high := e.Excess()
	adjust(10300, 10350, 5, 10)
	assert.Assert(t, high == 5 && e.Excess() < 2, "%f, after 15 s at half the share %f", high, e.Excess())
}

// Guards against a key that is popular after one request that is placed again, or for
// ever.
func TestKeys(t *testing.T) {
	var k predictor.Keys
	assert.Assert(t, !k.Record(0, 7, 1))
	assert.Assert(t, !k.Record(time.Second, 7, 1))
	assert.Assert(t, k.Record(2*time.Second, 7, 2))
	assert.Assert(t, !k.Record(7*time.Second, 7, 3))
}
