package selfmonitor_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/selfmonitor"
	"github.com/bergamotdale/bergamotdale/storetester"
)

// Guards against a router that cancels streams because its own network link is
// saturated: all endpoints seem to be down at once.
func TestManyFailuresMeanUnhealthyRouter(t *testing.T) {
	clock := storetester.NewClock(time.Unix(1000, 0))
	monitor := &selfmonitor.Monitor{Clock: clock, Logger: zap.NewNop()}
	for _, id := range []string{"a", "a", "b", "c"} {
		monitor.RecordFailure(id)
	}
	assert.Assert(t, monitor.Healthy(), "three endpoints can be down at the same time")
	monitor.RecordFailure("d")
	assert.Assert(t, !monitor.Healthy())
	clock.Advance(3 * time.Second)
	assert.Assert(t, monitor.Healthy())
}

// lateClock fires its first timer a second late and no other timers.
type lateClock struct {
	*storetester.Clock
	fired chan struct{}
}

func (c lateClock) After(d time.Duration) <-chan time.Time {
	select {
	case <-c.fired:
		return make(chan time.Time)
	default:
	}
	c.Advance(d + time.Second)
	close(c.fired)
	done := make(chan time.Time, 1)
	done <- c.Now()
	return done
}

// Guards against a router that cancels streams because it is short of CPU time:
// its probes of healthy endpoints time out.
func TestLateTimersMeanUnhealthyRouter(t *testing.T) {
	clock := lateClock{storetester.NewClock(time.Unix(1000, 0)), make(chan struct{})}
	monitor := &selfmonitor.Monitor{Clock: clock, Logger: zap.NewNop()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = monitor.Run(ctx); close(done) }()
	<-clock.fired
	for monitor.Healthy() {
		select {
		case <-done:
			t.Fatal("Run returned before the late timer was detected")
		default:
		}
	}
	cancel()
	<-done
}
