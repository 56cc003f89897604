package placer

import (
	"github.com/bergamotdale/bergamotdale/evictor"
	"github.com/bergamotdale/bergamotdale/hasher"
)

// EntryBytes is an upper bound of the memory of one override. Maps of 1,000 to
// 500,000 entries take 64 to 78 bytes per entry: 24 bytes in the list, the rest
// in the index and in the spare capacity of both.
const EntryBytes = 80

// Overrides is a bounded map from each chat to the endpoint that served it last.
// The owner of the first endpoint in the chat's order keeps it. When the map is
// full, a new entry evicts the least recently used one. It is not safe for
// concurrent use; the owner has to lock it.
//
// Chats are kept as 64-bit hashes. A collision sends a chat to the wrong
// endpoint, which costs one cache miss.
type Overrides struct {
	chats    evictor.Map[uint32]
	capacity int
	// endpointNames and endpointNumbers translate between the names of
	// endpoints and the numbers that stand for them in chats. freeNumbers lists
	// the numbers of endpoints that have left.
	endpointNames   []string
	endpointNumbers map[string]uint32
	freeNumbers     []uint32
}

// NewOverrides returns an empty map that keeps its size within maxBytes.
func NewOverrides(maxBytes int) *Overrides {
	return &Overrides{
		chats:           evictor.New[uint32](),
		endpointNumbers: map[string]uint32{},
		capacity:        max(maxBytes/EntryBytes, 1),
	}
}

// Len returns the number of overrides.
func (o *Overrides) Len() int {
	return o.chats.Len()
}

// Get returns the endpoint of the chat and marks the override as used.
func (o *Overrides) Get(chat string) (string, bool) {
	n, ok := o.chats.Get(hasher.Hash(chat))
	if !ok {
		return "", false
	}
	return o.endpointNames[n], true
}

// Put sets the endpoint of the chat.
func (o *Overrides) Put(chat, endpoint string) {
	o.PutKey(hasher.Hash(chat), endpoint)
}

// PutKey sets the endpoint of the chat whose hash is key, as passed by Each.
func (o *Overrides) PutKey(key uint64, endpoint string) {
	o.chats.Put(key, o.endpointNumber(endpoint))
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
	n, ok := o.endpointNumbers[endpoint]
	if !ok {
		return
	}
	o.chats.Each(func(key uint64, value uint32) bool {
		if value == n {
			o.chats.Remove(key)
		}
		return true
	})
	delete(o.endpointNumbers, endpoint)
	o.freeNumbers = append(o.freeNumbers, n)
}

// Each calls f for each override, from the most to the least recently used, until
// f returns false. A handover of the endpoint to a new owner sends the overrides
// in this order, and the new owner adds them with PutKey in the reverse order.
func (o *Overrides) Each(f func(key uint64, endpoint string) bool) {
	o.chats.Each(func(key uint64, n uint32) bool {
		return f(key, o.endpointNames[n])
	})
}

// endpointNumber returns the number of an endpoint and assigns one if it has
// none.
func (o *Overrides) endpointNumber(endpoint string) uint32 {
	if n, ok := o.endpointNumbers[endpoint]; ok {
		return n
	}
	n := uint32(len(o.endpointNames))
	if last := len(o.freeNumbers) - 1; last >= 0 {
		n = o.freeNumbers[last]
		o.freeNumbers = o.freeNumbers[:last]
		o.endpointNames[n] = endpoint
	} else {
		o.endpointNames = append(o.endpointNames, endpoint)
	}
	o.endpointNumbers[endpoint] = n
	return n
}
