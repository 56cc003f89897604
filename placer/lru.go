package placer

// none ends the list of entries.
const none = ^uint32(0)

// lru is a map from chat hashes to values that knows the least recently used
// entry. Its entries are linked by index, so that the garbage collector has
// no pointers to follow.
type lru[V any] struct {
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

func newLRU[V any]() lru[V] {
	return lru[V]{index: map[uint64]uint32{}, head: none, tail: none}
}

func (l *lru[V]) len() int {
	return len(l.index)
}

// get returns the value of the key and marks it as used.
func (l *lru[V]) get(key uint64) (V, bool) {
	i, ok := l.index[key]
	if !ok {
		var zero V
		return zero, false
	}
	l.unlink(i)
	l.pushFront(i)
	return l.entries[i].value, true
}

// put sets the value of the key and marks it as used.
func (l *lru[V]) put(key uint64, value V) {
	i, ok := l.index[key]
	if ok {
		l.unlink(i)
	} else {
		i = l.allocate()
		l.entries[i].key = key
		l.index[key] = i
	}
	l.entries[i].value = value
	l.pushFront(i)
}

// remove deletes the key and returns its value.
func (l *lru[V]) remove(key uint64) (V, bool) {
	i, ok := l.index[key]
	if !ok {
		var zero V
		return zero, false
	}
	l.unlink(i)
	delete(l.index, key)
	l.free = append(l.free, i)
	return l.entries[i].value, true
}

// removeOldest deletes the least recently used entry and returns its value.
func (l *lru[V]) removeOldest() V {
	value, _ := l.remove(l.entries[l.tail].key)
	return value
}

// each calls f from the most to the least recently used entry until it returns
// false. f may remove the entry it is called with.
func (l *lru[V]) each(f func(key uint64, value V) bool) {
	for i := l.head; i != none; {
		e := l.entries[i]
		if !f(e.key, e.value) {
			return
		}
		i = e.next
	}
}

func (l *lru[V]) allocate() uint32 {
	if n := len(l.free); n > 0 {
		i := l.free[n-1]
		l.free = l.free[:n-1]
		return i
	}
	l.entries = append(l.entries, node[V]{})
	return uint32(len(l.entries) - 1)
}

func (l *lru[V]) unlink(i uint32) {
	e := &l.entries[i]
	if e.prev == none {
		l.head = e.next
	} else {
		l.entries[e.prev].next = e.next
	}
	if e.next == none {
		l.tail = e.prev
	} else {
		l.entries[e.next].prev = e.prev
	}
}

func (l *lru[V]) pushFront(i uint32) {
	e := &l.entries[i]
	e.prev = none
	e.next = l.head
	if l.head == none {
		l.tail = i
	} else {
		l.entries[l.head].prev = i
	}
	l.head = i
}
