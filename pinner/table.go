package pinner

import (
	"time"
)

// maxPins is the largest number of pins that a router holds, of its own streams and
// of others. A stream whose pin was dropped is refused when it is taken up.
const maxPins = 32768

// Pin is the software that began a stream.
type Pin struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// Source is the endpoint that began a stream while the router did not know for certain
// which incarnation of it answered.
type Source struct {
	Endpoint    string `json:"endpoint,omitempty"`
	Incarnation int64  `json:"incarnation,omitempty"`
	// AgeMS is the time since the first event, in milliseconds.
	AgeMS int64 `json:"age-ms,omitempty"`
}

// Record is the pin of a stream in a message.
type Record struct {
	Stream string `json:"stream"`
	Pin
	// Source is empty if the pin is certain.
	Source
	// Origin is the ID of the router that relayed the stream last.
	Origin string `json:"origin"`
	// LifetimeMS is the time for which the stream may still be taken up, in
	// milliseconds.
	LifetimeMS int64 `json:"lifetime-ms"`
}

// entry is the pin of a stream in a table.
type entry struct {
	pin     Pin
	origin  string
	expires time.Time
	// source is empty if the pin is certain, and began is when it was made.
	source Source
	began  time.Time
	// storedAt holds the incarnations of the routers that have the pin, by ID.
	storedAt map[string]int64
}

// Table holds pins until they expire. It is not safe for concurrent use.
type Table struct {
	entries map[string]*entry
	// order holds the streams in the order in which they were added.
	order []string
}

// Put adds or replaces the pin of a stream. The expiry of an equal pin never moves
// back.
func (t *Table) Put(now time.Time, r Record) {
	t.dropExpired(now)
	expires := now.Add(time.Duration(r.LifetimeMS) * time.Millisecond)
	if e := t.entries[r.Stream]; e != nil {
		if e.pin != r.Pin {
			e.storedAt = nil
			e.expires = expires
			e.source, e.began = r.Source, beganAt(now, r)
		}
		e.pin, e.origin = r.Pin, r.Origin
		e.expires = later(e.expires, expires)
		return
	}
	if t.entries == nil {
		t.entries = map[string]*entry{}
	}
	if len(t.order) >= maxPins {
		t.dropFirst()
	}
	t.entries[r.Stream] = &entry{pin: r.Pin, origin: r.Origin, expires: expires, source: r.Source, began: beganAt(now, r)}
	t.order = append(t.order, r.Stream)
}

// Get returns the pin of a stream, and false if there is none.
func (t *Table) Get(now time.Time, stream string) (Record, bool) {
	e := t.entries[stream]
	if e == nil || !now.Before(e.expires) {
		return Record{}, false
	}
	return e.record(now, stream), true
}

// Len returns the number of pins, with expired ones that have not been dropped yet.
func (t *Table) Len() int { return len(t.order) }

// MarkStored records that a router has the pin of a stream.
func (t *Table) MarkStored(stream, router string, incarnation int64) {
	e := t.entries[stream]
	if e == nil {
		return
	}
	if e.storedAt == nil {
		e.storedAt = map[string]int64{}
	}
	e.storedAt[router] = incarnation
}

// IsStored reports whether the incarnation of the router has the pin of a stream.
func (t *Table) IsStored(stream, router string, incarnation int64) bool {
	e := t.entries[stream]
	return e != nil && e.storedAt[router] == incarnation
}

// Records returns all pins that have not expired.
func (t *Table) Records(now time.Time) []Record {
	t.dropExpired(now)
	records := make([]Record, 0, len(t.order))
	for _, stream := range t.order {
		if e := t.entries[stream]; now.Before(e.expires) {
			records = append(records, e.record(now, stream))
		}
	}
	return records
}

// dropExpired drops the oldest pins up to the first one that has not expired.
func (t *Table) dropExpired(now time.Time) {
	for len(t.order) > 0 && !now.Before(t.entries[t.order[0]].expires) {
		t.dropFirst()
	}
}

func (t *Table) dropFirst() {
	delete(t.entries, t.order[0])
	t.order = t.order[1:]
}

// Confirm records that the pin of a stream is certain.
func (t *Table) Confirm(stream string) {
	if e := t.entries[stream]; e != nil {
		e.source = Source{}
	}
}

func beganAt(now time.Time, r Record) time.Time {
	return now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
}

func (e *entry) record(now time.Time, stream string) Record {
	r := e.certainRecord(now, stream)
	if e.source.Endpoint != "" {
		r.Source = e.source
		r.AgeMS = now.Sub(e.began).Milliseconds()
	}
	return r
}

func (e *entry) certainRecord(now time.Time, stream string) Record {
	return Record{Stream: stream, Pin: e.pin, Origin: e.origin, LifetimeMS: max(1, e.expires.Sub(now).Milliseconds())}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
