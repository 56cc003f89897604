package follower_test

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/follower"
	"github.com/bergamotdale/bergamotdale/reviser"
	"github.com/bergamotdale/bergamotdale/storetester"
	"github.com/bergamotdale/bergamotdale/validator"
)

// countingStore counts the calls of Get and the bytes of the values they return.
type countingStore struct {
	*storetester.Store
	reads, bytes atomic.Int64
}

func (s *countingStore) Get(ctx context.Context, key string) (bergamotdale.Entry, error) {
	e, err := s.Store.Get(ctx, key)
	s.reads.Add(1)
	s.bytes.Add(int64(len(e.Value)))
	return e, err
}

// documentWithWorkspaces returns a document with the given number of workspaces, 750 engines for
// every 3500 workspaces, as in the target deployment, and 33 models.
func documentWithWorkspaces(workspaces int) *validator.Document {
	d := &validator.Document{}
	d.SetDefaults()
	for i, name := range []string{"urgent", "steady", "bulk"} {
		d.PriorityClasses = append(d.PriorityClasses, validator.PriorityClassSpec{
			Name: name, Level: i, MinShare: 0.3, MaxWait: 2e9, FirstTokenTarget: 1e9,
		})
	}
	var models []string
	for i := range 33 {
		models = append(models, fmt.Sprintf("model-%02d", i))
		d.Models = append(d.Models, validator.ModelSpec{Name: models[i]})
	}
	for i := range workspaces * 750 / 3500 {
		d.Engines = append(d.Engines, validator.EngineSpec{
			Name: fmt.Sprintf("engine-%03d", i), Address: fmt.Sprintf("127.1.%d.%d:8000", i/250, 1+i%250),
			FailureDomain: "a", Models: models[i%33 : i%33+1], MaxConcurrency: 64,
		})
	}
	for i := range workspaces {
		d.Workspaces = append(d.Workspaces, validator.WorkspaceSpec{
			Name: fmt.Sprintf("workspace-%04d", i), Weight: 1, TokensPerSecond: 500, Models: models[i%30 : i%30+3],
			DefaultPriorityClass: "steady", APIKeys: []string{fmt.Sprintf("%064x", i)},
		})
	}
	return d
}

// BenchmarkChange reports what a change of one workspace costs a router that
// adopts it, and the heap that a configuration in force takes. The setup applies
// more changes than the history holds, so the head has its full size.
func BenchmarkChange(b *testing.B) {
	const history = 70
	for _, workspaces := range []int{438, 875, 1750, 3500} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			ctx := b.Context()
			store := storetester.New(bergamotdale.SystemClock{})
			counting := &countingStore{Store: store}
			operator, router := benchFollower(store), benchFollower(counting)
			d := documentWithWorkspaces(workspaces)
			apply := func() {
				base := int64(0)
				if head := operator.CurrentHead(); head != nil {
					base = head.Revision
				}
				d.Workspaces[int(base)%workspaces].TokensPerSecond++
				_, err := operator.Apply(ctx, reviser.Request{BaseRevision: base, Document: d, Author: "operator-1", Comment: "more tokens"})
				assert.NilError(b, err)
			}
			for range history {
				apply()
			}
			before := heapBytes()
			assert.NilError(b, router.Adopt(ctx, operator.CurrentHead()))
			inForce := heapBytes() - before
			counting.reads.Store(0)
			counting.bytes.Store(0)
			var cpu time.Duration
			for range b.N {
				apply()
				start := cpuTime()
				assert.NilError(b, router.Adopt(ctx, operator.CurrentHead()))
				cpu += cpuTime() - start
			}
			head, err := store.Get(ctx, reviser.HeadKey)
			assert.NilError(b, err)
			n := float64(b.N)
			b.ReportMetric(inForce, "heap-B")
			b.ReportMetric(float64(len(head.Value)), "head-B")
			b.ReportMetric(float64(counting.bytes.Load())/n, "section-B/change")
			b.ReportMetric(float64(counting.reads.Load())/n, "reads/change")
			b.ReportMetric(float64(cpu.Microseconds())/n, "cpu-us/change")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(router)
		})
	}
}

func benchFollower(store bergamotdale.Store) *follower.Follower {
	return &follower.Follower{
		Router: "router-1", Store: store, Clock: bergamotdale.SystemClock{},
		Recorder: discard{}, Logger: zapNop, Peers: func() []string { return nil },
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
