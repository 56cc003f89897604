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
	// idleWindow covers five renewals of a lease.
	idleWindow = 15 * time.Second
	// claimsQuiet without a claim show that the ownership has settled.
	claimsQuiet = 3 * time.Second
	// idleDeadline bounds the start of a fleet on a busy machine.
	idleDeadline = 2 * time.Minute
	// enginesPerRouter is that of the target: 750 engines, 360 routers.
	enginesPerRouter = 2
)

// sample is what a fleet has used so far.
type sample struct {
	at    time.Time
	cpu   time.Duration
	bytes int64
	store map[string]int64
}

func take(f *fleettester.Fleet, routers int) sample {
	s := sample{at: time.Now(), cpu: cpuTime(), store: map[string]int64{}}
	counters := f.Platform().Counters()
	for i := range routers {
		sent, received := f.Router(i).PeerBytes()
		s.bytes += sent + received
		for kind, n := range counters.ByCaller[f.Router(i).Name] {
			s.store[kind] += n
		}
	}
	return s
}

// claims returns the calls that change ownership.
func (s sample) claims() int64 { return s.store["cas"] + s.store["acquire"] }

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkIdleFleet reports the cost of each router of a whole fleet without
// traffic: go test -run xxx -bench IdleFleet -benchtime 1x ./fleettester.
// Bytes between routers are those that a router sends and receives, HTTP
// headers included, TCP and IP headers not. CPU and heap include the fake
// platform and the fake engines, so they are upper bounds.
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
	ctx, cancel := context.WithTimeout(b.Context(), idleDeadline)
	defer cancel()
	empty := heap()
	f := &fleettester.Fleet{Routers: routers, Engines: enginesPerRouter * routers}
	assert.NilError(b, f.Start(ctx))
	defer f.Close()
	assert.NilError(b, f.AwaitReady(ctx))
	settled := take(f, routers)
	assert.NilError(b, fleettester.Await(ctx, func() bool {
		now := take(f, routers)
		if now.claims() != settled.claims() {
			settled = now
		}
		return now.at.Sub(settled.at) >= claimsQuiet
	}))
	before := take(f, routers)
	assert.NilError(b, bergamotdale.Wait(ctx, bergamotdale.SystemClock{}, idleWindow))
	after := take(f, routers)
	n := float64(routers)
	seconds := after.at.Sub(before.at).Seconds()
	// Each byte is counted by the router that opened the connection and
	// belongs to two routers.
	b.ReportMetric(2*float64(after.bytes-before.bytes)/seconds/n, "peer-B/s/router")
	b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/seconds/n, "cpu-us/s/router")
	for kind, count := range after.store {
		b.ReportMetric(float64(count-before.store[kind])/seconds/n, kind+"/s/router")
	}
	b.ReportMetric((heap()-empty)/n, "heap-B/router")
	b.ReportMetric(float64(runtime.NumGoroutine())/n, "goroutines/router")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkIdleProcess reports CPU and resident memory of routers that are
// processes of their own, without traffic and without the fakes.
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
	ctx, cancel := context.WithTimeout(b.Context(), idleDeadline)
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
	assert.NilError(b, bergamotdale.Wait(ctx, bergamotdale.SystemClock{}, idleWindow))
	spent, seconds := cpu()-before, time.Since(start).Seconds()
	resident := 0.0
	for i := range routers {
		resident += processResident(b, f.Router(i).PID())
	}
	n := float64(routers)
	b.ReportMetric(float64(spent.Microseconds())/seconds/n, "cpu-us/s/router")
	b.ReportMetric(resident/n, "resident-B/router")
	b.ReportMetric(0, "ns/op")
}

// clockTick is the unit of CPU time in /proc.
const clockTick = 10 * time.Millisecond

func processCPU(b *testing.B, pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(b, err)
	// The name of the program, in parentheses, may hold spaces.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	assert.NilError(b, err)
	system, err := strconv.Atoi(fields[12])
	assert.NilError(b, err)
	return time.Duration(user+system) * clockTick
}

func processResident(b *testing.B, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	assert.NilError(b, err)
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	assert.NilError(b, err)
	return float64(pages * os.Getpagesize())
}
