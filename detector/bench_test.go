package detector_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

// benchSeed is the seed of the last run. Each run uses the next seed, so that
// -count shows the variation between seeds.
var benchSeed uint64

// BenchmarkFleet reports the cost and the speed of membership in the simulated
// network: go test -bench Fleet -benchtime 1x ./detector. Times are virtual, but
// cpu-us/probe is the real time spent in the machines of a process that does
// nothing else. Bytes are message bodies sent and received, without HTTP headers.
func BenchmarkFleet(b *testing.B) {
	for _, members := range []int{9, 36, 90, 360} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for range b.N {
				benchSeed++
				measureFleet(b, benchSeed, members)
			}
		})
	}
}

func measureFleet(b *testing.B, seed uint64, members int) {
	net, joined, ok := startFleet(seed, members)
	if !ok {
		b.Fatal("the fleet did not converge after its start")
	}
	b.ReportMetric(joined.Seconds(), "join-s")
	net.loss = 0.01
	// After a start of the whole fleet, it takes minutes until each change has
	// been piggybacked as often as the protocol does.
	net.run(3 * time.Minute)
	steady := net.measureTraffic(func() { net.run(time.Minute) })
	b.ReportMetric(steady.bytesPerSecond, "quiet-B/s/node")
	b.ReportMetric(steady.cpuPerProbe, "cpu-us/probe")
	b.ReportMetric(steady.cpuPerSecond, "cpu-us/s/node")
	oneLost := net.killRouters(b, 1)
	b.ReportMetric(oneLost.suspected.Seconds(), "first-suspect-s")
	b.ReportMetric(oneLost.spread.Seconds(), "all-suspect-s")
	b.ReportMetric(oneLost.dead.Seconds(), "all-dead-s")
	b.ReportMetric(oneLost.markSpread.Seconds(), "mark-spread-s")
	quarterLost := net.killRouters(b, members/4)
	b.ReportMetric(quarterLost.spread.Seconds(), "quarter-suspect-s")
	b.ReportMetric(quarterLost.dead.Seconds(), "quarter-dead-s")
	b.ReportMetric(quarterLost.bytesPerSecond, "churn-B/s/node")
	b.ReportMetric(quarterLost.peakBytesPerSecond, "peak-B/s/node")
	b.ReportMetric(quarterLost.cpuPerSecond, "churn-cpu-us/s/node")
	b.ReportMetric(net.partition(b).Seconds(), "half-lost-s")
	net.run(partitionDuration)
	healed := net.healPartition(b)
	b.ReportMetric(healed.measuredOver.Seconds(), "met-s")
	b.ReportMetric(healed.bytesPerSecond, "met-B/s/node")
	// The total traffic that the loss of one router adds to the steady traffic.
	b.ReportMetric((oneLost.bytesPerSecond-steady.bytesPerSecond)*oneLost.measuredOver.Seconds(), "one-lost-B/node")
	b.ReportMetric(0, "ns/op")
}

type traffic struct {
	bytesPerSecond, cpuPerProbe, cpuPerSecond float64
}

// measureTraffic runs f and returns the averages over the nodes that then run.
func (n *network) measureTraffic(f func()) traffic {
	before, cpu, start := n.totals(), n.cpu, n.now
	f()
	after := n.totals()
	seconds := n.now.Sub(start).Seconds() * float64(len(n.allRunning()))
	spent := float64((n.cpu - cpu).Microseconds())
	return traffic{
		bytesPerSecond: float64(after.bytes-before.bytes) / seconds,
		cpuPerProbe:    spent / float64(after.probes-before.probes),
		cpuPerSecond:   spent / seconds,
	}
}

type totals struct{ bytes, probes int64 }

func (n *network) totals() totals {
	var t totals
	for _, id := range n.allRunning() {
		s := n.nodes[id].machine.Stats()
		t.bytes += s.BytesSent + s.BytesReceived
		t.probes += s.Probes
	}
	return t
}

// outageResult holds the traffic during a change of the fleet and the times until
// nodes noticed it.
type outageResult struct {
	traffic
	// measuredOver is the duration of the traffic measurement.
	measuredOver                        time.Duration
	suspected, spread, dead, markSpread time.Duration
	// peakBytesPerSecond is the highest traffic of one node within one second.
	peakBytesPerSecond float64
}

