package pacer_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/bergamotdale/bergamotdale/pacer"
	"github.com/bergamotdale/bergamotdale/storetester"
)

// Guards against streams that a router cuts because its own link is full: all
// endpoints seem to be gone at once.
func TestManyFailuresAreTheRoutersOwn(t *testing.T) {
	clock := storetester.NewClock(time.Unix(1000, 0))
	p := &pacer.Pacer{Clock: clock, Logger: zap.NewNop()}
	for _, id := range []string{"a", "a", "b", "c"} {
		p.Failed(id)
	}
	assert.Assert(t, p.Sound(), "three endpoints can be gone")
	p.Failed("d")
	assert.Assert(t, !p.Sound())
	clock.Advance(3 * time.Second)
	assert.Assert(t, p.Sound())
}

// lateClock fires its timers late.
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

// Guards against streams that a router cuts because it is short of processor
// time: the probes of sound endpoints time out.
func TestLateTimersAreNoticed(t *testing.T) {
	clock := lateClock{storetester.NewClock(time.Unix(1000, 0)), make(chan struct{})}
	p := &pacer.Pacer{Clock: clock, Logger: zap.NewNop()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = p.Run(ctx); close(done) }()
	<-clock.fired
	for p.Sound() {
		select {
		case <-done:
			t.Fatal("the measurement ended")
		default:
		}
	}
	cancel()
	<-done
}
