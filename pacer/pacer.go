// Package pacer tells whether a router itself is too slow to judge others.
//
// It answers a router that is short of processor time or whose link is full:
// there, connections to sound endpoints time out. Two signs show it: timers that
// fire late, and several endpoints that seem to be gone at the same time.
package pacer

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// tick is the time between two measurements.
	tick = 50 * time.Millisecond
	// maxDelay is how late a timer may fire on a router that keeps up. It is a
	// fraction of the time in which a connection opens.
	maxDelay = 100 * time.Millisecond
	// memory is how long a sign counts.
	memory = 2 * time.Second
	// maxFailed is the number of endpoints that seem to be gone within memory
	// from which the router doubts itself.
	maxFailed = 4
)

// Pacer collects the signs. Exported fields are set before Run.
type Pacer struct {
	Clock  bergamotdale.Clock
	Logger *zap.Logger

	mu sync.Mutex
	// late is when a timer last fired late.
	late time.Time
	// failed holds when each endpoint last seemed to be gone.
	failed map[string]time.Time
	// doubted is the last answer of Sound, for the log.
	doubted bool
}

// Run measures until the context is done.
func (p *Pacer) Run(ctx context.Context) error {
	for {
		before := p.Clock.Now()
		if bergamotdale.Wait(ctx, p.Clock, tick) != nil {
			return ctx.Err()
		}
		now := p.Clock.Now()
		if delay := now.Sub(before) - tick; delay > maxDelay {
			p.mu.Lock()
			p.late = now
			p.mu.Unlock()
		}
	}
}

// Failed records that an endpoint seems to be gone.
func (p *Pacer) Failed(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failed == nil {
		p.failed = map[string]time.Time{}
	}
	p.failed[endpoint] = p.Clock.Now()
}

// Sound reports whether the router keeps up, so that a timeout is the fault of
// the other side.
func (p *Pacer) Sound() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	for id, at := range p.failed {
		if now.Sub(at) >= memory {
			delete(p.failed, id)
		}
	}
	late := !p.late.IsZero() && now.Sub(p.late) < memory
	doubted := late || len(p.failed) >= maxFailed
	if doubted != p.doubted {
		p.doubted = doubted
		p.Logger.Info("judgement of silent endpoints", zap.Bool("suspended", doubted), zap.Bool("late-timers", late),
			zap.Int("endpoints-failed", len(p.failed)))
	}
	return !doubted
}