// killRouters stops routers simultaneously and waits until all others consider
// them dead.
func (n *network) killRouters(b *testing.B, count int) outageResult {
	var result outageResult
	ids := n.allRunning()[:count]
	for _, id := range ids {
		n.nodes[id].up = false
	}
	start := n.now
	n.spreadDrainMark()
	result.traffic = n.measureTraffic(func() {
		last := map[string]int64{}
		for n.now.Sub(start) < 2*time.Minute {
			n.run(100 * time.Millisecond)
			if n.now.Sub(start)%time.Second == 0 {
				result.peakBytesPerSecond = math.Max(result.peakBytesPerSecond, n.peakBytes(last))
			}
			some, all, dead := n.observedStates(ids)
			elapsed := n.now.Sub(start)
			setOnce(&result.suspected, elapsed, some)
			setOnce(&result.spread, elapsed, all)
			setOnce(&result.dead, elapsed, dead)
			setOnce(&result.markSpread, elapsed, n.drainMarkSpread())
			if dead && result.markSpread > 0 && elapsed > 20*time.Second {
				result.measuredOver = elapsed
				return
			}
		}
		b.Fatalf("not all routers consider the %d stopped routers dead", count)
	})
	return result
}

func setOnce(d *time.Duration, value time.Duration, when bool) {
	if when && *d == 0 {
		*d = value
	}
}

// peakBytes returns the most bytes that one node sent and received since the last
// call.
func (n *network) peakBytes(last map[string]int64) float64 {
	most := int64(0)
	for _, id := range n.allRunning() {
		s := n.nodes[id].machine.Stats()
		if before, ok := last[id]; ok {
			most = max(most, s.BytesSent+s.BytesReceived-before)
		}
		last[id] = s.BytesSent + s.BytesReceived
	}
	return float64(most)
}

// spreadDrainMark spreads a rumour like the one that marks an endpoint as draining.
func (n *network) spreadDrainMark() {
	v := n.nodes[n.allRunning()[0]]
	v.withMachine(func(now time.Time) { v.machine.SpreadRumour(now, "drain/engine-1", "on", now.UnixMilli(), time.Minute) })
}

// drainMarkSpread reports whether all nodes have the same version of the mark.
func (n *network) drainMarkSpread() bool {
	version := int64(0)
	for _, id := range n.allRunning() {
		r, ok := n.nodes[id].view.Rumour("drain/engine-1", n.now)
		if !ok || version != 0 && r.Version != version {
			return false
		}
		version = r.Version
	}
	return true
}

// observedStates reports whether at least one node considers all named routers
// suspected or dead, whether all nodes do, and whether all consider them dead.
func (n *network) observedStates(ids []string) (some, all, dead bool) {
	all, dead = true, true
	for _, observer := range n.allRunning() {
		suspects := true
		for _, id := range ids {
			m, _ := n.nodes[observer].view.Member(id)
			suspects = suspects && m.State != bergamotdale.MemberAlive
			dead = dead && m.State == bergamotdale.MemberDead
		}
		some = some || suspects
		all = all && suspects
	}
	return some, all, dead
}

// partitionDuration is the duration of the partition that healPartition ends.
const partitionDuration = 3 * time.Minute

// healPartition ends the partition and runs until all nodes see each other again.
func (n *network) healPartition(b *testing.B) outageResult {
	for _, id := range n.allRunning() {
		n.nodes[id].side = 0
	}
	var result outageResult
	result.traffic = n.measureTraffic(func() {
		took, ok := n.runUntil(5*time.Minute, n.converged)
		if !ok {
			b.Error("the halves of the partition did not rejoin")
		}
		result.measuredOver = took
	})
	return result
}

// partition splits the fleet into halves and returns the time until no node sees
// more than three quarters of the members as alive, the limit of the elector.
func (n *network) partition(b *testing.B) time.Duration {
	ids := n.allRunning()
	for i, id := range ids {
		n.nodes[id].side = i % 2
	}
	took, ok := n.runUntil(2*time.Minute, func() bool {
		for _, id := range ids {
			responding := 0
			for _, m := range n.nodes[id].view.Live() {
				if m.State == bergamotdale.MemberAlive {
					responding++
				}
			}
			if 4*responding > 3*len(ids) {
				return false
			}
		}
		return true
	})
	if !ok {
		b.Fatal("a node did not notice the partition")
	}
	return took
}
