package replayer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/replayer"
	"github.com/bergamotdale/bergamotdale/streamer"
)

// BenchmarkMemory reports the heap memory that the buffers use per token, next to
// the memory that the replayer accounts for. Frames hold one token each, as
// engines send them.
func BenchmarkMemory(b *testing.B) {
	const tokens = 450
	for _, streams := range []int{10, 100, 600} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				r := replayer.New(bergamotdale.SystemClock{}, time.Hour, 1<<30)
				for i := range streams {
					id := fmt.Sprintf("stream-%d", i)
					buffer, err := r.Open(id, streamer.Position{})
					assert.NilError(b, err)
					framer := streamer.NewFramer(id, streamer.Position{})
					for j := range tokens {
						assert.NilError(b, buffer.Append(framer.Data(fmt.Sprintf("t%03d", j))))
					}
					assert.NilError(b, buffer.Append(framer.End("stop")))
				}
				n := float64(streams * tokens)
				b.ReportMetric((heapBytes()-before)/n, "heap-B/token")
				b.ReportMetric(float64(r.Bytes())/n, "accounted-B/token")
				runtime.KeepAlive(r)
			}
		})
	}
}

// heapBytes returns the heap memory in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
