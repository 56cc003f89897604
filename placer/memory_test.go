package placer_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/bergamotdale/bergamotdale/placer"
)

// BenchmarkOverrideMemory reports the heap size of one placement override, which
// is all that a router keeps for an idle chat.
func BenchmarkOverrideMemory(b *testing.B) {
	for _, n := range []int{1_000, 5_600, 50_000, 400_000} {
		b.Run(fmt.Sprintf("overrides=%d", n), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				o := placer.NewOverrides(n * placer.EntryBytes)
				for i := range n {
					o.Put(fmt.Sprintf("chat-%d", i), fmt.Sprintf("engine-%02d", i%23))
				}
				b.ReportMetric((heapBytes()-before)/float64(n), "heap-B/override")
				runtime.KeepAlive(o)
			}
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
