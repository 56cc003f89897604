package placer

import (
	"github.com/bergamotdale/bergamotdale/evictor"
	"github.com/bergamotdale/bergamotdale/hasher"
)

// EntryBytes bounds the memory of one override. Maps of 1,000 to 500,000 entries
// take 64 to 78 bytes each: 24 in the list, the rest in the index and in what
// both have allocated ahead.
const EntryBytes = 80

// Overrides is a bounded map from chats to the endpoint that served them last,
// kept by the owner of the first endpoint in the chat's order. The least
// recently used entry makes room for a new one. It is not safe for concurrent
// use; each owner guards its own.
//
// Chats are kept as 64-bit hashes. A collision costs one cache miss.
type Overrides struct {
	chats    evictor.Map[uint32]
	capacity int
	// names and numbers translate endpoint names; unused lists the numbers of
	// endpoints that have left.
	names   []string
	numbers map[string]uint32
	unused  []uint32
}

// NewOverrides returns an empty map that keeps its size within maxBytes.
func NewOverrides(maxBytes int) *Overrides {
	return &Overrides{
		chats:    evictor.New[uint32](),
		numbers:  map[string]uint32{},
		capacity: max(maxBytes/EntryBytes, 1),
	}
}

// Len returns the number of overrides.
func (o *Overrides) Len() int {
	return o.chats.Len()
}

// Get returns the endpoint of the chat and marks it as used.
func (o *Overrides) Get(chat string) (string, bool) {
	n, ok := o.chats.Get(hasher.Hash(chat))
	if !ok {
		return "", false
	}
	return o.names[n], true
}

// Put sets the endpoint of the chat.
func (o *Overrides) Put(chat, endpoint string) {
	o.PutKey(hasher.Hash(chat), endpoint)
}

// PutKey sets the endpoint of the chat with the hash, as Each reported it.
func (o *Overrides) PutKey(key uint64, endpoint string) {
	o.chats.Put(key, o.number(endpoint))
	if o.chats.Len() > o.capacity {
		o.chats.RemoveOldest()
	}
}

// Delete removes the override of the chat.
func (o *Overrides) Delete(chat string) {
	o.chats.Remove(hasher.Hash(chat))
}

// DeleteEndpoint removes all overrides to an endpoint that has left.
func (o *Overrides) DeleteEndpoint(endpoint string) {
	n, ok := o.numbers[endpoint]
	if !ok {
		return
	}
	o.chats.Each(func(key uint64, value uint32) bool {
		if value == n {
			o.chats.Remove(key)
		}
		return true
	})
	delete(o.numbers, endpoint)
	o.unused = append(o.unused, n)
}

// Each calls f from the most to the least recently used override until f
// returns false. A handover sends the entries in this order, and the new owner
// adds them with PutKey in the reverse order.
func (o *Overrides) Each(f func(key uint64, endpoint string) bool) {
	o.chats.Each(func(key uint64, n uint32) bool {
		return f(key, o.names[n])
	})
}

// number returns the number of an endpoint name.
func (o *Overrides) number(endpoint string) uint32 {
	if n, ok := o.numbers[endpoint]; ok {
		return n
	}
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
