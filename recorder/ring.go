package recorder

import (
	"sync"
	"sync/atomic"

	"github.com/bergamotdale/bergamotdale"
)

// DefaultCapacity is the number of events of a ring unless stated otherwise.
// An event takes about 300 bytes, so the ring takes about 5 MB of a router's
// 128 MB for control work.
const DefaultCapacity = 16384

// Ring holds the latest events of a process. Its exported fields are set
// before the first Record.
type Ring struct {
	// Process is the name that events get, unless they carry one.
	Process string
	Clock   bergamotdale.Clock
	// Capacity is the number of events; zero means DefaultCapacity.
	Capacity int

	// dropped counts events that arrived while the ring was busy.
	dropped atomic.Uint64

	mu sync.Mutex
	// events is a ring: the event with sequence n is at (n-1) modulo Capacity.
	events []bergamotdale.Event
	// sequence is the number of events recorded so far.
	sequence uint64
}

var _ bergamotdale.Recorder = (*Ring)(nil)

// attempts bounds the tries to get the ring. A reader holds it for
// microseconds per chunk, so almost no event is dropped.
const attempts = 64

// Record implements bergamotdale.Recorder. It never waits: an event that finds
// the ring busy is dropped and counted.
func (r *Ring) Record(e bergamotdale.Event) {
	if e.Process == "" {
		e.Process = r.Process
	}
	if e.Time.IsZero() {
		e.Time = r.Clock.Now()
	}
	for range attempts {
		if r.mu.TryLock() {
			r.put(e)
			r.mu.Unlock()
			return
		}
	}
	r.dropped.Add(1)
}

// put stores the event; mu is held.
func (r *Ring) put(e bergamotdale.Event) {
	if r.events == nil {
		r.events = make([]bergamotdale.Event, 0, r.capacity())
	}
	r.sequence++
	e.Sequence = r.sequence
	if len(r.events) < r.capacity() {
		r.events = append(r.events, e)
		return
	}
	r.events[(r.sequence-1)%uint64(r.capacity())] = e
}

func (r *Ring) capacity() int {
	if r.Capacity > 0 {
		return r.Capacity
	}
	return DefaultCapacity
}

// Dropped returns the number of events that were dropped because the ring was
// busy.
func (r *Ring) Dropped() uint64 {
	return r.dropped.Load()
}

// Page is the answer of a process to a query.
type Page struct {
	Process string               `json:"process"`
	Events  []bergamotdale.Event `json:"events"`
	// Overwritten is the number of older events that the ring no longer has.
	Overwritten uint64 `json:"overwritten"`
	// Dropped is the number of events that were never kept.
	Dropped uint64 `json:"dropped"`
	// Truncated is true if more events match than the limit allows; the
	// latest ones are returned.
	Truncated bool `json:"truncated,omitempty"`
}

// chunk is the number of events that are looked at under the lock at once, so
// that writers find the ring free between chunks.
const chunk = 64

// Select returns the events that match, in the order of their sequence.
func (r *Ring) Select(f Filter) Page {
	p := Page{Process: r.Process, Events: []bergamotdale.Event{}, Dropped: r.Dropped()}
	first, last := r.bounds()
	p.Overwritten = first - 1
	for next := first; next <= last; {
		next = r.scan(next, min(next+chunk-1, last), f, &p.Events)
	}
	if limit := f.limit(); len(p.Events) > limit {
		p.Events = p.Events[len(p.Events)-limit:]
		p.Truncated = true
	}
	return p
}

// bounds returns the sequences of the oldest and the latest event.
func (r *Ring) bounds() (first, last uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sequence - uint64(len(r.events)) + 1, r.sequence
}

// scan appends the matching events from..to and returns the next sequence.
// Events that were overwritten since are skipped.
func (r *Ring) scan(from, to uint64, f Filter, found *[]bergamotdale.Event) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.sequence - uint64(len(r.events)) + 1
	for n := max(from, oldest); n <= to; n++ {
		if e := &r.events[(n-1)%uint64(r.capacity())]; f.Match(e) {
			*found = append(*found, *e)
		}
	}
	return max(to+1, oldest)
}
