// Package evictor provides a map in least-recently-used (LRU) order. The map has
// no bound of its own: its user removes the oldest entries to keep it within a
// bound of entries, tokens or bytes.
package evictor

// nilIndex is the index that ends the linked list of entries.
const nilIndex = ^uint32(0)

// Map is an LRU map from hashes to values. A doubly linked list holds the entries
// in order of use; it links them by index instead of by pointer, so that the
// garbage collector has no pointers to follow. It is not safe for concurrent use.
type Map[V any] struct {
	entries []entry[V]
	index   map[uint64]uint32
	// free lists the indices of unused entries.
	free []uint32
	// head is the most and tail the least recently used entry.
	head, tail uint32
}

type entry[V any] struct {
	key        uint64
	prev, next uint32
	value      V
}

// New returns an empty map.
func New[V any]() Map[V] {
	return Map[V]{index: map[uint64]uint32{}, head: nilIndex, tail: nilIndex}
}

// Len returns the number of entries.
func (m *Map[V]) Len() int {
	return len(m.index)
}

// Get returns the value of the key and marks the entry as the most recently used.
func (m *Map[V]) Get(key uint64) (V, bool) {
	i, ok := m.index[key]
	if !ok {
		var zero V
		return zero, false
	}
	m.unlink(i)
	m.pushFront(i)
	return m.entries[i].value, true
}

// Contains reports whether the key is present, without marking it as used.
func (m *Map[V]) Contains(key uint64) bool {
	_, ok := m.index[key]
	return ok
}

// Put sets the value of the key and marks the entry as the most recently used.
func (m *Map[V]) Put(key uint64, value V) {
	i, ok := m.index[key]
	if ok {
		m.unlink(i)
	} else {
		i = m.allocate()
		m.entries[i].key = key
		m.index[key] = i
	}
	m.entries[i].value = value
	m.pushFront(i)
}

// Remove removes the key and returns its value, if it was present.
func (m *Map[V]) Remove(key uint64) (V, bool) {
	i, ok := m.index[key]
	if !ok {
		var zero V
		return zero, false
	}
	m.unlink(i)
	delete(m.index, key)
	m.free = append(m.free, i)
	return m.entries[i].value, true
}

// RemoveOldest removes the least recently used entry and returns its value. The
// map must not be empty.
func (m *Map[V]) RemoveOldest() V {
	value, _ := m.Remove(m.entries[m.tail].key)
	return value
}

// Each calls f for each entry, from the most to the least recently used, until f
// returns false. f may remove the entry that it is called with.
func (m *Map[V]) Each(f func(key uint64, value V) bool) {
	for i := m.head; i != nilIndex; {
		e := m.entries[i]
		if !f(e.key, e.value) {
			return
		}
		i = e.next
	}
}

// allocate returns the index of an unused entry.
func (m *Map[V]) allocate() uint32 {
	if n := len(m.free); n > 0 {
		i := m.free[n-1]
		m.free = m.free[:n-1]
		return i
	}
	m.entries = append(m.entries, entry[V]{})
	return uint32(len(m.entries) - 1)
}

// unlink removes entry i from the list.
func (m *Map[V]) unlink(i uint32) {
	e := &m.entries[i]
	if e.prev == nilIndex {
		m.head = e.next
	} else {
		m.entries[e.prev].next = e.next
	}
	if e.next == nilIndex {
		m.tail = e.prev
	} else {
		m.entries[e.next].prev = e.prev
	}
}

// pushFront inserts entry i at the head of the list, as the most recently used.
func (m *Map[V]) pushFront(i uint32) {
	e := &m.entries[i]
	e.prev = nilIndex
	e.next = m.head
	if m.head == nilIndex {
		m.tail = i
	} else {
		m.entries[m.head].prev = i
	}
	m.head = i
}
