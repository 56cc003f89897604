package chronicler_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/chronicler"
	"github.com/bergamotdale/bergamotdale/peerclient"
	"github.com/bergamotdale/bergamotdale/peerserver"
)

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRecordRate measures a message with one stream, in processor time of the router
// that sends it and of the scribe, and in bytes. The writes are those of one scribe.
func BenchmarkRecordRate(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client, store := peerclient.New(), newRecordStore()
	scribe := chronicler.New("scribe", bergamotdale.SystemClock{})
	mux := http.NewServeMux()
	peerserver.Handle(peerserver.New(mux), 1<<20, chronicler.RecordPath, scribe.HandleRecord)
	server := httptest.NewServer(mux)
	defer server.Close()
	scribe.Store, scribe.Prefix, scribe.Peer = store, prefix, client
	scribe.Members = func() []bergamotdale.Member { return []bergamotdale.Member{{ID: "scribe"}} }
	scribe.Period, scribe.StreamTime = func() time.Duration { return period }, func() time.Duration { return period }
	scribe.Pending = func(int) []chronicler.Stream { return nil }
	go func() { _ = scribe.Run(ctx) }()
	const routers = 32
	before := processorTime(b)
	b.ResetTimer()
	slots := make(chan struct{}, routers)
	for n := range b.N {
		slots <- struct{}{}
		go func() {
			request := chronicler.RecordRequest{Streams: []chronicler.Stream{{Hash: uint64(n), Service: service, Version: "v1"}}}
			assert.Check(b, client.Call(ctx, strings.TrimPrefix(server.URL, "http://"), chronicler.RecordPath, request, &chronicler.RecordResponse{}))
			<-slots
		}()
	}
	for range routers {
		slots <- struct{}{}
	}
	b.StopTimer()
	sent, received := client.Bytes()
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(sent+received)/float64(b.N), "bytes/op")
	b.ReportMetric(float64(b.N)/float64(store.writeCount()), "streams/write")
}

// BenchmarkStreamsMemory measures a read of all streams of the target: 1,900 a second for
// 20 s, written by 12 scribes ten times a second.
func BenchmarkStreamsMemory(b *testing.B) {
	const streams, documents = 38_000, 2_400
	store := newMixedStoreOf(b, streams, documents)
	size := 0
	for _, e := range store.entries {
		size += len(e.Value)
	}
	var before, after runtime.MemStats
	b.ResetTimer()
	for range b.N {
		started := chronicler.New("started", bergamotdale.SystemClock{})
		started.Store, started.Prefix = store, prefix
		runtime.GC()
		runtime.ReadMemStats(&before)
		began := processorTime(b)
		evidence, err := started.Look(context.Background(), "stream-1", service)
		used := processorTime(b) - began
		runtime.GC()
		runtime.ReadMemStats(&after)
		assert.NilError(b, err)
		assert.Assert(b, evidence.Stream != nil)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/streams, "B/stream")
		b.ReportMetric(float64(used.Microseconds())/1000, "cpu-ms")
		b.ReportMetric(float64(size), "bytes")
		runtime.KeepAlive(started)
	}
}

// newMixedStoreOf returns a store with streams of two versions in as many documents.
func newMixedStoreOf(b *testing.B, streams, documents int) *recordStore {
	f := &streamFleet{store: newMixedStore(b)}
	writer := chronicler.New("writer", bergamotdale.SystemClock{})
	writer.Store, writer.Prefix = f.store, prefix
	writer.StreamTime = func() time.Duration { return period }
	for d := range documents {
		var some []chronicler.Stream
		for n := d; n < streams; n += documents {
			some = append(some, chronicler.Stream{Hash: chronicler.HashStream(fmt.Sprint("stream-", n)), Service: service, Version: fmt.Sprint("v", n%2)})
		}
		assert.NilError(b, writer.WriteStreams(context.Background(), some))
	}
	return f.store
}
