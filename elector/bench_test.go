package elector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bergamotdale/bergamotdale/storetester"
)

// endpointsAndShards is the number of names in a fleet of 360 routers: 750
// endpoints and 32 shards. Smaller fleets have proportionally fewer names.
const endpointsAndShards = 782

// benchSeed is the seed of the most recent run. Every run uses a new seed, so
// that -count shows the spread over seeds.
var benchSeed uint64

// BenchmarkQuarterLost reports the store calls per second of the whole fleet
// after a quarter of the routers has stopped without notice, with 750 endpoints
// and 32 shards for 360 routers: go test -run xxx -bench QuarterLost -benchtime
// 1x ./elector.
func BenchmarkQuarterLost(b *testing.B) {
	forEachFleetSize(b, []int{45, 90, 180, 360}, func(b *testing.B, sim *simulation) {
		runningIDs := sim.runningIDs()
		sim.measureUntilSettled(b, "", 8*time.Second, func() {
			for _, id := range runningIDs[:len(runningIDs)/4] {
				sim.routers[id].up = false
			}
		})
	})
}

// BenchmarkReplaced reports the store calls after one router has stopped without
// notice and a new one has started.
func BenchmarkReplaced(b *testing.B) {
	forEachFleetSize(b, []int{45, 90, 180, 360}, func(b *testing.B, sim *simulation) {
		sim.measureUntilSettled(b, "", 8*time.Second, func() {
			sim.routers[sim.runningIDs()[0]].up = false
			sim.start("router-new")
		})
	})
}

// BenchmarkRegionsPart reports the store calls during and after a network
// partition that splits the routers into two halves, of which one also cannot
// reach the store. Metrics with the prefix parted- cover the minute of the
// partition, those with the prefix met- the time after it has healed.
func BenchmarkRegionsPart(b *testing.B) {
	forEachFleetSize(b, []int{30, 60, 120, 360}, func(b *testing.B, sim *simulation) {
		runningIDs := sim.runningIDs()
		setPartition := func(partition int) {
			for _, id := range runningIDs[:len(runningIDs)/2] {
				sim.routers[id].partition, sim.routers[id].storeUnreachable = partition, partition != 0
			}
		}
		// The half that reaches the store claims the names of the other half. It
		// finishes well within the minute.
		sim.measureFor(b, "parted-", time.Minute, func() { setPartition(1) })
		sim.measureUntilSettled(b, "met-", 8*time.Second, func() { setPartition(0) })
	})
}

// forEachFleetSize starts a simulated fleet of each size, waits until its
// ownership has settled, and reports the time this took and the store calls in the
// next 30 s without any change. Then it runs f on the fleet.
func forEachFleetSize(b *testing.B, sizes []int, f func(b *testing.B, sim *simulation)) {
	for _, routers := range sizes {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			for range b.N {
				benchSeed++
				sim := newSimulation(benchSeed, endpointsAndShards*routers/360)
				for i := range routers {
					sim.start(fmt.Sprintf("router-%03d", i))
				}
				start, problem := sim.runUntilSettled(3 * time.Minute)
				if problem != "" {
					b.Fatal(problem)
				}
				quietOwnership, quietLease := sim.storeCalls()
				sim.run(30 * time.Second)
				ownership, lease := sim.storeCalls()
				b.ReportMetric(start.Seconds(), "start-s")
				b.ReportMetric(float64(ownership-quietOwnership)/30, "quiet-calls/s")
				b.ReportMetric(float64(lease-quietLease)/30, "lease-calls/s")
				f(b, sim)
				b.ReportMetric(0, "ns/op")
				if sim.violation != "" || sim.unsettledReason() != "" {
					b.Fatal(sim.violation, sim.unsettledReason())
				}
			}
		})
	}
}

// measureUntilSettled reports the store calls from the change until the ownership
// has settled again, measuring for at least atLeast: the simulated membership
// needs 6 s to consider a router dead.
func (sim *simulation) measureUntilSettled(b *testing.B, prefix string, atLeast time.Duration, change func()) {
	sim.measureUntilDone(b, prefix, change, func(elapsed time.Duration) bool {
		return elapsed >= atLeast && (sim.unsettledReason() == "" || elapsed >= 3*time.Minute)
	})
}

// measureFor makes the change and reports the store calls in the given time after
// it.
func (sim *simulation) measureFor(b *testing.B, prefix string, length time.Duration, change func()) {
	sim.measureUntilDone(b, prefix, change, func(elapsed time.Duration) bool { return elapsed >= length })
}

// measureUntilDone makes the change and reports the store calls from then until
// done returns true. The prefix starts the name of each reported metric.
func (sim *simulation) measureUntilDone(b *testing.B, prefix string, change func(), done func(elapsed time.Duration) bool) {
	before, _ := sim.storeCalls()
	beforeWrites := sim.store.Count(storetester.OpCompareAndSwap)
	change()
	start := sim.clock.Now()
	peak, last, peakWrites, lastWrites := 0.0, before, 0, beforeWrites
	for !done(sim.clock.Now().Sub(start)) {
		sim.run(time.Second)
		now, _ := sim.storeCalls()
		writes := sim.store.Count(storetester.OpCompareAndSwap)
		peak, last = max(peak, float64(now-last)), now
		peakWrites, lastWrites = max(peakWrites, writes-lastWrites), writes
	}
	b.ReportMetric(sim.clock.Now().Sub(start).Seconds(), prefix+"settled-s")
	b.ReportMetric(peak, prefix+"peak-calls/s")
	b.ReportMetric(float64(peakWrites), prefix+"peak-writes/s")
	b.ReportMetric(float64(last-before), prefix+"calls")
	b.ReportMetric(float64(lastWrites-beforeWrites), prefix+"writes")
}

// storeCalls returns the number of store calls that all routers have made.
func (sim *simulation) storeCalls() (ownership, lease int64) {
	for _, r := range sim.routers {
		o, l := r.underTest.StoreCalls()
		ownership += o
		lease += l
	}
	return ownership, lease
}
