// Package evictor provides a map that knows its least recently used entry, so
// that its user can keep it within a bound of entries, tokens or bytes.
package evictor

// none ends the list of entries.
const none = ^uint32(0)

// Map is a map from hashes to values in order of use. Its entries are linked by
// index, so that the garbage collector has no pointers to follow. It is not
// safe for concurrent use.
type Map[V any] struct {
	entries    []node[V]
	index      map[uint64]uint32
	free       []uint32
	head, tail uint32
}

type node[V any] struct {
	key        uint64
	prev, next uint32
	value      V
}

// New returns an empty map.
func New[V any]() Map[V] {
	return Map[V]{index: map[uint64]uint32{}, head: none, tail: none}
}

// Len returns the number of entries.
func (m *Map[V]) Len() int {
	return len(m.index)
}

// Get returns the value of the key and marks it as used.
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

// Put sets the value of the key and marks it as used.
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

// Remove deletes the key and returns its value.
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

// RemoveOldest deletes the least recently used entry and returns its value.
func (m *Map[V]) RemoveOldest() V {
	value, _ := m.Remove(m.entries[m.tail].key)
	return value
}

// Each calls f from the most to the least recently used entry until it returns
// false. f may remove the entry it is called with.
func (m *Map[V]) Each(f func(key uint64, value V) bool) {
	for i := m.head; i != none; {
		e := m.entries[i]
		if !f(e.key, e.value) {
			return
		}
		i = e.next
	}
}

func (m *Map[V]) allocate() uint32 {
	if n := len(m.free); n > 0 {
		i := m.free[n-1]
		m.free = m.free[:n-1]
		return i
	}
	m.entries = append(m.entries, node[V]{})
	return uint32(len(m.entries) - 1)
}

func (m *Map[V]) unlink(i uint32) {
	e := &m.entries[i]
	if e.prev == none {
		m.head = e.next
	} else {
		m.entries[e.prev].next = e.next
	}
	if e.next == none {
		m.tail = e.prev
	} else {
		m.entries[e.next].prev = e.prev
	}
}

func (m *Map[V]) pushFront(i uint32) {
	e := &m.entries[i]
	e.prev = none
	e.next = m.head
	if m.head == none {
		m.tail = i
	} else {
		m.entries[m.head].prev = i
	}
	m.head = i
}
