package elector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bergamotdale/bergamotdale/storetester"
)

// endpointsAndShards is the number of names of 360 routers: 750 endpoints and
// 32 shards.
const endpointsAndShards = 782

// benchSeed is the seed of the last run. Each run has another one, so that
// -count shows the spread over seeds.
var benchSeed uint64

// BenchmarkQuarterLost reports the store calls of the whole fleet per second
// after a quarter of the routers vanished, with 750 endpoints and 32 shards for
// 360 routers: go test -run xxx -bench QuarterLost -benchtime 1x ./elector.
func BenchmarkQuarterLost(b *testing.B) {
	eachSize(b, []int{45, 90, 180, 360}, func(b *testing.B, w *world) {
		ids := w.ids()
		w.measure(b, "", 8*time.Second, func() {
			for _, id := range ids[:len(ids)/4] {
				w.routers[id].up = false
			}
		})
	})
}

// BenchmarkReplaced reports the same after one router vanished and another one
// started.
func BenchmarkReplaced(b *testing.B) {
	eachSize(b, []int{45, 90, 180, 360}, func(b *testing.B, w *world) {
		w.measure(b, "", 8*time.Second, func() {
			w.routers[w.ids()[0]].up = false
			w.start("router-new")
		})
	})
}

// BenchmarkRegionsPart reports the same while half of the routers reach neither
// the store nor the other half, and after they meet again.
func BenchmarkRegionsPart(b *testing.B) {
	eachSize(b, []int{30, 60, 120, 360}, func(b *testing.B, w *world) {
		ids := w.ids()
		part := func(side int) {
			for _, id := range ids[:len(ids)/2] {
				w.routers[id].side, w.routers[id].cut = side, side != 0
			}
		}
		// Claims on the side with the store end well before.
		w.measureFor(b, "parted-", time.Minute, func() { part(1) })
		w.measure(b, "met-", 8*time.Second, func() { part(0) })
	})
}

// eachSize runs f with a settled fleet of each size.
func eachSize(b *testing.B, sizes []int, f func(b *testing.B, w *world)) {
	for _, routers := range sizes {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			for range b.N {
				benchSeed++
				w := newWorld(benchSeed, endpointsAndShards*routers/360)
				for i := range routers {
					w.start(fmt.Sprintf("router-%03d", i))
				}
				start, problem := w.until(3 * time.Minute)
				if problem != "" {
					b.Fatal(problem)
				}
				quietOwnership, quietLease := w.calls()
				w.run(30 * time.Second)
				ownership, lease := w.calls()
				b.ReportMetric(start.Seconds(), "start-s")
				b.ReportMetric(float64(ownership-quietOwnership)/30, "quiet-calls/s")
				b.ReportMetric(float64(lease-quietLease)/30, "lease-calls/s")
				f(b, w)
				b.ReportMetric(0, "ns/op")
				if w.violation != "" || w.settled() != "" {
					b.Fatal(w.violation, w.settled())
				}
			}
		})
	}
}

// measure reports the calls from the change until the ownership has settled
// again, and for atLeast: the model of the membership needs 6 s to hold a
// router for dead.
func (w *world) measure(b *testing.B, prefix string, atLeast time.Duration, change func()) {
	w.observe(b, prefix, change, func(elapsed time.Duration) bool {
		return elapsed >= atLeast && (w.settled() == "" || elapsed >= 3*time.Minute)
	})
}

// measureFor reports the calls in a fixed time after the change.
func (w *world) measureFor(b *testing.B, prefix string, length time.Duration, change func()) {
	w.observe(b, prefix, change, func(elapsed time.Duration) bool { return elapsed >= length })
}

func (w *world) observe(b *testing.B, prefix string, change func(), done func(elapsed time.Duration) bool) {
	before, _ := w.calls()
	beforeWrites := w.store.Count(storetester.OpCompareAndSwap)
	change()
	start := w.clock.Now()
	peak, last, peakWrites, lastWrites := 0.0, before, 0, beforeWrites
	for !done(w.clock.Now().Sub(start)) {
		w.run(time.Second)
		now, _ := w.calls()
		writes := w.store.Count(storetester.OpCompareAndSwap)
		peak, last = max(peak, float64(now-last)), now
		peakWrites, lastWrites = max(peakWrites, writes-lastWrites), writes
	}
	b.ReportMetric(w.clock.Now().Sub(start).Seconds(), prefix+"settled-s")
	b.ReportMetric(peak, prefix+"peak-calls/s")
	b.ReportMetric(float64(peakWrites), prefix+"peak-writes/s")
	b.ReportMetric(float64(last-before), prefix+"calls")
	b.ReportMetric(float64(lastWrites-beforeWrites), prefix+"writes")
}

func (w *world) calls() (ownership, lease int64) {
	for _, r := range w.routers {
		o, l := r.e.StoreCalls()
		ownership += o
		lease += l
	}
	return ownership, lease
}
