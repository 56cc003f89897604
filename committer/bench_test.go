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
	// benchBodyBytes is the size of a response body, and benchCallDuration is how
	// long a call takes in BenchmarkRate.
	benchBodyBytes    = 300
	benchCallDuration = 5 * time.Millisecond
)

// shardSet holds an owner of every shard, all on one store.
type shardSet struct {
	store  *storetester.Store
	shards [committer.ShardCount]*committer.Shard
	cancel context.CancelFunc
	epoch  int64
}

// open starts new owners of all shards under the next epoch.
func (set *shardSet) open(b *testing.B, interval time.Duration) {
	if set.cancel != nil {
		set.cancel()
	}
	set.epoch++
	ctx, cancel := context.WithCancel(context.Background())
	set.cancel = cancel
	for i := range set.shards {
		s, err := committer.Open(ctx, committer.Settings{
			ShardNumber: i, Epoch: set.epoch, Owner: fmt.Sprint(set.epoch), Store: set.store, WriteInterval: interval,
		})
		if err != nil {
			b.Fatal(err)
		}
		set.shards[i] = s
		go s.Run(ctx)
	}
}

var benchResponse = bergamotdale.ServiceResponse{
	Status: 200,
	Body:   json.RawMessage(`"` + strings.Repeat("x", benchBodyBytes-2) + `"`),
}

// execute executes one call that takes callDuration.
func (set *shardSet) execute(b *testing.B, key string, callDuration time.Duration) {
	r := committer.Request{Workspace: "linen-17", Service: "pickup", Key: key, Call: "book", Body: []byte(`{"slot": 9}`)}
	s := set.shards[committer.ShardOf(r)]
	_, err := s.Execute(context.Background(), r, func(context.Context) (bergamotdale.ServiceResponse, error) {
		if callDuration > 0 {
			<-time.After(callDuration)
		}
		return benchResponse, nil
	})
	if err != nil {
		b.Error(err)
	}
}

// fill records n calls, up to 256 at a time, that take no time. The write interval
// of 1 ns practically does not delay the commits.
func (set *shardSet) fill(b *testing.B, n int) {
	set.open(b, time.Nanosecond)
	var pending sync.WaitGroup
	limit := make(chan struct{}, 256)
	for i := range n {
		limit <- struct{}{}
		pending.Go(func() {
			set.execute(b, fmt.Sprintf("fill-%08d-7c1e-4a52-9d0b", i), 0)
			<-limit
		})
	}
	pending.Wait()
}

// stats returns the sums of the statistics of all shards.
func (set *shardSet) stats() (sum committer.Stats) {
	for _, s := range set.shards {
		stats := s.Stats()
		sum.HeadWrites += stats.HeadWrites
		sum.SegmentWrites += stats.SegmentWrites
		sum.Deletes += stats.Deletes
		sum.Bytes += stats.Bytes
		sum.Records += stats.Records
	}
	return sum
}

// storedBytes returns the total size of the journals in the store.
func (set *shardSet) storedBytes(b *testing.B) (sum float64) {
	entries, err := set.store.List(context.Background(), "shard/")
	if err != nil {
		b.Fatal(err)
	}
	for _, e := range entries {
		sum += float64(len(e.Value))
	}
	return sum
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRate measures store writes, latency and CPU and memory cost per call
// at several call rates. Each shard has one open segment, to which records are
// still added. Before the measurement, 70 calls per shard on average are recorded,
// which fills the open segments to about half of DefaultSegmentBytes.
func BenchmarkRate(b *testing.B) {
	for _, rate := range []int{1, 10, 50, 100, 200} {
		b.Run(fmt.Sprintf("calls-per-s=%d", rate), func(b *testing.B) {
			set := &shardSet{store: storetester.New(bergamotdale.SystemClock{})}
			set.fill(b, 32*70)
			set.open(b, committer.DefaultWriteInterval)
			defer func() { set.cancel() }()
			random := rand.New(rand.NewPCG(benchSeed, uint64(rate)))
			var lock sync.Mutex
			var latencies []time.Duration
			var pending sync.WaitGroup
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			cpu, start := cpuTime(), time.Now()
			b.ResetTimer()
			for next := time.Duration(0); next < time.Duration(b.N)*benchDuration; {
				<-time.After(next - time.Since(start))
				key := fmt.Sprintf("call-%016x-4a52-9d0b", random.Uint64())
				pending.Go(func() {
					begin := time.Now()
					set.execute(b, key, benchCallDuration)
					lock.Lock()
					defer lock.Unlock()
					latencies = append(latencies, time.Since(begin))
				})
				next += time.Duration(random.ExpFloat64() * float64(time.Second) / float64(rate))
			}
			pending.Wait()
			elapsed := time.Since(start)
			b.StopTimer()
			cpu = cpuTime() - cpu
			runtime.ReadMemStats(&after)
			stats, calls := set.stats(), float64(len(latencies))
			writes := float64(stats.HeadWrites + stats.SegmentWrites + stats.Deletes)
			slices.Sort(latencies)
			b.ReportMetric(writes/elapsed.Seconds(), "writes/s")
			b.ReportMetric(float64(stats.Bytes)/writes, "B/write")
			b.ReportMetric(float64(latencies[len(latencies)/2].Milliseconds()), "p50-ms")
			b.ReportMetric(float64(latencies[len(latencies)*95/100].Milliseconds()), "p95-ms")
			b.ReportMetric(float64(cpu.Microseconds())/calls, "cpu-µs/call")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/calls, "allocs/call")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/calls, "B/call")
		})
	}
}

// BenchmarkMemory measures the heap and the stored bytes per record, and the
// time to open a shard.
func BenchmarkMemory(b *testing.B) {
	const records = 100_000
	set := &shardSet{store: storetester.New(bergamotdale.SystemClock{})}
	set.fill(b, records)
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for range b.N {
		set.cancel()
		for i := range set.shards {
			<-set.shards[i].Done()
			set.shards[i] = nil
		}
		before := heap()
		start := time.Now()
		set.open(b, committer.DefaultWriteInterval)
		elapsed := time.Since(start)
		b.ReportMetric((heap()-before)/records, "B/record")
		b.ReportMetric(float64(elapsed.Milliseconds())/committer.ShardCount, "open-ms/shard")
		b.ReportMetric(set.storedBytes(b)/records, "stored-B/record")
	}
	set.cancel()
}
