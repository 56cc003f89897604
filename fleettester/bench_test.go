package fleettester_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/fleettester"
)

const (
	// measuringPeriod is long enough for five renewals of a lease.
	measuringPeriod = 15 * time.Second
	// settlePeriod is how long no router may claim ownership before the ownership
	// counts as settled and the measurement starts.
	settlePeriod = 3 * time.Second
	// benchmarkTimeout bounds a benchmark, including a slow start of the fleet on
	// a busy machine.
	benchmarkTimeout = 2 * time.Minute
	// enginesPerRouter is about the ratio of the target fleet, 750 engines and
	// 360 routers.
	enginesPerRouter = 2
)

// sample holds the resources that a fleet has used up to a point in time.
type sample struct {
	at         time.Time
	cpu        time.Duration
	peerBytes  int64
	storeCalls map[string]int64
}

// takeSample adds up the counters of all routers.
func takeSample(f *fleettester.Fleet, routers int) sample {
	s := sample{at: time.Now(), cpu: cpuTime(), storeCalls: map[string]int64{}}
	counters := f.Platform().Counters()
	for i := range routers {
		sent, received := f.Router(i).PeerBytes()
		s.peerBytes += sent + received
		for kind, n := range counters.ByCaller[f.Router(i).Name] {
			s.storeCalls[kind] += n
		}
	}
	return s
}

// ownershipChanges returns the number of store calls that change which router
// owns something.
func (s sample) ownershipChanges() int64 { return s.storeCalls["cas"] + s.storeCalls["acquire"] }

// cpuTime returns the CPU time of this process, or zero if it is unknown.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapInUse returns the bytes of live heap objects after garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkIdleFleet reports what each router of a fleet without traffic costs:
// go test -run xxx -bench IdleFleet -benchtime 1x ./fleettester.
// The bytes between routers are those that a router sends and receives, with
// HTTP headers but without TCP and IP headers. CPU time and heap are upper
// bounds, since they include the fake platform and the fake engines.
func BenchmarkIdleFleet(b *testing.B) {
	for _, routers := range []int{3, 6, 12, 24} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			for range b.N {
				measureIdle(b, routers)
			}
		})
	}
}

func measureIdle(b *testing.B, routers int) {
	ctx, cancel := context.WithTimeout(b.Context(), benchmarkTimeout)
	defer cancel()
	heapBefore := heapInUse()
	f := &fleettester.Fleet{Routers: routers, Engines: enginesPerRouter * routers}
	assert.NilError(b, f.Start(ctx))
	defer f.Close()
	assert.NilError(b, f.AwaitReady(ctx))
	settled := takeSample(f, routers)
	assert.NilError(b, fleettester.Await(ctx, func() bool {
		now := takeSample(f, routers)
		if now.ownershipChanges() != settled.ownershipChanges() {
			settled = now
		}
		return now.at.Sub(settled.at) >= settlePeriod
	}))
	before := takeSample(f, routers)
	assert.NilError(b, bergamotdale.Wait(ctx, bergamotdale.SystemClock{}, measuringPeriod))
	after := takeSample(f, routers)
	n := float64(routers)
	seconds := after.at.Sub(before.at).Seconds()
	// Only the router that opened a connection counts its bytes, but they are
	// traffic of both routers, hence the factor of two.
	b.ReportMetric(2*float64(after.peerBytes-before.peerBytes)/seconds/n, "peer-B/s/router")
	b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/seconds/n, "cpu-us/s/router")
	for kind, count := range after.storeCalls {
		b.ReportMetric(float64(count-before.storeCalls[kind])/seconds/n, kind+"/s/router")
	}
	b.ReportMetric((heapInUse()-heapBefore)/n, "heap-B/router")
	b.ReportMetric(float64(runtime.NumGoroutine())/n, "goroutines/router")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkIdleProcess reports CPU time and resident memory of routers without
// traffic. Each router runs as a separate process, so that the figures exclude
// the fake servers.
func BenchmarkIdleProcess(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "bergamotdale")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/bergamotdale").CombinedOutput()
	assert.NilError(b, err, string(out))
	for _, routers := range []int{3, 6, 12} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			for range b.N {
				measureProcesses(b, binary, routers)
			}
		})
	}
}

func measureProcesses(b *testing.B, binary string, routers int) {
	ctx, cancel := context.WithTimeout(b.Context(), benchmarkTimeout)
	defer cancel()
	f := &fleettester.Fleet{
		Routers: routers, Engines: enginesPerRouter * routers, Binary: binary, Directory: b.TempDir(),
	}
	assert.NilError(b, f.Start(ctx))
	defer f.Close()
	assert.NilError(b, f.AwaitReady(ctx))
	cpu := func() (sum time.Duration) {
		for i := range routers {
			sum += processCPU(b, f.Router(i).PID())
		}
		return sum
	}
	before, start := cpu(), time.Now()
	assert.NilError(b, bergamotdale.Wait(ctx, bergamotdale.SystemClock{}, measuringPeriod))
	spent, seconds := cpu()-before, time.Since(start).Seconds()
	resident := 0.0
	for i := range routers {
		resident += residentBytes(b, f.Router(i).PID())
	}
	n := float64(routers)
	b.ReportMetric(float64(spent.Microseconds())/seconds/n, "cpu-us/s/router")
	b.ReportMetric(resident/n, "resident-B/router")
	b.ReportMetric(0, "ns/op")
}

// clockTick is the unit of CPU times in /proc on Linux (100 ticks per second).
const clockTick = 10 * time.Millisecond

// processCPU returns the user and system CPU time of a process.
func processCPU(b *testing.B, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(b, err)
	// The second field, the program name in parentheses, may contain spaces, so
	// the fields are counted from the closing parenthesis.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	assert.NilError(b, err)
	system, err := strconv.Atoi(fields[12])
	assert.NilError(b, err)
	return time.Duration(user+system) * clockTick
}

// residentBytes returns the resident memory of a process.
func residentBytes(b *testing.B, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	assert.NilError(b, err)
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	assert.NilError(b, err)
	return float64(pages * os.Getpagesize())
}
