// Package lagger keeps the history of a value, so that a fake can show the
// value as it was some time ago.
package lagger

import (
	"sync"
	"time"
)

// History holds the values of the last time, oldest first. Its zero value has
// no lag and no value.
type History[T any] struct {
	// MaxLag is the largest lag for which values are kept.
	MaxLag time.Duration

	mu     sync.Mutex
	values []timed[T]
}

type timed[T any] struct {
	since time.Time
	value T
}

// Set makes v the current value.
func (h *History[T]) Set(now time.Time, v T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.values = append(h.values, timed[T]{now, v})
	for len(h.values) > 1 && now.Sub(h.values[1].since) >= h.MaxLag {
		h.values = h.values[1:]
	}
}

// Seen returns the value as it was before the lag, or the oldest value kept.
// Without any value it returns the zero value.
func (h *History[T]) Seen(now time.Time, lag time.Duration) T {
	h.mu.Lock()
	defer h.mu.Unlock()
	var v T
	at := now.Add(-lag)
	for n, t := range h.values {
		if n == 0 || !t.since.After(at) {
			v = t.value
		}
	}
	return v
}
