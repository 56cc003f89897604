// Package selfmonitor detects that a router itself is too slow to tell whether an
// endpoint is down.
//
// On a router that is short of CPU time or whose network link is saturated,
// connections to healthy endpoints time out. Two symptoms show this condition:
// timers that fire late, and several endpoints that seem to be down at the same
// time.
package selfmonitor

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bergamotdale/bergamotdale"
)

const (
	// measureInterval is the time between two measurements of the timer delay.
	measureInterval = 50 * time.Millisecond
	// maxTimerDelay is how late a timer may fire on a healthy router. It is a
	// fraction of the time that opening a connection may take.
	maxTimerDelay = 100 * time.Millisecond
	// symptomExpiry is how long a symptom counts.
	symptomExpiry = 2 * time.Second
	// failedThreshold is the number of endpoints that seem to be down within
	// symptomExpiry from which the router counts as unhealthy itself.
	failedThreshold = 4
)

// Monitor collects the symptoms. Exported fields are set before Run.
type Monitor struct {
	Clock  bergamotdale.Clock
	Logger *zap.Logger

	mu sync.Mutex
	// late is when a timer last fired late.
	late time.Time
	// failedAt holds when each endpoint last seemed to be down, by endpoint id.
	failedAt map[string]time.Time
	// unhealthy is the last result of Healthy, negated. It limits the log to
	// changes.
	unhealthy bool
}

// Run measures the timer delay until the context is done.
func (m *Monitor) Run(ctx context.Context) error {
	for {
		before := m.Clock.Now()
		if bergamotdale.Wait(ctx, m.Clock, measureInterval) != nil {
			return ctx.Err()
		}
		now := m.Clock.Now()
		if delay := now.Sub(before) - measureInterval; delay > maxTimerDelay {
			m.mu.Lock()
			m.late = now
			m.mu.Unlock()
		}
	}
}

// RecordFailure records that the endpoint with the id seems to be down.
func (m *Monitor) RecordFailure(endpointID string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failedAt == nil {
		m.failedAt = map[string]time.Time{}
	}
	m.failedAt[endpointID] = m.Clock.Now()
}

// Healthy reports whether the router shows no symptoms, so that a timeout is the
// fault of the endpoint.
func (m *Monitor) Healthy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	for id, at := range m.failedAt {
		if now.Sub(at) >= symptomExpiry {
			delete(m.failedAt, id)
		}
	}
	late := !m.late.IsZero() && now.Sub(m.late) < symptomExpiry
	unhealthy := late || len(m.failedAt) >= failedThreshold
	if unhealthy != m.unhealthy {
		m.unhealthy = unhealthy
		m.Logger.Info("detection of unresponsive endpoints suspended or resumed", zap.Bool("suspended", unhealthy), zap.Bool("late-timers", late),
			zap.Int("endpoints-failed", len(m.failedAt)))
	}
	return !unhealthy
}
