// Package lagger keeps the recent history of a value, so that a simulated
// service can serve stale reads: the value as it was a given time ago.
package lagger

import (
	"sync"
	"time"
)

// History holds the values that were current within the last MaxLag. The zero
// value holds no value and keeps only the latest one that is set. Its methods
// may be called concurrently.
type History[T any] struct {
	// MaxLag is the largest lag for which values are kept.
	MaxLag time.Duration

	mu sync.Mutex
	// values is ordered by time, oldest first.
	values []timedValue[T]
}

// timedValue is a value and the time at which it became current.
type timedValue[T any] struct {
	since time.Time
	value T
}

// Set makes v the current value from now on and drops the values that were
// replaced at least MaxLag ago.
func (h *History[T]) Set(now time.Time, v T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.values = append(h.values, timedValue[T]{now, v})
	for len(h.values) > 1 && now.Sub(h.values[1].since) >= h.MaxLag {
		h.values = h.values[1:]
	}
}

// Lagged returns the value that was current at the time now minus lag. It
// returns the oldest kept value if the history does not reach back that far, and
// the zero value if none was ever set.
func (h *History[T]) Lagged(now time.Time, lag time.Duration) T {
	h.mu.Lock()
	defer h.mu.Unlock()
	var v T
	readTime := now.Add(-lag)
	for i, entry := range h.values {
		if i == 0 || !entry.since.After(readTime) {
			v = entry.value
		}
	}
	return v
}
