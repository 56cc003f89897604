package dispatcher_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale"
	"github.com/bergamotdale/bergamotdale/admitter"
	"github.com/bergamotdale/bergamotdale/dispatcher"
	"github.com/bergamotdale/bergamotdale/fleettester"
	"github.com/bergamotdale/bergamotdale/replayer"
	"github.com/bergamotdale/bergamotdale/streamer"
)

// instantEngine generates tokens as fast as they are read.
type instantEngine struct {
	fakeEngine
	tokens int
}

func (e *instantEngine) Complete(_ context.Context, _ string, r bergamotdale.EngineRequest) (bergamotdale.FrameStream, error) {
	return &tokenStream{framer: streamer.NewFramer(r.RequestID, streamer.Position{}), tokens: e.tokens}, nil
}

// tokenStream yields the same token repeatedly and then an end frame.
type tokenStream struct {
	framer *streamer.Framer
	tokens int
	ended  bool
}

func (s *tokenStream) Next() (bergamotdale.Frame, error) {
	switch {
	case s.ended:
		return bergamotdale.Frame{}, io.EOF
	case s.tokens == 0:
		s.ended = true
		return s.framer.End("stop"), nil
	}
	s.tokens--
	return s.framer.Data("linen "), nil
}

func (s *tokenStream) Close() error { return nil }

// BenchmarkDispatch measures the cost of a request at the owner without a network,
// from the queue until the last frame is read from the replay buffer. The slope
// over the number of tokens is the cost per token.
func BenchmarkDispatch(b *testing.B) {
	for _, tokens := range []int{1, 100, 450, 1000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			clock := bergamotdale.SystemClock{}
			d := &dispatcher.Dispatcher{Environment: admitter.Environment{
				Engine: &instantEngine{tokens: tokens}, Clock: clock, Recorder: discardRecorder{}, Logger: zap.NewNop(),
				Ownership: permissiveOwnership{}, Loads: unknownLoads{}, Quarantine: emptyQuarantine{}, Replayer: replayer.New(clock, time.Second, 1<<20), PollInterval: time.Second,
			}}
			ctx, cancel := context.WithCancel(b.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = d.Run(ctx)
			}()
			defer func() {
				cancel()
				<-done
			}()
			assert.NilError(b, fleettester.Await(ctx, func() bool {
				assignEngine(d, 1)
				return len(d.ReportLoads()) == 1
			}))
			b.ReportAllocs()
			cpu, i := cpuTime(), 0
			for b.Loop() {
				completeRequest(b, d, i, tokens)
				i++
			}
			b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

// completeRequest sends one request and reads its whole response.
func completeRequest(b *testing.B, d *dispatcher.Dispatcher, i, tokens int) {
	stream, err := d.Dispatch(b.Context(), bergamotdale.Completion{
		RequestID: fmt.Sprintf("request-%d", i), Workspace: "a", PriorityClass: "only", Chat: fmt.Sprintf("chat-%d", i),
		Endpoint: "engine-1", PromptTokens: 1, MaxTokens: tokens + 1,
	})
	assert.NilError(b, err)
	for {
		f, err := stream.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		assert.NilError(b, err)
		if f.Kind == bergamotdale.FrameRefusal {
			b.Fatal(f.Refusal)
		}
	}
	assert.NilError(b, stream.Close())
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
