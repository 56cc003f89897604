package detector_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/bergamotdale/bergamotdale"
)

// benchSeed is the seed of the last run. Each run has another one, so that
// -count shows the spread over seeds.
var benchSeed uint64

// BenchmarkFleet reports the cost and the speed of membership in the simulated
// network: go test -bench Fleet -benchtime 1x ./detector. Times are virtual,
// cpu-us/probe is real time in the machines, in a process that does nothing
// else. Bytes are message bodies sent and received, without HTTP headers.
func BenchmarkFleet(b *testing.B) {
	for _, members := range []int{9, 36, 90, 360} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			for range b.N {
				benchSeed++
				measure(b, benchSeed, members)
			}
		})
	}
}

func measure(b *testing.B, seed uint64, members int) {
	net, joined, ok := fleet(seed, members)
	if !ok {
		b.Fatal("the fleet did not form")
	}
	b.ReportMetric(joined.Seconds(), "join-s")
	net.loss = 0.01
	// News of a start of the whole fleet takes minutes to be carried as often
	// as it is.
	net.run(3 * time.Minute)
	quiet := net.traffic(func() { net.run(time.Minute) })
	b.ReportMetric(quiet.bytesPerSecond, "quiet-B/s/node")
	b.ReportMetric(quiet.cpuPerProbe, "cpu-us/probe")
	b.ReportMetric(quiet.cpuPerSecond, "cpu-us/s/node")
	one := net.kill(b, 1)
	b.ReportMetric(one.suspected.Seconds(), "first-suspect-s")
	b.ReportMetric(one.spread.Seconds(), "all-suspect-s")
	b.ReportMetric(one.dead.Seconds(), "all-dead-s")
	b.ReportMetric(one.markSpread.Seconds(), "mark-spread-s")
	quarter := net.kill(b, members/4)
	b.ReportMetric(quarter.spread.Seconds(), "quarter-suspect-s")
	b.ReportMetric(quarter.dead.Seconds(), "quarter-dead-s")
	b.ReportMetric(quarter.bytesPerSecond, "churn-B/s/node")
	b.ReportMetric(quarter.peakBytesPerSecond, "peak-B/s/node")
	b.ReportMetric(quarter.cpuPerSecond, "churn-cpu-us/s/node")
	b.ReportMetric(net.partition(b).Seconds(), "half-lost-s")
	net.run(partedFor)
	met := net.meet(b)
	b.ReportMetric(met.took.Seconds(), "met-s")
	b.ReportMetric(met.bytesPerSecond, "met-B/s/node")
	// The news of one lost router, all told, above the quiet traffic.
	b.ReportMetric((one.bytesPerSecond-quiet.bytesPerSecond)*one.took.Seconds(), "one-lost-B/node")
	b.ReportMetric(0, "ns/op")
}

type traffic struct {
	bytesPerSecond, cpuPerProbe, cpuPerSecond float64
}

// traffic returns the averages over all running nodes while f runs.
func (n *network) traffic(f func()) traffic {
	before, cpu, start := n.totals(), n.cpu, n.now
	f()
	after := n.totals()
	seconds := n.now.Sub(start).Seconds() * float64(len(n.up()))
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
	for _, id := range n.up() {
		s := n.nodes[id].machine.Stats()
		t.bytes += s.BytesSent + s.BytesReceived
		t.probes += s.Probes
	}
	return t
}

type killed struct {
	traffic
	// took is the time over which the traffic was measured.
	took                                time.Duration
	suspected, spread, dead, markSpread time.Duration
	// peakBytesPerSecond is the highest rate of one node over one second.
	peakBytesPerSecond float64
}

// kill stops routers at once and waits until the others hold them for dead.
func (n *network) kill(b *testing.B, count int) killed {
	var k killed
	ids := n.up()[:count]
	for _, id := range ids {
		n.nodes[id].up = false
	}
	start := n.now
	n.mark()
	k.traffic = n.traffic(func() {
		last := map[string]int64{}
		for n.now.Sub(start) < 2*time.Minute {
			n.run(100 * time.Millisecond)
			if n.now.Sub(start)%time.Second == 0 {
				k.peakBytesPerSecond = math.Max(k.peakBytesPerSecond, n.peak(last))
			}
			some, all, dead := n.states(ids)
			elapsed := n.now.Sub(start)
			setOnce(&k.suspected, elapsed, some)
			setOnce(&k.spread, elapsed, all)
			setOnce(&k.dead, elapsed, dead)
			setOnce(&k.markSpread, elapsed, n.marked())
			if dead && k.markSpread > 0 && elapsed > 20*time.Second {
				k.took = elapsed
				return
			}
		}
		b.Fatalf("%d dead routers were not seen as dead by all", count)
	})
	return k
}

func setOnce(d *time.Duration, value time.Duration, when bool) {
	if when && *d == 0 {
		*d = value
	}
}

// peak returns the most bytes of one node since the last call.
func (n *network) peak(last map[string]int64) float64 {
	most := int64(0)
	for _, id := range n.up() {
		s := n.nodes[id].machine.Stats()
		if before, ok := last[id]; ok {
			most = max(most, s.BytesSent+s.BytesReceived-before)
		}
		last[id] = s.BytesSent + s.BytesReceived
	}
	return float64(most)
}

// mark spreads a rumour, which travels like the draining mark of an endpoint.
func (n *network) mark() {
	v := n.nodes[n.up()[0]]
	v.use(func(now time.Time) { v.machine.Spread(now, "drain/engine-1", "on", now.UnixMilli(), time.Minute) })
}

func (n *network) marked() bool {
	version := int64(0)
	for _, id := range n.up() {
		r, ok := n.nodes[id].view.Rumour("drain/engine-1", n.now)
		if !ok || version != 0 && r.Version != version {
			return false
		}
		version = r.Version
	}
	return true
}

// states reports whether some node suspects all routers named, whether all
// nodes do, and whether all nodes hold them for dead.
func (n *network) states(ids []string) (some, all, dead bool) {
	all, dead = true, true
	for _, observer := range n.up() {
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

// partedFor is the length of the partition that meet ends.
const partedFor = 3 * time.Minute

// meet ends the partition and runs until all nodes see each other again.
func (n *network) meet(b *testing.B) killed {
	for _, id := range n.up() {
		n.nodes[id].side = 0
	}
	var k killed
	k.traffic = n.traffic(func() {
		took, ok := n.until(5*time.Minute, n.converged)
		if !ok {
			b.Error("the halves do not find each other")
		}
		k.took = took
	})
	return k
}

// partition splits the fleet in halves and returns the time until every node
// misses more than a quarter of the members, as the elector asks for.
func (n *network) partition(b *testing.B) time.Duration {
	ids := n.up()
	for i, id := range ids {
		n.nodes[id].side = i % 2
	}
	took, ok := n.until(2*time.Minute, func() bool {
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
		b.Fatal("a node does not notice the partition")
	}
	return took
}
