package committer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/committer"
	"github.com/bergamotdale/bergamotdale/storetester"
)

const (
	benchSeed     = 1
	benchDuration = 10 * time.Second
	// benchBody is the size of a response, benchCall the time of a call.
	benchBody = 300
	benchCall = 5 * time.Millisecond
)

// fleet is all shards on one store.
type fleet struct {
	store  *storetester.Store
	shards [committer.Shards]*committer.Shard
	cancel context.CancelFunc
	epoch  int64
}

func (f *fleet) open(b *testing.B, interval time.Duration) {
	if f.cancel != nil {
		f.cancel()
	}
	f.epoch++
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	for i := range f.shards {
		s, err := committer.Open(ctx, committer.Settings{
			Number: i, Epoch: f.epoch, Owner: fmt.Sprint(f.epoch), Store: f.store, Interval: interval,
		})
		if err != nil {
			b.Fatal(err)
		}
		f.shards[i] = s
		go s.Run(ctx)
	}
}

var benchResponse = bergamotdale.ServiceResponse{
	Status: 200,
	Body:   json.RawMessage(`"` + strings.Repeat("x", benchBody-2) + `"`),
}

func (f *fleet) execute(b *testing.B, key string, lasts time.Duration) {
	r := committer.Request{Workspace: "linen-17", Service: "pickup", Key: key, Call: "book", Body: []byte(`{"slot": 9}`)}
	s := f.shards[committer.ShardOf(r)]
	_, err := s.Execute(context.Background(), r, func(context.Context) (bergamotdale.ServiceResponse, error) {
		if lasts > 0 {
			<-time.After(lasts)
		}
		return benchResponse, nil
	})
	if err != nil {
		b.Error(err)
	}
}

// fill executes n calls as fast as possible.
func (f *fleet) fill(b *testing.B, n int) {
	f.open(b, time.Nanosecond)
	var all sync.WaitGroup
	limit := make(chan struct{}, 256)
	for i := range n {
		limit <- struct{}{}
		all.Go(func() {
			f.execute(b, fmt.Sprintf("fill-%08d-7c1e-4a52-9d0b", i), 0)
			<-limit
		})
	}
	all.Wait()
}

func (f *fleet) stats() (sum committer.Stats) {
	for _, s := range f.shards {
		stats := s.Stats()
		sum.HeadWrites += stats.HeadWrites
		sum.SegmentWrites += stats.SegmentWrites
		sum.Deletes += stats.Deletes
		sum.Bytes += stats.Bytes
		sum.Records += stats.Records
	}
	return sum
}

// storedBytes returns the size of all journals in the store.
func (f *fleet) storedBytes(b *testing.B) (sum float64) {
	entries, err := f.store.List(context.Background(), "shard/")
	if err != nil {
		b.Fatal(err)
	}
	for _, e := range entries {
		sum += float64(len(e.Value))
	}
	return sum
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRate measures store writes, latency and cost against the rate of
// calls, with open segments that are half full on average at the start.
func BenchmarkRate(b *testing.B) {
	for _, rate := range []int{1, 10, 50, 100, 200} {
		b.Run(fmt.Sprintf("calls-per-s=%d", rate), func(b *testing.B) {
			f := &fleet{store: storetester.New(bergamotdale.SystemClock{})}
			f.fill(b, 32*70)
			f.open(b, committer.MinInterval)
			defer func() { f.cancel() }()
			random := rand.New(rand.NewPCG(benchSeed, uint64(rate)))
			var lock sync.Mutex
			var latencies []time.Duration
			var all sync.WaitGroup
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			cpu, start := cpuTime(), time.Now()
			b.ResetTimer()
			for next := time.Duration(0); next < time.Duration(b.N)*benchDuration; {
				<-time.After(next - time.Since(start))
				key := fmt.Sprintf("call-%016x-4a52-9d0b", random.Uint64())
				all.Go(func() {
					begin := time.Now()
					f.execute(b, key, benchCall)
					lock.Lock()
					defer lock.Unlock()
					latencies = append(latencies, time.Since(begin))
				})
				next += time.Duration(random.ExpFloat64() * float64(time.Second) / float64(rate))
			}
			all.Wait()
			took := time.Since(start)
			b.StopTimer()
			cpu = cpuTime() - cpu
			runtime.ReadMemStats(&after)
			stats, calls := f.stats(), float64(len(latencies))
			writes := float64(stats.HeadWrites + stats.SegmentWrites + stats.Deletes)
			slices.Sort(latencies)
			b.ReportMetric(writes/took.Seconds(), "writes/s")
			b.ReportMetric(float64(stats.Bytes)/writes, "B/write")
			b.ReportMetric(float64(latencies[len(latencies)/2].Milliseconds()), "p50-ms")
			b.ReportMetric(float64(latencies[len(latencies)*95/100].Milliseconds()), "p95-ms")
			b.ReportMetric(float64(cpu.Microseconds())/calls, "cpu-µs/call")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/calls, "allocs/call")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/calls, "B/call")
		})
	}
}

// BenchmarkMemory measures the memory of an owner per record.
func BenchmarkMemory(b *testing.B) {
	const records = 100_000
	f := &fleet{store: storetester.New(bergamotdale.SystemClock{})}
	f.fill(b, records)
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for range b.N {
		f.cancel()
		for i := range f.shards {
			<-f.shards[i].Done()
			f.shards[i] = nil
		}
		before := heap()
		start := time.Now()
		f.open(b, committer.MinInterval)
		took := time.Since(start)
		b.ReportMetric((heap()-before)/records, "B/record")
		b.ReportMetric(float64(took.Milliseconds())/committer.Shards, "open-ms/shard")
		b.ReportMetric(f.storedBytes(b)/records, "stored-B/record")
	}
	f.cancel()
}
