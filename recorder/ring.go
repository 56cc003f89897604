package recorder

import (
	"sync"
	"sync/atomic"

	"github.com/bergamotdale/bergamotdale"
)

// DefaultCapacity is the number of events that a ring holds unless Capacity is
// set. An event takes about 300 bytes, so the ring takes about 5 MB of the
// 128 MB that the control plane may use per router.
const DefaultCapacity = 16384

// Ring is a lock-free ring buffer of the latest events of a process. Its
// exported fields must be set before the first call of Record.
//
// A writer takes a sequence number and swaps a pointer, so it waits neither for
// other writers nor for readers. In a trial, writers that used TryLock and
// dropped the event if the lock was taken lost most events when eight of them
// recorded without pause.
type Ring struct {
	// Process is the process name of events that are recorded without one.
	Process string
	Clock   bergamotdale.Clock
	// Capacity is the number of events that the ring holds; zero means
	// DefaultCapacity.
	Capacity int

	once sync.Once
	// slots holds the event with sequence number n at index (n-1) modulo
	// Capacity. The sequence number in a slot only increases.
	slots []atomic.Pointer[bergamotdale.Event]
	// sequence is the number of events recorded so far.
	sequence atomic.Uint64
}

var _ bergamotdale.Recorder = (*Ring)(nil)

// Record implements bergamotdale.Recorder. It sets the sequence number of the
// event, and its process and time if they are missing.
func (r *Ring) Record(e bergamotdale.Event) {
	r.once.Do(r.allocateSlots)
	if e.Process == "" {
		e.Process = r.Process
	}
	if e.Time.IsZero() {
		e.Time = r.Clock.Now()
	}
	e.Sequence = r.sequence.Add(1)
	slot := r.slot(e.Sequence)
	for {
		old := slot.Load()
		if old != nil && old.Sequence > e.Sequence {
			// A later event has already overwritten the slot, because this
			// writer was paused while others filled the ring.
			return
		}
		if slot.CompareAndSwap(old, &e) {
			return
		}
	}
}

func (r *Ring) allocateSlots() {
	capacity := r.Capacity
	if capacity == 0 {
		capacity = DefaultCapacity
	}
	r.slots = make([]atomic.Pointer[bergamotdale.Event], capacity)
}

func (r *Ring) slot(sequence uint64) *atomic.Pointer[bergamotdale.Event] {
	return &r.slots[(sequence-1)%uint64(len(r.slots))]
}

// Overwritten returns the number of events that later ones have overwritten.
func (r *Ring) Overwritten() uint64 {
	r.once.Do(r.allocateSlots)
	return r.overwrittenBefore(r.sequence.Load())
}

// overwrittenBefore returns the number of events that were overwritten when last
// was the latest sequence number.
func (r *Ring) overwrittenBefore(last uint64) uint64 {
	return last - min(last, uint64(len(r.slots)))
}

// Page is the response of a process to a query for events.
type Page struct {
	Process string               `json:"process"`
	Events  []bergamotdale.Event `json:"events"`
	// Overwritten is the number of older events that the ring no longer has.
	Overwritten uint64 `json:"overwritten"`
	// Truncated is true if more events match than the limit allows; Events
	// then holds the latest ones.
	Truncated bool `json:"truncated,omitempty"`
}

// Select returns the events that match the filter, ordered by sequence number.
// Events that are overwritten while it runs, or whose writer has a sequence
// number but has not stored the event yet, are left out.
func (r *Ring) Select(f Filter) Page {
	r.once.Do(r.allocateSlots)
	last := r.sequence.Load()
	p := Page{Process: r.Process, Events: []bergamotdale.Event{}, Overwritten: r.overwrittenBefore(last)}
	for n := p.Overwritten + 1; n <= last; n++ {
		if e := r.slot(n).Load(); e != nil && e.Sequence == n && f.Match(e) {
			p.Events = append(p.Events, *e)
		}
	}
	if limit := f.limit(); len(p.Events) > limit {
		p.Events = p.Events[len(p.Events)-limit:]
		p.Truncated = true
	}
	return p
}
