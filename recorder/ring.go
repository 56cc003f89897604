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
//
// Writers take a sequence number and swap a pointer, so they wait neither for
// each other nor for readers. A trial with a lock that writers only tried to
// take lost most events when eight of them recorded without pause.
type Ring struct {
	// Process is the name that events get, unless they carry one.
	Process string
	Clock   bergamotdale.Clock
	// Capacity is the number of events; zero means DefaultCapacity.
	Capacity int

	once sync.Once
	// slots holds the event with sequence n at (n-1) modulo Capacity. The
	// sequence in a slot only rises.
	slots []atomic.Pointer[bergamotdale.Event]
	// sequence is the number of events recorded so far.
	sequence atomic.Uint64
}

var _ bergamotdale.Recorder = (*Ring)(nil)

// Record implements bergamotdale.Recorder.
func (r *Ring) Record(e bergamotdale.Event) {
	r.once.Do(r.init)
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
			// The ring went round while this writer was paused.
			return
		}
		if slot.CompareAndSwap(old, &e) {
			return
		}
	}
}

func (r *Ring) init() {
	capacity := r.Capacity
	if capacity == 0 {
		capacity = DefaultCapacity
	}
	r.slots = make([]atomic.Pointer[bergamotdale.Event], capacity)
}

func (r *Ring) slot(sequence uint64) *atomic.Pointer[bergamotdale.Event] {
	return &r.slots[(sequence-1)%uint64(len(r.slots))]
}

// Overwritten returns the number of events that the ring has dropped to make
// room for later ones.
func (r *Ring) Overwritten() uint64 {
	r.once.Do(r.init)
	return r.overwritten(r.sequence.Load())
}

func (r *Ring) overwritten(last uint64) uint64 {
	return last - min(last, uint64(len(r.slots)))
}

// Page is the answer of a process to a query.
type Page struct {
	Process string               `json:"process"`
	Events  []bergamotdale.Event `json:"events"`
	// Overwritten is the number of older events that the ring no longer has.
	Overwritten uint64 `json:"overwritten"`
	// Truncated is true if more events match than the limit allows; the
	// latest ones are returned.
	Truncated bool `json:"truncated,omitempty"`
}

// Select returns the events that match, in the order of their sequence. Events
// that are overwritten or not yet in place while it runs are left out.
func (r *Ring) Select(f Filter) Page {
	r.once.Do(r.init)
	last := r.sequence.Load()
	p := Page{Process: r.Process, Events: []bergamotdale.Event{}, Overwritten: r.overwritten(last)}
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
