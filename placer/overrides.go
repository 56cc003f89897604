package placer

import "github.com/bergamotdale/bergamotdale/hasher"

// OverrideBytes is the memory that one placement override takes: its entry in
// the list and its share of the index at the lowest load factor of a Go map.
const OverrideBytes = 64

// none ends the list of overrides.
const none = ^uint32(0)

type override struct {
	key        uint64
	endpoint   uint32
	prev, next uint32
}

// Overrides is a bounded map from chats to the endpoint that served them last.
// The least recently used entry makes room for a new one. It is not safe for
// concurrent use; each owner guards its own.
//
// Chats are kept as 64-bit hashes. A collision costs one cache miss.
type Overrides struct {
	entries    []override
	index      map[uint64]uint32
	free       []uint32
	head, tail uint32
	capacity   int
	names      []string
	numbers    map[string]uint32
	// unused lists the numbers of endpoints that have left.
	unused []uint32
}

// NewOverrides returns an empty map that keeps its size within maxBytes.
func NewOverrides(maxBytes int) *Overrides {
	return &Overrides{
		index:    map[uint64]uint32{},
		numbers:  map[string]uint32{},
		head:     none,
		tail:     none,
		capacity: max(maxBytes/OverrideBytes, 1),
	}
}

// Len returns the number of overrides.
func (o *Overrides) Len() int {
	return len(o.index)
}

// Get returns the endpoint of the chat and marks it as used.
func (o *Overrides) Get(chat string) (string, bool) {
	i, ok := o.index[hasher.Hash(chat)]
	if !ok {
		return "", false
	}
	o.unlink(i)
	o.pushFront(i)
	return o.names[o.entries[i].endpoint], true
}

// Put sets the endpoint of the chat.
func (o *Overrides) Put(chat, endpoint string) {
	o.PutKey(hasher.Hash(chat), endpoint)
}

// PutKey sets the endpoint of the chat with the hash, as Each reported it.
func (o *Overrides) PutKey(key uint64, endpoint string) {
	n, ok := o.numbers[endpoint]
	if !ok {
		n = o.number(endpoint)
	}
	if i, ok := o.index[key]; ok {
		o.entries[i].endpoint = n
		o.unlink(i)
		o.pushFront(i)
		return
	}
	i := o.allocate()
	o.entries[i] = override{key: key, endpoint: n}
	o.index[key] = i
	o.pushFront(i)
}

// Delete removes the override of the chat.
func (o *Overrides) Delete(chat string) {
	if i, ok := o.index[hasher.Hash(chat)]; ok {
		o.remove(i)
	}
}

// DeleteEndpoint removes all overrides to an endpoint that has left.
func (o *Overrides) DeleteEndpoint(endpoint string) {
	n, ok := o.numbers[endpoint]
	if !ok {
		return
	}
	delete(o.numbers, endpoint)
	o.unused = append(o.unused, n)
	for i := o.head; i != none; {
		next := o.entries[i].next
		if o.entries[i].endpoint == n {
			o.remove(i)
		}
		i = next
	}
}

// Each calls f from the most to the least recently used override until f
// returns false. A handover sends the entries in this order.
func (o *Overrides) Each(f func(key uint64, endpoint string) bool) {
	for i := o.head; i != none; i = o.entries[i].next {
		if !f(o.entries[i].key, o.names[o.entries[i].endpoint]) {
			return
		}
	}
}

// number assigns a number to a new endpoint name.
func (o *Overrides) number(endpoint string) uint32 {
	n := uint32(len(o.names))
	if last := len(o.unused) - 1; last >= 0 {
		n = o.unused[last]
		o.unused = o.unused[:last]
		o.names[n] = endpoint
	} else {
		o.names = append(o.names, endpoint)
	}
	o.numbers[endpoint] = n
	return n
}

// allocate returns the index of an unused entry.
func (o *Overrides) allocate() uint32 {
	if len(o.index) >= o.capacity {
		o.remove(o.tail)
	}
	if n := len(o.free); n > 0 {
		i := o.free[n-1]
		o.free = o.free[:n-1]
		return i
	}
	o.entries = append(o.entries, override{})
	return uint32(len(o.entries) - 1)
}

func (o *Overrides) remove(i uint32) {
	o.unlink(i)
	delete(o.index, o.entries[i].key)
	o.free = append(o.free, i)
}

func (o *Overrides) unlink(i uint32) {
	e := o.entries[i]
	if e.prev == none {
		o.head = e.next
	} else {
		o.entries[e.prev].next = e.next
	}
	if e.next == none {
		o.tail = e.prev
	} else {
		o.entries[e.next].prev = e.prev
	}
}

func (o *Overrides) pushFront(i uint32) {
	o.entries[i].prev = none
	o.entries[i].next = o.head
	if o.head == none {
		o.tail = i
	} else {
		o.entries[o.head].prev = i
	}
	o.head = i
}
